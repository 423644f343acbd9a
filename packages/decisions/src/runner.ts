import type * as config from './config.js';
import * as pace from './pace.js';
import * as prefillqueue from './prefillqueue.js';
import * as prefixcache from './prefixcache.js';
import * as regions from './regions.js';
import * as slowdowns from './slowdown.js';
import * as startrates from './startrate.js';
import * as tickets from './ticket.js';

/** The backoff after a runner's first failure, in milliseconds; it doubles with each consecutive one. */
const FIRST_BACKOFF_MS = 500;

/**
 * The maximum backoff of a runner by cause, in milliseconds. A probe that is
 * refused delays its request by a few milliseconds, one that gets no answer by
 * a second or more, so a silent runner is retried later.
 */
const MAX_BACKOFF_MS = {
  'not-admitted': 500,
  unreachable: 1000,
  crashed: 2000,
  broken: 2000,
  silent: 5000,
} as const;

/** After this time without an outcome of a probe there is another one, in milliseconds; the runner may have lost it. */
const PROBE_PATIENCE_MS = 5000;

/**
 * After this many attempts in a row that broke off without an answer, a runner is
 * `down`. A backend server that resets what it gets frees its slots at once, so
 * it would otherwise draw the requests that wait for room elsewhere. Fewer would
 * also put down a runner on which one request of many fails.
 */
const MAX_BROKEN_IN_A_ROW = 3;

/** A pace says little of a runner on which nothing has run or completed for this time, in milliseconds. */
const PACE_TTL_MS = 5000;

/** A completion that is recorded this long after the grant of another attempt shows that the runner was sound after it, in milliseconds. */
const SOUND_AFTER_MS = 500;

/**
 * How long a runner stays `leaving` after the last sign that it leaves, in
 * milliseconds. It then takes work again: where load reports are not read, or
 * none arrives, nothing else would tell that it is back.
 */
export const LEAVING_HOLD_MS = 5000;

/** The weight of a new attempt in the failure rate. */
const FAILURE_SMOOTHING = 0.15;

/**
 * The result of an attempt. A `not-admitted` attempt was refused by the backend
 * server, and a `silent` one got no answer in time. A `cancelled` one `mayRunOn`
 * if the backend server may not learn that it was given up. A `failed` attempt ended
 * with an error, which `isBroken` if the connection broke off instead of
 * bringing an answer, while a `crashed` one shows that the backend server is gone.
 */
export type Outcome =
  | {readonly kind: 'completed'; readonly measured: pace.Measurement}
  | {readonly kind: 'cancelled'; readonly mayRunOn?: boolean}
  | {readonly kind: 'not-admitted'; readonly isLeaving: boolean}
  | {readonly kind: 'unreachable'}
  | {readonly kind: 'crashed'}
  | {readonly kind: 'silent'}
  | {readonly kind: 'failed'; readonly isBroken?: boolean};

/** How long a backend server may take to notice that a request was cancelled, in milliseconds. */
const CLOSE_NOTICE_MS = 100;

/** How long a request that may run on counts as running, as a multiple of its expected time. */
const LINGER_FACTOR = 2;

/** The interval at which a brittle runner that has rejected a request is tried with one more, in milliseconds. */
const ROOM_RAISE_INTERVAL_MS = 3000;

/** The time over which a reported number of foreign requests (those not granted by this cell) decays linearly to zero, in milliseconds. */
const FOREIGN_DECAY_MS = 1500;

/**
 * The length of the spans for which the peak number of own requests is kept,
 * in milliseconds. A runner's report is as old as the answer that carries it,
 * so it is compared with a peak and not with the current number.
 */
const PEAK_SPAN_MS = 1000;

/** Whether a runner accepts new work: a `leaving` one only finishes its requests for `LEAVING_HOLD_MS`, one that is `down` is retried after a backoff. */
export type RunnerState = 'live' | 'leaving' | 'down';

/** The fraction of a runner's budget up to which tickets of each tier are granted; the rest is reserved for higher tiers. */
export const TIER_CEILING: Readonly<Record<config.Tier, number>> = {
  1: 1,
  2: 1,
  3: 0.95,
};

/** A ticket that was granted on a runner that was down or had left. */
interface Probe {
  readonly ticketId: string;
  readonly grantedMs: number;
}

