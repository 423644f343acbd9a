/*
 * Sends an accepted request to backend servers, with retries, and relays the
 * response to the caller.
 */
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as statementsModule from '@banyanhall/fleet/statements.js';
import * as forwarding from '@banyanhall/forwarding';

import type * as coldservers from './coldservers.js';
import type * as fleetlimits from './fleetlimits.js';
import type * as callerresponses from './callerresponse.js';
import * as backoffs from './backoffs.js';
import * as directories from './directory.js';
import * as failures from './failures.js';
import type * as logs from './logs.js';
import type * as metrics from './metrics.js';
import * as regionsModule from './regions.js';
import * as requests from './request.js';
import type * as rollouts from './rollouts.js';
import type * as serverlimits from './serverlimits.js';
import * as shutdowns from './shutdown.js';
import * as serverreports from './serverreports.js';
import * as silences from './silence.js';
import * as suspectrejections from './suspectrejections.js';

/** The maximum number of attempts of a request whatever its route allows, including attempts refused by backend servers. */
const MAX_ATTEMPTS = 4;
/** A resumable stream is to be resumed on another backend server after this time without data. */
const STREAM_SILENCE_MS = 1200;
/** The time without a response after which an idempotent request is to be retried, as a multiple of its latency objective. */
const RESPONSE_SILENCE_FACTOR = 2.5;
const MIN_RESPONSE_SILENCE_MS = 300;
/** How long a request waits before it asks a keeper again that granted a slot on an excluded backend server. */
const REGRANT_MS = 50;
/** The minimum time before the deadline for a retry. */
const MIN_RETRY_TIME_MS = 60;
/** An attempt without a first byte for this long counts against the backend server even if it ends because the caller disconnected or the deadline passed. */
const SILENT_MS = 1100;
/** The number of events after which the pace of a stream is compared between versions, so that slow streams count before they end. */
const PACE_EVENTS = 8;
const OK = 200;
const SERVER_ERROR = 500;
/** The default retry-after time when no backend server accepted the request. */
const NO_SERVER_RETRY_AFTER_MS = 700;

/** Ends a request for room in the buffers. */
export const NO_ROOM = 'no-room';
/** The retry-after time of requests that were ended for room. */
export const NO_ROOM_RETRY_AFTER_MS = 500;

/** Dependencies of `Dispatcher`. */
export interface DispatcherOptions {
  readonly clock: decisions.clock.Clock;
  readonly dialect: requests.Dialect;
  readonly directory: directories.Directory;
  readonly upstream: forwarding.upstream.Upstream;
  readonly paths: forwarding.paths.Paths;
  readonly slots: slotsModule.Slots;
  readonly crashes: crashesModule.Crashes;
  readonly statements: statementsModule.Statements;
  readonly limits: serverlimits.ServerLimits;
  readonly cold: coldservers.ColdServers;
  readonly fleetLimits: fleetlimits.FleetLimits;
  readonly rollouts: rollouts.Rollouts;
  readonly regions: regionsModule.Regions;
  readonly shutdown: shutdowns.Shutdown;
  readonly log: logs.Log;
  readonly metrics: metrics.Metrics;
  readonly loopLagMs: () => number;
}

/** How a request ended. `Host` still has to send a rejection, and to abort a response that was broken off. */
export type DispatchResult =
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'broken-off'; readonly reason: string}
  | {
      readonly kind: 'caller-left';
      /** The number of attempts, and the time since the last one. */
      readonly sends: number;
      readonly sinceSendMs: number | undefined;
      readonly loopLagMs: number;
    }
  | requests.Rejection;

/** A slot for an attempt, held until the attempt is done. */
interface Placement {
  readonly grant: slotsModule.Grant;
  readonly entry: directories.ServerEntry;
  readonly isCandidate: boolean;
  /** True when the slot was asked for a suspect request. */
  readonly isSuspect: boolean;
}

/** How an attempt is sent to its backend server. */
interface Way {
  /** The connection that carries it; undefined until there is one. */
  use: forwarding.connections.ConnectionUse | undefined;
  /** When the request was written to it. */
  writtenMs: number | undefined;
}

/** One dispatch of a request to a backend server. */
interface Attempt extends Placement {
  readonly number: number;
  readonly sentMs: number;
  readonly way: Way;
  readonly tracked: crashesModule.TrackedRequest;
  /** Closes the request to the backend server. */
  readonly cut: AbortController;
}

/** An attempt that has been sent. */
interface SentAttempt extends Attempt {
  readonly opening:
    | forwarding.upstream.AttemptResult
    | Promise<forwarding.upstream.AttemptResult>;
}

/** An attempt that is watched for silence. */
interface WatchedAttempt extends Attempt {
  readonly silence: silences.SilenceWatch<SentAttempt>;
}

/** Why the repeat of a silent attempt came to nothing. */
interface NoRepeat {
  readonly reason: string;
}

/** The state of a request over its attempts. */
interface Progress {
  /** What the host buffers for the request. */
  readonly holding: forwarding.buffers.Holding;
  attempts: number;
  /** When the last attempt was sent; undefined before the first. */
  sentMs: number | undefined;
  /** True once an attempt may have arrived at its backend server. */
  hasArrived: boolean;
  /** The numbers of the attempts that reached a backend server which has not stated that it did not run the request. */
  readonly unproven: Set<number>;
  /** True when the next attempt has already been counted in the retry budget. */
  isRetryCounted: boolean;
  /** The attempt that takes the place of the last one, which was given up for it. */
  repeat: SentAttempt | undefined;
  /** The number of repeats of silent attempts that their backend servers did not run. */
  refusedRepeats: number;
  /** The backend servers of all attempts; the keeper avoids them for a retry. */
  readonly triedServers: string[];
  /** The backend servers of which slots were granted and that this host does not list. */
  readonly unlistedServers: string[];
  /** The connections of all attempts. */
  readonly carriedBy: forwarding.connections.CarriedBy;
  lastEventId: string | undefined;
  /** When part of a stream's body was last relayed to the caller; undefined before. */
  relayedMs: number | undefined;
  /** True until the next attempt is sent. */
  isWaiting: boolean;
}

