import * as decisions from '@banyanhall/decisions';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import * as forwarding from '@banyanhall/forwarding';

import type * as bounds from './fleetlimits.js';
import type * as callers from './callerresponse.js';
import * as directories from './directory.js';
import type * as logs from './logs.js';
import type * as metrics from './metrics.js';
import * as probes from './crashprobe.js';
import * as requests from './request.js';
import type * as rollouts from './rollouts.js';

/** Sends of one request at most, whatever its route allows; refused ones included. */
const MAX_SENDS = 4;
/** The wait for a resumable stream's next event after which it goes on elsewhere. */
const STREAM_SILENCE_MS = 1200;
/** The wait for an idempotent request's answer, as a multiple of its objective, after which it is sent elsewhere. */
const SILENCE_FACTOR = 2.5;
const MIN_SILENCE_MS = 300;
/** The time before the deadline that a second send needs to be worth it. */
const MIN_LEFT_MS = 60;
/** A send without a first byte for this long counts against the backend server even if the caller left. */
const SILENT_MS = 1100;
const OK = 200;
const SERVER_ERROR = 500;
/** How soon a caller may come back when no backend server took its request. */
const NO_SERVER_RETRY_MS = 700;

/** What a delivery needs from the rest of the host. */
export interface DispatcherOptions {
  readonly clock: decisions.clock.Clock;
  readonly dialect: requests.Dialect;
  readonly directory: directories.Directory;
  readonly upstream: forwarding.upstream.Upstream;
  readonly slots: slotsModule.Slots;
  readonly crashes: crashesModule.Crashes;
  readonly fleetLimits: bounds.FleetLimits;
  readonly rollouts: rollouts.Rollouts;
  readonly log: logs.Log;
  readonly metrics: metrics.Metrics;
}

/** How a delivery ended; the answer has gone to the caller unless it is a refusal or failure. */
export type DispatchResult =
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'broken-off'; readonly reason: string}
  | {readonly kind: 'caller-left'}
  | requests.Rejection;

interface Attempt {
  readonly grant: slotsModule.Grant;
  readonly entry: directories.ServerEntry;
  readonly isCandidate: boolean;
  readonly number: number;
  readonly sentMs: number;
}

/** Progress of one request over its sends. */
interface Progress {
  sends: number;
  mayHaveRun: boolean;
  /** True when the next send was granted a part of the shared budget already. */
  isRepeatCounted: boolean;
  readonly failedOn: string[];
  lastEventId: string | undefined;
  hasEvents: boolean;
}

type StepResult =
  | {readonly kind: 'again'}
  | {readonly kind: 'ended'; readonly ended: DispatchResult};

const AGAIN: StepResult = {kind: 'again'};

