import * as assert from 'node:assert/strict';
import * as stream from 'node:stream';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';

import type * as carriers from './carriers.js';
import * as pathsModule from './paths.js';

const ADDRESS = '10.0.0.1:80';

/** How a network treats a connection; `mute` ones stand and carry nothing. */
type Treatment =
  'slow' | 'open' | 'mute' | 'hang' | 'refuse' | 'reset' | 'cut-off' | 'busy';

const TREATMENTS: Readonly<
  Record<Treatment, (connection: FakeConnection) => void>
> = {
  open: connection => connection.stand(),
  mute: connection => connection.stand(),
  hang: () => undefined,
  // As of another host at which the connection hangs.
  slow: connection => {
    const refuse = () => connection.destroy(new Error('refused'));
    setTimeout(refuse, 250).unref();
  },
  refuse: connection => void connection.destroy(new Error('refused')),
  reset: connection => {
    connection.stand();
    setImmediate(() => connection.destroy(new Error('reset')));
  },
  'cut-off': connection => void connection.destroy(new Error('cut-off')),
  busy: connection => void connection.destroy(new Error('busy')),
};

class FakeConnection extends stream.Duplex {
  connecting = true;
  writtenBytes = 0;

  constructor(private readonly treatment: Treatment) {
    super();
    setTimeout(() => {
      if (!this.destroyed) TREATMENTS[treatment](this);
    }, 1);
  }

  stand(): void {
    this.connecting = false;
    this.emit('connect');
  }

  override _read(): void {
    return;
  }

  override _write(bytes: Buffer, _: string, callback: () => void): void {
    this.writtenBytes += bytes.length;
    if (this.treatment === 'open') this.push('HTTP/1.1 200 OK\r\n\r\n');
    callback();
  }
}

const started: pathsModule.Paths[] = [];

test.afterEach(() => {
  for (const paths of started.splice(0)) paths.stop();
});

/** A host with paths to one backend server, and other hosts. */
function create(own: Treatment, others: readonly Treatment[]) {
  const network = {own, others, isListed: true};
  const opened: FakeConnection[] = [];
  const asked: string[] = [];
  const changes: pathsModule.PathChange[] = [];
  const open = (treatment: Treatment) => {
    const connection = new FakeConnection(treatment);
    opened.push(connection);
    return connection;
  };
  const paths = new pathsModule.Paths({
    clock: decisions.clock.systemClock,
    carriers: {
      open: (_, tried, allowedRegions) => {
        const index = network.others.findIndex(
          (__, i) => !tried.has(`h${i}`) && !allowedRegions?.includes('none'),
        );
        if (index < 0) return undefined;
        asked.push(`h${index}`);
        const connection = open(network.others[index]);
        return {host: `h${index}`, connection};
      },
      failureOf: ({message}): carriers.CarrierFailure => {
        if (message === 'cut-off') return 'cut-off';
        return message === 'refused' ? 'unreachable' : 'unknown';
      },
    },
    isListed: () => network.isListed,
    healthPathOf: () => '/healthz',
    connect: () => open(network.own),
    onChange: change => changes.push(change),
  });
  started.push(paths);
  paths.start();
  const dial = (allowedRegions?: readonly string[]) =>
    new Promise<stream.Duplex | Error>(resolve => {
      const onDone: pathsModule.DialCallback = (error, connection) =>
        resolve(connection ?? (error as Error));
      paths.dial(ADDRESS, {port: 80}, onDone, allowedRegions);
    });
  return {network, opened, asked, changes, paths, dial};
}

async function waitUntil(check: () => boolean, timeoutMs: number) {
  const endMs = performance.now() + timeoutMs;
  while (!check() && performance.now() < endMs) await timers.setTimeout(10);
  assert.ok(check(), `not met within ${timeoutMs} ms`);
}

// Guards against callers of a host without links who are not served although another host has one (RECOVER).
for (const own of ['refuse', 'hang'] as const) {
  test.test(
    `a link that is cut (${own}) is bypassed, and used again`,
    async () => {
      const {network, changes, paths, dial} = create(own, ['cut-off', 'open']);
      assert.ok((await dial()) instanceof FakeConnection);
      await waitUntil(() => paths.isCut(ADDRESS), 1000);
      assert.ok((await dial()) instanceof FakeConnection);
      network.own = 'open';
      await waitUntil(() => !paths.isCut(ADDRESS), 1500);
      assert.deepEqual(
        changes.map(({isCut}) => isCut),
        [true, false],
      );
    },
  );
}

// Guards against a dead server that is taken for a link that is cut, also the only one of its service.
test.test('a server that no host reaches is unreachable, not cut', async () => {
  const {asked, paths, dial} = create('refuse', ['refuse', 'refuse']);
  assert.ok((await dial()) instanceof Error);
  assert.equal(paths.isCut(ADDRESS), false);
  assert.equal(paths.isUnreachable(ADDRESS), true);
  assert.equal(await paths.examine(ADDRESS), 'refused');
  const before = asked.length;
  for (let i = 0; i < 20; i++) await dial();
  assert.equal(asked.length, before);
});

