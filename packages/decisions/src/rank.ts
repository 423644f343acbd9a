import type * as config from './config.js';
import * as tickets from './ticket.js';

/** Tokens in use by account inside each tier. */
export class Usage {
  private constructor(
    private readonly tokensByKey: Map<string, number>,
    private readonly weightByKey: Map<string, number>,
    private readonly capacityTokens: number,
  ) {}

  /** The usage of the running tickets; waiting ones only count as claimants of a share. */
  static of(
    running: Iterable<tickets.Running>,
    waiting: readonly tickets.Ticket[],
    capacityTokens: number,
  ): Usage {
    const usage = new Usage(new Map(), new Map(), capacityTokens);
    for (const ticket of waiting) usage.count(ticket, 0);
    for (const {ticket} of running) {
      usage.count(ticket, tickets.slotTokens(ticket));
    }
    return usage;
  }

  /** True when the ticket's account already has more than its fair share of the tier. */
  isOverShare(ticket: tickets.Ticket): boolean {
    const tier = ticket.tier;
    let totalWeight = 0;
    for (const [key, weight] of this.weightByKey) {
      if (key.startsWith(`${tier}/`)) totalWeight += weight;
    }
    const share = (this.capacityTokens * ticket.weight) / totalWeight;
    const used = this.tokensByKey.get(usageKey(tier, ticket.account)) ?? 0;
    return used >= share;
  }

  /** Counts one more ticket of `tokens`; for the scheduling round that owns this usage. */
  count(ticket: tickets.Ticket, tokens: number): void {
    const key = usageKey(ticket.tier, ticket.account);
    this.tokensByKey.set(key, (this.tokensByKey.get(key) ?? 0) + tokens);
    this.weightByKey.set(key, ticket.weight);
  }
}

function usageKey(tier: config.Tier, account: string): string {
  return `${tier}/${account}`;
}

/** Orders waiting tickets: tier, then accounts under their fair share, then deadline, then arrival. */
export function ordered(
  waiting: readonly tickets.Ticket[],
  usage: Usage,
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
      a.tier - b.tier ||
      Number(isOver(a)) - Number(isOver(b)) ||
      a.deadlineMs - b.deadlineMs ||
      a.arrivedMs - b.arrivedMs ||
      (a.id < b.id ? -1 : 1),
  );
}

/** The waiting ticket to give up first: lowest tier, then the account that waits most, then the latest deadline. */
export function lastToKeep(
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
