import type * as config from './config.js';

/** A request that asks a cell for a slot; times are on the clock of the cell's keeper. */
export interface Ticket {
  readonly id: string;
  readonly host: string;
  /** The region of the host, where the answer has to go. */
  readonly region: string;
  readonly account: string;
  readonly weight: number;
  readonly tier: config.Tier;
  /** Orders the tickets of a tier; lower ones go first. */
  readonly urgency: number;
  readonly deadlineMs: number;
  /** The latest first token that the caller waits for. */
  readonly firstByMs: number;
  /** The latest first token that is on time; a later one is worth less to the caller. */
  readonly onTimeByMs: number;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hashes of the leading blocks of the prompt. */
  readonly chain: readonly number[];
  /** The version to be reached; empty means any. */
  readonly version: string;
  readonly isSuspect: boolean;
  /** Runners that failed the request before; others are preferred. */
  readonly avoid: readonly string[];
}

/** A ticket that holds a slot on a runner. */
export interface Grant {
  readonly ticket: Ticket;
  readonly runner: string;
  readonly grantedMs: number;
}

/** The tokens that a ticket occupies on a runner while it runs. */
export function slotTokens(ticket: Ticket): number {
  return ticket.promptTokens + ticket.outputTokens;
}
