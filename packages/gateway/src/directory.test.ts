import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import * as routing from '@banyanhall/routing';

import * as directories from './directory.js';
import * as logs from './logs.js';

function entry(
  id: string,
  change: Partial<directories.ServerEntry> = {},
): directories.ServerEntry {
  return {
    id,
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    version: 'v1',
    capacity: 4,
    isDraining: false,
    startedAtMs: 0,
    ...change,
  };
}

let rebuilt = 0;

function directoryWith(
  ...entries: readonly directories.ServerEntry[]
): directories.Directory {
  const directory = new directories.Directory({
    clock: new decisions.clock.FakeClock(),
    log: logs.NO_LOG,
    regionByZone: new Map([['z', 'r']]),
    heartbeatMs: 1200,
    onChange: () => rebuilt++,
  });
  for (const one of entries) directory.onServerEntry(one.id, one);
  return directory;
}

function names(
  directory: directories.Directory,
  isCandidate = false,
): readonly string[] {
  const pool = directory.pool('s', isCandidate);
  return (pool?.backendServers ?? []).map(server => server.name);
}

test.test('draining and removed servers leave the pool', () => {
  const directory = directoryWith(entry('a'), entry('b'), entry('c'));
  directory.onServerEntry('a', entry('a', {isDraining: true}));
  directory.onServerEntry('b', undefined);
  assert.deepEqual(names(directory), ['c']);
});

test.test(
  'the last server of a service stays in use for at most 2 s after its entry disappears',
  () => {
    test.mock.timers.enable({apis: ['setTimeout']});
    const directory = directoryWith(entry('a'));
    directory.onServerEntry('a', undefined);
    assert.deepEqual(names(directory), ['a']);
    test.mock.timers.tick(2000);
    assert.deepEqual(names(directory), []);
    test.mock.timers.reset();
  },
);

test.test('a batch of changes rebuilds the pools once', () => {
  const directory = directoryWith();
  rebuilt = 0;
  const ids = ['a', 'b', 'c', 'd'];
  directory.replaceServerEntries(new Map(ids.map(id => [id, entry(id)])));
  assert.equal(rebuilt, 1);
  assert.deepEqual(names(directory), ids);
});

test.test('a full list removes the servers it does not contain', () => {
  const directory = directoryWith(entry('a'), entry('b'));
  directory.replaceServerEntries(new Map([['b', entry('b')]]));
  assert.deepEqual(names(directory), ['b']);
});

test.test('the candidate version has a pool of its own', () => {
  const directory = directoryWith(entry('a'), entry('b', {version: 'v2'}));
  directory.setCandidates(new Map([['s', 'v2']]));
  assert.deepEqual(names(directory), ['a']);
  assert.deepEqual(names(directory, true), ['b']);
  assert.ok(directory.hasBaseAndCandidate('s'));
});

test.test(
  'a candidate version is used as the base version when there is no other',
  () => {
    const directory = directoryWith(entry('b', {version: 'v2'}));
    directory.setCandidates(new Map([['s', 'v2']]));
    assert.deepEqual(names(directory), ['b']);
    assert.ok(!directory.hasBaseAndCandidate('s'));
  },
);

// Guards against two keepers that each grant the whole limit of one backend server.
test.test('a backend server is in one pool', () => {
  const directory = directoryWith(entry('a'), entry('b', {version: 'v2'}));
  directory.setCandidates(new Map([['s', 'v2']]));
  directory.onServerEntry('a', undefined);
  const inPools = directory.poolConfig
    .list('service')
    .flatMap(pool => pool.backendServers.map(server => server.name));
  assert.deepEqual(inPools, ['b']);
});

/** Returns a full list of entries. */
function listOf(...entries: readonly directories.ServerEntry[]) {
  return new Map(entries.map(one => [one.id, one]));
}

/** The time after which an entry is removed that has not been written again. */
const EXPIRED_MS = 6000;

// Guards against servers that are dropped although only the restored store does not know them yet.
test.test('a server missing from a restored store is kept for a while', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const directory = directoryWith(entry('a'), entry('b'), entry('c'));
  directory.replaceServerEntries(listOf(entry('c')), true);
  assert.deepEqual(names(directory), ['a', 'b', 'c']);
  t.mock.timers.tick(2000);
  directory.onServerEntry('a', entry('a'));
  t.mock.timers.tick(2000);
  assert.deepEqual(names(directory), ['a', 'c']);
});

// Guards against requests to a server that leaves, as a restored store lists it as healthy.
test.test('a start that drained is not used again, a later one is', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const start = entry('a', {startedAtMs: 5});
  const directory = directoryWith(start, entry('b'));
  directory.onServerEntry('a', {...start, isDraining: true});
  directory.replaceServerEntries(listOf(start, entry('b')), true);
  t.mock.timers.tick(EXPIRED_MS);
  directory.onServerEntry('a', start);
  assert.deepEqual(names(directory), ['b']);
  directory.onServerEntry('a', {...start, startedAtMs: 6});
  assert.deepEqual(names(directory), ['b', 'a']);
});

