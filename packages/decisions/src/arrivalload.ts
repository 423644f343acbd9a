import type * as tickets from './ticket.js';

/** The time constant with which past arrivals decay, in milliseconds. */
const DECAY_MS = 1500;

/** A region whose load by restricted tickets is below this is forgotten. */
const MIN_SHARE = 0.001;

/** The number of urgencies that are distinguished within a tier; higher values count as the last one. */
const URGENCY_LEVELS = 16;

interface DecayedLoad {
  /** The fraction of the cell's capacity that arrivals need; above 1 if they need more than it has. */
  readonly share: number;
  readonly atMs: number;
}

/**
 * The recent load of arrivals on a cell by priority class (tier and urgency).
 * It predicts how much capacity goes to arrivals that overtake waiting tickets.
 */
export class ArrivalLoad {
  private constructor(
    private readonly loadByClass: ReadonlyMap<number, DecayedLoad>,
    /** The load of each region by arrivals that may use only some regions; it comes on top. */
    private readonly byRegion: ReadonlyMap<string, ArrivalLoad> = new Map(),
  ) {}

  /** No arrivals. */
  static readonly none = new ArrivalLoad(new Map());

  /** Adds an arrival that would occupy the whole cell for `cellMs`. */
  add(ticket: tickets.Ticket, cellMs: number, nowMs: number): ArrivalLoad {
    const key = priorityClass(ticket);
    const share = this.share(key, nowMs) + cellMs / DECAY_MS;
    return new ArrivalLoad(
      new Map(this.loadByClass).set(key, {share, atMs: nowMs}),
      this.byRegion,
    );
  }

  /** Adds an arrival that may use only these regions, and would occupy them for `cellMs`. */
  addIn(
    regions: readonly string[],
    ticket: tickets.Ticket,
    cellMs: number,
    nowMs: number,
  ): ArrivalLoad {
    const byRegion = new Map(
      [...this.byRegion].filter(([, load]) => load.total(nowMs) >= MIN_SHARE),
    );
    for (const region of regions) {
      const load = byRegion.get(region) ?? ArrivalLoad.none;
      byRegion.set(region, load.add(ticket, cellMs, nowMs));
    }
    return new ArrivalLoad(this.loadByClass, byRegion);
  }

  /** True if the load differs between regions. */
  hasRegionalLoad(nowMs: number): boolean {
    if (this.byRegion.size === 0) return false;
    return [...this.byRegion.values()].some(
      load => load.total(nowMs) >= MIN_SHARE,
    );
  }

  /** Returns the load of a region: that of all arrivals that may use it. */
  in(region: string, nowMs: number): ArrivalLoad {
    const regional = this.byRegion.get(region);
    if (!regional) return this;
    const loadByClass = new Map(this.loadByClass);
    for (const key of regional.loadByClass.keys()) {
      const share = this.share(key, nowMs) + regional.share(key, nowMs);
      loadByClass.set(key, {share, atMs: nowMs});
    }
    return new ArrivalLoad(loadByClass);
  }

  private total(nowMs: number): number {
    let sum = 0;
    for (const key of this.loadByClass.keys()) sum += this.share(key, nowMs);
    return sum;
  }

  /** Returns the fraction of the cell that arrivals of classes above that of the ticket need. */
  ofHigherClasses(ticket: tickets.Ticket, nowMs: number): number {
    const own = priorityClass(ticket);
    let sum = 0;
    for (const key of this.loadByClass.keys()) {
      if (key < own) sum += this.share(key, nowMs);
    }
    return sum;
  }

  /** Returns the fraction of the cell that arrivals of the ticket's own class need. */
  ofOwnClass(ticket: tickets.Ticket, nowMs: number): number {
    return this.share(priorityClass(ticket), nowMs);
  }

  private share(key: number, nowMs: number): number {
    const load = this.loadByClass.get(key);
    if (!load) return 0;
    return load.share * Math.exp(-(nowMs - load.atMs) / DECAY_MS);
  }
}

/** Returns the priority class of a ticket as a number; lower numbers go first. */
function priorityClass({tier, urgency}: tickets.Ticket): number {
  return tier * URGENCY_LEVELS + Math.min(URGENCY_LEVELS - 1, urgency);
}
