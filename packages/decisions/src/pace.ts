/** The weight of a new measurement in the average of the decode speed. */
const DECODE_SMOOTHING = 0.2;

/**
 * The weights of a new first-token time that is shorter or longer than
 * expected. Queueing behind other prompts can only delay a first token, so
 * long times get a small weight and the estimate stays near the short ones.
 */
const FASTER_SMOOTHING = 0.3;
const SLOWER_SMOOTHING = 0.03;

/** The speed at which a backend server runs one request. */
export interface Pace {
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
  /** The time to the first token of an empty prompt, in milliseconds; defaults to 0. */
  readonly firstTokenBaseMs?: number;
}

/** The pace to assume before the first measurement. */
export const INITIAL_PACE: Pace = {
  prefillTokensPerS: 4000,
  decodeTokensPerS: 40,
};

/** The sizes and times of one completed attempt, from which the pace is estimated. */
export interface Measurement {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** The requests running and waiting at the backend server, if its answer reported them. */
  readonly inUse?: number;
  /** How long work takes there in percent of the usual time, if its answer reported it. */
  readonly slowdownPercent?: number;
  /** How old these reports are, in milliseconds; defaults to 0. */
  readonly reportAgeMs?: number;
}

/** Moves an average towards a new value by the given weight, from 0 to 1. */
function interpolate(old: number, sample: number, weight: number): number {
  return old + weight * (sample - old);
}

/** Updates a pace with a measurement; a prefill or decode too short to measure leaves its speed unchanged. */
export function updatePace(pace: Pace, measured: Measurement): Pace {
  const {outputTokens, durationMs, firstTokenMs} = measured;
  const decodeMs = durationMs - firstTokenMs;
  const decode =
    outputTokens >= 4 && decodeMs > 0
      ? (outputTokens * 1000) / decodeMs
      : pace.decodeTokensPerS;
  return {
    ...updatePrefill(pace, measured),
    decodeTokensPerS: interpolate(
      pace.decodeTokensPerS,
      decode,
      DECODE_SMOOTHING,
    ),
  };
}

/** Attributes the first-token time of a long prompt to the prefill speed, that of a short one to the fixed cost. */
function updatePrefill(pace: Pace, measured: Measurement): Pace {
  const {prefillTokens, firstTokenMs} = measured;
  if (prefillTokens < 16 || firstTokenMs <= 0) return pace;
  const baseMs = pace.firstTokenBaseMs ?? 0;
  const prefillMs = (prefillTokens * 1000) / pace.prefillTokensPerS;
  const weight =
    firstTokenMs < baseMs + prefillMs ? FASTER_SMOOTHING : SLOWER_SMOOTHING;
  if (prefillMs <= baseMs) {
    const sampleMs = Math.max(0, firstTokenMs - prefillMs);
    return {...pace, firstTokenBaseMs: interpolate(baseMs, sampleMs, weight)};
  }
  const sampleMs = Math.max(1, firstTokenMs - baseMs);
  const prefillTokensPerS =
    (prefillTokens * 1000) / interpolate(prefillMs, sampleMs, weight);
  return {...pace, prefillTokensPerS};
}

/** Returns the expected time from dispatch to the end of the answer, in milliseconds, if no other prompt is ahead. */
export function expectedMs(
  pace: Pace,
  prefillTokens: number,
  outputTokens: number,
): number {
  const prefillMs = (prefillTokens * 1000) / pace.prefillTokensPerS;
  const firstMs = (pace.firstTokenBaseMs ?? 0) + prefillMs;
  return firstMs + (outputTokens * 1000) / pace.decodeTokensPerS;
}
