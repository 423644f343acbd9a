import type * as config from './config.js';
import * as tickets from './ticket.js';

/** How fast use in the past stops to count, in milliseconds. */
export const USAGE_HALF_LIFE_MS = 10_000;

const LEAST_TOKENS = 1;

/** Tokens that accounts used lately, by tier; past use fades with `USE_HALF_LIFE_MS`. */
export class RecentUsage {
  private constructor(
    private readonly tokensByKey: ReadonlyMap<string, number>,
    private readonly atMs: number,
  ) {}

  /** Nothing was used. */
  static readonly none = new RecentUsage(new Map(), 0);

  /** The use after a ticket gave its slot back at `nowMs`. */
  add(ticket: tickets.Ticket, nowMs: number): RecentUsage {
    const fade = this.fade(nowMs);
    const tokens = new Map<string, number>();
    for (const [key, used] of this.tokensByKey) {
      if (used * fade >= LEAST_TOKENS) tokens.set(key, used * fade);
    }
    const key = usageKey(ticket.tier, ticket.account);
    tokens.set(key, (tokens.get(key) ?? 0) + tickets.slotTokens(ticket));
    return new RecentUsage(tokens, nowMs);
  }

  /** The tokens that an account used lately in a tier. */
  tokens(key: string, nowMs: number): number {
    return (this.tokensByKey.get(key) ?? 0) * this.fade(nowMs);
  }

  private fade(nowMs: number): number {
    return 2 ** (-(nowMs - this.atMs) / USAGE_HALF_LIFE_MS);
  }
}

interface Account {
  readonly tier: config.Tier;
  readonly weight: number;
  readonly tokens: number;
}

/** How much each account uses of its tier, now and lately, against its fair share. */
export class FairShares {
  private constructor(private readonly accounts: Map<string, Account>) {}

  /** The usage of the accounts that run or wait. */
  static of(
    running: Iterable<tickets.Grant>,
    waiting: readonly tickets.Ticket[],
    recent: RecentUsage,
    nowMs: number,
  ): FairShares {
    const usage = new FairShares(new Map());
    const enter = (ticket: tickets.Ticket, tokens: number) => {
      const {tier, weight} = ticket;
      const key = usageKey(tier, ticket.account);
      const before =
        usage.accounts.get(key)?.tokens ?? recent.tokens(key, nowMs);
      usage.accounts.set(key, {tier, weight, tokens: before + tokens});
    };
    for (const ticket of waiting) enter(ticket, 0);
    for (const {ticket} of running) enter(ticket, tickets.slotTokens(ticket));
    return usage;
  }

  /** True when the ticket's account has more than its fair share of what its tier uses. */
  isOverShare(ticket: tickets.Ticket): boolean {
    let totalWeight = 0;
    let totalTokens = 0;
    for (const {tier, weight, tokens} of this.accounts.values()) {
      if (tier !== ticket.tier) continue;
      totalWeight += weight;
      totalTokens += tokens;
    }
    const own = this.accounts.get(usageKey(ticket.tier, ticket.account));
    const share = (totalTokens * ticket.weight) / totalWeight;
    return (own?.tokens ?? 0) > share + LEAST_TOKENS;
  }
}

function usageKey(tier: config.Tier, account: string): string {
  return `${tier}/${account}`;
}

/** Orders tickets of one account by what they need: tier, urgency, those that can still be on time, the time by which they have to be. */
export function compareTickets(
  a: tickets.Ticket,
  b: tickets.Ticket,
  nowMs: number,
): number {
  return compareClass(a, b) || compareTime(a, b, nowMs);
}

function compareClass(a: tickets.Ticket, b: tickets.Ticket): number {
  return a.tier - b.tier || a.urgency - b.urgency;
}

function compareTime(
  a: tickets.Ticket,
  b: tickets.Ticket,
  nowMs: number,
): number {
  return (
    Number(nowMs > a.onTimeByMs) - Number(nowMs > b.onTimeByMs) ||
    a.onTimeByMs - b.onTimeByMs
  );
}

/**
 * Orders waiting tickets: tier, urgency, then accounts under their fair share, then
 * those that can still be on time, then the time by which they have to be,
 * then arrival.
 */
export function sortByPriority(
  waiting: readonly tickets.Ticket[],
  usage: FairShares,
  nowMs: number,
): readonly tickets.Ticket[] {
  const over = new Map<string, boolean>();
  const isOver = (ticket: tickets.Ticket): boolean => {
    const key = usageKey(ticket.tier, ticket.account);
    let known = over.get(key);
    if (known === undefined) {
      known = usage.isOverShare(ticket);
      over.set(key, known);
    }
    return known;
  };
  return [...waiting].sort(
    (a, b) =>
      compareClass(a, b) ||
      Number(isOver(a)) - Number(isOver(b)) ||
      compareTime(a, b, nowMs) ||
      a.arrivedMs - b.arrivedMs ||
      (a.id < b.id ? -1 : 1),
  );
}

/** The waiting ticket to give up first: lowest tier, then the account that waits most, then the latest deadline. */
export function evictionCandidate(
  waiting: readonly tickets.Ticket[],
): tickets.Ticket | undefined {
  const counts = new Map<string, number>();
  for (const ticket of waiting) {
    const key = usageKey(ticket.tier, ticket.account);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const crowd = (ticket: tickets.Ticket): number =>
    counts.get(usageKey(ticket.tier, ticket.account)) ?? 0;
  return [...waiting].sort(
    (a, b) =>
      b.tier - a.tier || crowd(b) - crowd(a) || b.deadlineMs - a.deadlineMs,
  )[0];
}
