// Types that hosts and backend servers exchange. A model engine is a backend
// server that answers chat requests with a stream of text; a plain service
// answers each request with one HTTP response. The calls are in client.ts.

/**
 * An event of a chat response, in order of arrival: any number of parts with
 * text, then one end. Offsets and lengths count UTF-16 code units of the whole
 * response.
 */
export type EngineEvent =
  | {readonly kind: 'part'; readonly offset: number; readonly text: string}
  | {
      readonly kind: 'end';
      readonly length: number;
      readonly finishReason: string;
      readonly usage: Usage;
    };

/** Token counts of a chat response; `cachedTokens` is the part of the prompt served from the prefix cache. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Why a call to a backend server failed. Only `unreachable` and `not-admitted` prove that the request did not run. */
export type BackendErrorKind =
  /** No connection was established, so nothing was sent. */
  | 'unreachable'
  /** The backend server answered that it did not admit the request. */
  | 'not-admitted'
  /** The connection broke, or there was no progress in time, when the request may already have been sent. */
  | 'broken'
  /** The backend server answered with an unexpected status. */
  | 'failed'
  /** After a broken connection the backend server cannot be reached, so it has probably crashed; the request may have run. */
  | 'gone'
  /** The backend server does not know the stream to resume. */
  | 'unknown-stream';

/** A failed call to a backend server; `isLeaving` means that the server did not admit the request because it is being taken out of service. */
export class BackendError extends Error {
  constructor(
    readonly kind: BackendErrorKind,
    message: string,
    readonly isLeaving = false,
  ) {
    super(message);
  }

  /** True when the failure proves that the request did not run, so that a retry is safe. */
  get isProvenNotRun(): boolean {
    return this.kind === 'unreachable' || this.kind === 'not-admitted';
  }
}

/** A chat request to a model engine; `streamId` identifies its response in later resume and cancel calls. */
export interface EngineRequest {
  readonly streamId: string;
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
}

/** The load that a backend server reports; the server refreshes it periodically, so it may be stale. */
export interface LoadReport {
  /** True when the server is being taken out of service. */
  readonly isLeaving: boolean;
  /** Requests that are running. */
  readonly running: number;
  /** Tokens of KV cache in use; 0 at a plain service. */
  readonly usedTokens: number;
}

/** The complete set of versions that a backend server serves, with the fence of the version move that set it. */
export interface VersionSet {
  readonly fence: number;
  readonly versions: readonly string[];
}
