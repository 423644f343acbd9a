import * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import * as limits from '@banyanhall/fleet/limits.js';
import type * as samples from './samples.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const MAX_ATTEMPTS = 6;

const BROKEN: samples.Shown = {isFailure: true, firstTokenMs: 0, tokenMs: 0};

/** A request that was checked and may ask for a slot; times on the monotonic clock. */
export interface Prepared {
  readonly requestId: string;
  readonly terms: decisions.policy.RequestPolicy;
  readonly fingerprint: string;
  readonly wanted: Omit<slotsModule.SlotRequest, 'version' | 'isSuspect'>;
  /** Present for non-idempotent requests. */
  readonly claim?: claimsModule.ClaimRequest;
  /** Aborted when the caller has left or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Ends the deadline timer. */
  readonly clear: () => void;
}

/** A request that was dispatched, with what `send` brought back. */
export interface Dispatched<T> {
  readonly kind: 'dispatched';
  readonly value: T;
  readonly grant: slotsModule.Grant;
  readonly version: string;
  readonly dispatchedMs: number;
  readonly claim?: claimsModule.Claim;
  /** To be called when the request is no longer in flight. */
  readonly leave: () => void;
}

/** A request whose key was answered before. */
export interface Replayed {
  readonly kind: 'replayed';
  readonly receipt: decisions.claim.Receipt;
}

/** What the dispatcher needs from the rest of the host. */
export interface DispatcherOptions {
  readonly slots: slotsModule.Slots;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly samples: samples.Samples;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly isFresh: () => boolean;
  /** The version to use now for a request under these terms. */
  readonly chooseVersion: (terms: decisions.policy.RequestPolicy) => string;
}

const BLOCKED_FAILURES: Readonly<
  Record<decisions.lifecycle.BlockReason, decisions.verdict.Failure>
> = {
  deadline: decisions.verdict.failure(
    'deadline-exceeded',
    'the deadline passed before the request could run',
  ),
  cancelled: decisions.verdict.failure('cancelled', 'the caller has left'),
  'lease-lapsed': decisions.verdict.failure(
    'host-stopping',
    'this host lost touch with the others; use another one',
  ),
};

/** Takes requests from slot to dispatch. Each request leaves for a backend server once at most. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /**
   * Waits for a slot, claims the key, and calls `send` once the last checks
   * passed. `send` throws BackendError; only a proven not-run leads to
   * another try. Throws FailureError.
   */
  async run<T>(
    request: Prepared,
    send: (grant: slotsModule.Grant, version: string) => Promise<T>,
  ): Promise<Dispatched<T> | Replayed> {
    let life = decisions.lifecycle.Lifecycle.received;
    let claim: claimsModule.Claim | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const version = this.options.chooseVersion(request.terms);
      life = life.wait();
      const grant = await this.acquire(request, version, claim);
      life = life.grant();
      if (request.claim && !claim) {
        const claimed = await this.claimed(request.claim, grant);
        if (!('token' in claimed)) return {kind: 'replayed', receipt: claimed};
        claim = claimed;
      }
      const blocked = life.blockReason(this.guard(request), this.nowMs);
      if (blocked) {
        this.options.slots.done(grant.ticketId, {kind: 'cancelled'});
        await this.giveBack(claim);
        throw new decisions.verdict.FailureError(BLOCKED_FAILURES[blocked]);
      }
      life = life.dispatch();
      const sent = await this.sent(request, grant, version, send);
      if (sent.kind === 'dispatched') return {...sent, claim};
      life = life.refuted();
    }
    await this.giveBack(claim);
    throw new decisions.verdict.FailureError(
      decisions.verdict.failure(
        'no-backend-server',
        'no backend server admitted the request',
      ),
    );
  }

  /**
   * Ends a request whose call broke after it may have run; the result is for
   * the caller. The version that it ran on answers for it, unless the caller
   * has left.
   */
  failed(
    request: Prepared,
    {
      grant,
      version,
      leave,
    }: Pick<Dispatched<never>, 'grant' | 'version' | 'leave'>,
    error: backends.engine.BackendError,
  ): decisions.verdict.FailureError {
    if (!limits.isCallerGone(request.signal)) {
      this.options.samples.add(request, version, BROKEN);
    }
    const {crashes, slots, timeline} = this.options;
    const server = grant.server.name;
    timeline.record('broken', request.requestId, {server, why: error.message});
    if (request.signal.aborted) {
      leave();
      slots.done(grant.ticketId, {kind: 'cancelled'});
      return new decisions.verdict.FailureError(
        limits.abortFailure(request.signal, 'may-have-run'),
      );
    }
    const isGone = error.kind === 'gone';
    if (isGone) crashes.crashed(server);
    leave();
    slots.done(grant.ticketId, {kind: isGone ? 'crashed' : 'failed'});
    return new decisions.verdict.FailureError(
      decisions.verdict.failure(
        'backend-failed',
        'the service broke off; the request may have run',
        'may-have-run',
      ),
    );
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private guard(request: Prepared): decisions.lifecycle.DispatchGuard {
    return {
      deadlineMs: request.wanted.deadlineMs,
      isCancelled: request.signal.aborted,
      isLeaseFresh: this.options.isFresh(),
    };
  }

  private async acquire(
    request: Prepared,
    version: string,
    claim: claimsModule.Claim | undefined,
  ): Promise<slotsModule.Grant> {
    const isSuspect =
      this.options.crashes.standing(request.fingerprint) === 'suspect';
    const wanted = {...request.wanted, version, isSuspect};
    try {
      const grant = await this.options.slots.acquire(wanted, request.signal);
      const server = grant.server.name;
      this.options.timeline.record('granted', request.requestId, {server});
      return grant;
    } catch (error) {
      await this.giveBack(claim);
      throw error;
    }
  }

  private async claimed(
    request: claimsModule.ClaimRequest,
    grant: slotsModule.Grant,
  ): Promise<claimsModule.Claim | decisions.claim.Receipt> {
    let isClaimed = false;
    try {
      const claimed = await this.options.claims.claim(request);
      isClaimed = 'token' in claimed;
      return claimed;
    } finally {
      if (!isClaimed) {
        this.options.slots.done(grant.ticketId, {kind: 'cancelled'});
      }
    }
  }

  private async sent<T>(
    request: Prepared,
    grant: slotsModule.Grant,
    version: string,
    send: (grant: slotsModule.Grant, version: string) => Promise<T>,
  ): Promise<Dispatched<T> | {readonly kind: 'not-admitted'}> {
    const {requestId, fingerprint} = request;
    const {crashes, timeline, slots} = this.options;
    const server = grant.server.name;
    const leave = crashes.trackInFlight(server, requestId, fingerprint);
    const dispatchedMs = this.nowMs;
    timeline.record('dispatched', requestId, {server, version});
    try {
      const value = await send(grant, version);
      return {kind: 'dispatched', value, grant, version, dispatchedMs, leave};
    } catch (error) {
      if (!(error instanceof backends.engine.BackendError)) throw error;
      if (!error.isProvenNotRun)
        throw this.failed(request, {grant, version, leave}, error);
      leave();
      timeline.record('not-admitted', requestId, {server, why: error.message});
      const {isLeaving} = error;
      slots.done(
        grant.ticketId,
        error.kind === 'unreachable'
          ? {kind: 'unreachable'}
          : {kind: 'not-admitted', isLeaving},
      );
      return {kind: 'not-admitted'};
    }
  }

  private async giveBack(claim: claimsModule.Claim | undefined): Promise<void> {
    if (claim) await this.options.claims.release(claim);
  }
}
