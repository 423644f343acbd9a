import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

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
    heartbeats: 1,
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
