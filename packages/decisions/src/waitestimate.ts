import * as arrivalload from './arrivalload.js';
import * as paces from './pace.js';
import * as priority from './priority.js';
import * as regions from './regions.js';
import * as regionwaits from './regionwaits.js';
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

/** What some runners can serve. */
interface Capacity {
  /** The reference requests in a millisecond. */
  readonly capacityPerMs: number;
  /** The sum of the limits of the runners that state one, in starts per millisecond. */
  readonly startsPerMs: number;
}

/** Estimates the waiting times of tickets from a cell's runners and the work ahead at one moment; times are in milliseconds. */
export class WaitEstimate {
  private readonly usableByKind = new Map<string, readonly runners.Runner[]>();
  /** What is known of the runners for tickets without a restriction, and of those in some regions. */
  private everywhere: Capacity | undefined;
  private readonly capacityByRegions = new Map<string, Capacity>();
  private readonly regionsByKind = new Map<string, readonly string[]>();
  private readonly loadByRegion = new Map<string, arrivalload.ArrivalLoad>();
  private isRegionalKnown: boolean | undefined;

  constructor(
    private readonly runners: ReadonlyMap<string, runners.Runner>,
    private readonly waiting: readonly tickets.Ticket[],
    private readonly running: ReadonlyMap<string, tickets.Grant>,
    private readonly arrivalLoad = arrivalload.ArrivalLoad.none,
    /** False if no waiting ticket is restricted to regions, so that they need not be searched. */
    private readonly mayHaveRestricted = true,
  ) {}

  /** Returns the runners that serve the ticket and accept new work or, if there are none, those that will be retried. */
  usableRunners(
    ticket: tickets.Ticket,
    nowMs: number,
  ): readonly runners.Runner[] {
    const kind = kindOf(ticket);
    const known = this.usableByKind.get(kind);
    if (known) return known;
    const able = [...this.runners.values()].filter(r => r.serves(ticket));
    const available = able.filter(r => r.isAvailable(nowMs));
    const usable =
      available.length > 0 ? available : able.filter(r => r.mayReturn(nowMs));
    this.usableByKind.set(kind, usable);
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
    const {capacityPerMs, startsPerMs} = this.capacity(ticket, nowMs);
    if (capacityPerMs === 0) return 0;
    let known = workByTicket.get(ticket);
    if (known?.startsPerMs !== startsPerMs) {
      const work = this.newCellTimeMs(ticket, nowMs) * capacityPerMs;
      known = {work, startsPerMs};
      workByTicket.set(ticket, known);
    }
    return known.work / capacityPerMs;
  }

  /** Returns what the runners of the ticket's regions can serve. */
  private capacity(ticket: tickets.Ticket, nowMs: number): Capacity {
    const {allowedRegions} = ticket;
    if (allowedRegions === undefined) {
      this.everywhere ??= capacityOf(this.usableRunners(ticket, nowMs));
      return this.everywhere;
    }
    const key = regions.keyOf(allowedRegions);
    const known =
      this.capacityByRegions.get(key) ??
      capacityOf(this.usableRunners(ticket, nowMs));
    this.capacityByRegions.set(key, known);
    return known;
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
    if (this.isRegional(ticket, nowMs))
      return this.regionalWaitMs(ticket, nowMs);
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
    if (sorted.length > 0 && this.isRegional(sorted[0], nowMs)) {
      return this.regionalWaits(sorted, nowMs);
    }
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
    load = this.arrivalLoad,
  ): number {
    if (workMs === 0) return 0;
    const higher = load.ofHigherClasses(ticket, nowMs);
    const waitMs = workMs / Math.max(MIN_REMAINING_FRACTION, 1 - higher);
    if (nowMs + waitMs <= ticket.onTimeByMs) return waitMs;
    const overtaking = higher + load.ofOwnClass(ticket, nowMs);
    return workMs / Math.max(MIN_REMAINING_FRACTION, 1 - overtaking);
  }

  /** True if the ticket's wait depends on regions: the cell has several, and the ticket, a waiting one or a recent arrival may use only some. */
  private isRegional(ticket: tickets.Ticket, nowMs: number): boolean {
    this.isRegionalKnown ??=
      this.arrivalLoad.hasRegionalLoad(nowMs) ||
      (this.mayHaveRestricted &&
        this.waiting.some(({allowedRegions}) => allowedRegions !== undefined));
    if (!this.isRegionalKnown && ticket.allowedRegions === undefined) {
      return false;
    }
    const [first, ...others] = this.runners.values();
    return others.some(({server}) => server.region !== first.server.region);
  }

  /** Returns the regions of the usable runners of a ticket. */
  private usableRegions(
    ticket: tickets.Ticket,
    nowMs: number,
  ): readonly string[] {
    const kind = kindOf(ticket);
    const known = this.regionsByKind.get(kind);
    if (known) return known;
    const usable = this.usableRunners(ticket, nowMs);
    const found = [...new Set(usable.map(({server}) => server.region))];
    this.regionsByKind.set(kind, found);
    return found;
  }

  private loadIn(region: string, nowMs: number): arrivalload.ArrivalLoad {
    const known = this.loadByRegion.get(region);
    if (known) return known;
    const load = this.arrivalLoad.in(region, nowMs);
    this.loadByRegion.set(region, load);
    return load;
  }

