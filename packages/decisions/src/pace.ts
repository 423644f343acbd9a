const SMOOTHING = 0.2;

/** The speed of a backend server for one stream, in tokens per second. */
export interface Pace {
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

/** The pace that is assumed before anything was measured. */
export const INITIAL_PACE: Pace = {
  prefillTokensPerS: 4000,
  decodeTokensPerS: 40,
};

/** What one finished request showed of a backend server's speed. */
export interface Measured {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMs: number;
  readonly durationMs: number;
}

function blend(old: number, fresh: number): number {
  return old + SMOOTHING * (fresh - old);
}

/** The pace after one more measurement; parts too short to tell are left as they were. */
export function learn(pace: Pace, measured: Measured): Pace {
  const decodeMs = measured.durationMs - measured.firstTokenMs;
  const prefill =
    measured.prefillTokens >= 16 && measured.firstTokenMs > 0
      ? (measured.prefillTokens * 1000) / measured.firstTokenMs
      : pace.prefillTokensPerS;
  const decode =
    measured.outputTokens >= 4 && decodeMs > 0
      ? (measured.outputTokens * 1000) / decodeMs
      : pace.decodeTokensPerS;
  return {
    prefillTokensPerS: blend(pace.prefillTokensPerS, prefill),
    decodeTokensPerS: blend(pace.decodeTokensPerS, decode),
  };
}

/** The expected time from dispatch to the end of an answer, in milliseconds. */
export function expectedMs(
  pace: Pace,
  prefillTokens: number,
  outputTokens: number,
): number {
  const prefillMs = (prefillTokens * 1000) / pace.prefillTokensPerS;
  return prefillMs + (outputTokens * 1000) / pace.decodeTokensPerS;
}
