// Backend servers that accept connections and break off what they get, under a load that fills the others.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as cells from './cell.js';
import type * as config from './config.js';
import * as randoms from './random.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

const SERVERS = 8;
const SLOTS = 4;
const ANSWER_MS = 200;
const RESET_MS = 5;
const TICK_MS = 50;
/** A fifth more than eight sound servers answer. */
const REQUESTS_PER_S = 192;

const SERVER_LIST: readonly config.BackendServer[] = Array.from(
  {length: SERVERS},
  (_, i) => ({
    ...{name: `i-${i}`, url: '', region: 'r', zone: 'z'},
    ...{slotTokens: 4000, maxRunning: SLOTS},
  }),
);

function ticket(id: string, nowMs: number): tickets.Ticket {
  const deadlineMs = nowMs + 2000;
  return {
    ...{id, host: 'h', region: 'r', account: 'a', weight: 1, tier: 2},
    ...{urgency: 0, deadlineMs, firstByMs: deadlineMs, onTimeByMs: deadlineMs},
    ...{arrivedMs: nowMs, promptTokens: 10, outputTokens: 10, chain: []},
    ...{version: '', isSuspect: false, avoid: []},
  };
}

const COMPLETED: runners.Outcome = {
  kind: 'completed',
  measured: {
    ...{prefillTokens: 10, outputTokens: 10},
    ...{firstTokenMs: 20, durationMs: ANSWER_MS},
  },
};

interface Played {
  readonly toBroken: number;
  readonly answered: number;
  /** The requests that the broken server got in the last second, after it was sound again. */
  readonly toRepaired: number;
}

/** Plays 10 s of load; the first server breaks off what it gets from 1 s to 8 s, each attempt with a chance of `share`, which the cell is told if `isKnown`. */
function play(share: number, seed: number, isKnown = true): Played {
  const random = randoms.seeded(seed);
  let cell = cells.Cell.recovering([], 0).apply(
    {kind: 'configure', servers: SERVER_LIST, versionsByServer: new Map()},
    0,
  ).cell;
  const ends: {
    readonly atMs: number;
    readonly id: string;
    readonly outcome: runners.Outcome;
  }[] = [];
  let toBroken = 0;
  let toRepaired = 0;
  let answered = 0;
  const apply = (
    event: Parameters<cells.Cell['apply']>[0],
    nowMs: number,
  ): void => {
    const applied = cell.apply(event, nowMs);
    cell = applied.cell;
    for (const effect of applied.effects) {
      if (effect.kind !== 'grant') continue;
      const isFirst = effect.server.name === 'i-0';
      const isBreaking = isFirst && nowMs >= 1000 && nowMs < 8000;
      if (isBreaking) toBroken++;
      if (isFirst && nowMs >= 9000) toRepaired++;
      const isBroken = isBreaking && random() < share;
      ends.push({
        atMs: nowMs + (isBroken ? RESET_MS : ANSWER_MS),
        id: effect.ticket.id,
        outcome: isBroken ? {kind: 'failed', isBroken: isKnown} : COMPLETED,
      });
    }
  };
  let asked = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    while (asked < (nowMs * REQUESTS_PER_S) / 1000) {
      apply({kind: 'ask', ticket: ticket(`t${asked++}`, nowMs)}, nowMs);
    }
    for (let i = ends.length - 1; i >= 0; i--) {
      const {atMs, id, outcome} = ends[i];
      if (atMs > nowMs) continue;
      ends.splice(i, 1);
      if (outcome.kind === 'completed') answered++;
      apply({kind: 'done', ticketId: id, outcome}, nowMs);
    }
    if (nowMs % TICK_MS === 0) apply({kind: 'tick'}, nowMs);
  }
  return {toBroken, answered, toRepaired};
}

// Guards against a server that resets what it gets, frees its slots at once and so draws the requests of a full cell.
test.test('a server that breaks off everything gets few requests', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const {toBroken, answered, toRepaired} = play(1, seed);
    // Four when it breaks, three after each of the four earlier attempts that are answered still,
    // and a probe after each backoff of 0.5, 1 and 2 s.
    assert.ok(toBroken <= 4 + 4 * 3 + 6, `${toBroken} requests, seed ${seed}`);
    assert.ok(answered >= 1100, `${answered} answered, seed ${seed}`);
    assert.ok(toRepaired >= 5, `${toRepaired} once sound, seed ${seed}`);
  }
});

// Guards against a server that is put down, and its room lost, as it breaks off a request now and then.
test.test('a server that breaks off one request in ten keeps its work', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const {toBroken} = play(0.1, seed);
    const usual = play(0.1, seed, false).toBroken;
    assert.ok(toBroken >= usual / 2, `${toBroken} of ${usual}, seed ${seed}`);
  }
});