// Guards against requests to a server that is gone, as a restored store still lists it.
const RETURNS: Readonly<
  Record<string, (directory: directories.Directory) => void>
> = {
  'is written again': directory => directory.onServerEntry('a', entry('a')),
  'does not expire': () => test.mock.timers.tick(EXPIRED_MS),
};
for (const [name, comeBack] of Object.entries(RETURNS)) {
  test.test(`a server that was gone is used once its entry ${name}`, () => {
    test.mock.timers.enable({apis: ['setTimeout']});
    const directory = directoryWith(entry('a'), entry('b'));
    // Only entries that are gone within a while of an outage are kept.
    directory.replaceServerEntries(listOf(entry('b')));
    test.mock.timers.tick(EXPIRED_MS);
    assert.deepEqual(names(directory), ['b']);
    directory.replaceServerEntries(listOf(entry('a'), entry('b')), true);
    test.mock.timers.tick(1000);
    assert.deepEqual(names(directory), ['b']);
    comeBack(directory);
    assert.deepEqual([...names(directory)].sort(), ['a', 'b']);
    test.mock.timers.reset();
  });
}

test.test('a server that was gone stays out when its entry expires', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const directory = directoryWith(entry('a'), entry('b'));
  directory.onServerEntry('a', undefined);
  t.mock.timers.tick(EXPIRED_MS);
  directory.replaceServerEntries(listOf(entry('a'), entry('b')), true);
  directory.onServerEntry('a', undefined);
  t.mock.timers.tick(EXPIRED_MS);
  assert.deepEqual(names(directory), ['b']);
});

test.test('an earlier start in a restored store replaces no later one', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const [earlier, later] = [5, 6].map(startedAtMs =>
    entry('a', {startedAtMs, address: `10.0.0.${startedAtMs}:80`}),
  );
  const directory = directoryWith(earlier, later, entry('b'));
  directory.replaceServerEntries(listOf(earlier, entry('b')), true);
  assert.equal(directory.entry('a'), later);
  directory.onServerEntry('a', later);
  t.mock.timers.tick(EXPIRED_MS);
  assert.equal(directory.entry('a'), later);
});

test.test('only the latest starts that left are remembered', () => {
  const directory = directoryWith(entry('b'));
  const starts = Array.from({length: 5000}, (_, i) =>
    entry(`s${i}`, {startedAtMs: 5}),
  );
  for (const start of starts) {
    directory.onServerEntry(start.id, {...start, isDraining: true});
  }
  directory.onServerEntries(listOf(starts[0], starts[4999]));
  assert.deepEqual(names(directory), ['b', 's0']);
});

// Guards against a server that was gone and is used as a second restore brings its entry back before it expires.
test.test('a second restore holds a server that was gone for longer', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const directory = directoryWith(entry('a'), entry('b'));
  directory.onServerEntry('a', undefined);
  t.mock.timers.tick(EXPIRED_MS);
  const copy = listOf(entry('a'), entry('b'));
  directory.replaceServerEntries(copy, true);
  t.mock.timers.tick(4000);
  directory.replaceServerEntries(copy, true);
  t.mock.timers.tick(4000);
  assert.deepEqual(names(directory), ['b']);
  t.mock.timers.tick(2000);
  assert.deepEqual(names(directory), ['b', 'a']);
});

// Guards against a server that was gone and is used as the store, away again, could not remove its entry.
test.test('an outage holds a server that was gone for longer', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const directory = directoryWith(entry('a'), entry('b'));
  directory.onServerEntry('a', undefined);
  directory.replaceServerEntries(listOf(entry('a'), entry('b')), true);
  t.mock.timers.tick(1000);
  directory.onStoreStatus(false);
  t.mock.timers.tick(20_000);
  assert.deepEqual(names(directory), ['b']);
  directory.onStoreStatus(true);
  t.mock.timers.tick(EXPIRED_MS);
  assert.deepEqual(names(directory), ['b', 'a']);
});

// Guards against a server that is used again as its entry, or a copy of it, does not say that it leaves (DRAIN).
test.test('a server that stated that it leaves stays out', () => {
  const directory = directoryWith(entry('a', {startedAtMs: 1}), entry('b'));
  directory.onLeaving('a@1');
  assert.deepEqual(names(directory), ['b']);
  directory.onServerEntry('a', entry('a', {startedAtMs: 1, capacity: 5}));
  const all = new Map([['a', entry('a', {startedAtMs: 1})]]);
  directory.replaceServerEntries(all, true);
  assert.ok(!names(directory).includes('a'));
  directory.onServerEntry('a', entry('a', {startedAtMs: 2}));
  assert.ok(names(directory).includes('a'));
});

