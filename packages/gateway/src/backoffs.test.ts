import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as decisions from '@banyanhall/decisions';
import type * as statementsModule from '@banyanhall/fleet/statements.js';

import * as backoffs from './backoffs.js';
import type * as directories from './directory.js';

const NOW_MS = 1000;
const ENTRY = {id: 'a', startedAtMs: 1} as directories.ServerEntry;
const POOL = {
  backendServers: [
    {name: 'a', region: 'north'},
    {name: 'b', region: 'south'},
  ] as unknown as readonly decisions.config.BackendServer[],
};

// Guards against a request that waits for a slot while all servers in its regions accept nothing, since others accept requests.
test.test('only the servers in the regions of a request count', () => {
  const valueOf: statementsModule.Statements['valueOf'] = () => NOW_MS + 250;
  const clock = {nowMs: () => NOW_MS, monotonicMs: () => NOW_MS};
  const entry = (name: string) => (name === 'a' ? ENTRY : undefined);
  const directory = {entry};
  const statements = {valueOf};
  const all = new backoffs.Backoffs({clock, directory, statements});
  const backoffIn = (allowedRegions?: readonly string[]) =>
    all.in(POOL, {allowedRegions});
  const excluded = ['a'];
  assert.deepEqual(backoffIn(), {excluded, isTotal: false, firstMs: 250});
  assert.deepEqual(backoffIn(['north']), {
    ...{excluded, isTotal: true, firstMs: 250},
  });
  assert.deepEqual(backoffIn(['south']), {
    ...{excluded: [], isTotal: false, firstMs: 0},
  });
});

// Guards against a server that gets nothing for the time that it asked for before it lost power (RECOVER).
test.test('a time ends with the start of the server', () => {
  const times = new Map([['a@1', NOW_MS + 600_000]]);
  const clock = {nowMs: () => NOW_MS, monotonicMs: () => NOW_MS};
  let startedAtMs = 1;
  const all = new backoffs.Backoffs({
    ...{clock, statements: {valueOf: start => times.get(start)}},
    directory: {
      entry: id => (id === 'a' ? {...ENTRY, startedAtMs} : undefined),
    },
  });
  const north = {allowedRegions: ['north']};
  assert.equal(all.in(POOL, north).isTotal, true);
  startedAtMs = 2;
  assert.deepEqual(all.in(POOL, north).excluded, []);
});
