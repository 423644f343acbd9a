/**
 * The caller API: the operations a host offers to callers, independent of
 * HTTP. `app` serves it and the daemon implements it.
 */
import type * as decisions from '@banyanhall/decisions';

/** A chat request that is well-formed but not yet checked against the configuration. */
export interface ChatRequest {
  /** SHA-256 digest of the API key of the client account, in hex. */
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
  /** The idempotency key; empty if the caller sent none. */
  readonly requestKey: string;
  /** Digest of the body; distinguishes a resend from another request with the same idempotency key. */
  readonly digest: string;
  /** Id of the last event the caller received, to resume after; empty starts a new response. */
  readonly lastEventId: string;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A request to a plain service, not yet checked against the configuration. Fields shared with `ChatRequest` have the same meaning. */
export interface PlainRequest {
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  /** Path and query relative to the service. */
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly requestKey: string;
  /** Digest of service, method, path and body. */
  readonly digest: string;
  readonly signal: AbortSignal;
}

/** An event of a chat response. `eventId` encodes the stream position after it. */
export type ChatEvent =
  | {readonly kind: 'part'; readonly eventId: string; readonly text: string}
  | {
      readonly kind: 'end';
      readonly eventId: string;
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly outputTokens: number;
    };

/** A chat response in progress. Iterating `events` throws FailureError if the response breaks and cannot be resumed. */
export interface ChatResponse {
  readonly id: string;
  readonly events: AsyncIterable<ChatEvent>;
}

/** The complete response of a plain service. `isReplay` marks the stored response of an earlier request with the same idempotency key. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly isReplay: boolean;
}

/** The hosts a caller may use. `keepMs` is how long the caller may cache the list. */
export interface HostAddresses {
  readonly urls: readonly string[];
  readonly keepMs: number;
}

/** The operations a host offers to callers. `chat` and `plain` reject with FailureError if the request is rejected or fails. */
export interface CallerApi {
  /** Starts or resumes a chat response. */
  chat(request: ChatRequest): Promise<ChatResponse>;
  /** Runs a request to a plain service. */
  plain(request: PlainRequest): Promise<PlainResponse>;
  /** The hosts that a caller may use now. */
  addresses(): HostAddresses;
  /** True while the host admits new requests. */
  readonly isReady: boolean;
  /** Called at the end of every HTTP request, with its failure if it failed; feeds metrics, the timeline and logs. */
  requestEnded(failure: decisions.verdict.Failure | undefined): void;
}
