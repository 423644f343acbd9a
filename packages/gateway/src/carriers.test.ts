// Connections to a backend server of a host with its own link and through a carrier, both in this process.

import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import * as forwarding from '@banyanhall/forwarding';
import * as peers from '@banyanhall/peers';

import type * as directories from './directory.js';
import * as tunnels from './tunnels.js';

const NAMES = {
  ...{requestId: 'x-id', notRun: 'x-not-run', load: 'x-load'},
  ...{serverId: 'x-server-id', signature: 'x-signature'},
  statements: {
    ...{limit: 'x-limit', leaving: 'x-leaving'},
    ...{brittle: 'x-brittle', retryAfter: 'retry-after'},
  },
} as unknown as forwarding.headers.HeaderNames;
const HEALTH_PATH = '/healthz';
const RUN_MS = 60;
/** In which bytes on loopback arrive. */
const ARRIVED_MS = 30;

/** How connections of a host's own link fare; `mute` ones stand and carry nothing. */
type LinkState = 'open' | 'mute' | 'refused';

/** A connection at the backend server, with what it got in each read. */
interface Connection {
  readonly socket: net.Socket;
  readonly received: string[];
  isClosed: boolean;
}

/** A backend server, and a host that reaches it. */
interface Site {
  readonly paths: forwarding.paths.Paths;
  readonly connections: readonly Connection[];
  readonly address: string;
  /** The host's own link to the backend server. */
  readonly link: {state: LinkState};
  /** Sends a request of this id once more. */
  readonly send: (id: string) => Promise<forwarding.upstream.AttemptResult>;
}

type Script = (connection: Connection) => void;

/** What both hosts' tunnels need of the rest of a host; the one that carries reaches every server. */
function tunnelsOf(
  host: string,
  links: tunnels.TunnelsOptions['links'],
  serving: readonly decisions.membership.Member[] = [],
): tunnels.Tunnels {
  const entry = {id: 'i-1'} as directories.ServerEntry;
  return new tunnels.Tunnels({
    ...{host, zone: 'z', links, serving: () => serving},
    clock: decisions.clock.systemClock,
    random: decisions.random.seeded(1),
    directory: {
      entryAt: () => entry,
      entry: () => entry,
    } as unknown as directories.Directory,
    buffers: new forwarding.buffers.BufferAccount(1_000_000),
    paths: () => ({isCut: () => false, isCutOff: false, hasHeard: true}),
    ...{isStopping: () => false, loopLagMs: () => 0},
  });
}

/** Starts links with tunnels; `own` is needed by those that carry. */
function linksOf(host: string, own?: () => tunnels.Tunnels) {
  return new peers.links.Links({
    ...{host, secret: 'shared'},
    ...{onMessage: () => undefined, onLinkDown: () => undefined},
    onTunnel: own && ((from, address) => own().accept(from, address)),
  });
}

