// The inputs and outputs of a cell's state machine, `cell.Cell`.

import type * as config from './config.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** Why a ticket was refused; `deadline` means that even an idle cell could not meet it. */
export type RefusalReason = 'overloaded' | 'deadline' | 'no-runner';

/** An input of a cell. */
export type CellEvent =
  | {readonly kind: 'ask'; readonly ticket: tickets.Ticket}
  | {readonly kind: 'cancel'; readonly ticketId: string}
  | {
      readonly kind: 'done';
      readonly ticketId: string;
      readonly outcome: runners.Outcome;
    }
  | {
      readonly kind: 'recover';
      readonly host: string;
      readonly running: readonly tickets.Grant[];
    }
  | {readonly kind: 'adopt'; readonly held: tickets.Grant}
  | {readonly kind: 'host-gone'; readonly host: string}
  | {
      readonly kind: 'configure';
      readonly servers: readonly config.BackendServer[];
      readonly versionsByServer: ReadonlyMap<string, readonly string[]>;
    }
  | {
      readonly kind: 'signal';
      readonly runner: string;
      readonly sign: 'live' | 'leaving' | 'unreachable';
    }
  | {readonly kind: 'tick'};

/** An action that a cell asks its keeper to carry out. */
export type CellEffect =
  | {
      readonly kind: 'grant';
      readonly ticket: tickets.Ticket;
      readonly server: config.BackendServer;
    }
  | {
      readonly kind: 'refuse';
      readonly ticket: tickets.Ticket;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };
