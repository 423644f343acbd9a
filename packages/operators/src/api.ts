import type * as decisions from '@banyanhall/decisions';

/** A change that an operator asks for. `expectedNumber` makes it fail when others came first. */
export interface ChangeRequest {
  readonly changeId: string;
  readonly author: string;
  readonly expectedNumber?: number;
  readonly edits: readonly decisions.config.Edit[];
}

/** How a change request ended; `unknown` is settled by sending the same change id again. */
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

/** Whether a configuration number is in force on one host. */
export interface InForceStatus {
  readonly host: string;
  readonly number: number;
  readonly isInForce: boolean;
}

/** One event of a host's time line; `seq` orders the events of a host. */
export interface TimelineEvent {
  readonly host: string;
  readonly seq: number;
  readonly atMs: number;
  readonly kind: string;
  readonly requestId: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** A host as another one sees it. */
export interface MemberStatus {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  readonly state: string;
  readonly callerUrl: string;
}

/** A cell as its keeper sees it. */
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

/** What a host has used since its start, and the memory it has now. */
export interface HostUsage {
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
  readonly peerItems: number;
  readonly peerBytes: number;
  readonly claimCommits: number;
  readonly claimRows: number;
}

/** The state of one host, for operators. */
export interface Status {
  readonly host: string;
  readonly isReady: boolean;
  readonly configNumber: number;
  readonly hosts: readonly MemberStatus[];
  readonly cells: readonly CellStatus[];
  readonly suspectRequests: number;
  readonly usage: HostUsage;
}

/** A request to move a service to a version by a time. */
export interface MoveRequest {
  readonly service: string;
  readonly to: string;
  readonly deadlineAtMs: number;
  readonly author: string;
}

/** What the host does for operators. Methods reject with an Error when the platform can't be reached. */
export interface OperatorApi {
  config(): decisions.config.Config;
  change(request: ChangeRequest): Promise<ChangeResult>;
  history(limit: number): Promise<readonly decisions.config.Change[]>;
  changeAt(number: number): Promise<decisions.config.Change | undefined>;
  inForce(number: number): Promise<readonly InForceStatus[]>;
  status(): Status;
  timeline(afterSeq: number): readonly TimelineEvent[];
  moves(): Promise<readonly decisions.move.Move[]>;
  startMove(request: MoveRequest): Promise<MoveResult>;
  rollBackMove(id: string, author: string): Promise<MoveResult>;
}

/** How a request about a move ended. */
export type MoveResult =
  | {readonly kind: 'accepted'; readonly move: decisions.move.Move}
  | {readonly kind: 'refused'; readonly message: string};
