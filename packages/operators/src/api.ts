/**
 * The operator API: the operations a host offers to operators and the JSON
 * bodies they exchange. `app` serves it over HTTP and the daemon implements
 * it. Property names are part of the HTTP API.
 */
import type * as decisions from '@banyanhall/decisions';

/**
 * A configuration change requested by an operator. `changeId` makes resending
 * it idempotent. With `expectedNumber`, the change is rejected as a conflict
 * unless the configuration is still at that number.
 */
export interface ChangeRequest {
  readonly changeId: string;
  readonly author: string;
  readonly expectedNumber?: number;
  readonly edits: readonly decisions.config.Edit[];
}

/**
 * The outcome of a change request. `committed` has the number of the new
 * change. `conflict` has the current configuration number and the changes
 * committed since the expected one. `unavailable` means that the host could not
 * reach the platform. `unknown` means that the commit could not be confirmed;
 * resending the request with the same change id resolves it.
 */
export type ChangeResult =
  | {readonly kind: 'committed'; readonly number: number}
  | {
      readonly kind: 'conflict';
      readonly number: number;
      readonly since: readonly decisions.config.Change[];
    }
  | {readonly kind: 'invalid'; readonly mistakes: readonly string[]}
  | {readonly kind: 'unavailable'; readonly message: string}
  | {readonly kind: 'unknown'; readonly message: string};

/**
 * Whether one host has applied a given configuration change. `number` is the
 * latest configuration number known for that host.
 */
export interface InForceStatus {
  readonly host: string;
  readonly number: number;
  readonly isInForce: boolean;
}

/**
 * An event in a host's timeline. `seq` increases by one with every event of
 * that host; `atMs` is wall-clock time. `requestId` is empty for events that
 * do not belong to a request.
 */
export interface TimelineEvent {
  readonly host: string;
  readonly seq: number;
  readonly atMs: number;
  readonly kind: string;
  readonly requestId: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** A member (a host as the membership protocol sees it) in the view of the answering host. */
export interface MemberStatus {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  readonly state: string;
  readonly callerUrl: string;
}

/**
 * The state of a cell as its keeper sees it: `waiting` counts the queued
 * tickets, `running` the requests that hold a slot.
 */
export interface CellStatus {
  readonly cell: string;
  readonly keeper: string;
  readonly waiting: number;
  readonly running: number;
  readonly runners: readonly {
    readonly name: string;
    readonly state: string;
    readonly running: number;
    readonly decodeTokensPerS: number;
  }[];
}

/**
 * Resource usage of a host. `heapBytes` and `rssBytes` are current values;
 * the other fields are totals since the host started. `peerItems` and
 * `peerBytes` count what it sent to other hosts; `claimCommits` and `claimRows`
 * count the committed transactions with claims and the rows in them.
 */
export interface HostUsage {
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
  readonly peerItems: number;
  readonly peerBytes: number;
  readonly claimCommits: number;
  readonly claimRows: number;
}

/** The state of the host that answers, as shown to operators. */
export interface Status {
  readonly host: string;
  readonly isReady: boolean;
  readonly configNumber: number;
  readonly hosts: readonly MemberStatus[];
  readonly cells: readonly CellStatus[];
  /** How many suspect requests the host knows: requests in flight when backend servers crashed. */
  readonly suspectRequests: number;
  readonly usage: HostUsage;
}

/**
 * A request to start a version move: switch `service` to version `to` before
 * `deadlineAtMs` (wall-clock time).
 */
export interface MoveRequest {
  readonly service: string;
  readonly to: string;
  readonly deadlineAtMs: number;
  readonly author: string;
}

/**
 * The operations a host offers to operators. When the platform is unreachable,
 * `change` returns `unavailable` or `unknown`; `history`, `changeAt` and the
 * methods for version moves reject with an Error.
 */
export interface OperatorApi {
  /** The configuration that this host has applied. */
  config(): decisions.config.Config;
  /** Commits a change; its edits must have been validated. */
  change(request: ChangeRequest): Promise<ChangeResult>;
  /** The latest changes, oldest first, at most `limit`. */
  history(limit: number): Promise<readonly decisions.config.Change[]>;
  /** The change with this number, or undefined if there is none. */
  changeAt(number: number): Promise<decisions.config.Change | undefined>;
  /** Whether each live member has applied the change with this number; probes the members first. */
  inForce(number: number): Promise<readonly InForceStatus[]>;
  /** The state of this host. */
  status(): Status;
  /** The retained events whose `seq` is above `afterSeq`. */
  timeline(afterSeq: number): readonly TimelineEvent[];
  /** All version moves on record. */
  moves(): Promise<readonly decisions.move.Move[]>;
  /** Starts a version move. */
  startMove(request: MoveRequest): Promise<MoveResult>;
  /** Starts the roll back of the version move with this id; `accepted` does not mean that it is complete. */
  rollBackMove(id: string, author: string): Promise<MoveResult>;
}

/** The outcome of starting or rolling back a version move. */
export type MoveResult =
  | {readonly kind: 'accepted'; readonly move: decisions.move.Move}
  | {readonly kind: 'refused'; readonly message: string};