/** Whether a request is retried after an attempt (`again`) or has ended. */
type RetryDecision =
  | {readonly kind: 'again'}
  | {readonly kind: 'ended'; readonly ended: DispatchResult};

const RETRY: RetryDecision = {kind: 'again'};

/** The outcome of a slot that was not used. */
const CANCELLED: decisions.runner.Outcome = {kind: 'cancelled'};
/** The outcome of an attempt that hangs on a link that is cut. */
const CUT_OFF: decisions.runner.Outcome = {kind: 'cancelled', mayRunOn: true};

/** Dispatches requests to backend servers and relays the responses. */
export class Dispatcher {
  /** What answers tell of backend servers. */
  readonly reports: serverreports.ServerReports;

  /** The number of slot requests so far. */
  private slotRequests = 0;

  constructor(private readonly options: DispatcherOptions) {
    this.reports = new serverreports.ServerReports(options);
  }

  /**
   * Dispatches one request, with retries, until it is answered or no retry is
   * allowed. Nothing is sent before `charged` has resolved; a rejection that it
   * resolves to ends the request. What it buffers is counted in `holding`.
   */
  async dispatch(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    charged: Promise<requests.Rejection | undefined>,
    holding: forwarding.buffers.Holding,
  ): Promise<DispatchResult> {
    const {received} = accepted;
    const leftMs = Math.max(1, accepted.deadlineMs - this.nowMs);
    const deadline = new AbortController();
    // An answer that arrived in time is delivered by an event loop that is late.
    const timer = decisions.reads.setReadTimeout(
      () => deadline.abort(new Error('deadline')),
      leftMs,
    );
    const signal = AbortSignal.any([
      ...[caller.disconnectSignal, deadline.signal, holding.signal],
    ]);
    const progress: Progress = {
      holding,
      attempts: 0,
      sentMs: undefined,
      hasArrived: false,
      unproven: new Set(),
      isRetryCounted: false,
      repeat: undefined,
      refusedRepeats: 0,
      ...{triedServers: [], unlistedServers: []},
      carriedBy: new WeakSet(),
      lastEventId: forwarding.headers.value(
        received.headers,
        this.options.dialect.names.lastEventId,
      ),
      relayedMs: undefined,
      isWaiting: true,
    };
    const {shutdown} = this.options;
    const release = shutdown.abortWhen(deadline, () =>
      progress.isWaiting ? !shutdown.hasTimeFor(accepted) : shutdown.mustCut,
    );
    try {
      for (;;) {
        const decision = await this.runAttempt(
          accepted,
          caller,
          progress,
          signal,
          charged,
        );
        if (decision.kind === 'ended')
          return this.withDisconnect(decision.ended, caller, progress);
      }
    } finally {
      timer.clear();
      release();
      if (progress.repeat) this.abandon(progress.repeat);
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Replaces any result but an answer by `caller-left` once the caller has disconnected. */
  private withDisconnect(
    result: DispatchResult,
    caller: callerresponses.CallerResponse,
    {attempts: sends, sentMs}: Progress,
  ): DispatchResult {
    if (!caller.isDisconnected || result.kind === 'answered') return result;
    const sinceSendMs =
      sentMs === undefined ? undefined : Math.round(this.nowMs - sentMs);
    const loopLagMs = Math.round(this.options.loopLagMs());
    return {kind: 'caller-left', sends, sinceSendMs, loopLagMs};
  }

  /** Runs one attempt, from the check for a retry and the slot request to the relayed response. */
  private async runAttempt(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    signal: AbortSignal,
    charged: Promise<requests.Rejection | undefined>,
  ): Promise<RetryDecision> {
    const {cold, directory, slots, rollouts, regions, metrics} = this.options;
    const {repeat} = progress;
    progress.repeat = undefined;
    if (repeat) {
      return this.withSlot(repeat.grant, () =>
        this.finish(repeat, accepted, caller, progress, signal),
      );
    }
    const usesCandidate = rollouts.usesCandidate(accepted.service);
    const choice = regions.poolFor(accepted, usesCandidate);
    if (!choice) return this.giveUpWithoutServer(accepted, progress);
    const {pool, isCandidate} = choice;
    progress.isWaiting = true;
    if (!this.options.shutdown.hasTimeFor(accepted)) {
      return this.giveUpForStop(progress);
    }
    const {isTotal, firstMs} = this.reports.backoffs.in(pool, accepted);
    if (isTotal) {
      const detail = `${pool.backendServers.length} servers${this.describe(accepted, pool)}`;
      return this.giveUp(progress, backoffs.REASON, firstMs, detail);
    }
    const isCounted = progress.attempts === 0 || progress.isRetryCounted;
    progress.isRetryCounted = false;
    if (!isCounted && !this.tryCountRetry(accepted, progress)) {
      return this.giveUp(progress, 'no-repeat-left');
    }
    let grant: slotsModule.Grant;
    const slotRequest = this.slotRequest(accepted, pool, progress);
    try {
      grant = await slots.acquire(slotRequest, signal);
    } catch (error) {
      if (!(error instanceof decisions.verdict.FailureError)) throw error;
      const {type, retryAfterMs} = error.failure;
      const waitedMs = this.nowMs - accepted.received.arrivedMs;
      const detail = `tier ${accepted.tier}, ${pool.backendServers.length} servers, waited ${Math.round(waitedMs)} ms${this.describe(accepted, pool)}`;
      if (signal.aborted) return this.endAborted(progress, signal, detail);
      const next = regions.poolFor(accepted, usesCandidate)?.pool;
      if (type === 'no-backend-server' && next && next.name !== pool.name) {
        // The version that the request waited for has no backend server any more, another has.
        progress.isRetryCounted = progress.attempts > 0;
        return RETRY;
      }
      if (type === 'no-backend-server' && accepted.allowedRegions) {
        return this.giveUpWithoutServer(accepted, progress, detail);
      }
      return this.giveUp(progress, type, retryAfterMs, detail);
    }
    return this.withSlot(grant, async () => {
      const rejection = await charged;
      const unused = rejection
        ? ended(rejection)
        : this.withdraw(accepted, progress, slotRequest);
      if (unused) {
        slots.done(grant.ticketId, {kind: 'cancelled'});
        return unused;
      }
      metrics.slotWaitS.observe(
        {service: accepted.service},
        (this.nowMs - accepted.received.arrivedMs) / 1000,
      );
      const entry = directory.entry(grant.server.name);
      // The keeper is told nothing: other hosts may list the server.
      if (!entry) progress.unlistedServers.push(grant.server.name);
      if (!entry || this.reports.backoffs.remainingMs(entry) > 0) {
        return this.returnSlot(accepted, progress, grant, slotRequest);
      }
      if (!cold.trySend(entry.id)) {
        slots.done(grant.ticketId, CANCELLED);
        progress.isRetryCounted = progress.attempts > 0;
        return RETRY;
      }
      const {isSuspect} = slotRequest;
      const placement = {grant, entry, isCandidate, isSuspect};
      return this.send(placement, accepted, caller, progress, signal);
    });
  }

  /** Runs `use` and, should it throw, gives the slot back; whoever uses a slot gives it back otherwise. */
  private async withSlot(
    {ticketId}: slotsModule.Grant,
    use: () => Promise<RetryDecision>,
  ): Promise<RetryDecision> {
    try {
      return await use();
    } catch (error) {
      this.options.slots.done(ticketId, {kind: 'failed'});
      throw error;
    }
  }

  /** Gives back a slot on a backend server that this host does not list, or that accepts nothing from it now; the next slot request excludes the server. */
  private async returnSlot(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    {ticketId, server}: slotsModule.Grant,
    {excluded}: slotsModule.SlotRequest,
  ): Promise<RetryDecision> {
    const {slots, metrics} = this.options;
    slots.giveBack(ticketId);
    metrics.returnedSlots.inc({service: accepted.service});
    progress.isRetryCounted = progress.attempts > 0;
    // A keeper of an older build ignores the exclusion and would grant the slot again at once.
    if (excluded?.includes(server.name)) await timers.setTimeout(REGRANT_MS);
    return RETRY;
  }

  /** Sends the next attempt to the backend server whose slot is held, and relays its response. */
  private async send(
    placement: Placement,
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    if (!this.options.regions.allows(accepted, placement.entry)) {
      this.release(placement);
      progress.isRetryCounted = progress.attempts > 0;
      return RETRY;
    }
    const isTooLate = this.nowMs >= this.callerGivesUpMs(accepted, progress);
    if (accepted.deadlineMs - this.nowMs <= 1 || isTooLate) {
      this.release(placement);
      return this.deadlineExceeded(progress);
    }
    const attempt = this.begin(placement, accepted, progress);
    if (attempt.number === 1) {
      this.options.fleetLimits.countFirstAttempt(accepted.service);
      this.options.regions.countSend(accepted, attempt.entry);
    }
    const opening = this.open(attempt, accepted, progress, signal);
    const sent = {...attempt, opening};
    return this.finish(sent, accepted, caller, progress, signal);
  }

  /** Counts the next attempt. */
  private begin(
    placement: Placement,
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): Attempt {
    const {entry} = placement;
    const {received} = accepted;
    const number = ++progress.attempts;
    progress.triedServers.push(entry.id);
    progress.isWaiting = false;
    if (number > 1)
      this.options.metrics.retries.inc({service: accepted.service});
    const tracked = this.options.crashes.trackInFlight(entry.id, {
      ...{requestId: received.id, fingerprint: accepted.fingerprint},
      parts: accepted.sharedParts,
    });
    const cut = new AbortController();
    const sentMs = this.nowMs;
    progress.sentMs = sentMs;
    const way = {use: undefined, writtenMs: undefined};
    return {...placement, number, sentMs, way, tracked, cut};
  }

  /** Sends an attempt; resolves to the head of its response, or to its failure. */
  private async open(
    attempt: Attempt,
    accepted: requests.AcceptedRequest,
    progress: Progress,
    signal: AbortSignal,
    onWritten?: () => void,
  ): Promise<forwarding.upstream.AttemptResult> {
    const {cold, dialect, upstream, slots, log} = this.options;
    const {received, route} = accepted;
    const {names} = dialect;
    const {entry, grant} = attempt;
    const leftMs = Math.floor(accepted.deadlineMs - this.nowMs);
    const addedHeaders: Record<string, string> = {
      [names.remainingMs]: String(leftMs),
      [names.expectedServer]: entry.id,
    };
    if (progress.lastEventId !== undefined) {
      addedHeaders[names.lastEventId] = progress.lastEventId;
    }
    const known = this.reports.beforeSend(entry);
    log.event('sent', received.id, {
      server: entry.id,
      address: entry.address,
      send: attempt.number,
      route: route.name,
      isCandidate: attempt.isCandidate,
      leftMs,
      waitedMs: Math.round(attempt.sentMs - received.arrivedMs),
      heldBackMs: grant.heldBackMs || undefined,
      ...known.logFields,
      coldPerS: cold.limitPerSOf(entry.id),
      loopLagMs: Math.round(this.options.loopLagMs()) || undefined,
    });
    const result = await upstream.send(
      {
        address: entry.address,
        method: received.method,
        path: received.target,
        headers: requests.outboundHeaders(accepted, dialect, addedHeaders),
        body: received.body,
        requestId: received.id,
        carriedBy: progress.carriedBy,
        known: known.statements,
        allowedRegions: accepted.allowedRegions,
        reasonNotToWrite: () =>
          this.reasonNotToWrite(attempt, accepted, progress),
        onWritten: use => {
          attempt.way.use = use;
          attempt.way.writtenMs = this.nowMs;
          progress.hasArrived = true;
          progress.unproven.add(attempt.number);
          onWritten?.();
        },
        // What hangs on a link that is cut must not keep the slot from others.
        onCut: () => slots.done(grant.ticketId, CUT_OFF),
      },
      AbortSignal.any([signal, attempt.cut.signal]),
    );
    if (isNotRun(result)) progress.unproven.delete(attempt.number);
    this.reports.afterSend(entry, received.id, known, result);
    return result;
  }

  /** Why an attempt must not be written any more, by what this host has read since its server was chosen; undefined if it may be. */
  private reasonNotToWrite(
    {entry, isSuspect}: Placement,
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): string | undefined {
    const {directory, regions} = this.options;
    const {status} = this.standingOf(accepted);
    if (!directory.entry(entry.id) || this.hasStartedAgain(entry))
      return 'the backend server has left';
    if (this.reports.backoffs.remainingMs(entry) > 0)
      return 'the backend server accepts nothing from this host';
    if (!regions.allows(accepted, entry)) return 'its region is not allowed';
    if (status === 'refused' || (status === 'suspect' && !isSuspect))
      return 'the request has become suspect';
    return this.nowMs >= this.callerGivesUpMs(accepted, progress)
      ? 'its time is over'
      : undefined;
  }

  /** Relays the response of an attempt, or handles its failure, and watches it for silence meanwhile. */
  private async finish(
    attempt: SentAttempt,
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    const silence = this.watchSilence(accepted, progress, attempt, signal);
    const watched: WatchedAttempt = {...attempt, silence};
    try {
      const result = await attempt.opening;
      const common = [accepted, caller, progress, watched] as const;
      const decision =
        result.kind === 'failed'
          ? await this.handleFailure(
              ...([accepted, progress, attempt, result, signal] as const),
            )
          : await this.relay(...common, result, signal);
      if (decision.kind === 'ended' && decision.ended.kind === 'answered') {
        const durationMs = this.nowMs - attempt.sentMs;
        const {route} = accepted;
        this.options.shutdown.recordDuration(route.name, durationMs);
      }
      // A repeat that is under way goes on in place of an attempt that has failed.
      if (decision.kind === 'again') await silence.settle();
      return decision;
    } catch (error) {
      attempt.cut.abort();
      throw error;
    } finally {
      silence.stop();
      progress.repeat = silence.repeat;
      attempt.tracked.end();
    }
  }

  /** Decides on a request that became suspect or refused while it waited for its slot, or that a stopping host has no time for; undefined if it may use the slot. */
  private withdraw(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    slotRequest: slotsModule.SlotRequest,
  ): RetryDecision | undefined {
    const standing = this.standingOf(accepted);
    const refusal = suspectrejections.rejectionOf(standing);
    if (refusal) {
      const {reason, retryAfterMs, detail} = refusal;
      return this.giveUp(progress, reason, retryAfterMs, detail);
    }
    if (standing.status !== 'clear' && !slotRequest.isSuspect) {
      progress.isRetryCounted = progress.attempts > 0;
      return RETRY;
    }
    return this.options.shutdown.hasTimeFor(accepted)
      ? undefined
      : this.giveUpForStop(progress);
  }

  private standingOf(
    accepted: requests.AcceptedRequest,
  ): crashesModule.Standing {
    const {fingerprint, sharedParts: parts} = accepted;
    return this.options.crashes.standingOf({fingerprint, parts});
  }

  /** Builds the slot request of the next attempt. */
  private slotRequest(
    accepted: requests.AcceptedRequest,
    pool: decisions.config.Service,
    progress: Progress,
  ): slotsModule.SlotRequest {
    const {received, account, demand, deadlineMs} = accepted;
    return {
      // A repeat may wait for its slot while the attempt before holds one.
      requestId: `${received.id}#${++this.slotRequests}`,
      service: pool,
      account: {
        name: account?.name ?? '',
        keySha256: '',
        profiles: [],
        maxInFlight: Infinity,
        weight: Math.max(1, account?.tokensPerS ?? 1),
      },
      tier: accepted.tier,
      urgency: accepted.urgency,
      deadlineMs,
      firstByMs: Math.min(deadlineMs, this.callerGivesUpMs(accepted, progress)),
      onTimeByMs: Math.min(deadlineMs, accepted.onTimeDeadlineMs),
      promptTokens: demand?.promptTokens ?? 0,
      outputTokens:
        demand?.expectedOutputTokens ?? directories.PLAIN_REQUEST_TOKENS,
      chain: requests.prefixBlockHashes(demand),
      version: '',
      isSuspect: this.standingOf(accepted).status !== 'clear',
      avoid: progress.triedServers,
      allowedRegions: accepted.allowedRegions,
      excluded: [
        ...this.reports.backoffs.in(pool, accepted).excluded,
        ...progress.unlistedServers,
      ],
    };
  }

  /** Watches an attempt for silence, so that it is given up once a repeat of it takes its place. */
  private watchSilence(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    attempt: Attempt,
    signal: AbortSignal,
  ): silences.SilenceWatch<SentAttempt> {
    const silenceMs = this.silenceMs(accepted, progress);
    const watch = new silences.SilenceWatch<SentAttempt>({
      silenceMs,
      secure: async (stop, onSent) => {
        const unneeded = AbortSignal.any([signal, stop]);
        const repeat = await this.repeat(accepted, progress, unneeded, onSent);
        const isSecured = 'opening' in repeat;
        this.options.log.event('silent', accepted.received.id, {
          ...{server: attempt.entry.id, send: attempt.number, silenceMs},
          afterMs: Math.round(this.nowMs - attempt.sentMs),
          repeat: isSecured ? repeat.entry.id : repeat.reason,
          besideMs: isSecured
            ? Math.round(this.nowMs - repeat.sentMs)
            : undefined,
        });
        return isSecured ? repeat : undefined;
      },
      release: repeat => this.abandon(repeat),
    });
    watch.signal.addEventListener('abort', () => attempt.cut.abort(), {
      once: true,
    });
    return watch;
  }

  /**
   * Repeats an attempt that is still in flight; resolves once the repeat is
   * answered, or to the reason why there is none. If it is not answered in time,
   * it takes the place of an attempt of which nothing has been relayed, and is
   * ended otherwise: a response that has begun may only go on there.
   */
  private async repeat(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    signal: AbortSignal,
    onSent: () => void,
  ): Promise<SentAttempt | NoRepeat> {
    const placement = await this.secureRepeat(accepted, progress, signal);
    if (typeof placement === 'string') return {reason: placement};
    const attempt = this.begin(placement, accepted, progress);
    const overlap = new silences.OverlapTimer();
    const opening = this.open(attempt, accepted, progress, signal, () =>
      overlap.start(),
    );
    onSent();
    // The repeat may not be waited for to its end.
    opening.catch(() => undefined);
    let result: forwarding.upstream.AttemptResult | 'overdue';
    try {
      result = await Promise.race([opening, overlap.overdue]);
    } catch (error) {
      this.abandon(attempt);
      throw error;
    } finally {
      overlap.stop();
    }
    if (result !== 'overdue' && isNotRun(result)) progress.refusedRepeats++;
    if (result === 'overdue') {
      if (progress.relayedMs === undefined) return {...attempt, opening};
      this.abandon(attempt);
      return {reason: 'overdue'};
    }
    if (result.kind === 'answer') return {...attempt, opening: result};
    attempt.tracked.end();
    this.reportFailure(accepted, attempt, result);
    if (signal.aborted) this.release(attempt);
    else await this.endFailed(accepted, attempt, result);
    return {reason: result.cause};
  }

  /** Takes a slot and a retry for the repeat of an attempt in flight; resolves to the reason when there is none. */
  private async secureRepeat(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<Placement | string> {
    const {directory, slots, rollouts, regions, fleetLimits} = this.options;
    const {service} = accepted;
    if (!this.couldRetryAfterRunning(accepted, progress)) return 'not-allowed';
    if (!fleetLimits.hasRetryLeft(service)) return 'no-retry-left';
    const usesCandidate = rollouts.usesCandidate(service);
    const choice = regions.poolFor(accepted, usesCandidate);
    if (!choice) return 'no-backend-server';
    const {pool, isCandidate} = choice;
    const slotRequest = {
      ...this.slotRequest(accepted, pool, progress),
      isOptional: true,
    };
    const grant = await slots.acquire(slotRequest, signal).catch(onlyFailure);
    if (grant instanceof decisions.verdict.FailureError) {
      return signal.aborted ? 'not-silent' : grant.failure.type;
    }
    const entry = directory.entry(grant.server.name);
    const {isSuspect} = slotRequest;
    const repeat = entry && {grant, entry, isCandidate, isSuspect};
    if (
      repeat &&
      !signal.aborted &&
      this.isUsable(repeat, accepted, progress) &&
      fleetLimits.tryCountRetry(service) &&
      this.options.cold.trySend(repeat.entry.id)
    ) {
      return repeat;
    }
    slots.done(grant.ticketId, {kind: 'cancelled'});
    return signal.aborted ? 'not-silent' : 'not-usable';
  }

  /** True if a repeat may be sent where its slot is: not to a backend server that was silent, and not among others once it is suspect. */
  private isUsable(
    {entry, isSuspect}: Placement,
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    const {status} = this.standingOf(accepted);
    return (
      !progress.triedServers.includes(entry.id) &&
      this.reports.backoffs.remainingMs(entry) === 0 &&
      this.options.regions.allows(accepted, entry) &&
      (status === 'clear' || (status === 'suspect' && isSuspect)) &&
      this.nowMs < this.callerGivesUpMs(accepted, progress) &&
      this.couldRetryAfterRunning(accepted, progress)
    );
  }

  /** Returns a slot that is not used, or not any more. */
  private release({grant}: Placement): void {
    this.options.slots.done(grant.ticketId, {kind: 'cancelled'});
  }

  /** Ends an attempt whose response is not needed. */
  private abandon(attempt: Attempt): void {
    attempt.cut.abort();
    attempt.tracked.end();
    this.release(attempt);
  }

  /** When the caller gives up unless it receives something before. */
  private callerGivesUpMs(
    {firstByteDeadlineMs, route}: requests.AcceptedRequest,
    {relayedMs}: Progress,
  ): number {
    if (relayedMs === undefined) return firstByteDeadlineMs;
    return relayedMs + route.callerPatienceMs;
  }

  /** Relays a response: event streams chunk by chunk, others once their body is complete. */
  private relay(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    attempt: WatchedAttempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    const {response} = head;
    const type = response.headers['content-type'] ?? '';
    const isStream =
      accepted.route.repeatability === 'stream' &&
      response.statusCode === OK &&
      type.includes('event-stream');
    if (isStream) {
      return this.relayStream(
        accepted,
        caller,
        progress,
        attempt,
        head,
        signal,
      );
    }
    return this.relayWhole(accepted, caller, progress, attempt, head, signal);
  }

  private async relayWhole(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    attempt: Attempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    const {response} = head;
    const status = response.statusCode ?? 0;
    const headMs = this.nowMs;
    const {holding} = progress;
    const body = await forwarding.upstream.readBody(head, holding);
    const isSuccess = status >= OK && status < 300;
    const isSigned =
      response.headers[this.options.dialect.names.signature] !== undefined;
    if (!body || (isSuccess && !isSigned)) {
      head.cancel();
      const failure = failures.brokenResponse(
        body ? 'no signature header' : 'response body ended early',
      );
      return this.handleFailure(accepted, progress, attempt, failure, signal);
    }
    const durationMs = this.nowMs - attempt.sentMs;
    const isFailure = status >= SERVER_ERROR;
    this.addSample(accepted, attempt, isFailure, durationMs, 0);
    if (!isFailure) this.addTiming(accepted, attempt, durationMs, 0);
    const measured = {
      prefillTokens: 0,
      outputTokens: directories.PLAIN_REQUEST_TOKENS,
      firstTokenMs: 0,
      durationMs,
      ...failures.reportOf(head.load, this.nowMs - headMs),
    };
    this.options.slots.done(
      attempt.grant.ticketId,
      isFailure ? {kind: 'failed'} : {kind: 'completed', measured},
    );
    this.countAttempt(accepted, `status-${status}`);
    if (!isFailure) this.recordCompletion(accepted);
    if (isFailure) {
      // While no server accepts requests, this response is worth more than a rejection.
      progress.isRetryCounted =
        this.hasAcceptingServer(accepted, attempt) &&
        this.tryCountRetry(accepted, progress);
      if (progress.isRetryCounted) return RETRY;
    }
    if (caller.isStarted) {
      return ended({kind: 'broken-off', reason: `status ${status} on resume`});
    }
    this.observeFirstByte(accepted);
    holding.markReady();
    holding.signal.addEventListener('abort', () => caller.abort());
    caller.sendWhole(response, body);
    return ended({kind: 'answered', status});
  }

  private async relayStream(
    accepted: requests.AcceptedRequest,
    caller: callerresponses.CallerResponse,
    progress: Progress,
    attempt: WatchedAttempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    const {response} = head;
    const headMs = this.nowMs;
    const {holding} = progress;
    const isResumable = accepted.route.isResumable;
    const framer = new forwarding.events.EventFramer();
    // The id that a stream must go on after; undefined unless this attempt resumes one within its response.
    const resumedAfter =
      progress.relayedMs !== undefined ? progress.lastEventId : undefined;
    let firstByteMs = 0;
    let eventCount = 0;
    let isPaceKnown = false;
    const addPace = () => {
      if (isPaceKnown || eventCount < 2) return;
      isPaceKnown = true;
      const paceMs = (this.nowMs - firstByteMs) / eventCount;
      this.addTiming(accepted, attempt, 0, paceMs);
    };
    // A response without the signature header was not sent by a backend server.
    if (response.headers[this.options.dialect.names.signature] === undefined) {
      head.cancel();
      const failure = failures.brokenResponse('no signature header');
      return this.handleFailure(accepted, progress, attempt, failure, signal);
    }
    try {
      for await (const chunk of response) {
        const batch = framer.push(chunk as Buffer);
        holding.setPart('event', framer.pendingBytes);
        const bytes = isResumable ? batch.bytes : (chunk as Buffer);
        attempt.silence.onData();
        const isFirst = eventCount === 0 && batch.bytes.length > 0;
        eventCount += batch.count;
        if (isFirst && resumedAfter !== undefined) {
          requireFollowing(framer.firstId, resumedAfter);
        }
        if (batch.lastId !== undefined) progress.lastEventId = batch.lastId;
        if (bytes.length === 0) continue;
        if (firstByteMs === 0) {
          firstByteMs = this.nowMs;
          attempt.tracked.markBegun();
          this.addTiming(accepted, attempt, firstByteMs - attempt.sentMs, 0);
        }
        if (eventCount >= PACE_EVENTS) addPace();
        progress.relayedMs = this.nowMs;
        if (!caller.isStarted) {
          this.observeFirstByte(accepted);
          caller.start(response);
        }
        if (caller.write(bytes)) continue;
        attempt.silence.stop();
        holding.setPart('unsent', bytes.length);
        await caller.waitForDrain();
        holding.setPart('unsent', 0);
        attempt.silence.onData();
      }
      if (!framer.isBetweenEvents) {
        throw new Error('stream ended inside an event');
      }
      // Without a length or chunks, a stream that was cut before its first event looks whole.
      const isCut = head.endsWithConnection && eventCount === 0;
      if (!head.isWhole() || isCut) throw new Error('stream ended early');
      if (resumedAfter !== undefined && eventCount === 0) {
        requireFollowing(undefined, resumedAfter);
      }
    } catch (error) {
      head.cancel();
      addPace();
      const detail = error instanceof Error ? error.message : String(error);
      const failure = failures.brokenResponse(detail);
      return this.handleFailure(accepted, progress, attempt, failure, signal);
    }
    addPace();
    const rest = isResumable ? framer.remainder : Buffer.alloc(0);
    if (!caller.isStarted) caller.start(response);
    if (rest.length > 0) caller.write(rest);
    caller.end();
    const nowMs = this.nowMs;
    const firstTokenMs = (firstByteMs || nowMs) - attempt.sentMs;
    const outputTokens = Math.max(
      eventCount,
      accepted.demand?.expectedOutputTokens ?? 0,
    );
    const tokenMs = eventCount > 1 ? (nowMs - firstByteMs) / eventCount : 0;
    this.addSample(accepted, attempt, false, firstTokenMs, tokenMs);
    this.options.slots.done(attempt.grant.ticketId, {
      kind: 'completed',
      measured: {
        prefillTokens: accepted.demand?.promptTokens ?? 0,
        outputTokens,
        firstTokenMs,
        durationMs: nowMs - attempt.sentMs,
        ...failures.reportOf(head.load, nowMs - headMs),
      },
    });
    this.recordCompletion(accepted);
    this.countAttempt(accepted, 'ok');
    return ended({kind: 'answered', status: OK});
  }

  private recordCompletion(accepted: requests.AcceptedRequest): void {
    const {fingerprint, sharedParts} = accepted;
    this.options.crashes.recordCompletion(fingerprint, sharedParts);
  }

  /** Handles an attempt without a usable response: releases the slot, and ends the request at its deadline or when the caller disconnected; otherwise it may be retried. */
  private async handleFailure(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    attempt: Attempt,
    failure: forwarding.upstream.AttemptFailure,
    signal: AbortSignal,
  ): Promise<RetryDecision> {
    this.reportFailure(accepted, attempt, failure);
    if (signal.aborted) {
      const isInDoubt = this.isInDoubt(attempt, failure);
      const isSilent = !isInDoubt && this.nowMs - attempt.sentMs >= SILENT_MS;
      const kind =
        isSilent && progress.relayedMs === undefined ? 'silent' : 'cancelled';
      this.options.slots.done(attempt.grant.ticketId, {kind});
      if (!isInDoubt) this.addUnansweredTime(accepted, progress, attempt);
      return this.endAborted(progress, signal);
    }
    await this.endFailed(accepted, attempt, failure);
    if (failure.cause === 'withdrawn') progress.isRetryCounted = true;
    return RETRY;
  }

  /** Logs and counts the failure of an attempt. */
  private reportFailure(
    accepted: requests.AcceptedRequest,
    attempt: Attempt,
    failure: forwarding.upstream.AttemptFailure,
  ): void {
    const {writtenMs} = attempt.way;
    this.options.log.event('send-failed', accepted.received.id, {
      server: attempt.entry.id,
      send: attempt.number,
      cause: failure.cause,
      verdict: failure.verdict,
      detail: failure.detail,
      connection: attempt.way.use?.connection,
      connectionRequests: attempt.way.use?.requests,
      carrier: attempt.way.use?.carrier,
      writtenAfterMs:
        writtenMs === undefined
          ? undefined
          : Math.round(writtenMs - attempt.sentMs),
      afterMs: Math.round(this.nowMs - attempt.sentMs),
    });
    this.countAttempt(accepted, failure.cause);
  }

  /** Returns the slot of an attempt that failed, and records what the failure tells of its backend server. */
  private async endFailed(
    accepted: requests.AcceptedRequest,
    attempt: Attempt,
    failure: forwarding.upstream.AttemptFailure,
  ): Promise<void> {
    const {cold, slots, crashes, directory} = this.options;
    const {entry, grant} = attempt;
    const isBroken =
      failure.cause === 'reset' || failure.cause === 'broken-answer';
    const hasCrashed = isBroken && (await this.hasCrashed(attempt));
    const isInDoubt = !hasCrashed && this.isInDoubt(attempt, failure);
    if (!isInDoubt) {
      this.addSample(accepted, attempt, failure.verdict !== 'not-run', 0, 0);
    }
    if (hasCrashed) crashes.recordCrash(entry.id);
    const outcome = failures.OUTCOMES[failure.cause](hasCrashed);
    const tellsNothing = isInDoubt || this.hasStartedAgain(entry);
    if (!tellsNothing) cold.onOutcome(entry.id, outcome);
    slots.done(grant.ticketId, tellsNothing ? CANCELLED : outcome);
    if (failure.cause === 'wrong-server') directory.onMisdirected(entry);
  }

  /** True if a later start of the backend server is listed, of which an attempt at this one tells nothing. */
  private hasStartedAgain(entry: directories.ServerEntry): boolean {
    const current = this.options.directory.entry(entry.id);
    return (
      !!current && directories.startOf(current) !== directories.startOf(entry)
    );
  }

  /** Resolves to whether the backend server of an attempt that broke off accepts connections from no host. */
  private async hasCrashed({entry, way}: Attempt): Promise<boolean> {
    const {paths} = this.options;
    if (way.use?.carrier !== undefined) {
      return paths.isRefusedByAll(entry.address);
    }
    return (await paths.examine(entry.address)) === 'refused';
  }

  /** True if a failure tells nothing of the backend server, since nothing was written or since it may be due to a link of this host or of the host that carried the attempt. */
  private isInDoubt(
    {entry, way}: Attempt,
    {cause}: forwarding.upstream.AttemptFailure,
  ): boolean {
    const {paths} = this.options;
    if (cause === 'withdrawn') return true;
    if (cause === 'connect-failed') return !paths.isUnreachable(entry.address);
    if (way.use?.carrier !== undefined) {
      return failures.CARRIER_FAILURES.has(cause);
    }
    return failures.LINK_FAILURES.has(cause) && paths.isCut(entry.address);
  }

  /** True when a request may be retried now; the retry is then counted in the budget, unless no backend server has got the request before. */
  private tryCountRetry(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    if (!this.isRetryAllowed(accepted, progress)) return false;
    if (!progress.hasArrived) return true;
    return this.options.fleetLimits.tryCountRetry(accepted.service);
  }

  /** True if some backend server that the request may use accepts requests from this host. */
  private hasAcceptingServer(
    accepted: requests.AcceptedRequest,
    {isCandidate}: Attempt,
  ): boolean {
    const choice = this.options.regions.poolFor(accepted, isCandidate);
    if (!choice) return false;
    return !this.reports.backoffs.in(choice.pool, accepted).isTotal;
  }

  /** Describes what limits a request to a pool, for the line of its refusal. */
  private describe(
    accepted: requests.AcceptedRequest,
    pool: decisions.config.Service,
  ): string {
    return `${this.options.limits.describe(pool)}${this.reports.describe(pool, accepted)}${regionsModule.describe(accepted)}`;
  }

  private isRetryAllowed(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    mayHaveRun = progress.unproven.size > 0,
  ): boolean {
    const {route} = accepted;
    if (progress.attempts >= MAX_ATTEMPTS) return false;
    if (accepted.deadlineMs - this.nowMs < MIN_RETRY_TIME_MS) return false;
    if (!this.options.shutdown.hasTimeFor(accepted)) return false;
    if (this.standingOf(accepted).status === 'refused') return false;
    if (!mayHaveRun) return true;
    const attempts = progress.attempts - progress.refusedRepeats;
    if (attempts >= route.maxAttempts) return false;
    if (route.repeatability === 'stream') return route.isResumable;
    return route.repeatability === 'idempotent';
  }

  /** Ends a request that is not retried: breaks off its stream, or rejects it with 502 if it may have run and 503 otherwise. */
  private giveUp(
    progress: Progress,
    reason: string,
    retryAfterMs = NO_SERVER_RETRY_AFTER_MS,
    detail = `after ${progress.attempts} attempts`,
  ): RetryDecision {
    if (progress.relayedMs !== undefined)
      return ended({kind: 'broken-off', reason});
    const mayHaveRun = progress.unproven.size > 0;
    const status = mayHaveRun ? 502 : 503;
    const rejectionRetryAfterMs = mayHaveRun ? undefined : retryAfterMs;
    return ended(
      requests.rejection(status, reason, rejectionRetryAfterMs, detail),
    );
  }

  /** Ends a request whose service has no backend server that it may use. */
  private giveUpWithoutServer(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    detail = `after ${progress.attempts} attempts${regionsModule.describe(accepted)}`,
  ): RetryDecision {
    return accepted.allowedRegions === undefined
      ? this.giveUp(progress, 'no-backend-server')
      : this.giveUp(
          ...([progress, requests.NO_SERVER_IN_REGIONS] as const),
          ...([requests.NO_SERVER_IN_REGIONS_RETRY_AFTER_MS, detail] as const),
        );
  }

  /** Ends a request that a stopping host has too little time for. */
  private giveUpForStop(progress: Progress, detail?: string): RetryDecision {
    const {REASON, RETRY_AFTER_MS} = shutdowns;
    return this.giveUp(progress, REASON, RETRY_AFTER_MS, detail);
  }

  /** Ends a request whose signal was aborted: at its deadline, for room in the buffers, or cut by a stopping host. */
  private endAborted(
    progress: Progress,
    signal: AbortSignal,
    detail?: string,
  ): RetryDecision {
    if (signal.reason === shutdowns.CUT_REASON) {
      return this.giveUpForStop(progress, detail);
    }
    return signal.reason === forwarding.buffers.NO_ROOM_REASON
      ? this.giveUp(progress, NO_ROOM, NO_ROOM_RETRY_AFTER_MS, detail)
      : this.deadlineExceeded(progress, detail);
  }

  /** Ends a request at its deadline: breaks off its stream, or rejects it with 504 if it may have run and 503 otherwise. */
  private deadlineExceeded(
    progress: Progress,
    detail = `after ${progress.attempts} attempts`,
  ): RetryDecision {
    const reason = 'deadline';
    if (progress.relayedMs !== undefined)
      return ended({kind: 'broken-off', reason});
    const status = progress.unproven.size > 0 ? 504 : 503;
    return ended(requests.rejection(status, reason, undefined, detail));
  }

  /** How long a response or a stream's next data may be missing before a repeat is secured; Infinity when no retry could follow. */
  private silenceMs(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): number {
    const {route} = accepted;
    if (!this.couldRetryAfterRunning(accepted, progress)) return Infinity;
    if (route.repeatability === 'stream') return STREAM_SILENCE_MS;
    return Math.max(
      MIN_RESPONSE_SILENCE_MS,
      route.objectiveMs * RESPONSE_SILENCE_FACTOR,
    );
  }

  /** True when a retry would be allowed after an attempt that may have run. */
  private couldRetryAfterRunning(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    return this.isRetryAllowed(accepted, progress, true);
  }

  private addSample(
    accepted: requests.AcceptedRequest,
    attempt: Attempt,
    isFailure: boolean,
    firstTokenMs: number,
    tokenMs: number,
  ): void {
    this.options.rollouts.addSample(accepted.service, {
      route: accepted.route.name,
      isCandidate: attempt.isCandidate,
      ...{isFailure, firstTokenMs, tokenMs},
    });
  }

  private addTiming(
    accepted: requests.AcceptedRequest,
    attempt: Attempt,
    firstTokenMs: number,
    tokenMs: number,
  ): void {
    this.options.rollouts.addTiming(accepted.service, {
      route: accepted.route.name,
      isCandidate: attempt.isCandidate,
      ...{firstTokenMs, tokenMs},
    });
  }

  /** Counts the time of an attempt that ended without a first token; a short one says nothing about the backend server. */
  private addUnansweredTime(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    attempt: Attempt,
  ): void {
    const sinceMs = this.nowMs - attempt.sentMs;
    if (progress.relayedMs !== undefined) return;
    if (sinceMs < accepted.route.objectiveMs) return;
    this.addTiming(accepted, attempt, sinceMs, 0);
  }

  private countAttempt(
    accepted: requests.AcceptedRequest,
    result: string,
  ): void {
    this.options.metrics.attempts.inc({service: accepted.service, result});
  }

  private observeFirstByte(accepted: requests.AcceptedRequest): void {
    this.options.metrics.firstByteS.observe(
      {route: accepted.route.name},
      (this.nowMs - accepted.received.arrivedMs) / 1000,
    );
  }
}

/** Throws unless an event with this id may go on with a stream after the event `after`. */
function requireFollowing(id: string | undefined, after: string): void {
  if (forwarding.events.mayFollow(id, after)) return;
  const found = id === undefined ? 'no id' : `id ${id}`;
  throw new Error(`resumed stream does not go on after ${after}: ${found}`);
}

/** Returns the failure of a slot request; throws any other error. */
function onlyFailure(error: unknown): decisions.verdict.FailureError {
  if (error instanceof decisions.verdict.FailureError) return error;
  throw error;
}

/** True if the backend server of an attempt can't have run the request, or says that it did not. */
function isNotRun(result: forwarding.upstream.AttemptResult): boolean {
  return result.kind === 'failed' && result.verdict === 'not-run';
}

function ended(result: DispatchResult): RetryDecision {
  return {kind: 'ended', ended: result};
}
