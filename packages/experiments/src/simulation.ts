import * as decisions from '@banyanhall/decisions';

import * as engines from './engine.js';
import type * as loads from './workloads.js';

const TICK_MS = 50;
/** A cell tries an engine that refused connections within this time of its return. */
const FOUND_AGAIN_MS = 1000;
/** The time that a message between hosts, or to an engine, takes. */
const MESSAGE_MS = 8;
/** What of a caller's remaining time a stated return may take at most. */
const MAX_RETURN_SHARE = 1 / 3;
const RETURNS = 1;
/** How the value of a request grows with its size against the mean of its kind. */
const BASE_VALUE = 0.3;
const SIZE_VALUE = 0.7;
const MAX_VALUE = 4;
const OUTPUT_TOKEN_WEIGHT = 10;
const SLOT_TOKENS = 600_000;
const EXPECTED_PACE: decisions.pace.Pace = {
  ...{prefillTokensPerS: 20_000, decodeTokensPerS: 150, firstTokenBaseMs: 20},
};
const LARGEST_SHARE = 0.1;

/** What one request came to. */
export interface Outcome {
  readonly kind: string;
  readonly value: number;
  readonly earned: number;
  readonly size: number;
  readonly end: 'on-time' | 'late' | 'refused' | 'left';
  readonly firstTokenMs: number;
  readonly predictedFirstTokenMs: number;
  readonly promptTokens: number;
  readonly engine: string;
  /** From the arrival to the send. */
  readonly waitedMs: number;
}

/** Shares earned of what was owed, from 0 to 1, and how the requests ended. */
export interface Summary {
  readonly requests: number;
  readonly share: number;
  readonly shareByKind: Readonly<Record<string, number>>;
  /** Of the largest tenth of each kind. */
  readonly largestShareByKind: Readonly<Record<string, number>>;
  readonly ends: Readonly<Record<string, number>>;
  /** Slots in use while something waited, from 0 to 1. */
  readonly useWhileWaiting: number;
}

interface Request {
  readonly id: string;
  readonly kind: loads.RequestKind;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly likelyTokens: number;
  readonly size: number;
  readonly value: number;
  returns: number;
  grantedMs: number;
  predictedFirstMs: number;
  firstMs: number;
  engine: string;
  isOver: boolean;
}

type Action = () => void;

/** Plays a load against a cell on a simulated clock. */
export function simulate(
  load: loads.Workload,
  seed: number,
): readonly Outcome[] {
  return new Play(load, seed).run().outcomes;
}

/** Plays a load and sums up what callers got. */
export function summarize(load: loads.Workload, seed: number): Summary {
  const {outcomes, useWhileWaiting} = new Play(load, seed).run();
  const kinds = load.kinds.map(kind => kind.name);
  const by = (name: string) => outcomes.filter(o => o.kind === name);
  const ends: Record<string, number> = {};
  for (const {kind, end} of outcomes) {
    const key = `${kind} ${end}`;
    ends[key] = (ends[key] ?? 0) + 1;
  }
  return {
    requests: outcomes.length,
    share: shareOf(outcomes),
    shareByKind: Object.fromEntries(kinds.map(k => [k, shareOf(by(k))])),
    largestShareByKind: Object.fromEntries(
      kinds.map(k => [k, shareOf(largest(by(k)))]),
    ),
    ends,
    useWhileWaiting,
  };
}

function shareOf(outcomes: readonly Outcome[]): number {
  const owed = outcomes.reduce((sum, o) => sum + o.value, 0);
  const earned = outcomes.reduce((sum, o) => sum + o.earned, 0);
  return owed === 0 ? 1 : earned / owed;
}

function largest(outcomes: readonly Outcome[]): readonly Outcome[] {
  const sorted = [...outcomes].sort((a, b) => b.size - a.size);
  return sorted.slice(0, Math.ceil(sorted.length * LARGEST_SHARE));
}

class Play {
  readonly outcomes: Outcome[] = [];
  private readonly random: decisions.random.Random;
  private readonly queue: {readonly atMs: number; readonly act: Action}[] = [];
  private readonly requests = new Map<string, Request>();
  private readonly engines = new Map<string, engines.Engine>();
  private readonly down = new Set<string>();
  /** Engines whose slots a cell can't know to be there. */
  private readonly unknown = new Set<string>();
  private cell: decisions.cell.Cell;
  private nowMs = 0;
  private usedSlotMs = 0;
  private waitedSlotMs = 0;

