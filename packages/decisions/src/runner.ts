import type * as config from './config.js';
import * as pace from './pace.js';
import * as prefix from './prefixcache.js';
import * as tickets from './ticket.js';

const FIRST_BACKOFF_MS = 500;

/**
 * The longest pause before a runner is tried again, by what went wrong. A
 * refusal costs the next request some milliseconds; silence costs it a second
 * or more, so a silent runner is left alone for longer.
 */
const MAX_BACKOFF_MS = {
  'not-admitted': 500,
  unreachable: 1000,
  crashed: 2000,
  silent: 5000,
} as const;
const LEAVING_STICKS_MS = 5000;
const FAULT_SMOOTHING = 0.15;

/** What happened to a request that was granted a slot. */
export type Outcome =
  | {readonly kind: 'completed'; readonly measured: pace.Measurement}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'not-admitted'; readonly isLeaving: boolean}
  | {readonly kind: 'unreachable'}
  | {readonly kind: 'crashed'}
  | {readonly kind: 'silent'}
  | {readonly kind: 'failed'};

/** How long a runner's report of requests that are not ours counts, fading, in milliseconds. */
const OTHERS_FADE_MS = 1500;

/** The span over which the most own requests at once are remembered, in milliseconds; reports are as old as answers are long. */
const PEAK_SPAN_MS = 1000;

/** Whether a runner takes new work; `down` is retried after a backoff. */
export type RunnerState = 'live' | 'leaving' | 'down';

/** The share of a runner's budget that each tier may fill; the rest is headroom for higher tiers. */
export const TIER_CEILING: Readonly<Record<config.Tier, number>> = {
  1: 1,
  2: 1,
  3: 0.95,
};

interface RunnerFields {
  readonly server: config.BackendServer;
  readonly versions: readonly string[];
  readonly state: RunnerState;
  readonly failures: number;
  readonly retryAtMs: number;
  readonly leavingAtMs: number;
  readonly pace: pace.Pace;
  readonly cached: prefix.PrefixCacheEstimate;
  readonly usedTokens: number;
  readonly running: number;
  /** When the prompts that were sent to it so far are expected to be read: it reads one at a time. */
  readonly readUntilMs: number;
  readonly hasSuspect: boolean;
  /** The most own requests at once in the present span and in the one before. */
  readonly peaks: readonly [number, number];
  readonly peakSpan: number;
  /** Requests that were not granted by this cell, as the runner last reported. */
  readonly others: number;
  readonly othersAtMs: number;
  /** The share of recent requests that failed on it, the latest ones counting most. */
  readonly faultRate: number;
}

type OutcomeHandlers = {
  readonly [K in Outcome['kind']]: (
    runner: Runner,
    outcome: Extract<Outcome, {kind: K}>,
    nowMs: number,
  ) => Runner;
};

/**
 * A backend server as its cell sees it. Invariant: `usedTokens` and
 * `running` count exactly the tickets that hold a slot on it.
 */
export class Runner {
  private constructor(private readonly fields: RunnerFields) {}