/** How many requests a brittle runner had room for when it last rejected one. */
interface ShownRoom {
  readonly count: number;
  readonly atMs: number;
}

interface RunnerFields {
  readonly server: config.BackendServer;
  readonly versions: readonly string[];
  readonly state: RunnerState;
  readonly consecutiveFailures: number;
  /** The attempts that broke off since the last one that brought an answer. */
  readonly brokenInARow: number;
  /** When a runner that is down accepts a probe. */
  readonly retryAtMs: number;
  /** The last ticket that was granted while the runner was not live; undefined if it holds no slot any more. */
  readonly probe: Probe | undefined;
  /** When a report or an attempt last showed the runner as leaving. */
  readonly leavingAtMs: number;
  readonly pace: pace.Pace;
  readonly prefixCache: prefixcache.PrefixCacheEstimate;
  readonly usedTokens: number;
  readonly running: number;
  readonly prefills: prefillqueue.PrefillQueue;
  /** Whether a suspect request runs on the runner. */
  readonly hasSuspect: boolean;
  /** The peak number of own requests in the current span and in the one before. */
  readonly peaks: readonly [number, number];
  /** The index of the current span, in units of `PEAK_SPAN_MS`. */
  readonly peakSpan: number;
  /** The number of foreign requests in the runner's last report. */
  readonly foreignRunning: number;
  readonly foreignReportedAtMs: number;
  /** The fraction of recent attempts that failed, as an exponential moving average. */
  readonly failureRate: number;
  /** Paces the starts on a runner that states a limit. */
  readonly startRate: startrates.StartRate | undefined;
  /** The part of the slots that may be used of a runner that states that it is brittle; undefined if it does not. */
  readonly brittlePart: number | undefined;
  readonly shownRoom: ShownRoom | undefined;
  /** Until when requests that were given up may still run there, on the monotonic clock. */
  readonly lingeringUntilMs: readonly number[];
  /** The attempts completed since the runner was created or last went down. */
  readonly completions: number;
  /** How much slower than usual the runner works, as it last reported. */
  readonly slowdown: slowdowns.Slowdown | undefined;
  /** When an attempt last completed, or the first of the running ones was granted if that is later. */
  readonly progressMs: number;
  /** The sum of the expected times of the running tickets, in milliseconds. */
  readonly expectedRunningMs: number;
}

/** The expected times of a ticket on a runner, from its dispatch. */
interface Forecast {
  readonly ticket: tickets.Ticket;
  readonly prefillMs: number;
  readonly answerMs: number;
}

type OutcomeHandlers = {
  readonly [K in Outcome['kind']]: (
    runner: Runner,
    outcome: Extract<Outcome, {kind: K}>,
    nowMs: number,
  ) => Runner;
};

/**
 * A backend server as the scheduler tracks it. Invariant: `usedTokens` and
 * `running` count exactly the tickets that hold a slot on it.
 */
export class Runner {
  private lastForecast: Forecast | undefined;

  private constructor(private readonly fields: RunnerFields) {}

  /** Creates an idle, live runner. */
  static of(
    server: config.BackendServer,
    versions: readonly string[] = [],
  ): Runner {
    return new Runner({
      server,
      versions,
      state: 'live',
      consecutiveFailures: 0,
      brokenInARow: 0,
      retryAtMs: 0,
      probe: undefined,
      leavingAtMs: 0,
      pace: server.expectedPace ?? pace.INITIAL_PACE,
      prefixCache: prefixcache.PrefixCacheEstimate.empty,
      usedTokens: 0,
      running: 0,
      prefills: prefillqueue.PrefillQueue.empty,
      hasSuspect: false,
      ...{
        peaks: [0, 0],
        peakSpan: 0,
        foreignRunning: 0,
        foreignReportedAtMs: -Infinity,
      },
      failureRate: 0,
      startRate: undefined,
      ...{brittlePart: undefined, completions: 0, slowdown: undefined},
      ...{lingeringUntilMs: [], shownRoom: undefined},
      ...{progressMs: -Infinity, expectedRunningMs: 0},
    });
  }

  get name(): string {
    return this.fields.server.name;
  }

