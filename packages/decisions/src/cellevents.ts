// The events and effects of a cell's state machine, `cell.Cell`.

import type * as config from './config.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** Why a ticket was refused; `deadline` means that even an idle cell could not meet it. */
export type RefusalReason = 'overloaded' | 'deadline' | 'no-runner';

/** An input of a cell. */
export type CellEvent =
  /** A host sends or repeats a slot request. */
  | {readonly kind: 'ask'; readonly ticket: tickets.Ticket}
  /** A host withdraws a slot request or gives its slot back. */
  | {readonly kind: 'cancel'; readonly ticketId: string}
  /** The attempt that held the slot has ended. */
  | {
      readonly kind: 'done';
      readonly ticketId: string;
      readonly outcome: runners.Outcome;
    }
  /** A host reports all slots that it holds. */
  | {
      readonly kind: 'recover';
      readonly host: string;
      readonly running: readonly tickets.Grant[];
    }
  /** A host reports a slot that it uses without a grant from this keeper. */
  | {readonly kind: 'adopt'; readonly held: tickets.Grant}
  /** A host was lost. */
  | {readonly kind: 'host-gone'; readonly host: string}
  /** The backend servers of the cell or their versions changed. */
  | {
      readonly kind: 'configure';
      readonly servers: readonly config.BackendServer[];
      readonly versionsByServer: ReadonlyMap<string, readonly string[]>;
      /** The limits of backend servers, in requests per second; those that are left out are unchanged. */
      readonly limitPerSByServer?: ReadonlyMap<string, number>;
    }
  /** A runner's load report, or the failure to get one. */
  | {
      readonly kind: 'signal';
      readonly runner: string;
      readonly sign: 'live' | 'leaving' | 'unreachable';
    }
  /** A backend server states a limit, in requests per second, or none any more. */
  | {
      readonly kind: 'limit';
      readonly runner: string;
      readonly limitPerS: number | undefined;
    }
  /** The keeper may have been replaced for a time without noticing, as after a pause of its process. */
  | {readonly kind: 'use-unknown'}
  /** A backend server states that it is brittle, or does not any more (undefined); `part` of its slots may be used. */
  | {
      readonly kind: 'brittle';
      readonly runner: string;
      readonly part: number | undefined;
    }
  /** Time has passed: overdue slots are released, late tickets refused. */
  | {readonly kind: 'tick'};

/** An action that a cell asks its keeper to carry out. */
export type CellEffect =
  | {
      readonly kind: 'grant';
      readonly ticket: tickets.Ticket;
      readonly server: config.BackendServer;
      /** For how long the ticket waited while a runner had room for it and its limit allowed no start, in milliseconds. */
      readonly heldBackMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly ticket: tickets.Ticket;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };
