/**
 * Discrete-event simulation of a workload on one cell. Requests arrive at
 * random, send slot requests to a cell of `decisions` and run on modelled engines.
 * Messages and retries are scheduled on a simulated clock, and one seed
 * determines the whole run.
 */
import * as decisions from '@banyanhall/decisions';

import * as engines from './engine.js';
import type * as workloads from './workloads.js';

/** Interval between the ticks of the cell, and between samples of slot use. */
const TICK_MS = 50;

/** The slots of an engine count as available this long after its recovery, since the cell has to detect the recovery first. */
const RECOVERY_DETECTION_MS = 1000;

/** Delay of one message between hosts or from a host to an engine. */
const MESSAGE_MS = 8;

/** A refused request is retried only if the retry-after delay is at most this share of the time left to its deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** A refused request is retried only if it has been retried fewer times than this, retries after engine crashes included. */
const MAX_RETRIES = 1;

/** The value of a request relative to its kind's: the base plus the size factor times its size over the mean size, up to the maximum. */
const BASE_VALUE_FACTOR = 0.3;
const SIZE_VALUE_FACTOR = 0.7;
const MAX_VALUE_FACTOR = 4;

/** Weight of an output token in the size of a request; a prompt token weighs 1. */
const OUTPUT_TOKEN_WEIGHT = 10;

/** Token capacity of an engine; too large to limit the number of running requests. */
const SLOT_TOKENS = 600_000;

/** The pace that the configuration of the cell states for every engine. */
const EXPECTED_PACE: decisions.pace.Pace = {
  ...{prefillTokensPerS: 20_000, decodeTokensPerS: 150, firstTokenBaseMs: 20},
};

/** The share of requests that `largestShareByKind` covers. */
const LARGEST_SHARE = 0.1;

/** How one request ended; durations in milliseconds. */
export interface Outcome {
  readonly kind: string;
  /** Value of the request when its first token is on time. */
  readonly value: number;
  /** The part of `value` that the outcome earned. */
  readonly earned: number;
  /** Prompt tokens plus weighted output tokens. */
  readonly size: number;
  /** `left`: the caller gave up, or the deadline passed. */
  readonly end: 'on-time' | 'late' | 'refused' | 'left';
  /** From the receipt at the engine to the first token; meaningless for a request without one. */
  readonly firstTokenMs: number;
  /** From the last grant to the end of all prefills granted on its engine, as the cell expected it after the event with the grant. */
  readonly predictedFirstTokenMs: number;
  readonly promptTokens: number;
  /** The engine of the last attempt; empty if there was none, or if that engine crashed and no grant followed. */
  readonly engine: string;
  /** From the arrival to the last receipt at an engine; meaningless if none received the request. */
  readonly waitedMs: number;
}

/** Results of a simulation. A share is earned value over total value, from 0 to 1. */
export interface Summary {
  readonly requests: number;
  readonly share: number;
  readonly shareByKind: Readonly<Record<string, number>>;
  /** The shares of the largest tenth of the requests of each kind. */
  readonly largestShareByKind: Readonly<Record<string, number>>;
  /** Number of requests by `KIND END`, such as `short on-time`. */
  readonly ends: Readonly<Record<string, number>>;
  /**
   * Used over available slot time while tickets waited; 1 if none ever waited.
   * Can exceed 1, since slots in use on engines that do not count as available
   * are included.
   */
  readonly useWhileWaiting: number;
}

/** A request during the simulation; times on the simulated clock. */
interface Request {
  readonly id: string;
  readonly kind: workloads.RequestKind;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The expected output length in its ticket. */
  readonly hintedOutputTokens: number;
  readonly size: number;
  readonly value: number;
  /** Slot requests made for it after the first one. */
  retries: number;
  /** When an engine last received it; 0 before. */
  receivedMs: number;
  predictedFirstTokenMs: number;
  /** When its first token came; 0 before. */
  firstTokenAtMs: number;
  /** The engine it was last granted a slot on; empty before, and after a crash of that engine. */
  engine: string;
  hasEnded: boolean;
}

/** What a scheduled event does. */
type Action = () => void;

/** Simulates a workload; returns the outcome of each request, in the order in which they ended. */
export function simulate(
  workload: workloads.Workload,
  seed: number,
): readonly Outcome[] {
  return new Simulation(workload, seed).run().outcomes;
}

