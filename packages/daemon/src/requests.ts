import * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as dispatcher from './dispatcher.js';
import * as limits from '@banyanhall/fleet/limits.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** What is known of a request before it is prepared. */
export interface Incoming {
  readonly keySha256: string;
  readonly profile: string;
  readonly service: string;
  readonly kind: decisions.config.Service['kind'];
  readonly requestKey: string;
  readonly digest: string;
  /** The text that the request is about: its fingerprint and prefix come from it. */
  readonly content: string;
  readonly outputTokens: number;
  readonly signal: AbortSignal;
}

/** What `Requests` needs from the rest of the host. */
export interface RequestsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly timeline: timelines.Timeline;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly config: () => decisions.config.Config;
  /** True while the host takes new work. */
  readonly isOpen: () => boolean;
}

/** A prepared request, or the stored answer of an earlier attempt. */
export type Preparation =
  | {readonly kind: 'prepared'; readonly request: dispatcher.Prepared}
  | dispatcher.Replayed;

/** Checks requests against the configuration and the limits, before anything is asked of others. */
export class Requests {
  private readonly inFlight = new Map<string, number>();
  private count = 0;

  constructor(private readonly options: RequestsOptions) {}

  /** How many requests are on their way. */
  get total(): number {
    return [...this.inFlight.values()].reduce((sum, n) => sum + n, 0);
  }

  /** The account that a key belongs to; throws FailureError. */
  account(keySha256: string): decisions.config.Account {
    const account = this.options.config().accountForKey(keySha256);
    return account ?? refuse('unauthorized', 'the key is not known');
  }

  /** Checks a request and prepares it; throws FailureError (not-run). */
  async prepare(incoming: Incoming): Promise<Preparation> {
    const terms = decisions.policy.resolvePolicy(
      this.options.config(),
      incoming,
    );
    if ('kind' in terms) throw new decisions.verdict.FailureError(terms);
    const {account, profile, service} = terms;
    const requestId = this.nextId();
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
    const claim = claimOf(incoming, terms, requestId);
    const receipt = claim && (await this.options.claims.lookup(claim));
    if (receipt) return {kind: 'replayed', receipt};
    const nowMs = this.options.clock.monotonicMs();
    const isModel = service.kind === 'model';
    const limited = limits.withDeadline(incoming.signal, profile.deadlineMs);
    return {
      kind: 'prepared',
      request: {
        requestId,
        terms,
        fingerprint,
        claim,
        signal: limited.signal,
        clear: limited.clear,
        wanted: {
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

  /** Counts a request against its account while `work` goes on. */
  async counted<T>(account: string, work: () => Promise<T>): Promise<T> {
    const leave = this.enter(account);
    try {
      return await work();
    } finally {
      leave();
    }
  }

  /** Counts a request against its account until the result is called. */
  enter(account: string): () => void {
    this.inFlight.set(account, (this.inFlight.get(account) ?? 0) + 1);
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      const left = (this.inFlight.get(account) ?? 1) - 1;
      if (left > 0) this.inFlight.set(account, left);
      else this.inFlight.delete(account);
    };
  }

  private nextId(): string {
    this.count++;
    return `${this.options.host}-${process.pid}-${this.count}`;
  }

  private checkLimits(
    account: decisions.config.Account,
    fingerprint: string,
  ): void {
    if (!this.options.isOpen()) {
      refuse('host-stopping', 'this host takes no new work; use another one');
    }
    const running = this.inFlight.get(account.name) ?? 0;
    if (running >= account.maxInFlight) {
      refuse('account-limit', `${account.maxInFlight} requests are in flight`);
    }
    if (this.options.crashes.standing(fingerprint) === 'refused') {
      refuse(
        'suspect-request',
        'backend servers failed each time they ran this request; it is not run again',
      );
    }
  }
}

function claimOf(
  incoming: Incoming,
  terms: decisions.policy.RequestPolicy,
  requestId: string,
): claimsModule.ClaimRequest | undefined {
  if (terms.profile.idempotent) return undefined;
  const {requestKey, digest} = incoming;
  if (requestKey === '') {
    refuse(
      'missing-idempotency-key',
      'a request that may run only once needs the header Idempotency-Key',
    );
  }
  return {account: terms.account.name, requestKey, digest, requestId};
}

/** Throws a failure that says not-run. */
export function refuse(
  type: decisions.verdict.FailureType,
  message: string,
): never {
  return callers.parse.refuse(type, message);
}