/** Runs `check` with a backend server that calls `script` for what it receives. */
async function withSite(
  script: Script,
  check: (site: Site) => Promise<void>,
): Promise<void> {
  const connections: Connection[] = [];
  const server = net.createServer(socket => {
    const connection: Connection = {socket, received: [], isClosed: false};
    connections.push(connection);
    socket.on('error', () => undefined);
    socket.on('close', () => (connection.isClosed = true));
    socket.on('data', chunk => {
      connection.received.push(String(chunk));
      script(connection);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const mute = net.createServer(socket => socket.on('error', () => undefined));
  await new Promise<void>(resolve => mute.listen(0, '127.0.0.1', resolve));
  const {port: mutePort} = mute.address() as net.AddressInfo;
  // Nothing listens there.
  const ports = {open: port, mute: mutePort, refused: 1} as const;
  const carrier: peers.links.Links = linksOf('b', () => carrying);
  const carrying = tunnelsOf('b', carrier);
  const peerAddress = `127.0.0.1:${await carrier.listen('127.0.0.1:0')}`;
  const user = linksOf('a');
  const member = {
    host: 'b',
    region: 'r',
    zone: 'z',
    callerUrl: '',
    peerAddress,
  };
  const members = [{...member, incarnation: 1, state: 'serving'}] as const;
  const link: Site['link'] = {state: 'open'};
  const paths = new forwarding.paths.Paths({
    clock: decisions.clock.systemClock,
    carriers: tunnelsOf('a', user, members),
    isListed: () => true,
    healthPathOf: () => HEALTH_PATH,
    connect: options =>
      net.connect({
        ...(options as net.TcpNetConnectOpts),
        port: ports[link.state],
      }),
    onChange: () => undefined,
  });
  paths.start();
  const upstream = new forwarding.upstream.Upstream(NAMES, paths);
  const carriedBy: forwarding.connections.CarriedBy = new WeakSet();
  const address = `127.0.0.1:${port}`;
  const send = (requestId: string) =>
    upstream.send(
      {
        ...{address, method: 'GET', path: '/', requestId, carriedBy},
        headers: ['X-Id', requestId],
        body: Buffer.alloc(0),
      },
      new AbortController().signal,
    );
  try {
    await check({paths, connections, address, link, send});
  } finally {
    upstream.close();
    paths.stop();
    user.close();
    carrier.close();
    server.close();
    mute.close();
  }
}

const ANSWERS = {
  run: 'HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\na!',
  refused:
    'HTTP/1.1 503 Busy\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
  misdirected:
    'HTTP/1.1 421 Misdirected\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n',
} as const;

function isProbe({received}: Connection): boolean {
  return received[0]?.includes(HEALTH_PATH) ?? false;
}

/** Sends a request, and asserts that it is answered as it ran. */
async function assertRuns(sent: Promise<forwarding.upstream.AttemptResult>) {
  const result = await sent;
  if (result.kind === 'failed') assert.fail(result.detail);
  assert.equal(String(await forwarding.upstream.readBody(result)), 'a!');
}

// Guards against "not run" for a request that runs, as its carrier sends it again on the connection of its refusal (TWICE).
for (const refusal of ['refused', 'misdirected'] as const) {
  test.test(
    `a request ${refusal} through a carrier comes again on another connection`,
    () => {
      let refusing: Connection | undefined;
      const script: Script = connection => {
        refusing ??= connection;
        const {socket, received} = connection;
        if (connection === refusing) socket.write(ANSWERS[refusal]);
        if (connection !== refusing || received.length > 1) {
          setTimeout(() => socket.write(ANSWERS.run), RUN_MS);
        }
      };
      return withSite(script, async ({connections, link, send}) => {
        link.state = 'refused';
        const first = await send('a');
        assert.ok(first.kind === 'failed' && first.verdict === 'not-run');
        await timers.setTimeout(ARRIVED_MS);
        await assertRuns(send('a'));
        assert.deepEqual(
          connections.map(({received}) => received.length),
          [1, 1],
        );
      });
    },
  );
}

/** The state of a host's own link in which it probes a backend server over it, or through others. */
const PROBES = {'its own link': 'open', 'a carrier': 'mute'} as const;

// Guards against an answer that arrives on the connection of a probe, and a connection that is used again after a probe (TWICE, MIXED).
for (const [name, state] of Object.entries(PROBES)) {
  test.test(
    `answers on a probe's connection over ${name} reach no request`,
    () => {
      const script: Script = connection => {
        const {socket} = connection;
        if (!isProbe(connection)) {
          return void setTimeout(() => socket.write(ANSWERS.run), RUN_MS);
        }
        const copies = ANSWERS.refused + ANSWERS.run;
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n' + copies);
        setTimeout(() => socket.write(copies), RUN_MS / 2);
      };
      return withSite(
        script,
        async ({paths, connections, address, link, send}) => {
          link.state = state;
          await paths.examine(address);
          await Promise.all([assertRuns(send('a')), assertRuns(send('a'))]);
          const probes = connections.filter(isProbe);
          assert.ok(probes.length > 0);
          for (const {received, isClosed} of probes) {
            assert.deepEqual([received.length, isClosed], [1, true]);
          }
        },
      );
    },
  );
}
