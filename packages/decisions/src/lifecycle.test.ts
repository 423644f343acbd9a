import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as lives from './lifecycle.js';

const SEED = 20261204;

const dispatched = lives.Lifecycle.received.wait().grant().dispatch();

test.test('a request that may have run is not dispatched again', () => {
  assert.throws(() => dispatched.dispatch(), RangeError);
  assert.throws(() => dispatched.wait(), RangeError);
});

test.test('a proven refusal allows one more dispatch', () => {
  const again = dispatched.refuted().wait().grant().dispatch();
  assert.equal(again.verdict, 'may-have-run');
  assert.equal(again.dispatches, 2);
});

test.test('a request that never left says not-run', () => {
  assert.equal(
    lives.Lifecycle.received.wait().answer(false).verdict,
    'not-run',
  );
});

test.test('a late, cancelled or cut off host does not dispatch', () => {
  const life = lives.Lifecycle.received.wait().grant();
  const fine = {deadlineMs: 100, isCancelled: false, isLeaseFresh: true};
  assert.equal(life.blockReason(fine, 99), undefined);
  assert.equal(life.blockReason(fine, 100), 'deadline');
  assert.equal(life.blockReason({...fine, isCancelled: true}, 0), 'cancelled');
  assert.equal(
    life.blockReason({...fine, isLeaseFresh: false}, 0),
    'lease-lapsed',
  );
});

type Move = 'wait' | 'grant' | 'dispatch' | 'refuted';

test.test('in any order of steps unrefuted dispatches stay at one', () => {
  const moves = fc.array(
    fc.constantFrom<Move>('wait', 'grant', 'dispatch', 'refuted'),
    {maxLength: 40},
  );
  const property = fc.property(moves, steps => {
    let life = lives.Lifecycle.received;
    let unrefuted = 0;
    for (const step of steps) {
      try {
        life = life[step]();
      } catch {
        continue;
      }
      if (step === 'dispatch') unrefuted++;
      if (step === 'refuted') unrefuted--;
      assert.ok(unrefuted <= 1);
      assert.equal(life.verdict === 'not-run', unrefuted === 0);
    }
  });
  fc.assert(property, {seed: SEED});
});
