import type * as decisions from '@banyanhall/decisions';

/** A chat request, parsed but not yet checked against the configuration. */
export interface ChatRequest {
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly messages: readonly unknown[];
  readonly maxTokens: number;
  readonly requestKey: string;
  /** Digest of the arguments, to tell a resend from another request. */
  readonly digest: string;
  /** The last event that the caller has; empty starts a new answer. */
  readonly lastEventId: string;
  /** Aborted when the caller has left. */
  readonly signal: AbortSignal;
}

/** A call to a plain service, parsed but not yet checked against the configuration. */
export interface PlainRequest {
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly requestKey: string;
  readonly digest: string;
  readonly signal: AbortSignal;
}

/** One event of a streamed answer; `eventId` is the position after it. */
export type ChatEvent =
  | {readonly kind: 'part'; readonly eventId: string; readonly text: string}
  | {
      readonly kind: 'end';
      readonly eventId: string;
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly outputTokens: number;
    };

/** An answer that has begun; iterating it throws FailureError when it breaks for good. */
export interface ChatResponse {
  readonly id: string;
  readonly events: AsyncIterable<ChatEvent>;
}

/** A whole answer of a plain service, or a stored one that is told again. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly isReplay: boolean;
}

/** Which hosts a caller may use, and for how long it may keep this answer. */
export interface HostAddresses {
  readonly urls: readonly string[];
  readonly keepMs: number;
}

/** What the host does for callers; every method throws FailureError to refuse. */
export interface CallerApi {
  chat(call: ChatRequest): Promise<ChatResponse>;
  plain(call: PlainRequest): Promise<PlainResponse>;
  addresses(): HostAddresses;
  /** True when the host takes new work. */
  readonly isReady: boolean;
  /** Told about every request that ended, for metrics and logs. */
  requestEnded(failure: decisions.verdict.Failure | undefined): void;
}