  /** Returns the expected wait of a new ticket in the region where it starts first. */
  private regionalWaitMs(ticket: tickets.Ticket, nowMs: number): number {
    const backlog = this.backlog(
      of => this.freeMsOf(of, ticket, nowMs),
      {...ticket, allowedRegions: undefined},
      nowMs,
    );
    const ahead = this.waiting.filter(
      other => priority.compareTickets(other, ticket, nowMs) <= 0,
    );
    // Tickets with a choice go where those without one leave room.
    const hasChoice = (t: tickets.Ticket) => t.allowedRegions === undefined;
    for (const other of ahead) {
      if (!hasChoice(other)) this.addWork(backlog, other, nowMs);
    }
    for (const other of ahead) {
      if (hasChoice(other)) this.addWork(backlog, other, nowMs);
    }
    return this.leastWaitMs(backlog, ticket, nowMs);
  }

  /** Returns the expected waits of sorted tickets, each in the region where it starts first. */
  private regionalWaits(
    sorted: readonly tickets.Ticket[],
    nowMs: number,
  ): readonly {readonly ticket: tickets.Ticket; readonly waitMs: number}[] {
    const [first] = sorted;
    const any = {
      ...{...first, version: ''},
      ...{allowedRegions: undefined, excluded: undefined},
    };
    const backlog = this.backlog(() => 0, any, nowMs);
    return sorted.map(ticket => {
      const waitMs = this.leastWaitMs(backlog, ticket, nowMs);
      this.addWork(backlog, ticket, nowMs);
      return {ticket, waitMs};
    });
  }

  /** Returns an empty backlog of the regions of the runners that serve `any`. */
  private backlog(
    freeMs: (of: readonly runners.Runner[]) => number,
    any: tickets.Ticket,
    nowMs: number,
  ): regionwaits.RegionBacklog {
    const capacities = new Map<string, regionwaits.RegionCapacity>();
    for (const [region, of] of groupByRegion(this.usableRunners(any, nowMs))) {
      const {capacityPerMs} = capacityOf(of);
      capacities.set(region, {capacityPerMs, freeMs: freeMs(of)});
    }
    return new regionwaits.RegionBacklog(capacities);
  }

  private freeMsOf(
    of: readonly runners.Runner[],
    ticket: tickets.Ticket,
    nowMs: number,
  ): number {
    const fitsNow = of.some(runner => runner.fits(ticket, nowMs));
    return fitsNow ? 0 : this.nextFreeMs(of, nowMs);
  }

  /** Adds the work of a waiting ticket to a backlog. */
  private addWork(
    backlog: regionwaits.RegionBacklog,
    ticket: tickets.Ticket,
    nowMs: number,
  ): void {
    const {capacityPerMs} =
      ticket.version === '' && !tickets.hasExclusions(ticket)
        ? this.capacity(ticket, nowMs)
        : capacityOf(this.usableRunners(ticket, nowMs));
    const work = this.cellTimeMs(ticket, nowMs) * capacityPerMs;
    backlog.add(work, this.usableRegions(ticket, nowMs));
  }

  /** Returns the expected wait in the region in which the ticket starts first. */

  private leastWaitMs(
    backlog: regionwaits.RegionBacklog,
    ticket: tickets.Ticket,
    nowMs: number,
  ): number {
    let leastMs = Infinity;
    for (const region of this.usableRegions(ticket, nowMs)) {
      const load = this.loadIn(region, nowMs);
      const workMs = backlog.waitMs(region);
      const waitMs = this.withOvertaking(ticket, workMs, nowMs, load);
      leastMs = Math.min(leastMs, waitMs);
    }
    return leastMs === Infinity ? 0 : leastMs;
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

/** Returns a key that is equal for tickets that the same runners serve. */
function kindOf({
  version,
  allowedRegions,
  excluded = [],
}: tickets.Ticket): string {
  const restriction =
    allowedRegions === undefined ? '' : regions.keyOf(allowedRegions);
  return [`${restriction}${version}`, ...excluded].join('\n');
}

function capacityOf(usable: readonly runners.Runner[]): Capacity {
  const tokens = REFERENCE_PROMPT_TOKENS + REFERENCE_OUTPUT_TOKENS;
  let capacityPerMs = 0;
  let limitedPerMs = 0;
  for (const {pace, limitPerS, startsPerMs, server} of usable) {
    const {slotTokens, maxRunning} = server;
    const share = Math.max(tokens / slotTokens, 1 / maxRunning);
    const ownMs = paces.expectedMs(
      pace,
      REFERENCE_PROMPT_TOKENS,
      REFERENCE_OUTPUT_TOKENS,
    );
    capacityPerMs += Math.min(1 / (Math.max(1, ownMs) * share), startsPerMs);
    if (limitPerS !== undefined) limitedPerMs += startsPerMs;
  }
  return {capacityPerMs, startsPerMs: limitedPerMs};
}

function groupByRegion(
  all: readonly runners.Runner[],
): ReadonlyMap<string, readonly runners.Runner[]> {
  const groups = new Map<string, runners.Runner[]>();
  for (const runner of all) {
    const {region} = runner.server;
    const group = groups.get(region);
    if (group) group.push(runner);
    else groups.set(region, [runner]);
  }
  return groups;
}