  constructor(
    private readonly load: loads.Workload,
    seed: number,
  ) {
    this.random = decisions.random.seeded(seed);
    this.cell = decisions.cell.Cell.recovering([], 0);
    const {engineParameters: terms, speeds} = load;
    const servers: decisions.config.BackendServer[] = [];
    for (let i = 0; i < load.engines; i++) {
      const name = `engine-${i}`;
      const speed = speeds[i % speeds.length];
      this.engines.set(name, new engines.Engine(terms, speed));
      servers.push({
        ...{name, url: '', region: 'a', zone: 'a', slotTokens: SLOT_TOKENS},
        maxRunning: terms.slots,
        expectedPace: EXPECTED_PACE,
      });
    }
    const versionsByServer = new Map();
    this.tell({kind: 'configure', servers, versionsByServer});
  }

  get useWhileWaiting(): number {
    return this.waitedSlotMs === 0 ? 1 : this.usedSlotMs / this.waitedSlotMs;
  }

  run(): this {
    this.load.kinds.forEach(kind => this.scheduleNext(kind));
    for (const disturbance of this.load.disturbances) {
      const {downShare, fromMs, toMs} = disturbance;
      if (downShare) this.at(fromMs, () => this.crash(downShare, toMs));
    }
    const longestMs = Math.max(...this.load.kinds.map(k => k.deadlineMs));
    const endMs = this.load.durationMs + longestMs;
    this.tick(endMs);
    for (;;) {
      const next = this.queue.shift();
      if (!next) return this;
      this.nowMs = next.atMs;
      next.act();
    }
  }

