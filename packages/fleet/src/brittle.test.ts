// Brittle backend servers under load, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as loadmodels from './loadmodel.js';

const SEEDS = [1, 2];
const SERVERS = 4;
const SLOTS = 6;
/** The rule of a period: two failures and one for each ten servers. */
const MAX_FAILURES = 2 + SERVERS / 10;
const BRITTLE_FROM_MS = 2000;

/** Runs a model whose servers are full, and brittle from a time on. */
async function withModel(
  seed: number,
  foreignAt: (nowMs: number) => number,
  isStated: boolean,
  check: (model: loadmodels.LoadModel) => Promise<void>,
): Promise<void> {
  const {timers} = test.mock;
  timers.enable({apis: ['setInterval']});
  const options = {
    ...{seed, hosts: 3, servers: SERVERS, slots: SLOTS, workMs: 60},
    requestsPerS: 430,
    stateOf: (_: number, nowMs: number) => ({
      ...{slowdown: 1, foreign: foreignAt(nowMs)},
      brittle: nowMs >= BRITTLE_FROM_MS && isStated ? 3 : undefined,
      maxWaiting: nowMs >= BRITTLE_FROM_MS ? 0 : 20,
    }),
  };
  const model = new loadmodels.LoadModel(options, timers);
  try {
    await check(model);
  } finally {
    model.stop();
    timers.reset();
  }
}

function sum(model: loadmodels.LoadModel, key: 'failures' | 'rejected') {
  return model.servers.reduce((total, server) => total + server[key], 0);
}

// Guards against a brittle server that fails since a new keeper, or hosts without one, give it more than it has slots for.
test.test(
  'brittle servers keep running when their keeper is killed',
  async () => {
    for (const seed of SEEDS) {
      await withModel(
        seed,
        () => 0,
        true,
        async model => {
          await model.run(4000);
          model.kill(model.keeper, 1500);
          const before = model.tookMs.length;
          await model.run(5000);
          const failures = sum(model, 'failures');
          assert.ok(failures <= MAX_FAILURES, `seed ${seed}: ${failures}`);
          assert.ok(model.tookMs.length - before > 500);
        },
      );
    }
  },
);

// Guards against requests of others that are forgotten while they run, so that a brittle server has to reject.
test.test(
  'requests of others leave less room at a brittle server',
  async () => {
    const foreignAt = (nowMs: number) => (nowMs >= 3000 ? 3 : 0);
    const rejected: number[] = [];
    for (const isStated of [false, true]) {
      await withModel(5, foreignAt, isStated, async model => {
        await model.run(5000);
        const before = sum(model, 'rejected');
        await model.run(4000);
        rejected.push(sum(model, 'rejected') - before);
      });
    }
    const [unstated, stated] = rejected;
    assert.ok(stated * 4 <= unstated, `${stated} against ${unstated}`);
  },
);