  /** An idle, live runner. */
  static of(
    server: config.BackendServer,
    versions: readonly string[] = [],
  ): Runner {
    return new Runner({
      server,
      versions,
      state: 'live',
      failures: 0,
      retryAtMs: 0,
      leavingAtMs: 0,
      pace: server.expectedPace ?? pace.INITIAL_PACE,
      cached: prefix.PrefixCacheEstimate.empty,
      usedTokens: 0,
      running: 0,
      readUntilMs: -Infinity,
      hasSuspect: false,
      ...{peaks: [0, 0], peakSpan: 0, others: 0, othersAtMs: -Infinity},
      faultRate: 0,
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

  /** The share of the budget in use, from 0 to 1. */
  get load(): number {
    const {server, usedTokens, running} = this.fields;
    return Math.max(
      usedTokens / server.slotTokens,
      running / server.maxRunning,
    );
  }

  /** The share of recent requests that failed, from 0 to 1. */
  get faultRate(): number {
    return this.fields.faultRate;
  }

  /** When the prompts that were sent to it so far are expected to be read. */
  get prefillUntilMs(): number {
    return this.fields.readUntilMs;
  }

  /** True when the runner may take new work at `nowMs`; a runner that is down takes one request as a probe. */
  isAvailable(nowMs: number): boolean {
    const {state, retryAtMs, running} = this.fields;
    if (state === 'live') return true;
    return state === 'down' && nowMs >= retryAtMs && running === 0;
  }

  /** True when the runner serves the version that the ticket asks for. */
  serves(ticket: tickets.Ticket): boolean {
    const {versions} = this.fields;
    return (
      ticket.version === '' ||
      versions.length === 0 ||
      versions.includes(ticket.version)
    );
  }

  /** True when the ticket fits under its tier's ceiling now. */
  fits(ticket: tickets.Ticket, nowMs: number): boolean {
    if (!this.isAvailable(nowMs) || this.fields.hasSuspect) return false;
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
   * Places that somebody else uses: other keepers, in a fleet that is cut
   * apart, or hosts that had to choose without one.
   */
  foreignRunningAt(nowMs: number): number {
    const {others, othersAtMs} = this.fields;
    const fade = Math.max(0, 1 - (nowMs - othersAtMs) / OTHERS_FADE_MS);
    return others === 0 ? 0 : Math.round(others * fade);
  }

  /** The part of the runner that the ticket occupies, in tokens or in places, whichever is larger. */
  slotShare(ticket: tickets.Ticket): number {
    const {slotTokens, maxRunning} = this.fields.server;
    return Math.max(tickets.slotTokens(ticket) / slotTokens, 1 / maxRunning);
  }

  /** The expected time from dispatch to the end of the ticket's answer, in milliseconds. */
  expectedMs(ticket: tickets.Ticket): number {
    const cached = this.fields.cached.cachedTokens(ticket.chain);
    const prefill = Math.max(0, ticket.promptTokens - cached);
    return pace.expectedMs(this.fields.pace, prefill, ticket.outputTokens);
  }

  /** The expected time that the runner takes for the ticket's prompt, in milliseconds. */
  expectedPrefillMs(ticket: tickets.Ticket): number {
    const cached = this.fields.cached.cachedTokens(ticket.chain);
    const prefill = Math.max(0, ticket.promptTokens - cached);
    return pace.expectedMs(this.fields.pace, prefill, 0);
  }

  /** When the first token of a ticket that is dispatched at `nowMs` is expected. */
  firstTokenAtMs(ticket: tickets.Ticket, nowMs: number): number {
    return (
      Math.max(nowMs, this.fields.readUntilMs) + this.expectedPrefillMs(ticket)
    );
  }

  /** True when the ticket's first token and its end are still expected in time. */
  isInTime(ticket: tickets.Ticket, nowMs: number): boolean {
    return (
      nowMs + this.expectedMs(ticket) <= ticket.deadlineMs &&
      nowMs + this.expectedPrefillMs(ticket) <= ticket.firstByMs
    );
  }

  /** True when the first token of a ticket that is dispatched now is expected on time. */
  isOnTime(ticket: tickets.Ticket, nowMs: number): boolean {
    return this.firstTokenAtMs(ticket, nowMs) <= ticket.onTimeByMs;
  }

  /** The runner with the ticket in a slot since `grantedMs`. */
  occupy(ticket: tickets.Ticket, grantedMs: number): Runner {
    const {usedTokens, running, cached, server} = this.fields;
    const fitting = Math.ceil(server.slotTokens / prefix.BLOCK_TOKENS);
    const maxBlocks = Math.min(fitting, prefix.MAX_TRACKED_BLOCKS);
    return this.with({
      usedTokens: usedTokens + tickets.slotTokens(ticket),
      running: running + 1,
      readUntilMs: this.firstTokenAtMs(ticket, grantedMs),
      ...this.peaksAt(running + 1, grantedMs),
      cached: cached.withBlocks(ticket.chain, maxBlocks),
      hasSuspect: this.fields.hasSuspect || ticket.isSuspect,
    });
  }

  /** The runner after the ticket gave its slot back. */
  release(ticket: tickets.Ticket): Runner {
    const {usedTokens, running, hasSuspect} = this.fields;
    return this.with({
      usedTokens: usedTokens - tickets.slotTokens(ticket),
      running: running - 1,
      hasSuspect: hasSuspect && !ticket.isSuspect,
    });
  }

  /** The runner after it learned how a request ended. */
  recordOutcome(outcome: Outcome, nowMs: number): Runner {
    const handler = OUTCOME_HANDLERS[outcome.kind] as (
      runner: Runner,
      outcome: Outcome,
      nowMs: number,
    ) => Runner;
    return handler(this, outcome, nowMs);
  }

  /**
   * The runner after the list of backend servers or a load report told its
   * state. Both lag, so a runner that said it is leaving stays so until
   * nothing has said it for `LEAVING_STICKS_MS`.
   */
  withReportedState(isLeaving: boolean, nowMs: number): Runner {
    if (isLeaving) return this.with({state: 'leaving', leavingAtMs: nowMs});
    const {state, leavingAtMs} = this.fields;
    const isOld = nowMs - leavingAtMs >= LEAVING_STICKS_MS;
    return state === 'leaving' && isOld ? this.with({state: 'live'}) : this;
  }

  /** The runner with a new configuration entry and set of versions. */
  withConfiguration(
    server: config.BackendServer,
    versions: readonly string[],
  ): Runner {
    return this.with({server, versions});
  }

  private with(change: Partial<RunnerFields>): Runner {
    return new Runner({...this.fields, ...change});
  }

  /** Marks the runner down until a backoff has passed. */
  markDown(cause: keyof typeof MAX_BACKOFF_MS, nowMs: number): Runner {
    const failures = this.fields.failures + 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS[cause],
      FIRST_BACKOFF_MS * 2 ** (failures - 1),
    );
    const state = this.fields.state === 'leaving' ? 'leaving' : 'down';
    return this.with({
      state,
      failures,
      retryAtMs: nowMs + backoffMs,
      cached: prefix.PrefixCacheEstimate.empty,
    });
  }

  /** The runner after a request failed on it, or did not. */
  withFaultSample(isFault: boolean): Runner {
    const {faultRate} = this.fields;
    const change = FAULT_SMOOTHING * (Number(isFault) - faultRate);
    return this.with({faultRate: faultRate + change});
  }

  /** The remembered peaks with `running` own requests at `nowMs`. */
  private peaksAt(
    running: number,
    nowMs: number,
  ): Pick<RunnerFields, 'peaks' | 'peakSpan'> {
    const span = Math.floor(nowMs / PEAK_SPAN_MS);
    const {peaks, peakSpan} = this.fields;
    const [present, before] = peaks;
    if (span === peakSpan) {
      return {peaks: [Math.max(present, running), before], peakSpan};
    }
    // A request that is still running was running in the span before, too.
    const last = span === peakSpan + 1 ? present : this.fields.running;
    return {peaks: [running, last], peakSpan: span};
  }

  /** The runner after it reported `inUse` requests; what can't be ours is somebody else's. */
  private reported(inUse: number | undefined, nowMs: number): Runner {
    if (inUse === undefined) return this;
    const {peaks} = this.peaksAt(this.fields.running, nowMs);
    const others = Math.max(0, inUse - Math.max(...peaks));
    return this.with({others, othersAtMs: nowMs});
  }

  /** The runner after a request completed on it. */
  recordSuccess(measured: pace.Measurement, nowMs: number): Runner {
    return this.reported(measured.inUse, nowMs).with({
      state: this.fields.state === 'leaving' ? 'leaving' : 'live',
      failures: 0,
      pace: pace.updatePace(this.fields.pace, measured),
    });
  }
}

const OUTCOME_HANDLERS: OutcomeHandlers = {
  completed: (runner, outcome, nowMs) =>
    runner.recordSuccess(outcome.measured, nowMs).withFaultSample(false),
  cancelled: runner => runner,
  'not-admitted': (runner, outcome, nowMs) =>
    outcome.isLeaving
      ? runner.withReportedState(true, nowMs)
      : runner.markDown('not-admitted', nowMs),
  unreachable: (runner, _, nowMs) => runner.markDown('unreachable', nowMs),
  crashed: (runner, _, nowMs) => runner.markDown('crashed', nowMs),
  silent: (runner, _, nowMs) =>
    runner.markDown('silent', nowMs).withFaultSample(true),
  failed: runner => runner.withFaultSample(true),
};
