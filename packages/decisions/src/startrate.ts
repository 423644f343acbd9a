/** The least rate of starts, per second: how often a runner that takes less is asked whether it still does. */
const LEAST_STARTS_PER_S = 0.2;

/** How much of the unused time a runner may catch up on, in milliseconds; covers the interval at which a cell grants. */
const CATCH_UP_MS = 100;

/** The longest time for which starts beyond the rate delay later ones, in milliseconds. */
const MAX_DEBT_MS = 4000;

const MS_PER_S = 1000;

/**
 * Paces the starts on a runner that takes a limited number of requests a
 * second (the generic cell rate algorithm). In a span of `t` milliseconds,
 * `start` is allowed at most `1 + (t + CATCH_UP_MS) / intervalMs` times.
 */
export class StartRate {
  private constructor(
    readonly limitPerS: number,
    /** When the next start is allowed. */
    readonly nextMs: number,
  ) {}

  /**
   * Creates a rate whose first start is allowed after one interval. Starts
   * that another keeper has granted before are not known, so nothing is saved up.
   */
  static of(limitPerS: number, nowMs: number): StartRate {
    return new StartRate(limitPerS, nowMs + intervalMs(limitPerS));
  }

  /** Returns true if a request may start at `nowMs`. */
  allows(nowMs: number): boolean {
    return nowMs >= this.nextMs;
  }

  /** Counts a start at `nowMs`; also one that was not allowed, such as a host's without its keeper. */
  start(nowMs: number): StartRate {
    const ownMs = intervalMs(this.limitPerS);
    const nextMs = Math.max(this.nextMs, nowMs - CATCH_UP_MS) + ownMs;
    const latestMs = latestNextMs(this.limitPerS, nowMs);
    return new StartRate(this.limitPerS, Math.min(nextMs, latestMs));
  }

  /** Takes back a start that was counted but not used. */
  withdraw(): StartRate {
    const nextMs = this.nextMs - intervalMs(this.limitPerS);
    return new StartRate(this.limitPerS, nextMs);
  }

  /** Changes the limit; the rest of the wait for the next start grows or shrinks with the interval, up to what starts beyond the rate may delay it. */
  withLimit(limitPerS: number, nowMs: number): StartRate {
    if (limitPerS === this.limitPerS) return this;
    const leftMs = Math.max(0, this.nextMs - nowMs);
    const factor = intervalMs(limitPerS) / intervalMs(this.limitPerS);
    const latestMs = latestNextMs(limitPerS, nowMs);
    const nextMs = Math.min(nowMs + leftMs * factor, latestMs);
    return new StartRate(limitPerS, nextMs);
  }

  /** The starts allowed in a millisecond. */
  get startsPerMs(): number {
    return 1 / intervalMs(this.limitPerS);
  }
}

/** Returns the latest time at which the next start is allowed. */
function latestNextMs(limitPerS: number, nowMs: number): number {
  return nowMs + Math.max(intervalMs(limitPerS), MAX_DEBT_MS);
}

function intervalMs(limitPerS: number): number {
  return MS_PER_S / Math.max(limitPerS, LEAST_STARTS_PER_S);
}
