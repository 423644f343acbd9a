/** A non-negative number; sums of two fit into the 32 bits that messages between hosts have for them. */
const FIGURE = /^\d{1,9}(\.\d{1,9})?$/;
/** Work takes this many percent of its usual time where nothing slows it down. */
const USUAL_PERCENT = 100;
/** The largest slowdown that is told apart from a larger one: ten times the usual time; a wrong huge figure costs no more than that. */
export const MAX_SLOWDOWN_PERCENT = 1000;
const LEAST_FIGURES = 3;

/** The load that a response reports of its backend server. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes now, in percent of the usual time, from 100 to `MAX_SLOWDOWN_PERCENT`; undefined if it is not stated. */
  readonly slowdownPercent: number | undefined;
}

/** What was read from the header; `isReadable` is false if the report or its fourth figure was ignored. */
export interface LoadReading {
  readonly load: LoadReport | undefined;
  readonly isReadable: boolean;
}

/**
 * Reads a load report: running requests, waiting requests, slots and, if there
 * is a fourth figure, how long work takes in percent. Further figures are
 * ignored, so that more can be added later.
 */
export function read(text: string | undefined): LoadReading {
  if (text === undefined) return {load: undefined, isReadable: true};
  const parts = text.split(',').map(part => part.trim());
  const first = parts.slice(0, LEAST_FIGURES);
  const isReport =
    first.length === LEAST_FIGURES && first.every(part => FIGURE.test(part));
  if (!isReport) return {load: undefined, isReadable: false};
  const [running, waiting, slots] = first.map(Number);
  const fourth = parts[LEAST_FIGURES];
  const slowdownPercent = readSlowdown(fourth);
  const isReadable = fourth === undefined || slowdownPercent !== undefined;
  return {load: {running, waiting, slots, slowdownPercent}, isReadable};
}

/** Returns a positive figure within its bounds. A smaller one than usual counts as usual: it would draw work to the backend server, however wrong it is. */
function readSlowdown(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d+(\.\d+)?$/.test(text)) return undefined;
  const percent = Number(text);
  if (percent === 0) return undefined;
  return Math.min(MAX_SLOWDOWN_PERCENT, Math.max(USUAL_PERCENT, percent));
}
