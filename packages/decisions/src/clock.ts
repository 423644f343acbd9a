/** A source of time in milliseconds: `nowMs` is wall-clock time, `monotonicMs` never decreases. */
export interface Clock {
  nowMs(): number;
  monotonicMs(): number;
}

/** The system clock of this process. */
export const systemClock: Clock = {
  nowMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};

/** A clock for tests that advances only through `advance`. */
export class FakeClock implements Clock {
  constructor(private currentMs = 0) {}

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  /** Advances the clock by `ms` milliseconds. */
  advance(ms: number): void {
    this.currentMs += ms;
  }
}
