// Backend servers that state a limit, among hosts that are killed, frozen and added, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

import * as limitsplay from './limitsplay.js';

const SEEDS = Number(process.env.LIMIT_SEEDS ?? 25);
const FIRST_SEED = Number(process.env.LIMIT_SEED ?? 1);
const PLAY_MS = 16_000;

/** Sent requests to a server between two times. */
function sentTo(
  sim: limitsplay.Play,
  server: number,
  fromMs: number,
  toMs: number,
) {
  const {arrivals} = sim.servers[server];
  return arrivals.filter(({atMs}) => atMs >= fromMs && atMs < toMs).length;
}

test.test(
  'a limited server gets what it states, neither more nor less',
  async () => {
    const limits = [0.5, 2, 5, 10];
    const options = {
      ...{seed: 1, hosts: 6, servers: 6, requestsPerS: 120},
      phasesOf: (i: number) => [{fromMs: 1000, limitPerS: limits[i]}],
    };
    await limitsplay.play(options, async sim => {
      await sim.run(17_000);
      assert.ok(sim.worstExcess() <= 0);
      limits.forEach((limitPerS, i) => {
        const share = sentTo(sim, i, 2000, 17_000) / (15 * limitPerS);
        assert.ok(share > 0.9 && share < 1.1, `${limitPerS}/s: ${share}`);
      });
    });
  },
);

test.test('a changed limit is in force within half a second', async () => {
  const options = {
    ...{seed: 2, hosts: 8, servers: 3, requestsPerS: 80},
    phasesOf: () => [
      {fromMs: 1000, limitPerS: 10},
      {fromMs: 5000, limitPerS: 3},
      {fromMs: 9000, limitPerS: 8},
      {fromMs: 13_000, limitPerS: undefined},
    ],
  };
  await limitsplay.play(options, async sim => {
    await sim.run(16_000);
    assert.ok(sim.worstExcess() <= 0);
    for (const i of [0, 1, 2]) {
      assert.ok(sentTo(sim, i, 5500, 8500) <= 3 * 3 + 2);
      assert.ok(sentTo(sim, i, 10_000, 13_000) >= 0.8 * 3 * 8);
      assert.ok(sentTo(sim, i, 14_000, 16_000) >= 2 * 12);
    }
  });
});

test.test('a limit of nothing is asked about now and then', async () => {
  const options = {
    ...{seed: 3, hosts: 4, servers: 2, requestsPerS: 30},
    phasesOf: (i: number) =>
      i === 0
        ? [
            {fromMs: 1000, limitPerS: 0},
            {fromMs: 12_000, limitPerS: undefined},
          ]
        : [],
  };
  await limitsplay.play(options, async sim => {
    await sim.run(22_000);
    assert.ok(sentTo(sim, 0, 1500, 12_000) <= 4);
    assert.ok(sentTo(sim, 0, 18_000, 22_000) >= 20);
  });
});

test.test(
  'a host that joins or takes over as keeper keeps the limits',
  async () => {
    const options = {
      ...{seed: 4, hosts: 1, servers: 2, requestsPerS: 60},
      phasesOf: () => [{fromMs: 500, limitPerS: 4}],
    };
    await limitsplay.play(options, async sim => {
      await sim.run(3000);
      for (let i = 1; i <= 8; i++) {
        sim.add(`h${i}`);
        await sim.run(300);
      }
      await sim.run(4000);
      assert.ok(sim.worstExcess() <= 0, String(sim.worstExcess()));
    });
  },
);

test.test(
  'no limit is exceeded while keepers and hosts are killed, frozen and added',
  async () => {
    let sent = 0;
    let allowed = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      const draw = decisions.random.seeded(seed * 7919);
      const isLarge = draw() < 0.3;
      const limits = Array.from({length: 18}, () => draw() ** 3 * 30);
      const options = {
        ...{seed, hosts: 3 + Math.floor(draw() * 7)},
        servers: isLarge ? 18 : 2 + Math.floor(draw() * 5),
        requestsPerS: 20 + draw() * 100,
        phasesOf: (i: number) =>
          i % 3 === 2
            ? []
            : [
                {fromMs: 500 + 40 * i, limitPerS: limits[i]},
                {fromMs: 8000, limitPerS: limits[(i + 5) % 18]},
              ],
      };
      await limitsplay.play(options, async sim => {
        await sim.run(PLAY_MS, sim.faults(draw));
        const excess = sim.worstExcess();
        const detail = `seed ${seed}, excess ${excess}: ${sim.log.join('; ')}`;
        assert.ok(excess <= 0, detail);
        sim.servers.forEach(({arrivals}, i) => {
          const limitPerS = limits[(i + 5) % 18];
          if (i % 3 === 2 || limitPerS > 4) return;
          sent += arrivals.filter(({atMs}) => atMs >= 9000).length;
          allowed += limitPerS * ((PLAY_MS - 9000) / 1000);
        });
      });
    }
    assert.ok(sent / allowed > 0.4, `sent ${sent} of ${allowed}`);
  },
);
