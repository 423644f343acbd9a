import type * as config from './config.js';

/**
 * A slot request in the queue of a cell; it stays a ticket once granted. Times are in milliseconds on the
 * clock of the cell's keeper.
 */
export interface Ticket {
  readonly id: string;
  readonly host: string;
  /** The region of the host, to which the answer is sent. */
  readonly region: string;
  readonly account: string;
  /** The weight of the account in the fair sharing of its tier. */
  readonly weight: number;
  readonly tier: config.Tier;
  /** The order within a tier; lower values go first. */
  readonly urgency: number;
  readonly deadlineMs: number;
  /** The time after which the caller stops waiting for the first token. */
  readonly firstByMs: number;
  /** The first-token objective: the time by which the first token should arrive; a later one is less useful to the caller. */
  readonly onTimeByMs: number;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The chained hashes of the prompt's leading blocks, from `prefixcache.blockHashes`. */
  readonly chain: readonly number[];
  /** The version of the service to run on; empty means any. */
  readonly version: string;
  readonly isSuspect: boolean;
  /** True if the request goes on without a slot; undefined means false. */
  readonly isOptional?: boolean;
  /** The regions of the runners that may be used; undefined means all, an empty list none. */
  readonly allowedRegions?: readonly string[];
  /** Runners on which earlier attempts failed; other runners are preferred. */
  readonly avoid: readonly string[];
  /** Runners that may not be used, since they accept nothing from the ticket's host now; undefined means none. */
  readonly excluded?: readonly string[];
}

/** The assignment of a slot on a runner to a ticket. */
export interface Grant {
  readonly ticket: Ticket;
  readonly runner: string;
  readonly grantedMs: number;
}

/** Returns the tokens of a runner's budget that a ticket occupies while it runs. */
export function slotTokens(ticket: Ticket): number {
  return ticket.promptTokens + ticket.outputTokens;
}

/** Returns true if some runners accept nothing from the ticket's host now. */
export function hasExclusions({excluded = []}: Ticket): boolean {
  return excluded.length > 0;
}
