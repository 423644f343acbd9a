// Backend servers that are slowed by turns, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as loadmodels from './loadmodel.js';

const SEEDS = [1, 2, 3];
const PLAY_MS = 15_000;
const SERVERS = 4;
const TURN_MS = 600;
const SLOWDOWN = 4;

interface Result {
  /** The share of requests that reached a server while it was slowed. */
  readonly slowShare: number;
  readonly p95Ms: number;
  /** The share of requests that were served by the end. */
  readonly servedShare: number;
}

/** Plays with one server at a time slowed; `stated` is the figure that it reports, if any. */
async function play(
  requestsPerS: number,
  stated: number | undefined,
): Promise<Result> {
  const {timers} = test.mock;
  const tookMs: number[] = [];
  let requests = 0;
  let received = 0;
  let slow = 0;
  for (const seed of SEEDS) {
    timers.enable({apis: ['setInterval']});
    const options = {
      ...{seed, hosts: 3, servers: SERVERS, slots: 6, workMs: 60, requestsPerS},
      stateOf: (server: number, nowMs: number) => {
        const isSlow = Math.floor(nowMs / TURN_MS) % SERVERS === server;
        const percent = isSlow ? stated : 100;
        return {
          ...{slowdown: isSlow ? SLOWDOWN : 1, foreign: 0, maxWaiting: 20},
          slowdownPercent: stated === undefined ? undefined : percent,
        };
      },
    };
    const model = new loadmodels.LoadModel(options, timers);
    try {
      await model.run(PLAY_MS);
    } finally {
      model.stop();
      timers.reset();
    }
    tookMs.push(...model.tookMs);
    requests += model.requests;
    for (const server of model.servers) {
      received += server.received;
      slow += server.receivedWhileSlow;
    }
  }
  const sorted = tookMs.sort((a, b) => a - b);
  const p95Ms = sorted[Math.floor(sorted.length * 0.95)];
  const servedShare = sorted.length / requests;
  return {slowShare: slow / received, p95Ms, servedShare};
}

// Guards against work for a server that says it is slow while others have room.
test.test('a slowed server that says so gets at most half', async () => {
  const three = await play(180, undefined);
  for (const stated of [200, 400]) {
    const four = await play(180, stated);
    const detail = JSON.stringify({stated, three, four});
    assert.ok(four.slowShare <= three.slowShare / 2, detail);
    assert.ok(four.p95Ms <= three.p95Ms, detail);
    assert.ok(four.servedShare >= three.servedShare * 0.99, detail);
  }
});

// Guards against slots of slowed servers that stay empty while requests wait and others are full.
test.test('slowed servers are used when others have no room', async () => {
  const three = await play(300, undefined);
  const four = await play(300, 400);
  const detail = JSON.stringify({three, four});
  assert.ok(four.slowShare >= three.slowShare / 3, detail);
  assert.ok(four.servedShare >= three.servedShare * 0.98, detail);
});
