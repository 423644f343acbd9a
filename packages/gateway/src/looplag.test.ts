import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as looplag from './looplag.js';

test.test(
  'a loop that falls behind shows before its timer runs, and recovers',
  () => {
    let nowMs = 0;
    const lag = new looplag.EventLoopLag(() => nowMs);
    lag.start();
    lag.stop();
    nowMs = 100;
    assert.equal(lag.lagMs, 0);
    nowMs = 600;
    assert.equal(lag.lagMs, 500);
    lag.sample();
    nowMs = 600;
    assert.equal(lag.lagMs, 500);
    for (let i = 0; i < 12; i++) {
      lag.sample();
      nowMs += 100;
    }
    assert.ok(lag.lagMs < 20);
  },
);
