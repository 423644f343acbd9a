// How much slower than usual a runner works, by its own reports.

/** The percentage that a runner reports when nothing slows it down. */
const USUAL_PERCENT = 100;

/**
 * The age at which a reported figure is worth nothing, in milliseconds. The
 * figures change about five times a second: with a mean of 200 ms between two
 * changes, less than a tenth of them still hold after 500 ms.
 */
export const MAX_AGE_MS = 500;

/** As many completions may be due on a runner that works as usual. */
const USUAL_DUE = 2;

/** The most that missing completions count. */
const MAX_SILENCE_FACTOR = 4;

/** How long work takes on a runner in percent of the usual time, and when the runner said so. */
export interface Slowdown {
  readonly percent: number;
  readonly atMs: number;
}

/** Returns the later of the known figure and a reported one, if there is any. */
export function latest(
  known: Slowdown | undefined,
  percent: number | undefined,
  atMs: number,
): Slowdown | undefined {
  if (percent === undefined || (known && known.atMs > atMs)) return known;
  return {percent, atMs};
}

/**
 * Returns by how much the expected time of work that starts at `nowMs` grows: by
 * the reported figure, which loses its weight linearly with its age, or by how
 * many attempts should have completed since the last one did, if that is more.
 */
export function factorAt(
  known: Slowdown,
  dueCompletions: number,
  nowMs: number,
): number {
  const weight = Math.max(0, 1 - Math.max(0, nowMs - known.atMs) / MAX_AGE_MS);
  const reported = 1 + Math.max(0, known.percent / USUAL_PERCENT - 1) * weight;
  const excess = dueCompletions / USUAL_DUE;
  return Math.max(reported, Math.min(MAX_SILENCE_FACTOR, excess));
}
