import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as slowdowns from './slowdown.js';

// Guards against an old figure that keeps work away from a runner, and against one that draws it.
test.test('a figure loses its weight with its age', () => {
  const known = slowdowns.latest(undefined, 400, 1000);
  assert.ok(known);
  const at = (nowMs: number, due = 0) => slowdowns.factorAt(known, due, nowMs);
  assert.equal(at(1000), 4);
  assert.equal(at(1000 + slowdowns.MAX_AGE_MS / 2), 2.5);
  assert.equal(at(1000 + slowdowns.MAX_AGE_MS), 1);
  assert.equal(at(1000 + slowdowns.MAX_AGE_MS, 6), 3);
  assert.equal(slowdowns.factorAt({percent: 20, atMs: 0}, 0, 0), 1);
});

// Guards against a report that overtakes a later one.
test.test('the later report holds', () => {
  const known = slowdowns.latest(undefined, 400, 1000);
  assert.equal(slowdowns.latest(known, 100, 900), known);
  assert.equal(slowdowns.latest(known, undefined, 2000), known);
  assert.equal(slowdowns.latest(known, 100, 1100)?.percent, 100);
});
