import * as arrivalload from './arrivalload.js';
import * as paces from './pace.js';
import * as priority from './priority.js';
import type * as runners from './runner.js';
import * as tickets from './ticket.js';

/** The minimum fraction of a cell that is assumed to remain for a ticket, whatever load overtakes it. */
const MIN_REMAINING_FRACTION = 0.1;

/** The sizes of the request by which the capacity of a cell is measured, in tokens. */
const REFERENCE_PROMPT_TOKENS = 1000;
const REFERENCE_OUTPUT_TOKENS = 100;

/** The work of a ticket in reference requests, and the limits of the runners for which it was estimated. */
interface TicketWork {
  readonly work: number;
  readonly startsPerMs: number;
}

/** The work of tickets as estimated when it was first needed under these limits; the speed of the runners changes more slowly than tickets wait. */
const workByTicket = new WeakMap<tickets.Ticket, TicketWork>();

/** Estimates the waiting times of tickets from a cell's runners and the work ahead at one moment; times are in milliseconds. */
export class WaitEstimate {
  private readonly usableByVersion = new Map<
    string,
    readonly runners.Runner[]
  >();
  private capacityPerMs: number | undefined;
  private limitedStartsPerMs: number | undefined;

  constructor(
    private readonly runners: ReadonlyMap<string, runners.Runner>,
    private readonly waiting: readonly tickets.Ticket[],
    private readonly running: ReadonlyMap<string, tickets.Grant>,
    private readonly arrivalLoad = arrivalload.ArrivalLoad.none,
  ) {}

  /** Returns the runners that serve the ticket and accept new work or, if there are none, those that are down and will be retried. */
  usableRunners(
    ticket: tickets.Ticket,
    nowMs: number,
  ): readonly runners.Runner[] {
    const key = [ticket.version, ...(ticket.excluded ?? [])].join('\n');
    const known = this.usableByVersion.get(key);
    if (known) return known;
    const able = [...this.runners.values()].filter(r => r.serves(ticket));
    const available = able.filter(r => r.isAvailable(nowMs));
    const usable =
      available.length > 0 ? available : able.filter(r => r.state === 'down');
    this.usableByVersion.set(key, usable);
    return usable;
  }

  /** Returns true if some runner can still answer the ticket in time when it starts after `waitMs`. */
  canStart(ticket: tickets.Ticket, waitMs: number, nowMs: number): boolean {
    return this.usableRunners(ticket, nowMs).some(r =>
      r.canMeetDeadline(ticket, nowMs + waitMs),
    );
  }

  /** Returns how long the ticket would occupy the whole cell if it were spread over all runners; tickets behind it wait that much longer. */
  cellTimeMs(ticket: tickets.Ticket, nowMs: number): number {
    // Tickets that only some of the runners serve are not compared with the capacity of all.
    if (ticket.version !== '' || tickets.hasExclusions(ticket)) {
      return this.newCellTimeMs(ticket, nowMs);
    }
    const capacityPerMs = this.capacity(ticket, nowMs);
    if (capacityPerMs === 0) return 0;
    const startsPerMs = this.limitedStarts(ticket, nowMs);
    let known = workByTicket.get(ticket);
    if (known?.startsPerMs !== startsPerMs) {
      const work = this.newCellTimeMs(ticket, nowMs) * capacityPerMs;
      known = {work, startsPerMs};
      workByTicket.set(ticket, known);
    }
    return known.work / capacityPerMs;
  }

  /** Returns the sum of the limits of the runners that state one, in starts per millisecond. */
  private limitedStarts(ticket: tickets.Ticket, nowMs: number): number {
    this.limitedStartsPerMs ??= this.usableRunners(ticket, nowMs).reduce(
      (sum, {limitPerS, startsPerMs}) =>
        limitPerS === undefined ? sum : sum + startsPerMs,
      0,
    );
    return this.limitedStartsPerMs;
  }

