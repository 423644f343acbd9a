import type * as config from './config.js';
import type * as runners from './runner.js';
import type * as tickets from './ticket.js';

/** Why a ticket was turned away: `deadline` means it could not be met even on an idle cell. */
export type RefusalReason = 'overloaded' | 'deadline' | 'no-runner';

/** What a cell is told. */
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

/** What a cell wants done. */
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
