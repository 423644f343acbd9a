// Request path after validation: slot, claim, dispatch and retry. Used by chat.ts and plain.ts.

import * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import * as deadlines from '@banyanhall/fleet/deadlines.js';
import type * as samples from './samples.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** Most attempts per request; each but the last provably did not run. */
const MAX_ATTEMPTS = 6;

const FAILED_OBSERVATION: samples.Observation = {
  isFailure: true,
  firstTokenMs: 0,
  tokenMs: 0,
};

/** A validated request that may queue for a slot. Times are on the monotonic clock. */
export interface PreparedRequest {
  readonly requestId: string;
  readonly policy: decisions.policy.RequestPolicy;
  readonly fingerprint: string;
  readonly slotRequest: Omit<slotsModule.SlotRequest, 'version' | 'isSuspect'>;
  /** Present for non-idempotent requests. */
  readonly claim?: claimsModule.ClaimRequest;
  /** Aborted when the caller has disconnected or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Ends the deadline timer. */
  readonly clearDeadline: () => void;
}

/** A dispatched request and the result of `send`. */
export interface Dispatched<T> {
  readonly kind: 'dispatched';
  readonly value: T;
  readonly grant: slotsModule.Grant;
  readonly version: string;
  readonly dispatchedMs: number;
  readonly claim?: claimsModule.Claim;
  /** Must be called once the request is no longer in flight. */
  readonly endInFlight: () => void;
}

/** The stored answer of an earlier request with the same idempotency key. */
export interface ReplayedAnswer {
  readonly kind: 'replayed';
  readonly receipt: decisions.claim.Receipt;
}

/** Dependencies of `Dispatcher`. */
export interface DispatcherOptions {
  readonly slots: slotsModule.Slots;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly samples: samples.SampleSink;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  /** True while the configuration of this host is confirmed as current. */
  readonly isFresh: () => boolean;
  /** Resolves once all that has arrived at this host by now has been read. */
  readonly whenRead: () => Promise<void>;
  /** Picks the version for a request under this policy. */
  readonly chooseVersion: (policy: decisions.policy.RequestPolicy) => string;
}

const BLOCKED_FAILURES: Readonly<
  Record<decisions.lifecycle.BlockReason, decisions.verdict.Failure>
> = {
  deadline: decisions.verdict.failure(
    'deadline-exceeded',
    'the deadline passed before the request could run',
  ),
  cancelled: decisions.verdict.failure('cancelled', 'the caller disconnected'),
  'lease-lapsed': decisions.verdict.failure(
    'host-stopping',
    'this host could not confirm its configuration; use another host',
  ),
};

