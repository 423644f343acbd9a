import * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** Finds times for tickets from the runners of a cell and the work that is ahead. */
export class Estimate {
  constructor(
    private readonly runners: ReadonlyMap<string, runners.Runner>,
    private readonly waiting: readonly tickets.Ticket[],
    private readonly running: ReadonlyMap<string, tickets.Running>,
  ) {}

  /** The runners that a ticket may use now or, when none is open, those that will be tried again. */
  usable(ticket: tickets.Ticket, nowMs: number): readonly runners.Runner[] {
    const able = [...this.runners.values()].filter(r => r.serves(ticket));
    const open = able.filter(r => r.isOpen(nowMs));
    return open.length > 0 ? open : able.filter(r => r.state === 'down');
  }

  /** The time that the ticket takes on the runner that is fastest for it; Infinity when there is none. */
  fastestMs(ticket: tickets.Ticket, nowMs: number): number {
    const usable = this.usable(ticket, nowMs);
    return Math.min(...usable.map(r => r.expectedMs(ticket)));
  }

  /** True when a ticket that starts after `waitMs` is still answered in time by some runner. */
  canStart(ticket: tickets.Ticket, waitMs: number, nowMs: number): boolean {
    return this.usable(ticket, nowMs).some(r =>
      r.isInTime(ticket, nowMs + waitMs),
    );
  }

  /** The expected wait: work ahead of the ticket divided by the budget of the runners it may use. */
  waitMs(ticket: tickets.Ticket, nowMs: number): number {
    const usable = this.usable(ticket, nowMs);
    const ahead = this.waiting.filter(other => isAhead(other, ticket));
    const fitsNow = usable.some(r => r.fits(ticket, nowMs));
    if (usable.length === 0 || (fitsNow && ahead.length === 0)) return 0;
    const workMs =
      this.runningMs(usable, nowMs) + this.workMs(ahead, usable, nowMs);
    return workMs / (usable.length * runners.TIER_CEILING[ticket.tier]);
  }

  /** The expected wait of a ticket that comes last. */
  lastWaitMs(nowMs: number): number {
    const open = [...this.runners.values()].filter(r => r.isOpen(nowMs));
    if (open.length === 0) return 0;
    return this.workMs(this.waiting, open, nowMs) / open.length;
  }

  private workMs(
    work: readonly tickets.Ticket[],
    usable: readonly runners.Runner[],
    nowMs: number,
  ): number {
    const [typical] = usable;
    return work.reduce(
      (sum, t) => sum + this.fastestMs(t, nowMs) * typical.shareOf(t),
      0,
    );
  }

  private runningMs(usable: readonly runners.Runner[], nowMs: number): number {
    const byName = new Map(usable.map(r => [r.name, r]));
    let workMs = 0;
    for (const {ticket, runner, grantedMs} of this.running.values()) {
      const holder = byName.get(runner);
      if (!holder) continue;
      const leftMs = grantedMs + holder.expectedMs(ticket) - nowMs;
      workMs += Math.max(0, leftMs) * holder.shareOf(ticket);
    }
    return workMs;
  }
}

function isAhead(other: tickets.Ticket, ticket: tickets.Ticket): boolean {
  if (other.tier !== ticket.tier) return other.tier < ticket.tier;
  if (other.urgency !== ticket.urgency) return other.urgency < ticket.urgency;
  return other.deadlineMs <= ticket.deadlineMs;
}