  private at(atMs: number, act: Action): void {
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.queue[middle].atMs <= atMs) low = middle + 1;
      else high = middle;
    }
    this.queue.splice(low, 0, {atMs, act});
  }

  private tick(endMs: number): void {
    this.tell({kind: 'tick'});
    if (this.cell.waiting.length > 0) {
      this.usedSlotMs += this.cell.running.length * TICK_MS;
      const up = this.load.engines - this.unknown.size;
      this.waitedSlotMs += up * this.load.engineParameters.slots * TICK_MS;
    }
    if (this.nowMs < endMs)
      this.at(this.nowMs + TICK_MS, () => this.tick(endMs));
  }

  private scheduleNext(kind: loads.RequestKind): void {
    const factor = this.load.disturbances.reduce(
      (f, d) =>
        this.nowMs >= d.fromMs && this.nowMs < d.toMs
          ? f * (d.rateFactor ?? 1)
          : f,
      this.load.rateFactor,
    );
    const meanMs = 1000 / (kind.requestsPerS * factor);
    const atMs = this.nowMs - Math.log(1 - this.random()) * meanMs;
    if (atMs > this.load.durationMs) return;
    this.at(atMs, () => {
      this.arrive(kind);
      this.scheduleNext(kind);
    });
  }

  private normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }

  private sized(mean: number, spread: number): number {
    const factor = Math.exp(spread * this.normal() - (spread * spread) / 2);
    return Math.max(1, Math.round(mean * Math.min(10, factor)));
  }

  private arrive(kind: loads.RequestKind): void {
    const id = `r${this.requests.size}`;
    const promptTokens = this.sized(kind.promptTokens, kind.promptSpread);
    const outputTokens = this.sized(kind.outputTokens, kind.outputSpread);
    const likely = outputTokens * Math.exp(kind.hintSpread * this.normal());
    const size = promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
    const mean = kind.promptTokens + OUTPUT_TOKEN_WEIGHT * kind.outputTokens;
    const grade = Math.min(MAX_VALUE, BASE_VALUE + (SIZE_VALUE * size) / mean);
    const request: Request = {
      ...{id, kind, promptTokens, outputTokens, size},
      ...{arrivedMs: this.nowMs, value: kind.onTimeValue * grade},
      likelyTokens: Math.max(1, Math.round(likely)),
      ...{returns: 0, grantedMs: 0, predictedFirstMs: 0, firstMs: 0},
      ...{engine: '', isOver: false},
    };
    this.requests.set(id, request);
    this.ask(request);
  }

  private ask(request: Request): void {
    const {kind, arrivedMs} = request;
    const deadlineMs = arrivedMs + kind.deadlineMs;
    const leaveMs = Math.min(
      deadlineMs,
      this.nowMs + kind.firstTokenPatienceMs,
    );
    const {returns} = request;
    this.at(leaveMs, () => {
      const isWaiting = request.returns === returns && request.firstMs === 0;
      if (isWaiting) this.end(request, 'left');
    });
    this.at(deadlineMs, () => this.end(request, 'left'));
    const ticket: decisions.ticket.Ticket = {
      ...{id: `${request.id}/${request.returns}`, host: 'h', region: 'a'},
      ...{account: 'a', weight: 1, tier: kind.tier, urgency: kind.tier},
      ...{deadlineMs, firstByMs: leaveMs, arrivedMs: this.nowMs},
      onTimeByMs: Math.min(deadlineMs, this.nowMs + kind.firstTokenObjectiveMs),
      promptTokens: request.promptTokens,
      outputTokens: request.likelyTokens,
      ...{chain: [], version: '', isSuspect: false, avoid: []},
    };
    this.at(this.nowMs + MESSAGE_MS, () => {
      if (!request.isOver) this.tell({kind: 'ask', ticket});
    });
  }

  private ticketId(request: Request): string {
    return `${request.id}/${request.returns}`;
  }

  private tell(event: decisions.cellevents.CellEvent): void {
    const {cell, effects} = this.cell.apply(event, this.nowMs);
    this.cell = cell;
    for (const effect of effects) {
      const request = this.requests.get(effect.ticket.id.split('/')[0]);
      if (!request || request.isOver) continue;
      if (effect.kind === 'refuse') this.refused(request, effect.retryAfterMs);
      else this.granted(request, effect.server.name);
    }
  }

  private refused(request: Request, retryAfterMs: number): void {
    const leftMs = request.arrivedMs + request.kind.deadlineMs - this.nowMs;
    const mayReturn =
      retryAfterMs > 0 &&
      request.returns < RETURNS &&
      retryAfterMs <= leftMs * MAX_RETURN_SHARE;
    if (!mayReturn) return this.end(request, 'refused');
    request.returns++;
    this.at(this.nowMs + retryAfterMs, () => this.ask(request));
  }

  private granted(request: Request, name: string): void {
    const engine = this.engines.get(name);
    const runner = this.cell.runners.find(r => r.name === name);
    if (!engine || !runner) return;
    request.engine = name;
    request.predictedFirstMs = runner.prefillUntilMs - this.nowMs;
    this.at(this.nowMs + 2 * MESSAGE_MS, () => {
      if (request.isOver) return;
      request.grantedMs = this.nowMs;
      if (this.down.has(name)) return this.crashed(request);
      const wasIdle = engine.isIdle;
      engine.add(request.id, request.promptTokens, request.outputTokens);
      if (wasIdle) this.scheduleStep(name, engine);
    });
  }

  private scheduleStep(name: string, engine: engines.Engine): void {
    this.at(this.nowMs + engine.nextStepMs(), () => {
      const {started, finished} = engine.step();
      for (const id of started) {
        const request = this.requests.get(id);
        if (request) request.firstMs = this.nowMs;
      }
      for (const id of finished) {
        const request = this.requests.get(id);
        if (request) this.finished(request);
      }
      if (!engine.isIdle) this.scheduleStep(name, engine);
    });
  }

  private finished(request: Request): void {
    const {kind} = request;
    this.tell({
      kind: 'done',
      ticketId: this.ticketId(request),
      outcome: {
        kind: 'completed',
        measured: {
          prefillTokens: request.promptTokens,
          outputTokens: request.outputTokens,
          firstTokenMs: request.firstMs - request.grantedMs,
          durationMs: this.nowMs - request.grantedMs,
        },
      },
    });
    const waitedMs = request.firstMs + MESSAGE_MS - request.arrivedMs;
    this.end(
      request,
      waitedMs <= kind.firstTokenObjectiveMs ? 'on-time' : 'late',
    );
  }

  private crash(share: number, toMs: number): void {
    const names = [...this.engines.keys()];
    const count = Math.ceil(names.length * share);
    for (const name of decisions.random.sample(names, count, this.random)) {
      this.down.add(name);
      this.unknown.add(name);
      this.at(toMs, () => this.down.delete(name));
      this.at(toMs + FOUND_AGAIN_MS, () => this.unknown.delete(name));
      this.engines.get(name)?.drop();
      for (const request of this.requests.values()) {
        if (request.engine === name && !request.isOver) this.crashed(request);
      }
    }
  }

  private crashed(request: Request): void {
    const ticketId = this.ticketId(request);
    this.tell({kind: 'done', ticketId, outcome: {kind: 'unreachable'}});
    request.engine = '';
    request.returns++;
    if (!request.isOver) this.ask(request);
  }

  private end(request: Request, end: Outcome['end']): void {
    if (request.isOver) return;
    request.isOver = true;
    if (end === 'left') {
      this.engines.get(request.engine)?.drop(request.id);
      this.tell({kind: 'cancel', ticketId: this.ticketId(request)});
    }
    const {kind, value, size, firstMs, predictedFirstMs} = request;
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
        predictedFirstTokenMs: predictedFirstMs,
      },
      earned: value * factors[end],
      firstTokenMs: firstMs - request.grantedMs,
      ...{promptTokens: request.promptTokens, engine: request.engine},
      waitedMs: request.grantedMs - request.arrivedMs,
    });
  }
}
