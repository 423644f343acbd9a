import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as callerbounds from './callerbounds.js';

const BYTES_PER_MB = 1_048_576;

// Guards against bounds that honest callers of the smallest machine in use reach.
test.test(
  'the smallest machine takes 1,000 connections with full heads',
  () => {
    const {connections, headBytes, sumBytes} = callerbounds.callerBounds(
      ...([250 * BYTES_PER_MB, 4100] as const),
    );
    assert.ok(connections >= 1000);
    // Heads of 16 KB in 40 lines, and what a request costs besides.
    assert.ok(headBytes >= 1000 * (16_384 + 40 * 128 + 4096));
    assert.ok(sumBytes < (250 - 70) * BYTES_PER_MB);
  },
);

// Guards against listeners that together leave no descriptors for hosts, backend servers and the store.
test.test('all listeners together leave descriptors', () => {
  for (const descriptors of [512, 4100, 65_536]) {
    const bounds = callerbounds.callerBounds(8000 * BYTES_PER_MB, descriptors);
    const {connections, lookupConnections, checkConnections} = bounds;
    const taken =
      connections +
      lookupConnections +
      2 * checkConnections +
      bounds.unknownPeers;
    assert.ok(descriptors - 200 - taken >= 50, `${descriptors}`);
    if (descriptors >= 4100) assert.ok(taken < descriptors * 0.75);
  }
});