test.test('a statement may come before the entry', () => {
  const directory = directoryWith(entry('b'));
  directory.onLeaving('a@1');
  directory.onServerEntry('a', entry('a', {startedAtMs: 1}));
  assert.deepEqual(names(directory), ['b']);
});

// Guards against a server whose entry states no start that is never used again.
test.test('without a start a server is used again once it was gone', () => {
  const directory = directoryWith(entry('a'), entry('b'));
  directory.onLeaving('a@0');
  directory.onServerEntry('a', entry('a', {capacity: 5}));
  assert.deepEqual(names(directory), ['b']);
  directory.onServerEntry('a', undefined);
  directory.onServerEntry('a', entry('a'));
  assert.deepEqual([...names(directory)].sort(), ['a', 'b']);
});

/** Puts a configuration in force that has these services. */
function configure(
  directory: directories.Directory,
  ...services: readonly string[]
): void {
  const fields: routing.configuration.ConfigurationFields = {
    ...{version: 1, routes: [], accounts: [], needsKeys: false},
    services: services.map(name => ({
      ...{name, healthPath: '', maxConnections: 1},
      ...{capacity: 1, memoryTokens: 0},
    })),
    limits: {
      ...{maxHeaderBytes: 1, maxBodyBytes: 1},
      ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
    },
  };
  const next = new routing.configuration.Configuration(fields);
  directory.onConfiguration(next, 'test');
}

// Guards against requests to a server whose address belongs to another one by now, which refuses them.
for (const service of ['s', 'other']) {
  test.test(`a later start in ${service} takes its address over`, () => {
    const before = entry('a', {startedAtMs: 5});
    const after = entry('b', {startedAtMs: 6, service});
    const elsewhere = entry('c', {startedAtMs: 4, address: '10.0.0.2:80'});
    const directory = directoryWith(after, before, elsewhere);
    configure(directory, 's', 'other');
    const used = service === 's' ? ['b', 'c'] : ['c'];
    assert.deepEqual(names(directory), used);
    assert.equal(directory.entry('a'), undefined);
    assert.equal(directory.entryAt(before.address), after);
    directory.onServerEntry('b', {...after, isDraining: true});
    assert.deepEqual(names(directory), ['a', 'c']);
  });
}

// Guards against a sound server that is not used, as an entry of another writer has its address.
test.test('an entry of an unknown service takes no address over', () => {
  const odd = entry('b', {startedAtMs: 6, service: 'unknown'});
  const sound = entry('a', {startedAtMs: 5});
  const directory = directoryWith(odd, sound);
  configure(directory, 's');
  assert.deepEqual(names(directory), ['a']);
  assert.equal(directory.entryAt(sound.address), sound);
});

test.test('without a start no entry takes an address over', () => {
  const directory = directoryWith(entry('a'), entry('b', {startedAtMs: 6}));
  configure(directory, 's');
  assert.deepEqual(names(directory), ['a', 'b']);
});

// Guards against a refusal for each request after the entry of a server that is gone was listed again.
test.test('a start is not used again after another server answered', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const start = entry('a', {startedAtMs: 5});
  const directory = directoryWith(start, entry('b'));
  directory.onMisdirected(start);
  assert.deepEqual(names(directory), ['b']);
  directory.onServerEntry('a', {...start, capacity: 5});
  directory.replaceServerEntries(listOf(start, entry('b')), true);
  t.mock.timers.tick(EXPIRED_MS);
  assert.deepEqual(names(directory), ['b']);
});

// Guards against a server that started again and is not used, as its start before was refused late.
test.test('another server at an address concerns one start', () => {
  const [before, after] = [5, 6].map(startedAtMs =>
    entry('a', {startedAtMs, address: `10.0.0.${startedAtMs}:80`}),
  );
  const directory = directoryWith(before, after);
  directory.onMisdirected(before);
  assert.equal(directory.entry('a'), after);
});

// Guards against a service without any server for a single refusal, and against one that is used for ever.
test.test('the last server of a service is dropped after a while', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const start = entry('a', {startedAtMs: 5});
  const directory = directoryWith(start);
  directory.onMisdirected(start);
  assert.deepEqual(names(directory), ['a']);
  directory.onServerEntry('a', {...start, capacity: 5});
  t.mock.timers.tick(2000);
  assert.deepEqual(names(directory), []);
  directory.onServerEntry('a', entry('a', {startedAtMs: 6}));
  assert.deepEqual(names(directory), ['a']);
});

// Guards against a service that has no usable server, as its machine is back with a clock behind that of its entry from before.
test.test('a server whose clock went back takes its address over', t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const before = entry('a', {startedAtMs: 3_600_000});
  const after = entry('b', {startedAtMs: 5});
  const directory = directoryWith(before, after);
  configure(directory, 's');
  directory.onMisdirected(before);
  assert.deepEqual(names(directory), ['b']);
});
