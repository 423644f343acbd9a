/** A piece of an answer from a model engine, in the order in which it arrived. */
export type EngineEvent =
  | {readonly kind: 'part'; readonly offset: number; readonly text: string}
  | {
      readonly kind: 'end';
      readonly length: number;
      readonly finishReason: string;
      readonly usage: Usage;
    };

/** Tokens that an answer took; `cachedTokens` of the prompt were not prefilled again. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Why a call to a backend server broke, in terms of what may have run. */
export type BackendErrorKind =
  /** No connection came about: nothing was sent. */
  | 'unreachable'
  /** The backend server said that it did not admit the request. */
  | 'not-admitted'
  /** The connection broke or went silent after the request may have been sent. */
  | 'broken'
  /** The backend server answered with an error. */
  | 'failed'
  /** The backend server went away after the request may have been sent. */
  | 'gone'
  /** The stream to resume is not known there. */
  | 'unknown-stream';

/** A call to a backend server that did not end well. */
export class BackendError extends Error {
  constructor(
    readonly kind: BackendErrorKind,
    message: string,
    readonly isLeaving = false,
  ) {
    super(message);
  }

  /** True when it is proved that the request did not run. */
  get isProvenNotRun(): boolean {
    return this.kind === 'unreachable' || this.kind === 'not-admitted';
  }
}

/** A chat request for a model engine. */
export interface EngineRequest {
  readonly streamId: string;
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
}

/** What a model engine reports of itself; it lags behind. */
export interface LoadReport {
  readonly isLeaving: boolean;
  readonly running: number;
  readonly usedTokens: number;
}

/** The versions that a backend server is ordered to have; the order is absolute. */
export interface VersionSet {
  readonly fence: number;
  readonly versions: readonly string[];
}
