import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import * as routers from '@banyanhall/fleet/router.js';
import * as peers from '@banyanhall/peers';

import * as directories from './directory.js';
import * as logs from './logs.js';
import * as rollouts from './rollouts.js';

const ORDER: rollouts.RolloutOrder = {
  service: 's',
  to: 'v2',
  durationMs: 10_000,
  revision: 1,
};
const STEP_MS = 100;
const PER_STEP = 4;

interface Played {
  readonly states: readonly rollouts.RolloutState[];
  /** Requests that the candidate got, and all requests. */
  readonly candidate: number;
  readonly all: number;
  /** Requests that the candidate got after it had failed so often. */
  readonly afterBad: (failures: number) => number;
}

/** Plays a roll-out on one host under load; `fails` says whether a candidate's request fails. */
async function play(fails: (partOfTime: number) => boolean): Promise<Played> {
  const clock = new decisions.clock.FakeClock(1000);
  const random = decisions.random.seeded(7);
  const directory = new directories.Directory({
    ...{clock, log: logs.NO_LOG, regionByZone: new Map()},
    onChange: () => undefined,
  });
  const terms = {service: 's', address: '10.0.0.1:80', zone: 'z'};
  for (const version of ['v1', 'v2']) {
    directory.onServerEntry(version, {
      ...{...terms, id: version, version, capacity: 4},
      ...{isDraining: false, startedAtMs: 0},
    });
  }
  const states: rollouts.RolloutState[] = [];
  const links = {} as peers.links.Links;
  const router = new routers.Router({
    ...{host: 'h', links, member: () => undefined},
  });
  const moves = new rollouts.Rollouts({
    ...{host: 'h', clock, random, router, directory, log: logs.NO_LOG},
    servingHosts: () => ['h'],
    publishState: (_, state) => {
      states.push(state);
      return Promise.resolve(true);
    },
  });
  moves.onOrder(ORDER);
  let candidate = 0;
  let all = 0;
  const failuresAt: number[] = [];
  for (let atMs = 0; atMs < ORDER.durationMs; atMs += STEP_MS) {
    moves.drive();
    for (let i = 0; i < PER_STEP; i++) {
      const isCandidate = moves.usesCandidate('s');
      const isFailure = isCandidate && fails(atMs / ORDER.durationMs);
      all++;
      if (isCandidate) {
        candidate++;
        failuresAt.push(Number(isFailure));
      }
      moves.addSample('s', {
        route: 'r',
        ...{isCandidate, isFailure, firstTokenMs: 50, tokenMs: 5},
      });
    }
    clock.advance(STEP_MS);
    // Lets the state on record be written.
    await timers.setImmediate();
  }
  const afterBad = (failures: number) => {
    let seen = 0;
    const at = failuresAt.findIndex(f => (seen += f) >= failures);
    return at < 0 ? 0 : failuresAt.length - at - 1;
  };
  return {states, candidate, all, afterBad};
}

test.test('a good version is completed before its deadline', async () => {
  const {states, candidate, all} = await play(() => false);
  assert.deepEqual(states, ['in-progress', 'completed']);
  assert.ok(candidate > all / 4);
});

test.test('a bad version gets little and is left at once', async () => {
  const {states, candidate, all, afterBad} = await play(() => true);
  assert.ok(candidate <= 0.1 * all + 50, `${candidate} of ${all}`);
  assert.equal(afterBad(50), 0);
  assert.deepEqual(states, ['in-progress', 'reverted']);
});

test.test('a version that turns bad late is still left', async () => {
  const {states, afterBad} = await play(part => part > 0.6);
  assert.equal(states[1], 'reverted');
  assert.equal(afterBad(50), 0);
});
