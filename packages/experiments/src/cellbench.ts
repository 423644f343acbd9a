// Measures the processor time of a cell's events: npm run bench.

import * as decisions from '@banyanhall/decisions';

const RUNNERS: readonly number[] = [5, 17, 60];
const WAITING: readonly number[] = [0, 50, 500];
const SLOTS = 8;
const EVENTS = 400;
const WARM_UP_EVENTS = 200;
/** Long enough that no ticket expires during the measurement. */
const DEADLINE_MS = 600_000;

/** The processor time of each kind of event in a cell, in microseconds. */
export interface CellCost {
  readonly runners: number;
  readonly waiting: number;
  /** An ask that has to wait, or that is granted if none waits. */
  readonly askUs: number;
  /** A release, with the grant that follows it. */
  readonly doneUs: number;
  readonly tickUs: number;
}

function ticketOf(i: number): decisions.ticket.Ticket {
  return {
    ...{id: `t${i}`, host: `h${i % 20}`, region: 'r', account: `a${i % 16}`},
    ...{weight: 1, tier: ((i % 3) + 1) as decisions.config.Tier, urgency: 0},
    ...{deadlineMs: DEADLINE_MS, firstByMs: DEADLINE_MS},
    ...{onTimeByMs: DEADLINE_MS, arrivedMs: i, version: '', isSuspect: false},
    ...{promptTokens: 500 + ((i * 37) % 4000), outputTokens: 100, avoid: []},
    chain: Array.from({length: 16}, (_, k) => (i % 50) * 16 + k),
  };
}

/** A cell whose slots are all in use, with `waiting` tickets in its queue. */
class LoadedCell {
  private cell: decisions.cell.Cell;
  private next = 0;
  private readonly running: string[] = [];

  constructor(
    runners: number,
    private readonly waiting: number,
  ) {
    const servers = Array.from({length: runners}, (_, i) => ({
      ...{name: `s${i}`, url: '', region: 'r', zone: 'z'},
      ...{slotTokens: 600_000, maxRunning: SLOTS},
    }));
    const versionsByServer = new Map<string, readonly string[]>();
    const event = {kind: 'configure' as const, servers, versionsByServer};
    this.cell = decisions.cell.Cell.recovering([], 0).apply(event, 0).cell;
    this.settle();
  }

  ask(): void {
    this.apply({kind: 'ask', ticket: ticketOf(this.next++)});
  }

  done(): void {
    const ticketId = this.running.shift();
    if (ticketId === undefined) throw new Error('no ticket runs');
    const measured = {
      ...{prefillTokens: 1000, outputTokens: 100, firstTokenMs: 60},
      ...{durationMs: 500},
    };
    this.apply({
      kind: 'done',
      ticketId,
      outcome: {kind: 'completed', measured},
    });
  }

  tick(): void {
    this.apply({kind: 'tick'});
  }

  /** Brings the queue back to its length. */
  settle(): void {
    while (this.cell.waiting.length > this.waiting) this.done();
    while (this.cell.waiting.length < this.waiting) this.ask();
    if (this.waiting > 0) return;
    const wanted = this.cell.runners.length * SLOTS - 1;
    while (this.cell.running.length < wanted) this.ask();
    while (this.cell.running.length > wanted) this.done();
  }

  private apply(event: decisions.cellevents.CellEvent): void {
    const {cell, effects} = this.cell.apply(event, this.next);
    this.cell = cell;
    for (const effect of effects) {
      if (effect.kind === 'grant') this.running.push(effect.ticket.id);
    }
    // Keepers tell the expected wait with each answer.
    if (event.kind === 'ask' || effects.length > 0) {
      cell.estimate.lastWaitMs(this.next);
    }
  }
}

/** Returns the mean processor time of an event, in microseconds. */
function measure(loaded: LoadedCell, event: (on: LoadedCell) => void): number {
  let totalMs = 0;
  for (let i = 0; i < WARM_UP_EVENTS + EVENTS; i++) {
    loaded.settle();
    const startMs = performance.now();
    event(loaded);
    if (i >= WARM_UP_EVENTS) totalMs += performance.now() - startMs;
  }
  return Math.round((totalMs * 1000) / EVENTS);
}

/** Measures a cell of each size. */
export function cellCosts(): readonly CellCost[] {
  return RUNNERS.flatMap(runners =>
    WAITING.map(waiting => {
      const loaded = new LoadedCell(runners, waiting);
      return {
        ...{runners, waiting},
        askUs: measure(loaded, on => on.ask()),
        doneUs: measure(loaded, on => on.done()),
        tickUs: measure(loaded, on => on.tick()),
      };
    }),
  );
}