  get server(): config.BackendServer {
    return this.fields.server;
  }

  get state(): RunnerState {
    return this.fields.state;
  }

  get running(): number {
    return this.fields.running;
  }

  get pace(): pace.Pace {
    return this.fields.pace;
  }

  get versions(): readonly string[] {
    return this.fields.versions;
  }

  /** The fraction of the budget (tokens and requests) in use; above 1 while it is exceeded, for example by one large ticket. */
  get load(): number {
    const {server, usedTokens, running} = this.fields;
    return Math.max(
      usedTokens / server.slotTokens,
      running / server.maxRunning,
    );
  }

  /** The fraction of recent attempts that failed, from 0 to 1. */
  get failureRate(): number {
    return this.fields.failureRate;
  }

  /** The requests a second that the runner takes; undefined without a limit. */
  get limitPerS(): number | undefined {
    return this.fields.startRate?.limitPerS;
  }

  /** The part of the runner's slots that may be used while it is brittle; undefined while it is not. */
  get brittlePart(): number | undefined {
    return this.fields.brittlePart;
  }

  /** The starts that the runner's limit allows in a millisecond. */
  get startsPerMs(): number {
    return this.fields.startRate?.startsPerMs ?? Infinity;
  }

  /** When the prefill of all granted prompts is expected to end. */
  get prefillUntilMs(): number {
    return this.fields.prefills.endMs;
  }

  /**
   * Returns true if the runner accepts new work at `nowMs`; after its backoff, a
   * runner that is down or has left accepts one request as a probe. Those granted
   * before may hang until their deadlines.
   */
  isAvailable(nowMs: number): boolean {
    const {state, retryAtMs, probe} = this.fields;
    if (state === 'live') return true;
    const probedMs = probe?.grantedMs ?? -Infinity;
    const nextProbeMs = Math.max(retryAtMs, probedMs + PROBE_PATIENCE_MS);
    return this.mayReturn(nowMs) && nowMs >= nextProbeMs;
  }

  /** Returns true if the runner takes no more than probes, and will be live again if one is answered. */
  mayReturn(nowMs: number): boolean {
    const {state} = this.fields;
    return state === 'down' || (state === 'leaving' && !this.isLeaving(nowMs));
  }

  /** Returns true if the runner was reported as leaving lately; where there are no reports of its state, only a probe shows that it does not leave any more. */
  private isLeaving(nowMs: number): boolean {
    const {state, leavingAtMs} = this.fields;
    return state === 'leaving' && nowMs - leavingAtMs < LEAVING_HOLD_MS;
  }

  /** Returns true if the runner is in a region that the ticket may use, serves its version and accepts requests of its host; one without known versions serves all. */
  serves(ticket: tickets.Ticket): boolean {
    const {versions, server} = this.fields;
    if (!regions.isAllowed(ticket.allowedRegions, server.region)) return false;
    if (ticket.excluded?.includes(this.name)) return false;
    return (
      ticket.version === '' ||
      versions.length === 0 ||
      versions.includes(ticket.version)
    );
  }

  /** Returns true if the ticket fits under the ceiling of its tier at `nowMs`; an idle runner takes any ticket, and a suspect request needs an idle one. */
  fits(ticket: tickets.Ticket, nowMs: number): boolean {
    return this.mayStart(nowMs) && this.hasRoomFor(ticket, nowMs);
  }

  /** Returns true if the ticket has to wait only for the next start that the runner's limit allows. */
  isHeldBack(ticket: tickets.Ticket, nowMs: number): boolean {
    return !this.mayStart(nowMs) && this.hasRoomFor(ticket, nowMs);
  }

  private hasRoomFor(ticket: tickets.Ticket, nowMs: number): boolean {
    if (!this.isAvailable(nowMs) || this.fields.hasSuspect) return false;
    if (!this.staysWithinBrittleRoom(nowMs)) return false;
    if (this.fields.running === 0) return true;
    if (ticket.isSuspect) return false;
    const ceiling = TIER_CEILING[ticket.tier];
    const {server, usedTokens, running} = this.fields;
    const maxRunning = Math.ceil(server.maxRunning * ceiling);
    return (
      running + this.foreignRunningAt(nowMs) < maxRunning &&
      usedTokens + tickets.slotTokens(ticket) <= server.slotTokens * ceiling
    );
  }

