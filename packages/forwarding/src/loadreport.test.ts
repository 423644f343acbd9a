import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as loadreports from './loadreport.js';

/** Returns the four figures as they are read, and whether all could be read. */
function figures(text: string | undefined) {
  const {load, isReadable} = loadreports.read(text);
  const {running, waiting, slots, slowdownPercent} = load ?? {};
  return load
    ? [running, waiting, slots, slowdownPercent, isReadable]
    : isReadable;
}

// Guards against reports with more than three figures that are lost as a whole.
test.test('the figures beyond the third do not hide the first three', () => {
  assert.deepEqual(figures('5,2,6'), [5, 2, 6, undefined, true]);
  assert.deepEqual(figures('5, 2, 6, 400'), [5, 2, 6, 400, true]);
  assert.deepEqual(figures('5,2,6,400,7,x'), [5, 2, 6, 400, true]);
  assert.deepEqual(figures('5,2,6,150.5'), [5, 2, 6, 150.5, true]);
});

// Guards against a fourth figure that can't be read and takes the others with it.
test.test('a fourth figure that is no positive number is ignored', () => {
  for (const text of ['', '0', '0.0', '-100', 'slow', 'NaN', '1e3', '0x64']) {
    const expected = [5, 2, 6, undefined, false];
    assert.deepEqual(figures(`5,2,6,${text}`), expected, text);
  }
});

// Guards against a wrong figure that draws all work to a server, or keeps all away.
test.test('the fourth figure is bounded', () => {
  const {MAX_SLOWDOWN_PERCENT} = loadreports;
  assert.deepEqual(figures('1,0,6,1'), [1, 0, 6, 100, true]);
  const huge = '9'.repeat(400);
  const expected = [1, 0, 6, MAX_SLOWDOWN_PERCENT, true];
  assert.deepEqual(figures(`1,0,6,${huge}`), expected);
});

// Guards against content that is read as figures, such as an empty one as zero.
test.test('anything else is no report', () => {
  assert.equal(figures(undefined), true);
  const texts = ['', ',', '1', '1,2', '1,,3', '1,2,', '1,2,x', '-1,2,3', 'x'];
  for (const text of [
    ...texts,
    '1;2;3',
    'Infinity,0,6',
    `${'9'.repeat(30)},0,6`,
  ]) {
    assert.equal(figures(text), false, text);
  }
});
