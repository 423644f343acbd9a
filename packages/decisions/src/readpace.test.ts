import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as readpace from './readpace.js';

/** Feeds a pace chunks of this size, framing included; returns the largest number of chunks in a slice. */
function mostChunks(
  pace: readpace.ReadPace,
  chunkBytes: number,
  bytes: number,
): number {
  let most = 0;
  for (let at = 0; at < bytes;) {
    const {sliceBytes} = pace;
    const chunks = Math.max(1, Math.floor(sliceBytes / chunkBytes));
    pace.afterSlice(sliceBytes, chunks, 0);
    most = Math.max(most, chunks);
    at += sliceBytes;
  }
  return most;
}

// Guards against one read with thousands of events, which occupies the event loop.
test.test('a slice never holds many small chunks', () => {
  const pace = new readpace.ReadPace();
  assert.ok(mostChunks(pace, 6, 100_000) < 400);
  assert.ok(pace.isMany);
  mostChunks(pace, 65_536, 1_000_000);
  assert.ok(mostChunks(pace, 6, 16_384) < 3000);
  assert.equal(pace.sliceBytes, 2048);
});

// Guards against large chunks that are slowed like small ones.
test.test('large chunks need no turn', () => {
  const pace = new readpace.ReadPace();
  for (let i = 0; i < 100; i++) {
    assert.equal(pace.afterSlice(pace.sliceBytes, 2, 0), false);
  }
  assert.equal(pace.sliceBytes, 16_384);
  assert.ok(!pace.isMany);
});

// Guards against a connection that stays suspicious for a request that has ended.
test.test('small chunks count for their request only', () => {
  const pace = new readpace.ReadPace();
  mostChunks(pace, 6, 100_000);
  pace.afterSlice(500, 1, 1);
  assert.equal(pace.smallChunks, 0);
});

// Guards against small chunks that take more than half of the event loop beside others.
test.test('pauses are in proportion to the work', () => {
  assert.ok(readpace.pauseMs(8, 10) >= 8);
  assert.ok(readpace.pauseMs(8, 1) < 8);
  assert.ok(readpace.pauseMs(0, 1) >= 1);
});

// Guards against closing the few senders of small chunks that a host can serve.
test.test('of too many senders of small chunks the largest is closed', () => {
  const senders = Array.from(
    {length: readpace.MAX_DENSE_CONNECTIONS + 1},
    (_, i) => {
      const pace = new readpace.ReadPace();
      mostChunks(pace, 6, 40_000 + 3000 * i);
      return {pace};
    },
  );
  const some = senders.slice(1);
  assert.equal(readpace.connectionToClose(some), undefined);
  assert.equal(readpace.connectionToClose(senders), senders.at(-1));
});
