import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

import * as coldservers from './coldservers.js';
import type * as directories from './directory.js';
import * as logs from './logs.js';
import * as metrics from './metrics.js';

interface Site {
  readonly clock: decisions.clock.FakeClock;
  readonly cold: coldservers.ColdServers;
  readonly changed: string[];
  part: number;
  entriesAgeMs: number;
}

/** Creates the state of a host that lists server `a` of a service with a warm-up. */
function site(isConfigured = true): Site {
  const clock = new decisions.clock.FakeClock();
  const changed: string[] = [];
  const settings = {warmup: {durationMs: 3000, perS: 8}};
  const service = () => settings;
  const fields = {services: [settings]};
  const made: {-readonly [K in keyof Site]: Site[K]} = {
    ...{clock, changed, part: 1, entriesAgeMs: 0},
    cold: new coldservers.ColdServers({
      clock,
      directory: {
        entry: (id: string) => (id === 'a' ? {id, service: 's'} : undefined),
        configuration: isConfigured ? {service, fields} : undefined,
      } as unknown as directories.Directory,
      bounds: {overshoot: 1.5, tolerance: 5},
      part: () => made.part,
      entriesAgeMs: () => made.entriesAgeMs,
      log: logs.NO_LOG,
      metrics: new metrics.Metrics(),
      onChange: server => changed.push(server),
    }),
  };
  return made;
}

function entry(revision: number, leftMs: number) {
  const position = decisions.storeposition.StorePosition.of(1, revision);
  return new Map([['a', {leftMs, position, startedAtMs: 0}]]);
}

// Guards against keepers that pace a server for ever, as no message tells the end of a cold time.
test.test('the end of a cold time is reported without an entry', () => {
  const {clock, cold, changed} = site();
  cold.onList(entry(1, 2000));
  cold.update();
  assert.deepEqual([cold.limitPerSOf('a'), changed], [6.25, ['a']]);
  clock.advance(2000);
  cold.update();
  assert.deepEqual([cold.limitPerSOf('a'), changed], [undefined, ['a', 'a']]);
});

// Guards against a keeper that starts within a cold time and has not read the configuration.
test.test('a time left counts before a configuration is known', () => {
  const {cold} = site(false);
  cold.onList(entry(1, 2000));
  assert.ok((cold.limitPerSOf('a') ?? Infinity) <= 8);
  cold.onEntries(entry(2, 0));
  assert.equal(cold.limitPerSOf('a'), undefined);
});

// Guards against a host apart from fleet and store that sends full load to a server that became cold meanwhile, and against the same limit in an outage of the store.
test.test('a host that can read no entries limits itself', () => {
  const made = site();
  made.cold.onList(entry(1, 0));
  made.entriesAgeMs = 5000;
  assert.equal(made.cold.limitPerSOf('a'), undefined);
  made.part = 0.5;
  assert.equal(made.cold.limitPerSOf('a'), 6.25);
});

// Guards against full load at once on a server that was down and returns before its new entry.
test.test('a server that was down counts as cold', () => {
  const {cold} = site();
  cold.onList(entry(1, 0));
  cold.onOutcome('a', {kind: 'failed'});
  assert.equal(cold.limitPerSOf('a'), undefined);
  cold.onOutcome('a', {kind: 'unreachable'});
  const sent = Array.from({length: 5}, () => cold.trySend('a'));
  assert.deepEqual(sent, [true, true, true, false, false]);
});

// Guards against a server that is paced on and on after a loss of power, whose new entry is not read (RECOVER).
test.test('a server that was down is warm a warm-up after it returned', () => {
  const {clock, cold} = site();
  cold.onList(entry(1, 0));
  for (let i = 0; i < 10; i++) {
    cold.onOutcome('a', {kind: 'unreachable'});
    clock.advance(500);
  }
  assert.notEqual(cold.limitPerSOf('a'), undefined);
  clock.advance(3000 + 1200 - 500);
  assert.equal(cold.limitPerSOf('a'), undefined);
});
