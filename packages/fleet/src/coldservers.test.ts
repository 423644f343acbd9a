// Backend servers that are cold after a start, among hosts that are killed, frozen and added, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

import * as limitsplay from './limitsplay.js';

const SEEDS = Number(process.env.COLD_SEEDS ?? 12);
const FIRST_SEED = Number(process.env.COLD_SEED ?? 1);

const restart = (fromMs: number) => ({fromMs, forMs: 3000, downMs: 1000});

/** Requests sent to a server between two times. */
function sentTo(
  {servers}: limitsplay.Play,
  server: number,
  fromMs: number,
  toMs: number,
): number {
  return servers[server].allArrivalsMs.filter(
    atMs => atMs >= fromMs && atMs < toMs,
  ).length;
}

// Guards against a restarted server that crashes under the load of a warm one, and one that stays limited once it is warm.
test.test('a server that restarts is paced until it is warm', async () => {
  const options = {
    ...{seed: 1, hosts: 6, servers: 4, requestsPerS: 160},
    phasesOf: () => [],
    coldPhasesOf: (i: number) => (i === 0 ? [restart(4000)] : []),
  };
  await limitsplay.play(options, async sim => {
    await sim.run(12_000);
    assert.ok(sim.worstColdExcess(0) <= 0, String(sim.worstColdExcess(0)));
    const cold = sentTo(sim, 0, 5000, 7000) / 2;
    assert.ok(cold >= 4, `${cold} requests/s while cold`);
    const before = sentTo(sim, 0, 1000, 3000) / 2;
    const after = sentTo(sim, 0, 9000, 12_000) / 3;
    assert.ok(after > 0.8 * before, `${after} of ${before} requests/s`);
  });
});

// Guards against queued requests that all go to a cold server when it is listed.
test.test('all servers of a service restart at once', async () => {
  const options = {
    ...{seed: 2, hosts: 5, servers: 3, requestsPerS: 100},
    phasesOf: () => [],
    coldPhasesOf: () => [restart(4000), restart(10_000)],
  };
  await limitsplay.play(options, async sim => {
    await sim.run(16_000);
    assert.ok(sim.worstColdExcess(0) <= 0, String(sim.worstColdExcess(0)));
  });
});

// Guards against slots granted before a server became cold again, and keepers that learn of it late.
test.test('a warm server becomes cold again', async () => {
  const options = {
    ...{seed: 3, hosts: 5, servers: 3, requestsPerS: 120},
    phasesOf: () => [],
    coldPhasesOf: () => [{fromMs: 4000, forMs: 4000}],
  };
  await limitsplay.play(options, async sim => {
    await sim.run(12_000);
    assert.ok(sim.worstColdExcess(800) <= 0, String(sim.worstColdExcess(800)));
  });
});

// Guards against two keepers, late entries and hosts that wake with old grants, which together exceed what a cold server takes.
test.test(
  'cold servers are not overrun while hosts are killed, frozen and added',
  async () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      const draw = decisions.random.seeded(seed * 6151);
      const isLarge = draw() < 0.3;
      const options = {
        ...{seed, hosts: 3 + Math.floor(draw() * 7), phasesOf: () => []},
        servers: isLarge ? 18 : 2 + Math.floor(draw() * 5),
        requestsPerS: 60 + draw() * 140,
        maxEntryDelayMs: draw() < 0.3 ? 1500 : 700,
        coldPhasesOf: (i: number) => [
          restart(3000 + 150 * (i % 5)),
          ...(i % 2 === 0
            ? [{fromMs: 9000, forMs: 3500}]
            : [restart(10_000 + 900 * i)]),
        ],
      };
      await limitsplay.play(options, async sim => {
        await sim.run(15_000, sim.faults(draw));
        const excess = sim.worstColdExcess(options.maxEntryDelayMs + 100);
        const detail = `seed ${seed}, excess ${excess}: ${sim.log.join('; ')}`;
        assert.ok(excess <= 0, detail);
      });
    }
  },
);