  /**
   * Returns true unless the runner is brittle and one more request might have to
   * wait there. Others' requests count in full while their report is recent, as do
   * those that were given up and may run on.
   * One that rejects a request has room for fewer than its slots.
   * A runner that was down or is new to its keeper starts with one request, and
   * each one that completes makes room for one more at a time.
   */
  private staysWithinBrittleRoom(nowMs: number): boolean {
    const {brittlePart, completions, running, server} = this.fields;
    if (brittlePart === undefined) return true;
    const {foreignRunning, foreignReportedAtMs} = this.fields;
    const isRecent = nowMs - foreignReportedAtMs < FOREIGN_DECAY_MS;
    const slots = Math.max(1, Math.floor(server.maxRunning * brittlePart));
    const room = Math.min(slots, completions + 1, this.shownRoomAt(nowMs));
    const lingering = this.lingeringAt(nowMs).length;
    return running + lingering + (isRecent ? foreignRunning : 0) < room;
  }

  private shownRoomAt(nowMs: number): number {
    const {shownRoom} = this.fields;
    if (!shownRoom) return Infinity;
    const {count, atMs} = shownRoom;
    return count + Math.floor((nowMs - atMs) / ROOM_RAISE_INTERVAL_MS);
  }

  private lingeringAt(nowMs: number): readonly number[] {
    return this.fields.lingeringUntilMs.filter(untilMs => nowMs < untilMs);
  }

  /** Returns true if the runner's limit allows a start at `nowMs`. */
  private mayStart(nowMs: number): boolean {
    return this.fields.startRate?.allows(nowMs) ?? true;
  }

  /** Returns the earliest time from `atMs` on at which the runner's limit allows a start. */
  startableAtMs(atMs: number): number {
    return Math.max(atMs, this.fields.startRate?.nextMs ?? atMs);
  }

  /**
   * Returns the estimated number of slots used by others: keepers on the
   * other side of a network partition, or hosts that could not reach a keeper.
   */
  foreignRunningAt(nowMs: number): number {
    const {foreignRunning, foreignReportedAtMs} = this.fields;
    const decay = Math.max(
      0,
      1 - (nowMs - foreignReportedAtMs) / FOREIGN_DECAY_MS,
    );
    return foreignRunning === 0 ? 0 : Math.round(foreignRunning * decay);
  }

  /** Returns true if the runner may have a free slot for some ticket at `nowMs`. */
  hasFreeSlot(nowMs: number): boolean {
    return this.mayStart(nowMs) && this.hasRoom(nowMs);
  }

  /** Returns true if a slot on the runner may be free at `nowMs`, whether or not its limit allows a start. */
  hasRoom(nowMs: number): boolean {
    const {server, running, hasSuspect} = this.fields;
    if (!this.isAvailable(nowMs) || hasSuspect) return false;
    if (!this.staysWithinBrittleRoom(nowMs)) return false;
    return running + this.foreignRunningAt(nowMs) < server.maxRunning;
  }

  /** Returns the fraction of the budget that the ticket occupies, in tokens or in requests, whichever is larger. */
  slotShare(ticket: tickets.Ticket): number {
    const {slotTokens, maxRunning} = this.fields.server;
    return Math.max(tickets.slotTokens(ticket) / slotTokens, 1 / maxRunning);
  }

  /** Returns the expected time from dispatch to the end of the ticket's answer, in milliseconds. */
  expectedMs(ticket: tickets.Ticket): number {
    return this.forecastOf(ticket).answerMs;
  }

  /** The running requests that are expected to complete in a millisecond if nothing slows the runner down. */
  get completionsPerMs(): number {
    const {running, expectedRunningMs} = this.fields;
    return running ** 2 / Math.max(1, expectedRunningMs);
  }

  /** Returns by how much the time of work that starts at `nowMs` exceeds the usual, by the runner's reports; 1 without recent ones. */
  slowdownAt(nowMs: number): number {
    const {slowdown, progressMs} = this.fields;
    if (!slowdown) return 1;
    const {completionsPerMs} = this;
    const due =
      completionsPerMs === 0 ? 0 : completionsPerMs * (nowMs - progressMs);
    return slowdowns.factorAt(slowdown, due, nowMs);
  }

