import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as storeposition from './storeposition.js';

const {StorePosition} = storeposition;

test.test('a later era comes after any revision of an earlier one', () => {
  const before = StorePosition.of(1, 900);
  const after = StorePosition.of(2, 3);
  assert.ok(after.isAfter(before));
  assert.ok(!before.isAfter(after));
  assert.ok(before.isOfEarlierEraThan(after));
  assert.equal(before.latest(after), after);
  assert.equal(after.latest(before), after);
});

test.test('within an era the greater revision comes after', () => {
  const before = StorePosition.of(1, 3);
  const after = StorePosition.of(1, 4);
  assert.ok(after.isAfter(before));
  assert.ok(!after.isAfter(after));
  assert.ok(after.isOfSameEraAs(before));
});

test.test('a position without an era comes before all others', () => {
  const unknown = StorePosition.of(storeposition.UNKNOWN_ERA, 900);
  assert.ok(StorePosition.of(0, 0).isAfter(unknown));
  assert.ok(unknown.isAfter(StorePosition.start));
});

test.test('only a row of a later era may be a copy', () => {
  const original = StorePosition.of(1, 7);
  assert.ok(StorePosition.of(2, 7).mayBeCopyOf(original));
  assert.ok(!StorePosition.of(2, 8).mayBeCopyOf(original));
  assert.ok(!StorePosition.of(1, 7).mayBeCopyOf(original));
});

test.test('positions are in one order, across restores too', () => {
  // Of each step, the number of transactions since the last one, and how many a restore took away before them.
  const steps = fc.array(
    fc.record({
      writes: fc.integer({min: 1, max: 5}),
      lost: fc.option(fc.integer({min: 0, max: 20}), {nil: undefined}),
    }),
    {minLength: 1, maxLength: 30},
  );
  const property = fc.property(steps, history => {
    let era = 0;
    let revision = 0;
    const seen = [StorePosition.start];
    for (const {writes, lost} of history) {
      if (lost !== undefined) {
        era++;
        revision = Math.max(0, revision - lost);
      }
      revision += writes;
      seen.push(StorePosition.of(era, revision));
    }
    for (const [i, one] of seen.entries()) {
      for (const [j, other] of seen.entries()) {
        assert.equal(one.isAfter(other), i > j);
      }
    }
  });
  fc.assert(property, {seed: 34});
});
