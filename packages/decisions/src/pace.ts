const SMOOTHING = 0.2;

/**
 * A first token may have waited for prompts of others, which only makes it
 * later. So a faster one than expected is taken in with the first weight, a
 * slower one with the second, and what is learned stays near the fast ones.
 */
const FASTER_SMOOTHING = 0.3;
const SLOWER_SMOOTHING = 0.03;

/** The speed of a backend server for one stream. */
export interface Pace {
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
  /** The time to the first token of an empty prompt, in milliseconds; 0 when it is not given. */
  readonly firstTokenBaseMs?: number;
}

/** The pace that is assumed before anything was measured. */
export const INITIAL_PACE: Pace = {
  prefillTokensPerS: 4000,
  decodeTokensPerS: 40,
};

/** What one finished request showed of a backend server's speed. */
export interface Measurement {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Requests at the backend server, running and waiting, as its answer reported them; missing when it did not. */
  readonly inUse?: number;
}

function blend(old: number, fresh: number, weight: number): number {
  return old + weight * (fresh - old);
}

/** The pace after one more measurement; parts too short to tell are left as they were. */
export function updatePace(pace: Pace, measured: Measurement): Pace {
  const {outputTokens, durationMs, firstTokenMs} = measured;
  const decodeMs = durationMs - firstTokenMs;
  const decode =
    outputTokens >= 4 && decodeMs > 0
      ? (outputTokens * 1000) / decodeMs
      : pace.decodeTokensPerS;
  return {
    ...learnFirst(pace, measured),
    decodeTokensPerS: blend(pace.decodeTokensPerS, decode, SMOOTHING),
  };
}

/** Long prompts tell the speed of reading, short ones the time that is spent on any prompt. */
function learnFirst(pace: Pace, measured: Measurement): Pace {
  const {prefillTokens, firstTokenMs} = measured;
  if (prefillTokens < 16 || firstTokenMs <= 0) return pace;
  const baseMs = pace.firstTokenBaseMs ?? 0;
  const readMs = (prefillTokens * 1000) / pace.prefillTokensPerS;
  const weight =
    firstTokenMs < baseMs + readMs ? FASTER_SMOOTHING : SLOWER_SMOOTHING;
  if (readMs <= baseMs) {
    const seenMs = Math.max(0, firstTokenMs - readMs);
    return {...pace, firstTokenBaseMs: blend(baseMs, seenMs, weight)};
  }
  const seenMs = Math.max(1, firstTokenMs - baseMs);
  const prefillTokensPerS =
    (prefillTokens * 1000) / blend(readMs, seenMs, weight);
  return {...pace, prefillTokensPerS};
}

/** The expected time from dispatch to the end of an answer, in milliseconds. */
export function expectedMs(
  pace: Pace,
  prefillTokens: number,
  outputTokens: number,
): number {
  const prefillMs = (prefillTokens * 1000) / pace.prefillTokensPerS;
  const firstMs = (pace.firstTokenBaseMs ?? 0) + prefillMs;
  return firstMs + (outputTokens * 1000) / pace.decodeTokensPerS;
}
