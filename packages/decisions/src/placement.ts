// Chooses the runner on which a cell grants a ticket.

import * as rendezvous from './rendezvous.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** The cost of an answer that crosses regions over a paid link, as milliseconds of waiting. */
const CROSS_REGION_COST_MS = 100;

/**
 * A ticket stops waiting for a busy runner this long before the latest start
 * that meets its first-token objective, in milliseconds, to allow for the time
 * until a slot becomes free.
 */
const WAIT_MARGIN_MS = 50;

/** How much the cost of a runner grows with its failure rate: at a rate of 1 this multiple of the cost is added. */
const FAILURE_WEIGHT = 6;

/** The cost of a runner on which an earlier attempt failed, as milliseconds of waiting. */
const AVOIDED_RUNNER_COST_MS = 60_000;

/**
 * The weight of a hash of ticket and runner in the cost. It spreads tickets
 * over equal runners; otherwise keepers that have no measurements yet, or
 * can't reach each other, would all choose the same runner.
 */
const TIE_BREAK_WEIGHT = 0.05;

/** Returns the runner with the lowest cost that can take the ticket now and answer it in time, except `blocked` ones. */
export function findBestRunner(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  blocked: ReadonlySet<string>,
  nowMs: number,
): runners.Runner | undefined {
  let best: runners.Runner | undefined;
  let bestScoreMs = Infinity;
  const mustMeetObjective = shouldWaitForObjective(all, ticket, nowMs);
  for (const runner of all) {
    if (blocked.has(runner.name) || !runner.serves(ticket)) continue;
    if (!runner.fits(ticket, nowMs)) continue;
    if (!runner.canMeetDeadline(ticket, nowMs)) continue;
    if (mustMeetObjective && !runner.canMeetObjective(ticket, nowMs)) continue;
    const linkMs =
      runner.server.region === ticket.region ? 0 : CROSS_REGION_COST_MS;
    const firstAtMs = runner.firstTokenAtMs(ticket, nowMs);
    const queueMs = firstAtMs - nowMs - runner.expectedPrefillMs(ticket);
    const slowedMs = runner.expectedMs(ticket) * runner.slowdownAt(nowMs);
    const costMs = slowedMs * (1 + runner.load) + queueMs + linkMs;
    const avoidMs = ticket.avoid.includes(runner.name)
      ? AVOIDED_RUNNER_COST_MS
      : 0;
    const tieBreak = rendezvous.hashFraction(`${ticket.id}|${runner.name}`);
    const factor =
      1 + FAILURE_WEIGHT * runner.failureRate + TIE_BREAK_WEIGHT * tieBreak;
    const scoreMs = costMs * factor + avoidMs;
    if (scoreMs >= bestScoreMs) continue;
    best = runner;
    bestScoreMs = scoreMs;
  }
  return best;
}

/** Up to this factor a runner counts as not slowed. */
const USUAL_FACTOR = 1.25;

/**
 * A ticket waits at most for this share of what it gains, since it delays those
 * behind it. At 0.5 the median time in a nearly full model rises by a third, at
 * 0.15 by a seventh, with the same share of requests on slowed runners where
 * others have room.
 */
const MAX_WAIT_SHARE = 0.15;

/**
 * Returns true if a ticket that only a slowed runner has room for is expected to
 * end sooner on another one, once a slot there is free. `ahead` tickets wait for
 * these slots before it.
 */
export function shouldWaitForUsual(
  all: readonly runners.Runner[],
  runner: runners.Runner,
  ticket: tickets.Ticket,
  ahead: number,
  nowMs: number,
): boolean {
  const factor = runner.slowdownAt(nowMs);
  if (factor <= USUAL_FACTOR) return false;
  const gainMs = runner.expectedMs(ticket) * (factor - 1);
  let completionsPerMs = 0;
  for (const other of all) {
    const isUsable =
      other !== runner &&
      other.state === 'live' &&
      other.limitPerS === undefined &&
      other.serves(ticket) &&
      !ticket.avoid.includes(other.name);
    if (!isUsable || other.slowdownAt(nowMs) > USUAL_FACTOR) continue;
    completionsPerMs += other.completionsPerMs;
  }
  const waitMs = (ahead + 1) / completionsPerMs;
  return nowMs - ticket.arrivedMs + waitMs < gainMs * MAX_WAIT_SHARE;
}

/**
 * Returns true while some live runner, once a slot on it is free, can still
 * meet the ticket's first-token objective. While it does, the ticket is granted
 * only on a runner that meets the objective.
 */
function shouldWaitForObjective(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): boolean {
  return all.some(
    runner =>
      runner.state === 'live' &&
      runner.serves(ticket) &&
      runner.startableAtMs(nowMs + WAIT_MARGIN_MS) +
        runner.expectedPrefillMs(ticket) <=
        ticket.onTimeByMs,
  );
}

/**
 * Returns the names of the runners to reserve for a ticket that does not fit
 * now: all that can answer it in time, of which a suspect request reserves only
 * the one with the fewest requests. They must also meet the first-token
 * objective while some runner can.
 */
export function runnersToReserve(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): readonly string[] {
  const mustMeetObjective = shouldWaitForObjective(all, ticket, nowMs);
  const able = all.filter(
    runner =>
      runner.serves(ticket) &&
      runner.canMeetDeadline(ticket, nowMs) &&
      (!mustMeetObjective || runner.canMeetObjective(ticket, nowMs)),
  );
  if (!ticket.isSuspect) return able.map(runner => runner.name);
  const [emptiest] = [...able].sort((a, b) => a.running - b.running);
  return emptiest ? [emptiest.name] : [];
}
