import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

import * as directories from './directory.js';
import * as evacuationsModule from './evacuations.js';
import * as logs from './logs.js';
import * as metrics from './metrics.js';

/** Creates a host's directory with a backend server in each of two zones. */
function site() {
  const events: logs.Fields[] = [];
  const log: logs.Log = {
    event: (event, _, fields) => {
      if (event === 'evacuation' && fields) events.push(fields);
    },
  };
  const evacuations = new evacuationsModule.Evacuations({
    isKnownZone: zone => zone === 'y' || zone === 'z',
    ...{log, metrics: new metrics.Metrics()},
    onChange: () => directory.onEvacuations(),
  });
  const directory = new directories.Directory({
    ...{clock: new decisions.clock.FakeClock(), log: logs.NO_LOG},
    ...{regionByZone: new Map(), heartbeatMs: 1200, onChange: () => undefined},
    isEvacuated: zone => evacuations.isEvacuated(zone),
  });
  for (const zone of ['y', 'z']) {
    directory.onServerEntry(zone, {
      ...{id: zone, service: 's', address: `10.0.0.1:${zone}`, zone},
      ...{version: 'v1', capacity: 4, isDraining: false, startedAtMs: 0},
    });
  }
  const used = () =>
    (directory.pool('s', false)?.backendServers ?? []).map(({name}) => name);
  return {evacuations, directory, events, used};
}

// Guards against a host that starts during an evacuation and uses a zone before it has read the rows.
test.test('nothing is used before the evacuated zones are known', () => {
  const {evacuations, directory, used} = site();
  assert.deepEqual([used(), directory.entry('y')], [[], undefined]);
  evacuations.onList(new Set(['z']));
  assert.deepEqual(used(), ['y']);
});

// Guards against sends to an evacuated zone, and against a request there that loses its server's entry.
test.test('an evacuated server is in no pool and stays listed', () => {
  const {evacuations, directory, used} = site();
  evacuations.onList(new Set());
  evacuations.onChanges(new Map([['z', true]]));
  assert.deepEqual(used(), ['y']);
  assert.equal(directory.entry('z'), undefined);
  assert.equal(directory.entryAt('10.0.0.1:z')?.id, 'z');
  assert.equal(directory.entryOfStart('z@0')?.id, 'z');
  evacuations.onChanges(new Map([['y', true]]));
  assert.equal(directory.pool('s', true), undefined);
});

// Guards against a zone that stays evacuated since its host missed the removal.
test.test('a list without the row lifts an evacuation', () => {
  const {evacuations, events, used} = site();
  evacuations.onList(new Set(['z']));
  evacuations.onList(new Set(['z']));
  evacuations.onList(new Set());
  assert.deepEqual(used(), ['y', 'z']);
  const states = events.map(({state}) => state);
  assert.deepEqual(states, ['begun', 'lifted']);
});

// Guards against a mistyped zone that nobody notices.
test.test('an unknown zone is logged and has no effect', () => {
  const {evacuations, events, used} = site();
  evacuations.onList(new Set(['zz']));
  assert.deepEqual(used(), ['y', 'z']);
  assert.deepEqual(events, [{zone: 'zz', state: 'begun', isKnown: false}]);
});
