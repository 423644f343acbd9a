// Chooses the runner on which a cell grants a ticket.

import * as rendezvous from './rendezvous.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** The cost of an answer that crosses regions over a paid link, in milliseconds of waiting. */
const CROSS_REGION_COST_MS = 100;

/**
 * How long before the last start that meets its objective a ticket stops
 * waiting for a busy runner, in milliseconds. The margin allows for the time
 * in which a slot becomes free.
 */
const WAIT_MARGIN_MS = 50;

/** The multiple of its cost that is added to a runner on which every request fails. */
const FAULT_WEIGHT = 6;

/** The cost of a runner on which the request failed before, in milliseconds of waiting. */
const AVOIDED_RUNNER_COST_MS = 60_000;

/**
 * The weight of a hash of ticket and runner in the cost. It spreads tickets
 * over equal runners; otherwise keepers that have no measurements yet, or
 * can't reach each other, would all choose the same runner.
 */
const TIE_BREAK_WEIGHT = 0.05;

/** Returns the runner with the lowest cost that can take the ticket now, except `blocked` ones. */
export function findBestRunner(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  blocked: ReadonlySet<string>,
  nowMs: number,
): runners.Runner | undefined {
  let found: runners.Runner | undefined;
  let foundMs = Infinity;
  const mayWait = shouldWaitForOnTime(all, ticket, nowMs);
  for (const runner of all) {
    if (blocked.has(runner.name) || !runner.serves(ticket)) continue;
    if (!runner.fits(ticket, nowMs)) continue;
    if (!runner.isInTime(ticket, nowMs)) continue;
    if (mayWait && !runner.isOnTime(ticket, nowMs)) continue;
    const linkMs =
      runner.server.region === ticket.region ? 0 : CROSS_REGION_COST_MS;
    const firstAtMs = runner.firstTokenAtMs(ticket, nowMs);
    const queueMs = firstAtMs - nowMs - runner.expectedPrefillMs(ticket);
    const costMs =
      runner.expectedMs(ticket) * (1 + runner.load) + queueMs + linkMs;
    const avoidMs = ticket.avoid.includes(runner.name)
      ? AVOIDED_RUNNER_COST_MS
      : 0;
    const tieBreak = rendezvous.hashFraction(`${ticket.id}|${runner.name}`);
    const factor =
      1 + FAULT_WEIGHT * runner.faultRate + TIE_BREAK_WEIGHT * tieBreak;
    const scoreMs = costMs * factor + avoidMs;
    if (scoreMs >= foundMs) continue;
    found = runner;
    foundMs = scoreMs;
  }
  return found;
}

/**
 * Returns true while some live runner, once a slot on it is free, can still
 * meet the ticket's first-token objective. Until then the ticket is granted
 * only on a runner that meets the objective.
 */
function shouldWaitForOnTime(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): boolean {
  const atMs = nowMs + WAIT_MARGIN_MS;
  return all.some(
    runner =>
      runner.state === 'live' &&
      runner.serves(ticket) &&
      atMs + runner.expectedPrefillMs(ticket) <= ticket.onTimeByMs,
  );
}

/**
 * Returns the runners to reserve for a ticket that does not fit now: one for a
 * suspect request, otherwise all that can answer the ticket in time.
 */
export function runnersToReserve(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): readonly string[] {
  const mayWait = shouldWaitForOnTime(all, ticket, nowMs);
  const able = all.filter(
    runner =>
      runner.serves(ticket) &&
      runner.isInTime(ticket, nowMs) &&
      (!mayWait || runner.isOnTime(ticket, nowMs)),
  );
  if (!ticket.isSuspect) return able.map(runner => runner.name);
  const [emptiest] = [...able].sort((a, b) => a.running - b.running);
  return emptiest ? [emptiest.name] : [];
}
