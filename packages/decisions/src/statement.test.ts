import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as statements from './statement.js';

const SEED = 20261204;

const {NO_STATEMENT, afterAnswer, merge} = statements;

/** Returns the statement after an answer to a request that was sent when `known` was known. */
function next(known: statements.Statement, value: statements.StatedValue) {
  return afterAnswer('limit', known, value, known.revision);
}

test.test('an answer sets, changes and lifts a limit', () => {
  const first = next(NO_STATEMENT, 5);
  assert.deepEqual(first, {value: 5, revision: 1});
  assert.deepEqual(next(first, 8), {value: 8, revision: 2});
  assert.deepEqual(next(first, undefined), {value: undefined, revision: 2});
  assert.equal(next(first, 5), first);
  assert.equal(next(NO_STATEMENT, undefined), NO_STATEMENT);
});

// Guards against a limit that an answer lifts which was sent before it.
test.test('an answer that may be older can only restrict further', () => {
  const known = next(NO_STATEMENT, 5);
  const sentRevision = NO_STATEMENT.revision;
  const after = (value: statements.StatedValue) =>
    afterAnswer('limit', known, value, sentRevision);
  assert.equal(after(undefined), known);
  assert.equal(after(8), known);
  assert.deepEqual(after(2), {value: 2, revision: 2});
});

const statement = fc.record({
  value: fc.option(fc.integer({min: 0, max: 5}), {nil: undefined}),
  revision: fc.integer({min: 1, max: 4}),
});

test.test('hosts that exchange statements in any order agree', () => {
  const property = fc.property(
    fc.array(statement, {minLength: 1, maxLength: 6}),
    all => {
      const inOrder = all.reduce((a, b) => merge('limit', a, b), NO_STATEMENT);
      const reversed = [...all]
        .reverse()
        .reduce((a, b) => merge('limit', a, b), NO_STATEMENT);
      assert.deepEqual({...inOrder}, {...reversed});
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 500});
});

// Guards against a server that leaves being used again, since an answer or a host says nothing of it (DRAIN).
test.test('nothing lifts a statement of leaving', () => {
  const leaving = fc.record({
    value: fc.option(fc.constant(1), {nil: undefined}),
    revision: fc.integer({min: 0, max: 4}),
    isAnswer: fc.boolean(),
  });
  const property = fc.property(fc.array(leaving, {maxLength: 8}), all => {
    const apply = (
      known: statements.Statement,
      {value, revision, isAnswer}: (typeof all)[number],
    ) =>
      isAnswer
        ? afterAnswer('leaving', known, value, revision)
        : merge('leaving', known, {value, revision});
    const wasStated = all.some(({value}) => value !== undefined);
    for (const events of [all, [...all].reverse()]) {
      const {value} = events.reduce(apply, NO_STATEMENT);
      assert.equal(value, wasStated ? 1 : undefined);
    }
  });
  fc.assert(property, {seed: SEED, numRuns: 500});
});

// Guards against requests to a server that accepts nothing yet, as the answer to an earlier request says nothing of it.
test.test('the time until which a server accepts nothing only grows', () => {
  const until = (known: statements.Statement, value: statements.StatedValue) =>
    afterAnswer('retryAfter', known, value, known.revision);
  const known = until(NO_STATEMENT, 5000);
  assert.equal(known.value, 5000);
  assert.equal(until(known, undefined), known);
  assert.equal(until(known, 4000), known);
  assert.equal(until(known, 6000).value, 6000);
});