  /** Returns the reference requests that the cell serves in a millisecond. */
  private capacity(ticket: tickets.Ticket, nowMs: number): number {
    this.capacityPerMs ??= this.usableRunners(ticket, nowMs).reduce(
      (sum, {pace, startsPerMs, server: {slotTokens, maxRunning}}) => {
        const tokens = REFERENCE_PROMPT_TOKENS + REFERENCE_OUTPUT_TOKENS;
        const share = Math.max(tokens / slotTokens, 1 / maxRunning);
        const ownMs = paces.expectedMs(
          pace,
          REFERENCE_PROMPT_TOKENS,
          REFERENCE_OUTPUT_TOKENS,
        );
        return sum + Math.min(1 / (Math.max(1, ownMs) * share), startsPerMs);
      },
      0,
    );
    return this.capacityPerMs;
  }

  private newCellTimeMs(ticket: tickets.Ticket, nowMs: number): number {
    let perMs = 0;
    for (const runner of this.usableRunners(ticket, nowMs)) {
      const ownMs = Math.max(1, runner.expectedMs(ticket));
      const unlimitedPerMs = 1 / (ownMs * runner.slotShare(ticket));
      perMs += Math.min(unlimitedPerMs, runner.startsPerMs);
    }
    return perMs === 0 ? 0 : 1 / perMs;
  }

  /** Returns the expected wait of a new ticket: the time for the work ahead on the capacity that overtaking arrivals leave. */
  waitMs(ticket: tickets.Ticket, nowMs: number): number {
    const usable = this.usableRunners(ticket, nowMs);
    const ahead = this.waiting.filter(
      other => priority.compareTickets(other, ticket, nowMs) <= 0,
    );
    const fitsNow = usable.some(r => r.fits(ticket, nowMs));
    if (usable.length === 0 || (fitsNow && ahead.length === 0)) return 0;
    const aheadMs = ahead.reduce(
      (sum, t) => sum + this.cellTimeMs(t, nowMs),
      0,
    );
    const freeMs = this.nextFreeMs(usable, nowMs);
    return this.withOvertaking(ticket, aheadMs + freeMs, nowMs);
  }

  /** Returns the expected waits of all waiting tickets, by priority without regard to fair shares. */
  expectedWaits(
    nowMs: number,
  ): readonly {readonly ticket: tickets.Ticket; readonly waitMs: number}[] {
    const sorted = [...this.waiting].sort((a, b) =>
      priority.compareTickets(a, b, nowMs),
    );
    let aheadMs = 0;
    return sorted.map(ticket => {
      const waitMs = this.withOvertaking(ticket, aheadMs, nowMs);
      aheadMs += this.cellTimeMs(ticket, nowMs);
      return {ticket, waitMs};
    });
  }

  /** Returns the expected wait of a ticket that joins at the end of the queue. */
  lastWaitMs(nowMs: number): number {
    return this.waiting.reduce((sum, t) => sum + this.cellTimeMs(t, nowMs), 0);
  }

  /**
   * Extends a wait by the arrivals that overtake the ticket. A ticket that
   * misses its first-token objective is also overtaken by arrivals of its own
   * class.
   */
  private withOvertaking(
    ticket: tickets.Ticket,
    workMs: number,
    nowMs: number,
  ): number {
    const higher = this.arrivalLoad.ofHigherClasses(ticket, nowMs);
    const waitMs = workMs / Math.max(MIN_REMAINING_FRACTION, 1 - higher);
    if (nowMs + waitMs <= ticket.onTimeByMs) return waitMs;
    const overtaking = higher + this.arrivalLoad.ofOwnClass(ticket, nowMs);
    return workMs / Math.max(MIN_REMAINING_FRACTION, 1 - overtaking);
  }

  /** Returns the expected time until the first slot becomes free, or the first start that a limit allows where a slot is free. */
  private nextFreeMs(usable: readonly runners.Runner[], nowMs: number): number {
    const byName = new Map(usable.map(r => [r.name, r]));
    let soonestMs = Infinity;
    for (const runner of usable) {
      if (runner.limitPerS === undefined || !runner.hasRoom(nowMs)) continue;
      soonestMs = Math.min(soonestMs, runner.startableAtMs(nowMs) - nowMs);
    }
    for (const {ticket, runner, grantedMs} of this.running.values()) {
      const holder = byName.get(runner);
      if (!holder) continue;
      const endMs = grantedMs + holder.expectedMs(ticket);
      const leftMs = holder.startableAtMs(Math.max(nowMs, endMs)) - nowMs;
      soonestMs = Math.min(soonestMs, leftMs);
    }
    return soonestMs === Infinity ? 0 : soonestMs;
  }
}
