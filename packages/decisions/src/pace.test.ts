import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as paces from './pace.js';

const START: paces.Pace = {
  ...{prefillTokensPerS: 20_000, decodeTokensPerS: 150, firstTokenBaseMs: 20},
};

/** What an engine with 25 ms a prompt and 50 tokens a millisecond shows, after it was busy for `waitMs`. */
function seen(prefillTokens: number, waitMs = 0): paces.Measurement {
  const firstTokenMs = 25 + prefillTokens / 50 + waitMs;
  return {
    ...{prefillTokens, outputTokens: 100, firstTokenMs},
    durationMs: firstTokenMs + 500,
  };
}

test.test('prompts of all sizes tell the time to the first token', () => {
  let pace = START;
  for (let i = 0; i < 200; i++) {
    // Each third prompt waits behind another one.
    const waitMs = i % 3 === 0 ? 150 : 0;
    pace = paces.updatePace(pace, seen([60, 500, 4000, 20_000][i % 4], waitMs));
  }
  for (const tokens of [60, 4000, 20_000]) {
    const expectedMs = paces.expectedMs(pace, tokens, 0);
    const trueMs = seen(tokens).firstTokenMs;
    assert.ok(Math.abs(expectedMs - trueMs) <= 0.25 * trueMs + 10);
  }
});

test.test(
  'one answer that comes at once does not make an engine infinitely fast',
  () => {
    const odd = {...seen(4000), firstTokenMs: 1};
    const pace = paces.updatePace(START, odd);
    assert.ok(paces.expectedMs(pace, 4000, 0) >= 100);
  },
);
