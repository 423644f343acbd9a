import * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as dispatcher from './dispatcher.js';
import * as deadlines from '@banyanhall/fleet/deadlines.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** A parsed request before validation. */
export interface IncomingRequest {
  /** SHA-256 digest of the API key, in hex. */
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly kind: decisions.config.Service['kind'];
  /** The idempotency key; empty if the caller sent none. */
  readonly requestKey: string;
  /** Digest of the arguments. */
  readonly digest: string;
  /** Text of the request, from which its fingerprint and prefix blocks are derived. */
  readonly content: string;
  readonly outputTokens: number;
  readonly signal: AbortSignal;
}

/** Dependencies of `Requests`. */
export interface RequestsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly timeline: timelines.Timeline;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly config: () => decisions.config.Config;
  /** True while the host accepts new requests. */
  readonly isAccepting: () => boolean;
}

/** A prepared request, or the stored answer of an earlier one with the same idempotency key. */
export type Preparation =
  | {readonly kind: 'prepared'; readonly request: dispatcher.PreparedRequest}
  | dispatcher.ReplayedAnswer;

/** Validates requests against the configuration and the account limits before a slot is requested, and counts those in flight. */
export class Requests {
  private readonly inFlight = new Map<string, number>();
  private lastSequence = 0;

  constructor(private readonly options: RequestsOptions) {}

  /** Number of requests in flight. */
  get total(): number {
    return [...this.inFlight.values()].reduce((sum, n) => sum + n, 0);
  }

  /** Looks up the account of an API key; throws FailureError when there is none. */
  account(keySha256: string): decisions.config.Account {
    const account = this.options.config().accountForKey(keySha256);
    return account ?? refuse('unauthorized', 'the key is not known');
  }

  /** Validates a request and prepares its slot request. Throws FailureError; its verdict is not-run, unless an earlier request with the same idempotency key may have run. */
  async prepare(incoming: IncomingRequest): Promise<Preparation> {
    const policy = decisions.policy.resolvePolicy(
      this.options.config(),
      incoming,
    );
    if ('kind' in policy) throw new decisions.verdict.FailureError(policy);
    const {account, profile, service} = policy;
    const requestId = this.nextRequestId();
    this.options.timeline.record('received', requestId, {
      account: account.name,
      service: service.name,
      tier: profile.tier,
      key: incoming.requestKey,
    });
    const fingerprint = callers.parse.digestOfParts(
      service.name,
      incoming.content,
    );
    this.checkLimits(account, fingerprint);
    const claim = claimOf(incoming, policy, requestId);
    const receipt = claim && (await this.options.claims.lookup(claim));
    if (receipt) return {kind: 'replayed', receipt};
    const nowMs = this.options.clock.monotonicMs();
    const isModel = service.kind === 'model';
    const limited = deadlines.withDeadline(incoming.signal, profile.deadlineMs);
    return {
      kind: 'prepared',
      request: {
        requestId,
        policy,
        fingerprint,
        claim,
        signal: limited.signal,
        clearDeadline: limited.clear,
        slotRequest: {
          requestId,
          service,
          account,
          tier: profile.tier,
          deadlineMs: nowMs + profile.deadlineMs,
          promptTokens: isModel
            ? decisions.prefixcache.estimateTokens(incoming.content)
            : 0,
          outputTokens: incoming.outputTokens,
          chain: isModel
            ? decisions.prefixcache.blockHashes(incoming.content)
            : [],
        },
      },
    };
  }

  /** Counts a request as in flight for its account until `work` settles. */
  async countWhile<T>(account: string, work: () => Promise<T>): Promise<T> {
    const stopCounting = this.countInFlight(account);
    try {
      return await work();
    } finally {
      stopCounting();
    }
  }

  /** Counts a request as in flight for its account until the returned function is called. */
  countInFlight(account: string): () => void {
    this.inFlight.set(account, (this.inFlight.get(account) ?? 0) + 1);
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      const remaining = (this.inFlight.get(account) ?? 1) - 1;
      if (remaining > 0) this.inFlight.set(account, remaining);
      else this.inFlight.delete(account);
    };
  }

  private nextRequestId(): string {
    this.lastSequence++;
    return `${this.options.host}-${process.pid}-${this.lastSequence}`;
  }

  private checkLimits(
    account: decisions.config.Account,
    fingerprint: string,
  ): void {
    if (!this.options.isAccepting()) {
      refuse(
        'host-stopping',
        'this host accepts no new requests; use another host',
      );
    }
    const inFlight = this.inFlight.get(account.name) ?? 0;
    if (inFlight >= account.maxInFlight) {
      refuse(
        'account-limit',
        `the account has reached its limit of ${account.maxInFlight} requests in flight`,
      );
    }
    if (this.options.crashes.statusOf(fingerprint) === 'refused') {
      refuse(
        'suspect-request',
        'backend servers crashed while running this request; it is not run again',
      );
    }
  }
}

function claimOf(
  incoming: IncomingRequest,
  policy: decisions.policy.RequestPolicy,
  requestId: string,
): claimsModule.ClaimRequest | undefined {
  if (policy.profile.idempotent) return undefined;
  const {requestKey, digest} = incoming;
  if (requestKey === '') {
    refuse(
      'missing-idempotency-key',
      'a request that may run only once needs the header Idempotency-Key',
    );
  }
  return {account: policy.account.name, requestKey, digest, requestId};
}

/** Throws a FailureError with the verdict not-run. */
export function refuse(
  type: decisions.verdict.FailureType,
  message: string,
): never {
  return callers.parse.refuse(type, message);
}