  /** Returns the expected prefill time of the ticket's prompt, in milliseconds. */
  expectedPrefillMs(ticket: tickets.Ticket): number {
    return this.forecastOf(ticket).prefillMs;
  }

  /** Returns when the first token is expected if the ticket is dispatched at `nowMs`, or as soon after as the runner's limit allows. */
  firstTokenAtMs(ticket: tickets.Ticket, nowMs: number): number {
    return (
      Math.max(this.startableAtMs(nowMs), this.prefillUntilMs) +
      this.expectedPrefillMs(ticket)
    );
  }

  /** Returns true if the ticket, dispatched at `nowMs` or as soon after as the runner's limit allows, is expected to meet its deadline and `firstByMs`. */
  canMeetDeadline(ticket: tickets.Ticket, nowMs: number): boolean {
    const startMs = this.startableAtMs(nowMs);
    return (
      startMs + this.expectedMs(ticket) <= ticket.deadlineMs &&
      startMs + this.expectedPrefillMs(ticket) <= ticket.firstByMs
    );
  }

  /** Returns true if the ticket, dispatched like that, is expected to meet its first-token objective. */
  canMeetObjective(ticket: tickets.Ticket, nowMs: number): boolean {
    return this.firstTokenAtMs(ticket, nowMs) <= ticket.onTimeByMs;
  }

  /** Assigns a slot to the ticket as of `grantedMs`. */
  occupy(ticket: tickets.Ticket, grantedMs: number): Runner {
    const {usedTokens, running, prefixCache, server} = this.fields;
    const isTriedAgain = this.state === 'leaving' && !this.isLeaving(grantedMs);
    const state = isTriedAgain ? 'down' : this.state;
    const probe =
      state === 'live' ? this.fields.probe : {ticketId: ticket.id, grantedMs};
    const fitting = Math.ceil(server.slotTokens / prefixcache.BLOCK_TOKENS);
    const maxBlocks = Math.min(fitting, prefixcache.MAX_TRACKED_BLOCKS);
    return this.with({
      usedTokens: usedTokens + tickets.slotTokens(ticket),
      ...{running: running + 1, state, probe},
      progressMs: running === 0 ? grantedMs : this.fields.progressMs,
      expectedRunningMs:
        this.fields.expectedRunningMs + this.expectedMs(ticket),
      prefills: this.fields.prefills.add(
        ticket.id,
        this.expectedPrefillMs(ticket),
        grantedMs,
      ),
      ...this.peaksAt(running + 1, grantedMs),
      prefixCache: prefixCache.withBlocks(ticket.chain, maxBlocks),
      hasSuspect: this.fields.hasSuspect || ticket.isSuspect,
    });
  }

  /** Releases the slot of the ticket at `nowMs`. */
  release(ticket: tickets.Ticket, wasAnswered: boolean, nowMs: number): Runner {
    const {usedTokens, running, hasSuspect, prefills, probe} = this.fields;
    return this.with({
      probe: probe?.ticketId === ticket.id ? undefined : probe,
      usedTokens: usedTokens - tickets.slotTokens(ticket),
      running: running - 1,
      expectedRunningMs:
        (this.fields.expectedRunningMs * (running - 1)) / Math.max(1, running),
      hasSuspect: hasSuspect && !ticket.isSuspect,
      prefills: prefills.remove(ticket.id, wasAnswered, nowMs),
    });
  }

  /** Records that a request which was given up may still run there: until the backend server notices, or as if it took twice the expected time if that `mayRunOn`. */
  linger(
    {ticket, grantedMs}: tickets.Grant,
    mayRunOn: boolean,
    nowMs: number,
  ): Runner {
    const endMs = grantedMs + LINGER_FACTOR * this.expectedMs(ticket);
    const untilMs = mayRunOn
      ? Math.min(endMs, ticket.deadlineMs)
      : nowMs + CLOSE_NOTICE_MS;
    const lingeringUntilMs = [...this.lingeringAt(nowMs), untilMs];
    return this.with({lingeringUntilMs});
  }

