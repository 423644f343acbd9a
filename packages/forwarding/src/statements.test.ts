import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as statements from './statements.js';

const NAMES = {limit: 'x-limit', leaving: 'x-leaving'};

/** Reads a limit; `known` is the one stated before. */
function limitIn(text: string | undefined, known?: number) {
  const headers = text === undefined ? {} : {'x-limit': text};
  const {limit, unreadable} = statements.read(headers, NAMES, {limit: known});
  return {limit, isReadable: unreadable.length === 0};
}

test.test('a decimal number is a limit, zero included', () => {
  assert.deepEqual(limitIn('3.5'), {limit: 3.5, isReadable: true});
  assert.deepEqual(limitIn(' 12 '), {limit: 12, isReadable: true});
  assert.deepEqual(limitIn('0'), {limit: 0, isReadable: true});
});

test.test('an answer without the header states nothing', () => {
  assert.deepEqual(limitIn(undefined, 4), {limit: undefined, isReadable: true});
});

// Guards against bad values that crash a host or lift the limit by accident.
test.test('a value that cannot be read never lifts a limit', () => {
  for (const text of ['', '-1', 'NaN', 'many', '1e3', '0x10', '3;q=1', '١']) {
    assert.deepEqual(limitIn(text, 4), {limit: 4, isReadable: false}, text);
    assert.deepEqual(limitIn(text), {limit: 1, isReadable: false}, text);
  }
});

test.test('of several values the lowest that can be read holds', () => {
  assert.deepEqual(limitIn('7, 3'), {limit: 3, isReadable: false});
  assert.deepEqual(limitIn('x, 7'), {limit: 7, isReadable: false});
});

test.test('a huge value is a limit that does not bind', () => {
  const {limit = 0} = limitIn('9'.repeat(20));
  assert.ok(limit >= 1e6 && Number.isFinite(limit));
  assert.deepEqual(limitIn('9'.repeat(400)), {limit: 1, isReadable: false});
});

// Guards against a statement of leaving that is missed, or read into a value that says otherwise (DRAIN).
test.test('values that state that a server leaves', () => {
  const read = (text: string) => {
    const {leaving, unreadable} = statements.read({'x-leaving': text}, NAMES);
    return {leaving, isReadable: unreadable.length === 0};
  };
  for (const text of ['1', 'true', 'TRUE', ' 1 ', '1, 1', '0, 1']) {
    assert.deepEqual(read(text), {leaving: 1, isReadable: true}, text);
  }
  for (const text of ['0', 'false', '', '0, 0']) {
    assert.deepEqual(read(text), {leaving: undefined, isReadable: true}, text);
  }
  for (const text of ['soon', '-1', '2', 'constructor', '0, x']) {
    assert.deepEqual(read(text), {leaving: undefined, isReadable: false}, text);
  }
  assert.deepEqual(read('x, 1'), {leaving: 1, isReadable: false});
});
