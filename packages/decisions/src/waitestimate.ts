import * as inflows from './arrivalload.js';
import * as rank from './priority.js';
import type * as runners from './runner.js';
import * as tickets from './ticket.js';

/** The least part of a cell that is taken to be left for a class, however much passes it. */
const LEAST_LEFT = 0.1;

/** Finds times for tickets from the runners of a cell and the work that is ahead. */
export class WaitEstimate {
  constructor(
    private readonly runners: ReadonlyMap<string, runners.Runner>,
    private readonly waiting: readonly tickets.Ticket[],
    private readonly running: ReadonlyMap<string, tickets.Grant>,
    private readonly inflow = inflows.ArrivalLoad.none,
  ) {}

  /** The runners that a ticket may use now or, when none is open, those that will be tried again. */
  usableRunners(
    ticket: tickets.Ticket,
    nowMs: number,
  ): readonly runners.Runner[] {
    const able = [...this.runners.values()].filter(r => r.serves(ticket));
    const open = able.filter(r => r.isAvailable(nowMs));
    return open.length > 0 ? open : able.filter(r => r.state === 'down');
  }

  /** True when a ticket that starts after `waitMs` is still answered in time by some runner. */
  canStart(ticket: tickets.Ticket, waitMs: number, nowMs: number): boolean {
    return this.usableRunners(ticket, nowMs).some(r =>
      r.isInTime(ticket, nowMs + waitMs),
    );
  }

  /** How long the ticket takes when all runners share it: what it adds to the wait of those behind it. */
  cellTimeMs(ticket: tickets.Ticket, nowMs: number): number {
    let perMs = 0;
    for (const runner of this.usableRunners(ticket, nowMs)) {
      const ownMs = Math.max(1, runner.expectedMs(ticket));
      perMs += 1 / (ownMs * runner.slotShare(ticket));
    }
    return perMs === 0 ? 0 : 1 / perMs;
  }

  /** The expected wait: what is ahead, at the part of the cell that arrivals before the ticket's class leave. */
  waitMs(ticket: tickets.Ticket, nowMs: number): number {
    const usable = this.usableRunners(ticket, nowMs);
    const ahead = this.waiting.filter(
      other => rank.compareTickets(other, ticket, nowMs) <= 0,
    );
    const fitsNow = usable.some(r => r.fits(ticket, nowMs));
    if (usable.length === 0 || (fitsNow && ahead.length === 0)) return 0;
    const aheadMs = ahead.reduce(
      (sum, t) => sum + this.cellTimeMs(t, nowMs),
      0,
    );
    const freeMs = this.nextFreeMs(usable, nowMs);
    return this.stretched(ticket, aheadMs + freeMs, nowMs);
  }

  /** The waits of all waiting tickets, in the order in which they are served. */
  expectedWaits(
    nowMs: number,
  ): readonly {readonly ticket: tickets.Ticket; readonly waitMs: number}[] {
    const sorted = [...this.waiting].sort((a, b) =>
      rank.compareTickets(a, b, nowMs),
    );
    let aheadMs = 0;
    return sorted.map(ticket => {
      const waitMs = this.stretched(ticket, aheadMs, nowMs);
      aheadMs += this.cellTimeMs(ticket, nowMs);
      return {ticket, waitMs};
    });
  }

  /** The expected wait of a ticket that comes last. */
  lastWaitMs(nowMs: number): number {
    return this.waiting.reduce((sum, t) => sum + this.cellTimeMs(t, nowMs), 0);
  }

  /** A ticket that is late already, or will be, is passed by those of its own class as well. */
  private stretched(
    ticket: tickets.Ticket,
    workMs: number,
    nowMs: number,
  ): number {
    const before = this.inflow.ofHigherClasses(ticket, nowMs);
    const waitMs = workMs / Math.max(LEAST_LEFT, 1 - before);
    if (nowMs + waitMs <= ticket.onTimeByMs) return waitMs;
    const passing = before + this.inflow.ofOwnClass(ticket, nowMs);
    return workMs / Math.max(LEAST_LEFT, 1 - passing);
  }

  /** When the first place gets free, as far as the speeds are known. */
  private nextFreeMs(usable: readonly runners.Runner[], nowMs: number): number {
    const byName = new Map(usable.map(r => [r.name, r]));
    let soonestMs = Infinity;
    for (const {ticket, runner, grantedMs} of this.running.values()) {
      const holder = byName.get(runner);
      if (!holder) continue;
      const leftMs = grantedMs + holder.expectedMs(ticket) - nowMs;
      soonestMs = Math.min(soonestMs, Math.max(0, leftMs));
    }
    return soonestMs === Infinity ? 0 : soonestMs;
  }
}
