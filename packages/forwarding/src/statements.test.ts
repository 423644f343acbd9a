import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as statements from './statements.js';

const NAMES = {
  ...{limit: 'x-limit', leaving: 'x-leaving'},
  ...{brittle: 'x-brittle', retryAfter: 'retry-after'},
};

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

/** Reads for how long the backend server of a response accepts nothing. */
function retryAfterIn(text: string, status = 503) {
  const headers = {'retry-after': text};
  const read = statements.read(headers, NAMES, {}, status);
  return {ms: read.retryAfter, isReadable: read.unreadable.length === 0};
}

// Guards against requests to a server that has asked for a time without any.
test.test('the times that a 503 response asks for', () => {
  const ms = (text: string) => retryAfterIn(text).ms;
  assert.deepEqual([ms('2'), ms('0.25'), ms('0')], [2000, 250, 0]);
  const date = new Date(Date.now() + 3000).toUTCString();
  const untilMs = ms(date) ?? 0;
  assert.ok(untilMs > 1500 && untilMs <= 3000, `${untilMs}`);
  assert.equal(ms(new Date(Date.now() - 60_000).toUTCString()), 0);
  assert.equal(ms('99999999'), statements.MAX_RETRY_AFTER_MS);
});

// Guards against a server that is left unused for a value that says nothing.
test.test('times that cannot be read are ignored', () => {
  for (const text of ['', '-1', 'soon', '1e3', '2, 3', 'NaN', '9'.repeat(99)]) {
    assert.deepEqual(retryAfterIn(text), {ms: undefined, isReadable: false});
  }
  const other = {ms: undefined, isReadable: true};
  for (const status of [200, 429, 500]) {
    assert.deepEqual(retryAfterIn('x', status), other, String(status));
  }
});

// Guards against a brittle server that is taken for a sound one for a bad value.
test.test('values that state that a server is brittle', () => {
  const read = (text: string, known?: number) =>
    statements.read({'x-brittle': text}, NAMES, {brittle: known}).brittle;
  assert.deepEqual([read('5'), read('0'), read('7, 3')], [5, 0, 3]);
  assert.deepEqual([read('x'), read('-1'), read('x', 4)], [0, 0, 4]);
  assert.equal(statements.read({}, NAMES, {brittle: 4}).brittle, undefined);
});