  /** Sets or lifts the limit that the runner states. */
  withLimit(limitPerS: number | undefined, nowMs: number): Runner {
    if (limitPerS === this.limitPerS) return this;
    if (limitPerS === undefined) return this.with({startRate: undefined});
    const {startRate} = this.fields;
    return this.with({
      startRate:
        startRate?.withLimit(limitPerS, nowMs) ??
        startrates.StartRate.of(limitPerS, nowMs),
    });
  }

  /** Records whether the runner states that it is brittle, and the part of its slots that may be used then. */
  withBrittle(brittlePart: number | undefined): Runner {
    const isSame = brittlePart === this.fields.brittlePart;
    return isSame ? this : this.with({brittlePart});
  }

  /** Makes the runner, should it be brittle, start with one request again, as its keeper may not know of all that run there. */
  withUnknownUse(): Runner {
    return this.fields.completions === 0 ? this : this.with({completions: 0});
  }

  /** Counts a start at `nowMs` against the runner's limit. */
  countStart(nowMs: number): Runner {
    const {startRate} = this.fields;
    return startRate ? this.with({startRate: startRate.start(nowMs)}) : this;
  }

  /** Takes back a counted start that was not used. */
  withdrawStart(): Runner {
    const {startRate} = this.fields;
    return startRate ? this.with({startRate: startRate.withdraw()}) : this;
  }

  /**
   * Applies the outcome of an attempt granted at `grantedMs` to the state, pace
   * and failure rate. An attempt that hangs on a lost connection is silent until
   * its deadline; if others completed meanwhile, only that attempt failed.
   */
  recordOutcome(outcome: Outcome, nowMs: number, grantedMs = nowMs): Runner {
    const isPast = this.fields.progressMs >= grantedMs + SOUND_AFTER_MS;
    if (outcome.kind === 'silent' && isPast) {
      return this.recordFailure(false, nowMs);
    }
    const handler = OUTCOME_HANDLERS[outcome.kind] as (
      runner: Runner,
      outcome: Outcome,
      nowMs: number,
    ) => Runner;
    return handler(this, outcome, nowMs);
  }

  /**
   * Applies a state from the list of backend servers or a load report. Both
   * lag, so a runner that is leaving becomes live again only if no report of
   * it leaving came for `LEAVING_HOLD_MS`.
   */
  withReportedState(isLeaving: boolean, nowMs: number): Runner {
    if (isLeaving) return this.with({state: 'leaving', leavingAtMs: nowMs});
    if (this.fields.state !== 'leaving' || this.isLeaving(nowMs)) return this;
    return this.with({state: 'live'});
  }

  /** Forgets a pace that was measured long ago, if nothing runs that could be measured. */
  withoutOldPace(nowMs: number): Runner {
    const {running, progressMs, server, pace: known} = this.fields;
    const assumed = server.expectedPace ?? pace.INITIAL_PACE;
    const isOld = running === 0 && nowMs - progressMs >= PACE_TTL_MS;
    return isOld && known !== assumed ? this.with({pace: assumed}) : this;
  }

  /** Replaces the configuration entry and the set of versions. */
  withConfiguration(
    server: config.BackendServer,
    versions: readonly string[],
  ): Runner {
    return this.with({server, versions});
  }

  /** Returns the forecast of a ticket; that of the last ticket is kept, since a runner is asked several times for one. */
  private forecastOf(ticket: tickets.Ticket): Forecast {
    if (this.lastForecast?.ticket === ticket) return this.lastForecast;
    const {prefixCache, pace: current} = this.fields;
    const cached = prefixCache.cachedTokens(ticket.chain);
    const prefill = Math.max(0, ticket.promptTokens - cached);
    this.lastForecast = {
      ticket,
      prefillMs: pace.expectedMs(current, prefill, 0),
      answerMs: pace.expectedMs(current, prefill, ticket.outputTokens),
    };
    return this.lastForecast;
  }

  private with(change: Partial<RunnerFields>): Runner {
    return new Runner({...this.fields, ...change});
  }

  /** Marks the runner as down after it rejected a request; a brittle one shows by that how many it has room for. */
  recordRejection(nowMs: number): Runner {
    const down = this.markDown('not-admitted', nowMs);
    const {brittlePart, running} = this.fields;
    if (brittlePart === undefined) return down;
    const count = Math.min(this.shownRoomAt(nowMs), Math.max(1, running));
    return down.with({shownRoom: {count, atMs: nowMs}});
  }

