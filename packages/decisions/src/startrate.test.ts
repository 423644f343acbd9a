import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as startrates from './startrate.js';

const SEED = 20261204;

/** The limits and pauses between attempts of a random history. */
const history = fc.record({
  limitPerS: fc.double({min: 0, max: 100, noNaN: true}),
  pausesMs: fc.array(fc.integer({min: 0, max: 400}), {maxLength: 400}),
});

test.test('in any span the starts stay within the rate', () => {
  const property = fc.property(history, ({limitPerS, pausesMs}) => {
    let rate = startrates.StartRate.of(limitPerS, 0);
    let nowMs = 0;
    const startsMs: number[] = [];
    for (const pauseMs of pausesMs) {
      nowMs += pauseMs;
      if (!rate.allows(nowMs)) continue;
      rate = rate.start(nowMs);
      startsMs.push(nowMs);
    }
    startsMs.forEach((fromMs, i) => {
      startsMs.slice(i).forEach((toMs, count) => {
        const perMs = Math.max(limitPerS, 0.2) / 1000;
        const most = 1 + (toMs - fromMs + 100) * perMs;
        assert.ok(count + 1 <= most + 1e-6, `${count + 1} of ${most}`);
      });
    });
  });
  fc.assert(property, {seed: SEED, numRuns: 300});
});

test.test('the first start is allowed after one interval', () => {
  const rate = startrates.StartRate.of(4, 1000);
  assert.ok(!rate.allows(1249));
  assert.ok(rate.allows(1250));
});

test.test('the wait for the next start follows the limit', () => {
  const rate = startrates.StartRate.of(1, 0).withLimit(4, 500);
  assert.ok(!rate.allows(624));
  assert.ok(rate.allows(625));
  const lower = startrates.StartRate.of(4, 0).withLimit(1, 0);
  assert.ok(!lower.allows(999));
});

test.test('a start that was not used is given back', () => {
  const rate = startrates.StartRate.of(1, 0).start(1000);
  assert.ok(!rate.allows(1500));
  assert.ok(rate.withdraw().allows(1500));
});

test.test('starts beyond the rate delay later ones for a bounded time', () => {
  let rate = startrates.StartRate.of(1, 0);
  for (let i = 0; i < 50; i++) rate = rate.start(1000);
  assert.ok(rate.allows(5000));
});

// Guards against a server that gets nothing for half an hour, as its limit fell while starts beyond the one before were paid back (RECOVER).
test.test('a lower limit delays the next start for a bounded time', () => {
  let rate = startrates.StartRate.of(100, 0);
  for (let i = 0; i < 600; i++) rate = rate.start(1000);
  for (const limitPerS of [0, 0.2, 1, 10]) {
    const lower = rate.withLimit(limitPerS, 1000);
    assert.ok(lower.nextMs <= 6000, `${limitPerS}/s: ${lower.nextMs}`);
    assert.ok(lower.nextMs >= 5000, `${limitPerS}/s: ${lower.nextMs}`);
  }
});
