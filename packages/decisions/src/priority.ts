// The order in which a cell grants waiting tickets, and fair sharing between
// the accounts of a tier.

import type * as config from './config.js';
import * as tickets from './ticket.js';

/** The half-life of past usage, in milliseconds. */
export const USAGE_HALF_LIFE_MS = 10_000;

/** Recorded usage below this is dropped, and an account is over its share only by more than this, in tokens. */
const MIN_TOKENS = 1;

/** The tokens that each account used recently in each tier; usage decays with `USAGE_HALF_LIFE_MS`. */
export class RecentUsage {
  private constructor(
    private readonly tokensByKey: ReadonlyMap<string, number>,
    private readonly atMs: number,
  ) {}

  /** No usage. */
  static readonly none = new RecentUsage(new Map(), 0);

  /** Adds the usage of a ticket that released its slot at `nowMs`. */
  add(ticket: tickets.Ticket, nowMs: number): RecentUsage {
    const decay = this.decay(nowMs);
    const tokens = new Map<string, number>();
    for (const [key, used] of this.tokensByKey) {
      if (used * decay >= MIN_TOKENS) tokens.set(key, used * decay);
    }
    const key = usageKey(ticket.tier, ticket.account);
    tokens.set(key, (tokens.get(key) ?? 0) + tickets.slotTokens(ticket));
    return new RecentUsage(tokens, nowMs);
  }

  /** Returns the decayed tokens under a usage key, which names an account in a tier. */
  tokens(key: string, nowMs: number): number {
    return (this.tokensByKey.get(key) ?? 0) * this.decay(nowMs);
  }

  private decay(nowMs: number): number {
    return 2 ** (-(nowMs - this.atMs) / USAGE_HALF_LIFE_MS);
  }
}

/** The usage of an account in a tier, in tokens. */
interface AccountUsage {
  readonly tier: config.Tier;
  readonly weight: number;
  readonly tokens: number;
}

/** The current and recent usage of each account in its tier, compared with its weighted fair share. */
export class FairShares {
  private constructor(private readonly accounts: Map<string, AccountUsage>) {}

  /** Computes the shares of the accounts with running or waiting tickets. */
  static of(
    running: Iterable<tickets.Grant>,
    waiting: readonly tickets.Ticket[],
    recent: RecentUsage,
    nowMs: number,
  ): FairShares {
    const shares = new FairShares(new Map());
    const addTokens = (ticket: tickets.Ticket, tokens: number) => {
      const {tier, weight} = ticket;
      const key = usageKey(tier, ticket.account);
      const before =
        shares.accounts.get(key)?.tokens ?? recent.tokens(key, nowMs);
      shares.accounts.set(key, {tier, weight, tokens: before + tokens});
    };
    for (const ticket of waiting) addTokens(ticket, 0);
    for (const {ticket} of running)
      addTokens(ticket, tickets.slotTokens(ticket));
    return shares;
  }

  /** Returns true if the ticket's account uses more than its fair share of its tier's tokens. */
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
    return (own?.tokens ?? 0) > share + MIN_TOKENS;
  }
}

function usageKey(tier: config.Tier, account: string): string {
  return `${tier}/${account}`;
}

/**
 * Compares two tickets without regard to fair shares: by tier, urgency,
 * whether the time of the first-token objective has passed, and that time.
 */
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

/** The expected times of a ticket on a good runner, from its dispatch to the first token and to the end, in milliseconds. */
export interface ExpectedTimes {
  readonly firstTokenMs: number;
  readonly answerMs: number;
}

/** Returns the expected times of a ticket. */
export type TimesOf = (ticket: tickets.Ticket) => ExpectedTimes;

/** An objective shorter than this multiple of a ticket's lead time is taken to be that long, since few runners could ever meet it. */
const MIN_OBJECTIVE_LEADS = 2;

/** The last time at which a ticket can be dispatched for its objective. */
function lastStartMs(ticket: tickets.Ticket, leadMs: number): number {
  const leastMs = ticket.arrivedMs + leadMs * MIN_OBJECTIVE_LEADS;
  return Math.max(ticket.onTimeByMs, leastMs) - leadMs;
}

/** The first tickets are found by a search each, since often few slots are free; then the rest is sorted. */
const SEARCHED_TICKETS = 4;

/**
 * Yields waiting tickets by tier, urgency, whether the account is over its fair
 * share, whether it is too late to start for the first-token objective, the
 * last time for that plus the time for which the ticket would hold its slot,
 * and arrival; lower values and tickets for which neither holds come first. A
 * ticket that is too late would make those behind it late, a long one more of
 * them than a short one; it is overtaken only by those that come within the
 * time of its own answer.
 */
export function* inPriorityOrder(
  waiting: readonly tickets.Ticket[],
  shares: () => FairShares,
  timesOf: TimesOf,
  nowMs: number,
): Generator<tickets.Ticket> {
  if (waiting.length <= 1) return yield* waiting;
  const compare = comparator(shares(), timesOf, nowMs);
  const remaining = new Set(waiting);
  for (let i = 0; i < SEARCHED_TICKETS && remaining.size > 0; i++) {
    let first: tickets.Ticket | undefined;
    for (const ticket of remaining) {
      if (!first || compare(ticket, first) < 0) first = ticket;
    }
    remaining.delete(first as tickets.Ticket);
    yield first as tickets.Ticket;
  }
  yield* [...remaining].sort(compare);
}

function comparator(
  shares: FairShares,
  timesOf: TimesOf,
  nowMs: number,
): (a: tickets.Ticket, b: tickets.Ticket) => number {
  const overShareByKey = new Map<string, boolean>();
  const isOverShare = (ticket: tickets.Ticket): boolean => {
    const key = usageKey(ticket.tier, ticket.account);
    let known = overShareByKey.get(key);
    if (known === undefined) {
      known = shares.isOverShare(ticket);
      overShareByKey.set(key, known);
    }
    return known;
  };
  const startOf = (ticket: tickets.Ticket) =>
    lastStartMs(ticket, timesOf(ticket).firstTokenMs);
  const dueOf = (ticket: tickets.Ticket) =>
    startOf(ticket) + timesOf(ticket).answerMs;
  return (a, b) => {
    const byClass = compareClass(a, b);
    if (byClass !== 0) return byClass;
    const byShare = Number(isOverShare(a)) - Number(isOverShare(b));
    if (byShare !== 0) return byShare;
    const startA = startOf(a);
    const startB = startOf(b);
    return (
      Number(nowMs > startA) - Number(nowMs > startB) ||
      dueOf(a) - dueOf(b) ||
      a.arrivedMs - b.arrivedMs ||
      (a.id < b.id ? -1 : 1)
    );
  };
}

/**
 * Returns the waiting ticket to evict first: of the lowest tier, of the
 * account with the most waiting tickets, with the latest deadline.
 */
export function evictionCandidate(
  waiting: readonly tickets.Ticket[],
): tickets.Ticket | undefined {
  const counts = new Map<string, number>();
  for (const ticket of waiting) {
    const key = usageKey(ticket.tier, ticket.account);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const waitingOfAccount = (ticket: tickets.Ticket): number =>
    counts.get(usageKey(ticket.tier, ticket.account)) ?? 0;
  return [...waiting].sort(
    (a, b) =>
      b.tier - a.tier ||
      waitingOfAccount(b) - waitingOfAccount(a) ||
      b.deadlineMs - a.deadlineMs,
  )[0];
}