  /** Marks the runner as down until a backoff has passed. */
  markDown(cause: keyof typeof MAX_BACKOFF_MS, nowMs: number): Runner {
    const consecutiveFailures = this.fields.consecutiveFailures + 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS[cause],
      FIRST_BACKOFF_MS * 2 ** (consecutiveFailures - 1),
    );
    const state = this.isLeaving(nowMs) ? 'leaving' : 'down';
    return this.with({
      state,
      consecutiveFailures,
      retryAtMs: nowMs + backoffMs,
      prefixCache: prefixcache.PrefixCacheEstimate.empty,
      completions: 0,
    });
  }

  /** Counts an attempt that broke off or, if not `isBroken`, ended with an error that the backend server sent. */
  recordFailure(isBroken: boolean, nowMs: number): Runner {
    const brokenInARow = isBroken ? this.fields.brokenInARow + 1 : 0;
    const counted = this.with({brokenInARow}).withFailureSample(true);
    return brokenInARow >= MAX_BROKEN_IN_A_ROW
      ? counted.markDown('broken', nowMs)
      : counted;
  }

  /** Adds the success or failure of an attempt to the failure rate. */
  withFailureSample(isFailure: boolean): Runner {
    const {failureRate} = this.fields;
    const change = FAILURE_SMOOTHING * (Number(isFailure) - failureRate);
    return this.with({failureRate: failureRate + change});
  }

  /** Returns the peaks after an update to `running` own requests at `nowMs`. */
  private peaksAt(
    running: number,
    nowMs: number,
  ): Pick<RunnerFields, 'peaks' | 'peakSpan'> {
    const span = Math.floor(nowMs / PEAK_SPAN_MS);
    const {peaks, peakSpan} = this.fields;
    const [current, previous] = peaks;
    if (span === peakSpan) {
      return {peaks: [Math.max(current, running), previous], peakSpan};
    }
    // No request was granted since `peakSpan`, so those that run now ran in the previous span.
    const last = span === peakSpan + 1 ? current : this.fields.running;
    return {peaks: [running, last], peakSpan: span};
  }

  /** Applies a report of `inUse` requests; those beyond the peak of own requests are foreign. */
  private withReportedUse(inUse: number | undefined, nowMs: number): Runner {
    if (inUse === undefined) return this;
    const {peaks} = this.peaksAt(this.fields.running, nowMs);
    const foreignRunning = Math.max(0, inUse - Math.max(...peaks));
    return this.with({foreignRunning, foreignReportedAtMs: nowMs});
  }

  /** Applies the measurement of a completed attempt. */
  recordSuccess(measured: pace.Measurement, nowMs: number): Runner {
    const {slowdownPercent, reportAgeMs = 0} = measured;
    const atMs = nowMs - reportAgeMs;
    const {slowdown} = this.fields;
    return this.withReportedUse(measured.inUse, nowMs).with({
      slowdown: slowdowns.latest(slowdown, slowdownPercent, atMs),
      progressMs: nowMs,
      state: this.isLeaving(nowMs) ? 'leaving' : 'live',
      consecutiveFailures: 0,
      brokenInARow: 0,
      completions: this.fields.completions + 1,
      pace: pace.updatePace(this.fields.pace, measured),
    });
  }
}

const OUTCOME_HANDLERS: OutcomeHandlers = {
  completed: (runner, outcome, nowMs) =>
    runner.recordSuccess(outcome.measured, nowMs).withFailureSample(false),
  cancelled: runner => runner,
  'not-admitted': (runner, outcome, nowMs) =>
    outcome.isLeaving
      ? runner.withReportedState(true, nowMs)
      : runner.recordRejection(nowMs),
  unreachable: (runner, _, nowMs) => runner.markDown('unreachable', nowMs),
  crashed: (runner, _, nowMs) => runner.markDown('crashed', nowMs),
  silent: (runner, _, nowMs) =>
    runner.markDown('silent', nowMs).withFailureSample(true),
  failed: (runner, {isBroken = false}, nowMs) =>
    runner.recordFailure(isBroken, nowMs),
};
