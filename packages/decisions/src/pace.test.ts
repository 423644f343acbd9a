import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as paces from './pace.js';

const START: paces.Pace = {
  ...{prefillTokensPerS: 20_000, decodeTokensPerS: 150, firstTokenBaseMs: 20},
};

/** Returns a measurement on a backend server that takes 25 ms per prompt and 1 ms per 50 prompt tokens, after a wait of `waitMs`. */
function measure(prefillTokens: number, waitMs = 0): paces.Measurement {
  const firstTokenMs = 25 + prefillTokens / 50 + waitMs;
  return {
    ...{prefillTokens, outputTokens: 100, firstTokenMs},
    durationMs: firstTokenMs + 500,
  };
}

test.test(
  'the expected first-token time converges for all prompt sizes',
  () => {
    let pace = START;
    for (let i = 0; i < 200; i++) {
      // Every third prompt queues behind another one.
      const waitMs = i % 3 === 0 ? 150 : 0;
      pace = paces.updatePace(
        pace,
        measure([60, 500, 4000, 20_000][i % 4], waitMs),
      );
    }
    for (const tokens of [60, 4000, 20_000]) {
      const expectedMs = paces.expectedMs(pace, tokens, 0);
      const trueMs = measure(tokens).firstTokenMs;
      assert.ok(Math.abs(expectedMs - trueMs) <= 0.25 * trueMs + 10);
    }
  },
);

test.test('one first token after 1 ms does not make the pace infinite', () => {
  const tooFast = {...measure(4000), firstTokenMs: 1};
  const pace = paces.updatePace(START, tooFast);
  assert.ok(paces.expectedMs(pace, 4000, 0) >= 100);
});