/** Simulates a workload and summarizes the outcomes. */
export function summarize(workload: workloads.Workload, seed: number): Summary {
  const {outcomes, useWhileWaiting} = new Simulation(workload, seed).run();
  const kinds = workload.kinds.map(kind => kind.name);
  const ofKind = (name: string) => outcomes.filter(o => o.kind === name);
  const ends: Record<string, number> = {};
  for (const {kind, end} of outcomes) {
    const key = `${kind} ${end}`;
    ends[key] = (ends[key] ?? 0) + 1;
  }
  return {
    requests: outcomes.length,
    share: shareOf(outcomes),
    shareByKind: Object.fromEntries(kinds.map(k => [k, shareOf(ofKind(k))])),
    largestShareByKind: Object.fromEntries(
      kinds.map(k => [k, shareOf(largest(ofKind(k)))]),
    ),
    ends,
    useWhileWaiting,
  };
}

function shareOf(outcomes: readonly Outcome[]): number {
  const total = outcomes.reduce((sum, o) => sum + o.value, 0);
  const earned = outcomes.reduce((sum, o) => sum + o.earned, 0);
  return total === 0 ? 1 : earned / total;
}

function largest(outcomes: readonly Outcome[]): readonly Outcome[] {
  const sorted = [...outcomes].sort((a, b) => b.size - a.size);
  return sorted.slice(0, Math.ceil(sorted.length * LARGEST_SHARE));
}

/** The state of one run; `run` may be called once. */
class Simulation {
  readonly outcomes: Outcome[] = [];
  private readonly random: decisions.random.Random;
  /** Scheduled events in order of time; those of the same time in order of insertion. */
  private readonly eventQueue: {readonly atMs: number; readonly act: Action}[] =
    [];
  private readonly requests = new Map<string, Request>();
  private readonly engines = new Map<string, engines.Engine>();
  private readonly down = new Set<string>();
  /** Engines that are down, or whose recovery the cell may not have detected yet. */
  private readonly unusable = new Set<string>();
  private cell: decisions.cell.Cell;
  private nowMs = 0;
  /** Slot time in use, and available, while tickets waited. */
  private usedSlotMs = 0;
  private availableSlotMs = 0;

  constructor(
    private readonly workload: workloads.Workload,
    seed: number,
  ) {
    this.random = decisions.random.seeded(seed);
    this.cell = decisions.cell.Cell.recovering([], 0);
    const {engineParameters, speeds} = workload;
    const servers: decisions.config.BackendServer[] = [];
    for (let i = 0; i < workload.engines; i++) {
      const name = `engine-${i}`;
      const speed = speeds[i % speeds.length];
      this.engines.set(name, new engines.Engine(engineParameters, speed));
      servers.push({
        ...{name, url: '', region: 'a', zone: 'a', slotTokens: SLOT_TOKENS},
        maxRunning: engineParameters.slots,
        expectedPace: EXPECTED_PACE,
      });
    }
    const versionsByServer = new Map();
    this.applyToCell({kind: 'configure', servers, versionsByServer});
  }

  get useWhileWaiting(): number {
    return this.availableSlotMs === 0
      ? 1
      : this.usedSlotMs / this.availableSlotMs;
  }

  run(): this {
    this.workload.kinds.forEach(kind => this.scheduleArrival(kind));
    for (const disturbance of this.workload.disturbances) {
      const {downShare, fromMs, toMs} = disturbance;
      if (downShare)
        this.schedule(fromMs, () => this.crashEngines(downShare, toMs));
    }
    const longestMs = Math.max(...this.workload.kinds.map(k => k.deadlineMs));
    const endMs = this.workload.durationMs + longestMs;
    this.tick(endMs);
    for (;;) {
      const next = this.eventQueue.shift();
      if (!next) return this;
      this.nowMs = next.atMs;
      next.act();
    }
  }

