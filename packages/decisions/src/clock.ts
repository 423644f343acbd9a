/** A source of time; `nowMs` is wall time in milliseconds, `monotonicMs` never goes back. */
export interface Clock {
  nowMs(): number;
  monotonicMs(): number;
}

/** The clock of this process. */
export const systemClock: Clock = {
  nowMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};

/** A clock for tests that moves only when told to. */
export class FakeClock implements Clock {
  constructor(private currentMs = 0) {}

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  /** Moves the clock forward by `ms` milliseconds. */
  advance(ms: number): void {
    this.currentMs += ms;
  }
}