/** Acquires a slot for a request and dispatches it. A request is retried only when its previous attempt provably did not run. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /**
   * Waits for a slot, claims the idempotency key of a non-idempotent request,
   * checks the deadline, cancellation and freshness of the configuration once
   * more, and calls `send`. `send` throws BackendError; only an error that proves the request did not run
   * leads to a retry. Throws FailureError.
   */
  async run<T>(
    request: PreparedRequest,
    send: (grant: slotsModule.Grant, version: string) => Promise<T>,
  ): Promise<Dispatched<T> | ReplayedAnswer> {
    let lifecycle = decisions.lifecycle.Lifecycle.received;
    let claim: claimsModule.Claim | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const version = this.options.chooseVersion(request.policy);
      lifecycle = lifecycle.wait();
      const grant = await this.acquireSlot(request, version, claim);
      lifecycle = lifecycle.grant();
      if (request.claim && !claim) {
        const claimed = await this.acquireClaim(request.claim, grant);
        if (!('token' in claimed)) return {kind: 'replayed', receipt: claimed};
        claim = claimed;
      }
      // A caller may have left in a pause of this process.
      await this.options.whenRead();
      const blocked = lifecycle.blockReason(
        this.dispatchGuard(request),
        this.nowMs,
      );
      if (blocked) {
        this.options.slots.done(grant.ticketId, {kind: 'cancelled'});
        await this.releaseClaim(claim);
        throw new decisions.verdict.FailureError(BLOCKED_FAILURES[blocked]);
      }
      lifecycle = lifecycle.dispatch();
      const sent = await this.attempt(request, grant, version, send);
      if (sent.kind === 'dispatched') return {...sent, claim};
      lifecycle = lifecycle.refuted();
    }
    await this.releaseClaim(claim);
    throw new decisions.verdict.FailureError(
      decisions.verdict.failure(
        'no-backend-server',
        'no backend server admitted the request',
      ),
    );
  }

  /**
   * Ends a request whose attempt failed after it may have run, and returns
   * the failure for the caller. The failure counts against the version that
   * served it, unless the caller has disconnected.
   */
  fail(
    request: PreparedRequest,
    {
      grant,
      version,
      endInFlight,
    }: Pick<Dispatched<never>, 'grant' | 'version' | 'endInFlight'>,
    error: backends.engine.BackendError,
  ): decisions.verdict.FailureError {
    if (!deadlines.isCallerGone(request.signal)) {
      this.options.samples.add(request, version, FAILED_OBSERVATION);
    }
    const {crashes, slots, timeline} = this.options;
    const server = grant.server.name;
    timeline.record('broken', request.requestId, {server, why: error.message});
    if (request.signal.aborted) {
      endInFlight();
      slots.done(grant.ticketId, {kind: 'cancelled'});
      return new decisions.verdict.FailureError(
        deadlines.abortFailure(request.signal, 'may-have-run'),
      );
    }
    const isGone = error.kind === 'gone';
    if (isGone) crashes.recordCrash(server);
    endInFlight();
    slots.done(grant.ticketId, {kind: isGone ? 'crashed' : 'failed'});
    return new decisions.verdict.FailureError(
      decisions.verdict.failure(
        'backend-failed',
        'the backend server failed during the request, which may have run',
        'may-have-run',
      ),
    );
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private dispatchGuard(
    request: PreparedRequest,
  ): decisions.lifecycle.DispatchGuard {
    return {
      deadlineMs: request.slotRequest.deadlineMs,
      isCancelled: request.signal.aborted,
      isLeaseFresh: this.options.isFresh(),
    };
  }

  private async acquireSlot(
    request: PreparedRequest,
    version: string,
    claim: claimsModule.Claim | undefined,
  ): Promise<slotsModule.Grant> {
    const isSuspect =
      this.options.crashes.statusOf(request.fingerprint) === 'suspect';
    const wanted = {...request.slotRequest, version, isSuspect};
    try {
      const grant = await this.options.slots.acquire(wanted, request.signal);
      const server = grant.server.name;
      this.options.timeline.record('granted', request.requestId, {server});
      return grant;
    } catch (error) {
      await this.releaseClaim(claim);
      throw error;
    }
  }

  private async acquireClaim(
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

  private async attempt<T>(
    request: PreparedRequest,
    grant: slotsModule.Grant,
    version: string,
    send: (grant: slotsModule.Grant, version: string) => Promise<T>,
  ): Promise<Dispatched<T> | {readonly kind: 'not-admitted'}> {
    const {requestId, fingerprint} = request;
    const {crashes, timeline, slots} = this.options;
    const server = grant.server.name;
    const identity = {requestId, fingerprint, parts: []};
    const {end: endInFlight} = crashes.trackInFlight(server, identity);
    const dispatchedMs = this.nowMs;
    timeline.record('dispatched', requestId, {server, version});
    try {
      const value = await send(grant, version);
      return {
        kind: 'dispatched',
        value,
        grant,
        version,
        dispatchedMs,
        endInFlight,
      };
    } catch (error) {
      if (!(error instanceof backends.engine.BackendError)) {
        endInFlight();
        slots.done(grant.ticketId, {kind: 'failed'});
        throw error;
      }
      if (!error.isProvenNotRun)
        throw this.fail(request, {grant, version, endInFlight}, error);
      endInFlight();
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

  private async releaseClaim(
    claim: claimsModule.Claim | undefined,
  ): Promise<void> {
    if (claim) await this.options.claims.release(claim);
  }
}
