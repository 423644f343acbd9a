import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as coldstart from './coldstart.js';
import * as sendgate from './sendgate.js';
import * as storeposition from './storeposition.js';

const SETTINGS = {durationMs: 3000, perS: 8};
const BOUNDS = {overshoot: 1.5, tolerance: 5};
const WALL_MS = 1_000_000;

function entry(
  revision: number,
  leftMs: number | undefined,
  startedAtMs = 0,
  era = 1,
): coldstart.WarmupEntry {
  const position = storeposition.StorePosition.of(era, revision);
  return {leftMs, startedAtMs, position};
}

const at = (monotonicMs: number) => ({
  ...{monotonicMs, wallMs: WALL_MS + monotonicMs},
});

// Guards against entries that are read wrongly: each row is a history of entries and the end of the cold time that must follow.
const RECENT_MS = WALL_MS - 1000;
const HISTORIES: Readonly<
  Record<string, [number, ...coldstart.WarmupEntry[]]>
> = {
  'a time left': [2500, entry(1, 2500)],
  'no time, no start': [-Infinity, entry(1, undefined)],
  'a huge time': [30_000, entry(1, 1e15)],
  'a recent start that says it is warm': [2200, entry(1, 0, RECENT_MS)],
  'a start in the future': [3200, entry(1, 0, WALL_MS + 1e9)],
  'a later write': [1300, entry(1, 2500), entry(2, 1200)],
  'an earlier write': [2500, entry(2, 2500), entry(1, 100)],
  'the same write again': [2500, entry(1, 2500), entry(1, 2500)],
  'a write without a time': [2500, entry(1, 2500), entry(2, undefined)],
  'cold again': [2100, entry(1, 0), entry(2, 2000)],
  'an old copy after a restore': [2500, entry(9, 2500), entry(3, 0, 0, 2)],
  'a write after the restore': [
    ...([500, entry(9, 2500), entry(3, 0, 0, 2), entry(4, 300, 0, 2)] as const),
  ],
  'a later start': [3000, entry(1, 0, 5), entry(2, 2900, 6)],
};

for (const [name, [untilMs, first, ...later]] of Object.entries(HISTORIES)) {
  test.test(`cold time: ${name}`, () => {
    const start = later.reduce(
      (known, next, i) => known.withEntry(next, at(100 * (i + 1))),
      coldstart.ColdStart.of(first, at(0), false),
    );
    assert.equal(start.untilMs(SETTINGS), untilMs);
    assert.equal(start.untilMs({...SETTINGS, perS: 0}), -Infinity);
  });
}

// Guards against servers that count as cold though they started before there was traffic, and entries without a time that are believed.
test.test('an entry in the first list is believed', () => {
  const listed = (leftMs: number | undefined) =>
    coldstart.ColdStart.of(entry(1, leftMs, RECENT_MS), at(0), true);
  assert.equal(listed(0).untilMs(SETTINGS), 0);
  assert.equal(listed(undefined).untilMs(SETTINGS), 2200);
});

// Guards against a server that returns under its id before its entry shows the restart.
test.test('a server that was down is cold when it returns', () => {
  const start = coldstart.ColdStart.of(entry(1, 0), at(0), true).withDown(5000);
  assert.equal(start.withEntry(entry(2, 0), at(5100)).untilMs(SETTINGS), 9200);
  const restarted = start.withEntry(entry(3, 2000, 7), at(5200));
  assert.ok(restarted.untilMs(SETTINGS) <= 7200 + SETTINGS.durationMs);
});

// Guards against two keepers that exceed the bound together, and a rate above the stated one.
test.test('two keepers stay within the bound at any settings', () => {
  const numbers = fc.double({min: 0.1, max: 1000, noNaN: true});
  fc.assert(
    fc.property(numbers, numbers, (perS, tolerance) => {
      const bounds = {overshoot: 1.5, tolerance};
      const rate = coldstart.pacedPerS({durationMs: 1, perS}, bounds);
      assert.ok(rate <= perS);
      if (tolerance < 5) return;
      const sent = 2 * (1 + 1.2 * rate);
      assert.ok(sent <= 1.5 * perS + tolerance + 1e-6);
    }),
  );
  assert.equal(coldstart.pacedPerS(SETTINGS, BOUNDS), 6.25);
});

// Guards against a host that sends all its old grants when it wakes up.
test.test('a gate lets a burst of three pass, then the rate', () => {
  const gate = new sendgate.SendGate();
  const passed = Array.from({length: 201}, (_, i) => gate.tryPass(5, i * 10));
  assert.equal(passed.filter(Boolean).length, 3 + 10);
  const burst = Array.from({length: 9}, () => gate.tryPass(5, 10_000));
  assert.equal(burst.filter(Boolean).length, 3);
});