// Guards against hosts without links that have servers marked as down for all, as hosts with links are too busy to answer (RECOVER).
test.test(
  'without an answer of others nothing is said of a server',
  async () => {
    const {paths, dial} = create('refuse', ['cut-off', 'busy']);
    assert.ok((await dial()) instanceof Error);
    assert.equal(paths.isUnreachable(ADDRESS), false);
  },
);

test.test('where all hosts are cut off a server is unreachable', async () => {
  const {paths, dial} = create('refuse', ['cut-off', 'cut-off']);
  assert.ok((await dial()) instanceof Error);
  assert.equal(paths.isUnreachable(ADDRESS), true);
});

test.test('a host alone fails as its own connection does', async () => {
  const {paths, dial} = create('refuse', []);
  assert.match(String(await dial()), /refused/);
  assert.equal(paths.isUnreachable(ADDRESS), true);
});

// Guards against connections that stand and carry nothing, of which no connect tells (RECOVER).
test.test('a link that carries nothing is found by its silence', async () => {
  const {paths} = create('mute', ['open']);
  let cuts = 0;
  const startMs = performance.now();
  paths.watch(ADDRESS, {bytesRead: 0}, () => cuts++);
  await waitUntil(() => paths.isCut(ADDRESS), 2000);
  assert.ok(performance.now() - startMs < 1600);
  assert.equal(cuts, 1);
  await timers.setTimeout(1000);
  assert.ok(paths.isCut(ADDRESS));
});

// Guards against a server that is silent for a while being taken for a link that is cut.
for (const treatment of ['mute', 'open'] as const) {
  test.test(`a silent server is no cut (${treatment})`, async () => {
    const {paths, changes} = create(treatment, [treatment, treatment]);
    const unwatch = paths.watch(ADDRESS, {bytesRead: 0}, () => undefined);
    await timers.setTimeout(1500);
    unwatch();
    assert.deepEqual(changes, []);
  });
}

// Guards against a request that runs twice, as its bytes go over two connections (TWICE).
test.test(
  'one connection is handed out, and the others get nothing',
  async () => {
    const all = Object.keys(TREATMENTS) as Treatment[];
    const play = async (seed: number) => {
      const random = decisions.random.seeded(seed);
      const draw = () => all[Math.floor(random() * all.length)];
      const {opened, paths, dial} = create(draw(), [draw(), draw(), draw()]);
      for (let i = 0; i < 3; i++) {
        const found = await dial();
        if (found instanceof FakeConnection) {
          found.on('error', () => undefined);
          assert.equal(found.connecting, false, `seed ${seed}`);
          if (!found.destroyed) found.write('request');
        }
      }
      paths.stop();
      // What is pending ends with the time for a dial.
      await timers.setTimeout(700);
      const left = opened.filter(each => !each.destroyed && each.connecting);
      assert.equal(left.length, 0, `seed ${seed}: ${left.length} left open`);
      const written = opened.filter(each => each.writtenBytes === 7);
      assert.ok(written.length <= 3, `seed ${seed}`);
    };
    const seeds = Array.from({length: 300}, (_, i) => i + 1);
    await Promise.all(seeds.map(play));
  },
);

// Guards against probes without end of a server that left while the link to it was cut.
test.test('the path to a server that left is forgotten', async () => {
  const {network, opened, paths, dial} = create('refuse', ['open']);
  await dial();
  await waitUntil(() => paths.isCut(ADDRESS), 1000);
  assert.ok(paths.isCutOff);
  network.isListed = false;
  await waitUntil(() => !paths.isCut(ADDRESS), 500);
  assert.equal(paths.isCutOff, false);
  const before = opened.length;
  await timers.setTimeout(1000);
  assert.equal(opened.length, before);
});

// Guards against a server that is down and hangs, of which no keeper hears, as its witnesses need time.
test.test('a server at which all connections hang is unreachable', async () => {
  const {paths, dial} = create('hang', ['slow', 'slow', 'slow', 'slow']);
  await dial();
  assert.equal(paths.isUnreachable(ADDRESS), true);
  assert.equal(paths.isCut(ADDRESS), false);
  await timers.setTimeout(900);
  await dial();
  assert.equal(paths.isUnreachable(ADDRESS), true);
});

// Guards against a server that counts as unreachable for all, as a restricted request found no host that may carry it.
test.test('a request without a carrier accuses no server', async () => {
  const {paths, dial} = create('refuse', ['open']);
  const startMs = performance.now();
  assert.ok((await dial(['none'])) instanceof Error);
  assert.ok(!paths.isUnreachable(ADDRESS));
  await waitUntil(() => paths.isCut(ADDRESS), 1000);
  assert.ok((await dial(['none'])) instanceof Error);
  assert.ok(performance.now() - startMs < 500);
  assert.ok((await dial()) instanceof FakeConnection);
});
