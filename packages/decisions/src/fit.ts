import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** What an answer over a paid-for link between regions counts as, in milliseconds of waiting. */
const LINK_COST_MS = 100;

/** How many times its expected time a runner counts as when everything fails on it. */
const FAULT_WEIGHT = 6;

/** What a runner that failed the request before counts as, in milliseconds of waiting. */
const AVOID_COST_MS = 60_000;

/** The runner that a ticket is best granted on now, out of those that are not kept for others. */
export function best(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  blocked: ReadonlySet<string>,
  nowMs: number,
): runners.Runner | undefined {
  let found: runners.Runner | undefined;
  let foundMs = Infinity;
  for (const runner of all) {
    if (blocked.has(runner.name) || !runner.serves(ticket)) continue;
    if (!runner.fits(ticket, nowMs)) continue;
    if (!runner.isInTime(ticket, nowMs)) continue;
    const linkMs = runner.server.region === ticket.region ? 0 : LINK_COST_MS;
    const costMs = runner.expectedMs(ticket) * (1 + runner.load) + linkMs;
    const avoidMs = ticket.avoid.includes(runner.name) ? AVOID_COST_MS : 0;
    const scoreMs = costMs * (1 + FAULT_WEIGHT * runner.faultRate) + avoidMs;
    if (scoreMs >= foundMs) continue;
    found = runner;
    foundMs = scoreMs;
  }
  return found;
}

/** The runners that are kept free for a ticket that does not fit: one for a suspect, else all that serve it in time. */
export function needed(
  all: readonly runners.Runner[],
  ticket: tickets.Ticket,
  nowMs: number,
): readonly string[] {
  const able = all.filter(
    runner => runner.serves(ticket) && runner.isInTime(ticket, nowMs),
  );
  if (!ticket.isSuspect) return able.map(runner => runner.name);
  const [emptiest] = [...able].sort((a, b) => a.running - b.running);
  return emptiest ? [emptiest.name] : [];
}
