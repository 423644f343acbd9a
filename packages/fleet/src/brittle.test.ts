// Brittle backend servers under load, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as loadmodels from './loadmodel.js';

const SEEDS = [1, 2, 3];
const SERVERS = 4;
const SLOTS = 6;
/** The rule of a period: two failures and one for each ten servers. */
const MAX_FAILURES = 2 + SERVERS / 10;
const BRITTLE_FROM_MS = 2000;
/** The load as a part of what servers can do. */
const LOAD = 1.075;
/** A fleet in which news reach hosts by way of others. */
const LARGE = {hosts: 12, servers: 8, maxRejections: 1, workMs: 200};

/** How a scene differs from three hosts, four servers that are full, and short requests. */
interface Scene extends Partial<
  Omit<loadmodels.LoadModelOptions, 'stateOf' | 'requestsPerS'>
> {
  /** The rejections a second that a server survives. */
  readonly maxRejections?: number;
  readonly isStated?: boolean;
  /** When no request may wait any more; as soon as servers are brittle by default. */
  readonly strictFromMs?: number;
  readonly foreignAt?: (nowMs: number) => number;
  /** The slots that servers have; those of the list by default. */
  readonly realSlots?: number;
}

/** Runs a model whose servers are full, and brittle from a time on. */
async function withModel(
  scene: Scene,
  check: (model: loadmodels.LoadModel) => Promise<void>,
): Promise<void> {
  const {timers} = test.mock;
  timers.enable({apis: ['setInterval']});
  const {maxRejections = 3, isStated = true, foreignAt = () => 0} = scene;
  const {strictFromMs = BRITTLE_FROM_MS} = scene;
  const {servers = SERVERS, slots = SLOTS, workMs = 60} = scene;
  const options = {
    ...{seed: 1, hosts: 3, ...scene, servers, slots, workMs},
    requestsPerS: (LOAD * servers * slots * 1000) / workMs,
    stateOf: (_: number, nowMs: number) => {
      const isBrittle = nowMs >= BRITTLE_FROM_MS && isStated;
      return {
        ...{slowdown: 1, foreign: foreignAt(nowMs), slots: scene.realSlots},
        brittle: isBrittle ? maxRejections : undefined,
        maxWaiting: nowMs >= strictFromMs ? 0 : 20,
      };
    },
  };
  const model = new loadmodels.LoadModel(options, timers);
  try {
    await check(model);
  } finally {
    model.stop();
    timers.reset();
  }
}

/** Plays a scene with some seeds and checks that servers fail no more often than the rule allows, and that requests are served. */
async function checkFailures(
  scene: Scene,
  script: (model: loadmodels.LoadModel) => Promise<void>,
): Promise<void> {
  const {servers = SERVERS} = scene;
  for (const seed of SEEDS) {
    await withModel({...scene, seed}, async model => {
      await script(model);
      const failures = sum(model, 'failures');
      const text = `seed ${seed}: ${failures}, ${sum(model, 'rejected')} rejected`;
      assert.ok(failures <= 2 + servers / 10, text);
      assert.ok(model.tookMs.length * 4 > model.requests, text);
    });
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
      await withModel({seed}, async model => {
        await model.run(4000);
        model.kill(model.keeper, 1500);
        const before = model.tookMs.length;
        await model.run(5000);
        const failures = sum(model, 'failures');
        assert.ok(failures <= MAX_FAILURES, `seed ${seed}: ${failures}`);
        assert.ok(model.tookMs.length - before > 500);
      });
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
      await withModel({seed: 5, foreignAt, isStated}, async model => {
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

// Guards against queues at servers that are still full when brittleness begins.
test.test('servers that become brittle with full queues', () =>
  checkFailures(
    {
      ...{maxRejections: 1, workMs: 120},
      strictFromMs: BRITTLE_FROM_MS + 3000,
      foreignAt: nowMs => (nowMs >= 1000 && nowMs < 3000 ? 4 : 0),
    },
    model => model.run(9000),
  ),
);

// Guards against statements that reach the keeper late in a fleet where news pass through other hosts.
test.test('brittle servers of many hosts, the keeper killed', () =>
  checkFailures(LARGE, async model => {
    await model.run(4000);
    model.kill(model.keeper, 1500);
    await model.run(4000);
  }),
);

// Guards against servers that get all their slots filled at once when they are back.
test.test('servers that restart and are brittle at once', () =>
  checkFailures({maxRejections: 1, servers: 6, workMs: 200}, async model => {
    await model.run(4000);
    for (const server of model.servers) {
      model.restart(server);
      await model.run(700);
    }
    await model.run(5000);
  }),
);

// Guards against slots of requests that hang on cut links, given to others while the servers still work on these.
test.test('brittle servers while half of the hosts are cut', () =>
  checkFailures(
    {hosts: 12, servers: 8, slots: 8, workMs: 2000, deadlineMs: 6000},
    async model => {
      await model.run(12_000);
      for (const {name} of model.hosts.slice(6)) model.cut(name, 4000);
      await model.run(8000);
    },
  ),
);

// Guards against the same where the keeper is one of the hosts, and the servers survive fewer rejections.
test.test('brittle servers while the keeper is cut', () =>
  checkFailures(
    {hosts: 4, maxRejections: 1, workMs: 2000, deadlineMs: 6000},
    async model => {
      await model.run(14_000);
      const cut = new Set([model.keeper, 'h0', 'h1']);
      for (const name of cut) model.cut(name, 4000);
      await model.run(8000);
    },
  ),
);

// Guards against two keepers that each fill a brittle server.
test.test('brittle servers of many hosts, the keeper frozen', () =>
  checkFailures(LARGE, async model => {
    await model.run(4000);
    model.freeze(model.keeper, 3000, 1500);
    await model.run(6000);
  }),
);

// Guards against a list that says more slots than servers have: each request too many is rejected, again and again.
test.test('brittle servers with fewer slots than the list says', () =>
  checkFailures({realSlots: 4}, model => model.run(8000)),
);

// Guards against the same where several requests too many are sent at once.
test.test('brittle servers with half of the slots of the list', () =>
  checkFailures({slots: 8, realSlots: 4, workMs: 300}, model =>
    model.run(12_000),
  ),
);