/** Brings requests to backend servers and their answers back. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /** Delivers one request; never throws. */
  async dispatch(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
  ): Promise<DispatchResult> {
    const {received} = accepted;
    const leftMs = Math.max(1, accepted.deadlineMs - this.nowMs);
    const deadline = new AbortController();
    const timer = setTimeout(
      () => deadline.abort(new Error('deadline')),
      leftMs,
    );
    const signal = AbortSignal.any([caller.disconnectSignal, deadline.signal]);
    const progress: Progress = {
      sends: 0,
      mayHaveRun: false,
      isRepeatCounted: false,
      failedOn: [],
      lastEventId: forwarding.headers.value(
        received.headers,
        this.options.dialect.names.lastEventId,
      ),
      hasEvents: false,
    };
    try {
      for (;;) {
        const step = await this.step(accepted, caller, progress, signal);
        if (step.kind === 'ended') return this.settled(step.ended, caller);
      }
    } finally {
      clearTimeout(timer);
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private settled(
    ended: DispatchResult,
    caller: callers.CallerResponse,
  ): DispatchResult {
    return caller.isDisconnected && ended.kind !== 'answered'
      ? {kind: 'caller-left'}
      : ended;
  }

  /** One send, from slot to answer. */
  private async step(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<StepResult> {
    const {directory, slots, rollouts, metrics} = this.options;
    const isCandidate = rollouts.usesCandidate(accepted.service);
    const pool = directory.pool(accepted.service, isCandidate);
    if (!pool) return this.gaveUp(progress, 'no-backend-server');
    const isCounted = progress.sends === 0 || progress.isRepeatCounted;
    progress.isRepeatCounted = false;
    if (!isCounted && !this.mayRepeat(accepted, progress)) {
      return this.gaveUp(progress, 'no-repeat-left');
    }
    let grant: slotsModule.Grant;
    try {
      grant = await slots.acquire(
        this.wanted(accepted, pool, progress),
        signal,
      );
    } catch (error) {
      if (!(error instanceof decisions.verdict.FailureError)) throw error;
      const {type, retryAfterMs} = error.failure;
      const waitedMs = this.nowMs - accepted.received.arrivedMs;
      const detail = `tier ${accepted.tier}, ${pool.backendServers.length} servers, waited ${Math.round(waitedMs)} ms`;
      if (signal.aborted) return this.overdue(progress, detail);
      return this.gaveUp(progress, type, retryAfterMs, detail);
    }
    metrics.slotWaitS.observe(
      {service: accepted.service},
      (this.nowMs - accepted.received.arrivedMs) / 1000,
    );
    const entry = directory.entry(grant.server.name);
    if (!entry) {
      slots.done(grant.ticketId, {kind: 'not-admitted', isLeaving: true});
      return AGAIN;
    }
    const attempt: Attempt = {
      ...{grant, entry, isCandidate},
      number: ++progress.sends,
      sentMs: this.nowMs,
    };
    progress.failedOn.push(entry.id);
    if (attempt.number === 1)
      this.options.fleetLimits.countFirstAttempt(accepted.service);
    else metrics.retries.inc({service: accepted.service});
    return this.send(accepted, caller, progress, attempt, signal);
  }

  private wanted(
    accepted: requests.AcceptedRequest,
    pool: decisions.config.Service,
    progress: Progress,
  ): slotsModule.SlotRequest {
    const {received, account, demand, deadlineMs, fingerprint} = accepted;
    const standing = this.options.crashes.standing(fingerprint);
    return {
      requestId: received.id,
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
      firstByMs: Math.min(deadlineMs, accepted.firstByteDeadlineMs),
      onTimeByMs: Math.min(deadlineMs, accepted.onTimeDeadlineMs),
      promptTokens: demand?.promptTokens ?? 0,
      outputTokens:
        demand?.expectedOutputTokens ?? directories.PLAIN_REQUEST_TOKENS,
      chain: requests.prefixBlockHashes(demand),
      version: '',
      isSuspect: standing !== 'clear',
      avoid: progress.failedOn,
    };
  }

  private async send(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
    progress: Progress,
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<StepResult> {
    const {dialect, upstream, crashes, slots, log} = this.options;
    const {received, route} = accepted;
    const {names} = dialect;
    const {entry, grant} = attempt;
    const leftMs = Math.floor(accepted.deadlineMs - this.nowMs);
    const hasPatience =
      progress.hasEvents || this.nowMs < accepted.firstByteDeadlineMs;
    if (leftMs <= 1 || !hasPatience) {
      slots.done(grant.ticketId, {kind: 'cancelled'});
      return this.overdue(progress);
    }
    const set: Record<string, string> = {
      [names.remainingMs]: String(leftMs),
      [names.expectedServer]: entry.id,
    };
    if (progress.lastEventId !== undefined) {
      set[names.lastEventId] = progress.lastEventId;
    }
    const leave = crashes.trackInFlight(
      entry.id,
      received.id,
      accepted.fingerprint,
    );
    log.event('sent', received.id, {
      server: entry.id,
      address: entry.address,
      send: attempt.number,
      route: route.name,
      isCandidate: attempt.isCandidate,
      leftMs,
      waitedMs: Math.round(attempt.sentMs - received.arrivedMs),
    });
    const silence = new AbortController();
    const patienceMs = this.silenceMs(accepted, progress);
    const timer = setTimeout(
      () => silence.abort(new Error('silent')),
      Math.min(patienceMs, 2 ** 31 - 1),
    );
    const sendSignal = AbortSignal.any([signal, silence.signal]);
    try {
      const sent = await upstream.send(
        {
          address: entry.address,
          method: received.method,
          path: received.target,
          headers: requests.outboundHeaders(accepted, dialect, set),
          body: received.body,
          requestId: received.id,
        },
        sendSignal,
      );
      if (sent.kind === 'failed') {
        return await this.failed(accepted, progress, attempt, sent, signal);
      }
      return await this.relay(
        accepted,
        caller,
        progress,
        attempt,
        sent,
        signal,
        timer,
      );
    } finally {
      clearTimeout(timer);
      leave();
    }
  }

  /** Passes an answer on: streams as they come, all others once they are whole. */
  private relay(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
    progress: Progress,
    attempt: Attempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
    timer: NodeJS.Timeout,
  ): Promise<StepResult> {
    const {response} = head;
    const type = response.headers['content-type'] ?? '';
    const isStream =
      accepted.route.repeatability === 'stream' &&
      response.statusCode === OK &&
      type.includes('event-stream');
    if (isStream) {
      return this.relayStream(
        ...([
          accepted,
          caller,
          progress,
          attempt,
          head,
          signal,
          timer,
        ] as const),
      );
    }
    return this.relayWhole(accepted, caller, progress, attempt, head, signal);
  }

  private async relayWhole(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
    progress: Progress,
    attempt: Attempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
  ): Promise<StepResult> {
    const {response} = head;
    const status = response.statusCode ?? 0;
    const body = await forwarding.upstream.readBody(head);
    const isSuccess = status >= OK && status < 300;
    const isSigned =
      response.headers[this.options.dialect.names.signature] !== undefined;
    if (!body || (isSuccess && !isSigned)) {
      head.cancel();
      const failure = brokenAnswer(body ? 'no signature' : 'body broke off');
      return this.failed(accepted, progress, attempt, failure, signal);
    }
    const durationMs = this.nowMs - attempt.sentMs;
    const isFailure = status >= SERVER_ERROR;
    this.observe(accepted, attempt, isFailure, durationMs, 0);
    const measured = {
      prefillTokens: 0,
      outputTokens: directories.PLAIN_REQUEST_TOKENS,
      firstTokenMs: 0,
      durationMs,
      inUse: inUseOf(head.load),
    };
    this.options.slots.done(
      attempt.grant.ticketId,
      isFailure ? {kind: 'failed'} : {kind: 'completed', measured},
    );
    this.count(accepted, `status-${status}`);
    if (!isFailure) this.options.crashes.completed(accepted.fingerprint);
    if (isFailure) {
      progress.mayHaveRun = true;
      progress.isRepeatCounted = this.mayRepeat(accepted, progress);
      if (progress.isRepeatCounted) return AGAIN;
    }
    if (caller.isStarted) {
      return ended({kind: 'broken-off', reason: `status ${status} on resume`});
    }
    this.noteFirstByte(accepted);
    caller.sendWhole(response, body);
    return ended({kind: 'answered', status});
  }

  private async relayStream(
    accepted: requests.AcceptedRequest,
    caller: callers.CallerResponse,
    progress: Progress,
    attempt: Attempt,
    head: forwarding.upstream.ResponseHead,
    signal: AbortSignal,
    timer: NodeJS.Timeout,
  ): Promise<StepResult> {
    const {response} = head;
    const isResumable = accepted.route.isResumable;
    const framer = new forwarding.events.EventFramer();
    let firstMs = 0;
    let events = 0;
    // Answers without a signature are none of the backend server's.
    if (response.headers[this.options.dialect.names.signature] === undefined) {
      head.cancel();
      const failure = brokenAnswer('no signature');
      return this.failed(accepted, progress, attempt, failure, signal);
    }
    try {
      for await (const chunk of response) {
        const framed = framer.push(chunk as Buffer);
        const bytes = isResumable ? framed.bytes : (chunk as Buffer);
        if (isResumable) timer.refresh();
        else clearTimeout(timer);
        events += framed.count;
        if (framed.lastId !== undefined) progress.lastEventId = framed.lastId;
        if (bytes.length === 0) continue;
        if (firstMs === 0) firstMs = this.nowMs;
        progress.hasEvents = true;
        if (!caller.isStarted) {
          this.noteFirstByte(accepted);
          caller.start(response);
        }
        if (!caller.write(bytes)) await caller.waitForDrain();
      }
      if (!head.isWhole()) throw new Error('stream broke off');
    } catch (error) {
      head.cancel();
      const detail = error instanceof Error ? error.message : String(error);
      const failure = brokenAnswer(detail);
      return this.failed(accepted, progress, attempt, failure, signal);
    }
    const rest = isResumable ? framer.remainder : Buffer.alloc(0);
    if (!caller.isStarted) caller.start(response);
    if (rest.length > 0) caller.write(rest);
    caller.end();
    const nowMs = this.nowMs;
    const firstTokenMs = (firstMs || nowMs) - attempt.sentMs;
    const outputTokens = Math.max(
      events,
      accepted.demand?.expectedOutputTokens ?? 0,
    );
    const tokenMs = events > 1 ? (nowMs - firstMs) / events : 0;
    this.observe(accepted, attempt, false, firstTokenMs, tokenMs);
    this.options.slots.done(attempt.grant.ticketId, {
      kind: 'completed',
      measured: {
        prefillTokens: accepted.demand?.promptTokens ?? 0,
        outputTokens,
        firstTokenMs,
        durationMs: nowMs - attempt.sentMs,
        inUse: inUseOf(head.load),
      },
    });
    this.options.crashes.completed(accepted.fingerprint);
    this.count(accepted, 'ok');
    return ended({kind: 'answered', status: OK});
  }

  /** A send brought no usable answer: frees the slot and decides whether the request goes elsewhere. */
  private async failed(
    accepted: requests.AcceptedRequest,
    progress: Progress,
    attempt: Attempt,
    failure: forwarding.upstream.AttemptFailure,
    signal: AbortSignal,
  ): Promise<StepResult> {
    const {slots, log, crashes} = this.options;
    const {entry, grant} = attempt;
    if (failure.verdict === 'may-have-run') progress.mayHaveRun = true;
    log.event('send-failed', accepted.received.id, {
      server: entry.id,
      send: attempt.number,
      cause: failure.cause,
      verdict: failure.verdict,
      detail: failure.detail,
      afterMs: Math.round(this.nowMs - attempt.sentMs),
    });
    this.count(accepted, failure.cause);
    if (signal.aborted) {
      const isSilent = this.nowMs - attempt.sentMs >= SILENT_MS;
      const kind = isSilent && !progress.hasEvents ? 'silent' : 'cancelled';
      slots.done(grant.ticketId, {kind});
      return this.overdue(progress);
    }
    this.observe(accepted, attempt, failure.verdict !== 'not-run', 0, 0);
    const isBroken =
      failure.cause === 'reset' || failure.cause === 'broken-answer';
    const hasCrashed =
      isBroken && (await probes.refusesConnections(entry.address));
    if (hasCrashed) crashes.crashed(entry.id);
    slots.done(grant.ticketId, OUTCOMES[failure.cause](hasCrashed));
    if (failure.cause === 'wrong-server') {
      this.options.directory.onServerEntry(entry.id, undefined);
    }
    return AGAIN;
  }

  /** True when a request that was sent before may be sent once more, now. */
  private mayRepeat(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    if (!this.mayTryElsewhere(accepted, progress)) return false;
    return this.options.fleetLimits.tryCountRetry(accepted.service);
  }

  private mayTryElsewhere(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    const {route, fingerprint} = accepted;
    if (progress.sends >= MAX_SENDS) return false;
    if (accepted.deadlineMs - this.nowMs < MIN_LEFT_MS) return false;
    if (this.options.crashes.standing(fingerprint) === 'refused') return false;
    if (!progress.mayHaveRun) return true;
    if (progress.sends >= route.maxAttempts) return false;
    if (route.repeatability === 'stream') return route.isResumable;
    return route.repeatability === 'idempotent';
  }

  private gaveUp(
    progress: Progress,
    reason: string,
    retryAfterMs = NO_SERVER_RETRY_MS,
    detail = `after ${progress.sends} sends`,
  ): StepResult {
    if (progress.hasEvents) return ended({kind: 'broken-off', reason});
    const status = progress.mayHaveRun ? 502 : 503;
    const returnMs = progress.mayHaveRun ? undefined : retryAfterMs;
    return ended(requests.rejection(status, reason, returnMs, detail));
  }

  private overdue(
    progress: Progress,
    detail = `after ${progress.sends} sends`,
  ): StepResult {
    const reason = 'deadline';
    if (progress.hasEvents) return ended({kind: 'broken-off', reason});
    const status = progress.mayHaveRun ? 504 : 503;
    return ended(requests.rejection(status, reason, undefined, detail));
  }

  private silenceMs(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): number {
    const {route} = accepted;
    if (!this.couldGoElsewhere(accepted, progress)) return Infinity;
    if (route.repeatability === 'stream') return STREAM_SILENCE_MS;
    return Math.max(MIN_SILENCE_MS, route.objectiveMs * SILENCE_FACTOR);
  }

  private couldGoElsewhere(
    accepted: requests.AcceptedRequest,
    progress: Progress,
  ): boolean {
    return this.mayTryElsewhere(accepted, {...progress, mayHaveRun: true});
  }

  private observe(
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

  private count(accepted: requests.AcceptedRequest, result: string): void {
    this.options.metrics.attempts.inc({service: accepted.service, result});
  }

  private noteFirstByte(accepted: requests.AcceptedRequest): void {
    this.options.metrics.firstByteS.observe(
      {route: accepted.route.name},
      (this.nowMs - accepted.received.arrivedMs) / 1000,
    );
  }
}

const OUTCOMES: Readonly<
  Record<
    forwarding.upstream.FailureCause,
    (hasCrashed: boolean) => decisions.runner.Outcome
  >
> = {
  'connect-failed': () => ({kind: 'unreachable'}),
  reset: hasCrashed => ({kind: hasCrashed ? 'crashed' : 'failed'}),
  'broken-answer': hasCrashed => ({kind: hasCrashed ? 'crashed' : 'failed'}),
  // The caller still waits: this host ended the send because nothing came.
  cancelled: () => ({kind: 'silent'}),
  'timed-out': () => ({kind: 'failed'}),
  'foreign-answer': () => ({kind: 'failed'}),
  refused: () => ({kind: 'not-admitted', isLeaving: false}),
  'wrong-server': () => ({kind: 'not-admitted', isLeaving: true}),
};

function inUseOf(
  load: forwarding.upstream.LoadReport | undefined,
): number | undefined {
  return load && load.running + load.waiting;
}

function ended(result: DispatchResult): StepResult {
  return {kind: 'ended', ended: result};
}

function brokenAnswer(detail: string): forwarding.upstream.AttemptFailure {
  const cause = 'broken-answer';
  const verdict = 'may-have-run';
  return {kind: 'failed', cause, verdict, status: 0, load: undefined, detail};
}
