import * as rendezvous from './rendezvous.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** What an answer over a paid-for link between regions counts as, in milliseconds of waiting. */
const LINK_COST_MS = 100;

/** How long before its objective a ticket stops waiting for a runner that can still meet it, in milliseconds. */
const HOLD_MARGIN_MS = 50;

/** How many times its expected time a runner counts as when everything fails on it. */
const FAULT_WEIGHT = 6;

/** What a runner that failed the request before counts as, in milliseconds of waiting. */
const AVOID_COST_MS = 60_000;

/**
 * Runners that look alike are picked by turns, not in order: keepers that know
 * nothing yet, or can't reach each other, would all pick the same one.
 */
const SPREAD_PART = 0.05;

/** The runner that a ticket is best granted on now, out of those that are not kept for others. */
export function findBestRunner(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  blocked: ReadonlySet<string>,
  nowMs: number,
): runners.Runner | undefined {
  let found: runners.Runner | undefined;
  let foundMs = Infinity;
  const mayHold = canWaitForOnTime(all, ticket, nowMs);
  for (const runner of all) {
    if (blocked.has(runner.name) || !runner.serves(ticket)) continue;
    if (!runner.fits(ticket, nowMs)) continue;
    if (!runner.isInTime(ticket, nowMs)) continue;
    if (mayHold && !runner.isOnTime(ticket, nowMs)) continue;
    const linkMs = runner.server.region === ticket.region ? 0 : LINK_COST_MS;
    const firstAtMs = runner.firstTokenAtMs(ticket, nowMs);
    const queueMs = firstAtMs - nowMs - runner.expectedPrefillMs(ticket);
    const costMs =
      runner.expectedMs(ticket) * (1 + runner.load) + queueMs + linkMs;
    const avoidMs = ticket.avoid.includes(runner.name) ? AVOID_COST_MS : 0;
    const turn = rendezvous.hashFraction(`${ticket.id}|${runner.name}`);
    const factor = 1 + FAULT_WEIGHT * runner.faultRate + SPREAD_PART * turn;
    const scoreMs = costMs * factor + avoidMs;
    if (scoreMs >= foundMs) continue;
    found = runner;
    foundMs = scoreMs;
  }
  return found;
}

/**
 * True while a ticket gains by waiting: the runners with free slots would
 * bring its first token too late, and some busy one would not. The margin is
 * the time in which a slot gets free there.
 */
function canWaitForOnTime(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): boolean {
  const atMs = nowMs + HOLD_MARGIN_MS;
  return all.some(
    runner =>
      runner.state === 'live' &&
      runner.serves(ticket) &&
      atMs + runner.expectedPrefillMs(ticket) <= ticket.onTimeByMs,
  );
}

/** The runners that are kept free for a ticket that does not fit: one for a suspect, else all that serve it in time. */
export function runnersToReserve(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): readonly string[] {
  const mayHold = canWaitForOnTime(all, ticket, nowMs);
  const able = all.filter(
    runner =>
      runner.serves(ticket) &&
      runner.isInTime(ticket, nowMs) &&
      (!mayHold || runner.isOnTime(ticket, nowMs)),
  );
  if (!ticket.isSuspect) return able.map(runner => runner.name);
  const [emptiest] = [...able].sort((a, b) => a.running - b.running);
  return emptiest ? [emptiest.name] : [];
}
