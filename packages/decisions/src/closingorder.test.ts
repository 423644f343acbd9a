import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as closingorder from './closingorder.js';

const NOW_MS = 100_000;

function candidate(
  name: string,
  stage: closingorder.Stage,
  quietMs: number,
  bytes: number,
) {
  return {name, stage, progressMs: NOW_MS - quietMs, bytes};
}

/** The names in the order in which they are ended. */
function orderOf(candidates: readonly ReturnType<typeof candidate>[]) {
  const rest = [...candidates];
  const names: string[] = [];
  while (rest.length > 0) {
    const first = closingorder.firstToEnd(rest, NOW_MS);
    if (!first) break;
    names.push(first.name);
    rest.splice(rest.indexOf(first), 1);
  }
  return names;
}

// Guards against callers within the limits, or complete responses, that are ended before those that hold memory without progress.
test.test(
  'refused, stalled, large and ready ones are ended in this order',
  () => {
    const order = orderOf([
      candidate('ready', 'ready', 9000, 900),
      candidate('running', 'running', 9000, 50),
      candidate('large', 'reading', 10, 100),
      candidate('stalled', 'reading', 1500, 1),
      candidate('longer', 'reading', 3000, 1),
      candidate('refused', 'refused', 0, 1),
    ]);
    const expected = [
      'refused',
      'longer',
      'stalled',
      'large',
      'running',
      'ready',
    ];
    assert.deepEqual(order, expected);
  },
);

// Guards against a bound that takes from the earlier of equal requests, so that none gets through.
test.test('the latest of equals is ended first', () => {
  const order = orderOf([
    candidate('a', 'running', 0, 10),
    candidate('b', 'running', 0, 10),
  ]);
  assert.deepEqual(order, ['b', 'a']);
});

// Guards against new connections that are closed for those that send a byte now and then, and against closing idle or running ones.
test.test('the slowest connection is closed for a new one', () => {
  const connection = (
    name: string,
    stage: closingorder.Stage,
    quietMs: number,
    readBytes: number,
  ) => ({
    ...{name, stage, readBytes},
    progressMs: NOW_MS - quietMs,
    startMs: NOW_MS - 2000,
  });
  const order = closingorder.connectionsToClose(
    [
      connection('fast', 'reading', 10, 1_000_000),
      connection('slow', 'reading', 10, 40),
      connection('running', 'running', 9000, 0),
      connection('stalled', 'reading', 2000, 1_000_000),
      connection('refused', 'refused', 0, 0),
    ],
    NOW_MS,
  );
  const names = order.map(({name}) => name);
  assert.deepEqual(names, ['refused', 'stalled', 'slow', 'fast']);
});