  /** Runs `act` at `atMs`, after the events already scheduled for that time. */
  private schedule(atMs: number, act: Action): void {
    let low = 0;
    let high = this.eventQueue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.eventQueue[middle].atMs <= atMs) low = middle + 1;
      else high = middle;
    }
    this.eventQueue.splice(low, 0, {atMs, act});
  }

  /** Ticks the cell and samples slot use, now and every `TICK_MS` until `endMs`. */
  private tick(endMs: number): void {
    this.applyToCell({kind: 'tick'});
    if (this.cell.waiting.length > 0) {
      this.usedSlotMs += this.cell.running.length * TICK_MS;
      const usableEngines = this.workload.engines - this.unusable.size;
      this.availableSlotMs +=
        usableEngines * this.workload.engineParameters.slots * TICK_MS;
    }
    if (this.nowMs < endMs)
      this.schedule(this.nowMs + TICK_MS, () => this.tick(endMs));
  }

  /** Schedules the next request of a kind, at the arrival rate of this moment. */
  private scheduleArrival(kind: workloads.RequestKind): void {
    const factor = this.workload.disturbances.reduce(
      (f, d) =>
        this.nowMs >= d.fromMs && this.nowMs < d.toMs
          ? f * (d.rateFactor ?? 1)
          : f,
      this.workload.rateFactor,
    );
    const meanMs = 1000 / (kind.requestsPerS * factor);
    const atMs = this.nowMs - Math.log(1 - this.random()) * meanMs;
    if (atMs > this.workload.durationMs) return;
    this.schedule(atMs, () => {
      this.handleArrival(kind);
      this.scheduleArrival(kind);
    });
  }

  /** A sample of the standard normal distribution (Box-Muller). */
  private sampleNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }

  /** A log-normal sample, rounded, from 1 to ten times the mean. */
  private sampleSize(mean: number, spread: number): number {
    const factor = Math.exp(
      spread * this.sampleNormal() - (spread * spread) / 2,
    );
    return Math.max(1, Math.round(mean * Math.min(10, factor)));
  }

  private handleArrival(kind: workloads.RequestKind): void {
    const id = `r${this.requests.size}`;
    const promptTokens = this.sampleSize(kind.promptTokens, kind.promptSpread);
    const outputTokens = this.sampleSize(kind.outputTokens, kind.outputSpread);
    const hinted =
      outputTokens * Math.exp(kind.hintSpread * this.sampleNormal());
    const size = promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
    const mean = kind.promptTokens + OUTPUT_TOKEN_WEIGHT * kind.outputTokens;
    const valueFactor = Math.min(
      MAX_VALUE_FACTOR,
      BASE_VALUE_FACTOR + (SIZE_VALUE_FACTOR * size) / mean,
    );
    const request: Request = {
      ...{id, kind, promptTokens, outputTokens, size},
      ...{arrivedMs: this.nowMs, value: kind.onTimeValue * valueFactor},
      hintedOutputTokens: Math.max(1, Math.round(hinted)),
      ...{
        retries: 0,
        receivedMs: 0,
        predictedFirstTokenMs: 0,
        firstTokenAtMs: 0,
      },
      ...{engine: '', hasEnded: false},
    };
    this.requests.set(id, request);
    this.requestSlot(request);
  }

  /** Sends a slot request to the cell. The caller gives up if its patience ends before the first token, and in any case at the deadline. */
  private requestSlot(request: Request): void {
    const {kind, arrivedMs} = request;
    const deadlineMs = arrivedMs + kind.deadlineMs;
    const patienceEndMs = Math.min(
      deadlineMs,
      this.nowMs + kind.firstTokenPatienceMs,
    );
    const {retries} = request;
    this.schedule(patienceEndMs, () => {
      const isWaiting =
        request.retries === retries && request.firstTokenAtMs === 0;
      if (isWaiting) this.endRequest(request, 'left');
    });
    this.schedule(deadlineMs, () => this.endRequest(request, 'left'));
    const ticket: decisions.ticket.Ticket = {
      ...{id: `${request.id}/${request.retries}`, host: 'h', region: 'a'},
      ...{account: 'a', weight: 1, tier: kind.tier, urgency: kind.tier},
      ...{deadlineMs, firstByMs: patienceEndMs, arrivedMs: this.nowMs},
      onTimeByMs: Math.min(deadlineMs, this.nowMs + kind.firstTokenObjectiveMs),
      promptTokens: request.promptTokens,
      outputTokens: request.hintedOutputTokens,
      ...{chain: [], version: '', isSuspect: false, avoid: []},
    };
    this.schedule(this.nowMs + MESSAGE_MS, () => {
      if (!request.hasEnded) this.applyToCell({kind: 'ask', ticket});
    });
  }

  /** The id of the ticket of the current slot request. */
  private ticketId(request: Request): string {
    return `${request.id}/${request.retries}`;
  }

  /** Applies an event to the cell and handles the grants and refusals that follow. */
  private applyToCell(event: decisions.cellevents.CellEvent): void {
    const {cell, effects} = this.cell.apply(event, this.nowMs);
    this.cell = cell;
    for (const effect of effects) {
      const request = this.requests.get(effect.ticket.id.split('/')[0]);
      if (!request || request.hasEnded) continue;
      if (effect.kind === 'refuse')
        this.handleRefusal(request, effect.retryAfterMs);
      else this.handleGrant(request, effect.server.name);
    }
  }

  /** Retries after the cell's retry-after delay, or ends the request if a limit on retries does not allow it. */
  private handleRefusal(request: Request, retryAfterMs: number): void {
    const remainingMs =
      request.arrivedMs + request.kind.deadlineMs - this.nowMs;
    const canRetry =
      retryAfterMs > 0 &&
      request.retries < MAX_RETRIES &&
      retryAfterMs <= remainingMs * MAX_RETRY_DELAY_SHARE;
    if (!canRetry) return this.endRequest(request, 'refused');
    request.retries++;
    this.schedule(this.nowMs + retryAfterMs, () => this.requestSlot(request));
  }

  /** Sends the request to its engine: one message to the host, one to the engine. */
  private handleGrant(request: Request, name: string): void {
    const engine = this.engines.get(name);
    const runner = this.cell.runners.find(r => r.name === name);
    if (!engine || !runner) return;
    request.engine = name;
    request.predictedFirstTokenMs = runner.prefillUntilMs - this.nowMs;
    this.schedule(this.nowMs + 2 * MESSAGE_MS, () => {
      if (request.hasEnded) return;
      request.receivedMs = this.nowMs;
      if (this.down.has(name)) return this.handleCrash(request);
      const wasIdle = engine.isIdle;
      engine.add(request.id, request.promptTokens, request.outputTokens);
      if (wasIdle) this.scheduleStep(name, engine);
    });
  }

  private scheduleStep(name: string, engine: engines.Engine): void {
    this.schedule(this.nowMs + engine.nextStepMs(), () => {
      const {started, finished} = engine.step();
      for (const id of started) {
        const request = this.requests.get(id);
        if (request) request.firstTokenAtMs = this.nowMs;
      }
      for (const id of finished) {
        const request = this.requests.get(id);
        if (request) this.handleCompletion(request);
      }
      if (!engine.isIdle) this.scheduleStep(name, engine);
    });
  }

  private handleCompletion(request: Request): void {
    const {kind} = request;
    this.applyToCell({
      kind: 'done',
      ticketId: this.ticketId(request),
      outcome: {
        kind: 'completed',
        measured: {
          prefillTokens: request.promptTokens,
          outputTokens: request.outputTokens,
          firstTokenMs: request.firstTokenAtMs - request.receivedMs,
          durationMs: this.nowMs - request.receivedMs,
        },
      },
    });
    const callerFirstTokenMs =
      request.firstTokenAtMs + MESSAGE_MS - request.arrivedMs;
    this.endRequest(
      request,
      callerFirstTokenMs <= kind.firstTokenObjectiveMs ? 'on-time' : 'late',
    );
  }

  /** Stops a random share of the engines until `toMs`; their requests lose their slots and request new ones. */
  private crashEngines(share: number, toMs: number): void {
    const names = [...this.engines.keys()];
    const count = Math.ceil(names.length * share);
    for (const name of decisions.random.sample(names, count, this.random)) {
      this.down.add(name);
      this.unusable.add(name);
      this.schedule(toMs, () => this.down.delete(name));
      this.schedule(toMs + RECOVERY_DETECTION_MS, () =>
        this.unusable.delete(name),
      );
      this.engines.get(name)?.drop();
      for (const request of this.requests.values()) {
        if (request.engine === name && !request.hasEnded)
          this.handleCrash(request);
      }
    }
  }

  /** Frees the slot of a request whose engine crashed, and requests another. */
  private handleCrash(request: Request): void {
    const ticketId = this.ticketId(request);
    this.applyToCell({kind: 'done', ticketId, outcome: {kind: 'unreachable'}});
    request.engine = '';
    request.retries++;
    if (!request.hasEnded) this.requestSlot(request);
  }

  /** Records the outcome of a request, once; when the caller left, also cancels the request on its engine and in the cell. */
  private endRequest(request: Request, end: Outcome['end']): void {
    if (request.hasEnded) return;
    request.hasEnded = true;
    if (end === 'left') {
      this.engines.get(request.engine)?.drop(request.id);
      this.applyToCell({kind: 'cancel', ticketId: this.ticketId(request)});
    }
    const {kind, value, size, firstTokenAtMs, predictedFirstTokenMs} = request;
    const factors = {
      'on-time': 1,
      late: kind.lateValue / kind.onTimeValue,
      refused: 0,
      left: 0,
    };
    this.outcomes.push({
      ...{
        kind: kind.name,
        value,
        size,
        end,
        predictedFirstTokenMs,
      },
      earned: value * factors[end],
      firstTokenMs: firstTokenAtMs - request.receivedMs,
      ...{promptTokens: request.promptTokens, engine: request.engine},
      waitedMs: request.receivedMs - request.arrivedMs,
    });
  }
}
