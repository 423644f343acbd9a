import type * as tickets from './ticket.js';

/** How fast arrivals in the past stop to count, in milliseconds. */
const MEMORY_MS = 1500;

/** Tells the urgencies of one tier apart; larger ones count as the largest. */
const URGENCIES = 16;

interface Rate {
  /** The part of the cell that the arrivals ask for; 1 is all of it. */
  readonly share: number;
  readonly atMs: number;
}

/** What has been asked of a cell lately, by class: how much of it goes to arrivals that pass those who wait. */
export class ArrivalLoad {
  private constructor(private readonly rates: ReadonlyMap<number, Rate>) {}

  /** Nothing was asked. */
  static readonly none = new ArrivalLoad(new Map());

  /** The inflow after a ticket that takes the whole cell for `cellMs`. */
  add(ticket: tickets.Ticket, cellMs: number, nowMs: number): ArrivalLoad {
    const key = classOf(ticket);
    const share = this.share(key, nowMs) + cellMs / MEMORY_MS;
    return new ArrivalLoad(new Map(this.rates).set(key, {share, atMs: nowMs}));
  }

  /** The part of the cell that goes to classes before that of the ticket. */
  ofHigherClasses(ticket: tickets.Ticket, nowMs: number): number {
    const own = classOf(ticket);
    let sum = 0;
    for (const key of this.rates.keys()) {
      if (key < own) sum += this.share(key, nowMs);
    }
    return sum;
  }

  /** The part of the cell that goes to the ticket's own class. */
  ofOwnClass(ticket: tickets.Ticket, nowMs: number): number {
    return this.share(classOf(ticket), nowMs);
  }

  private share(key: number, nowMs: number): number {
    const rate = this.rates.get(key);
    if (!rate) return 0;
    return rate.share * Math.exp(-(nowMs - rate.atMs) / MEMORY_MS);
  }
}

function classOf({tier, urgency}: tickets.Ticket): number {
  return tier * URGENCIES + Math.min(URGENCIES - 1, urgency);
}
