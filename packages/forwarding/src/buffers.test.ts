import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as buffers from './buffers.js';

const LIMIT_BYTES = 100_000;

function openWith(account: buffers.BufferAccount, bytes: number) {
  const holding = account.open();
  holding.setPart('body', bytes);
  return holding;
}

test.test('at the limit the largest request is ended', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  const small = openWith(account, 10_000);
  const large = openWith(account, 50_000);
  const growing = openWith(account, 20_000);
  growing.addChunk(25_000);
  assert.deepEqual(
    [small, large, growing].map(({signal}) => signal.aborted),
    [false, true, false],
  );
  assert.equal(large.signal.reason, buffers.NO_ROOM_REASON);
  assert.ok(account.heldBytes <= LIMIT_BYTES);
  assert.equal(account.ended, 1);
});

test.test('the latest of equal requests is ended', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  const first = openWith(account, 40_000);
  const second = openWith(account, 40_000);
  openWith(account, 30_000);
  assert.ok(!first.signal.aborted);
  assert.ok(second.signal.aborted);
});

test.test('a complete answer is spared while others can be ended', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  const ready = openWith(account, 60_000);
  ready.markReady();
  const other = openWith(account, 30_000);
  openWith(account, 20_000);
  assert.ok(!ready.signal.aborted);
  assert.ok(other.signal.aborted);
});

test.test('a request that alone exceeds the limit is ended', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  const holding = account.open();
  for (let i = 0; i < 200; i++) holding.addChunk(1000);
  assert.ok(holding.signal.aborted);
  assert.equal(account.heldBytes, 0);
});

test.test('tiny chunks count with the buffers that hold them', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  const holding = account.open();
  for (let i = 0; i < 1000; i++) holding.addChunk(1);
  assert.ok(holding.signal.aborted);
});

test.test('what is released makes room', () => {
  const account = new buffers.BufferAccount(LIMIT_BYTES);
  for (let i = 0; i < 10; i++) {
    const holding = openWith(account, 90_000);
    holding.setPart('body', 60_000);
    assert.equal(account.heldBytes, 60_000);
    holding.release();
    holding.release();
    assert.equal(account.heldBytes, 0);
    assert.ok(!holding.signal.aborted);
  }
});

// Guards against heads or a sum of classes that have no bound of their own.
test.test('heads and the sum have bounds of their own', () => {
  const limits = {headBytes: 20_000, sumBytes: 110_000};
  const account = new buffers.BufferAccount(LIMIT_BYTES, limits);
  const heads = [15_000, 4000, 3000].map(bytes => {
    const holding = account.open({stage: 'reading'});
    holding.setPart('head', bytes, 'heads');
    return holding;
  });
  const body = openWith(account, 99_000);
  body.setPart('own', 16_000, 'connections');
  assert.deepEqual(
    [...heads, body].map(({signal}) => signal.aborted),
    [true, false, false, true],
  );
});

// Guards against refused requests whose memory is no longer counted although their callers go on sending.
test.test(
  'an ended request counts until it is released, and is closed for room',
  () => {
    const limits = {headBytes: 20_000, sumBytes: 30_000};
    const account = new buffers.BufferAccount(LIMIT_BYTES, limits);
    const closed: number[] = [];
    const holdings = Array.from({length: 6}, (_, i) => {
      const close = () => {
        closed.push(i);
        holdings[i].release();
      };
      return account.open({stage: 'reading', close});
    });
    for (const holding of holdings) holding.setPart('head', 9000, 'heads');
    assert.deepEqual(closed, [2, 3, 4, 5]);
    assert.equal(account.endingBytes + account.heldByClass.heads, 18_000);
    for (const holding of holdings) holding.release();
    assert.equal(account.endingBytes, 0);
  },
);
