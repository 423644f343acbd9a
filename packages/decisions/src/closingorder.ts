/*
 * The order in which callers lose their memory or connection when a host is at
 * a bound.
 */

/** How far a request is, or that of a connection that is being read; `queued` is one behind others of its connection that was not sent. */
export type Stage = 'refused' | 'queued' | 'reading' | 'running' | 'ready';

/** What may be ended at a bound. */
export interface Candidate {
  readonly stage: Stage;
  /** When its caller last sent something that counts, on the monotonic clock. */
  readonly progressMs: number;
  /** What ending it frees. */
  readonly bytes: number;
}

/** A request that is being read counts as stalled after this time without progress; senders of one body on a working network pause for less. */
export const STALL_MS = 1000;

const RANKS: Readonly<Record<Stage, number>> = {
  refused: 0,
  queued: 2,
  reading: 3,
  running: 3,
  ready: 4,
};
const STALLED_RANK = 1;

/** True for a request that is being read and makes no progress. */
export function isStalled(candidate: Candidate, nowMs: number): boolean {
  return (
    candidate.stage === 'reading' && nowMs - candidate.progressMs >= STALL_MS
  );
}

/**
 * Chooses what to end first: refused ones, then the longest stalled, then
 * queued ones, then the largest; complete responses last. The latest among equals is ended.
 */
export function firstToEnd<C extends Candidate>(
  candidates: Iterable<C>,
  nowMs: number,
): C | undefined {
  let first: C | undefined;
  for (const candidate of candidates) {
    if (!first || !isBefore(first, candidate, nowMs)) first = candidate;
  }
  return first;
}

function rankOf(candidate: Candidate, nowMs: number): number {
  return isStalled(candidate, nowMs) ? STALLED_RANK : RANKS[candidate.stage];
}

/** True if `a` is ended before `b`, which is later. */
function isBefore(a: Candidate, b: Candidate, nowMs: number): boolean {
  const [rankA, rankB] = [rankOf(a, nowMs), rankOf(b, nowMs)];
  if (rankA !== rankB) return rankA < rankB;
  const isLonger = rankA === STALLED_RANK && a.progressMs !== b.progressMs;
  return isLonger ? a.progressMs < b.progressMs : a.bytes > b.bytes;
}

/** A connection that may be closed for another one. */
export interface ConnectionCandidate {
  readonly stage: Stage;
  /** When its caller last sent something, on the clock of `nowMs`. */
  readonly progressMs: number;
  /** When the request that is being read began. */
  readonly startMs: number;
  /** What was read of that request. */
  readonly readBytes: number;
}

/**
 * The connections that may be closed for new ones, in this order: refused ones,
 * the longest stalled, then those whose request is read most slowly. None whose
 * request runs, and no idle one.
 */
export function connectionsToClose<C extends ConnectionCandidate>(
  candidates: Iterable<C>,
  nowMs: number,
): readonly C[] {
  return [...candidates]
    .filter(({stage}) => stage === 'refused' || stage === 'reading')
    .map(candidate => ({
      candidate,
      rank: rankOf({...candidate, bytes: 0}, nowMs),
      rate: rateOf(candidate, nowMs),
    }))
    .sort((a, b) => {
      if (a.rank !== b.rank) return a.rank - b.rank;
      return a.rank === STALLED_RANK
        ? a.candidate.progressMs - b.candidate.progressMs
        : compare(a.rate, b.rate);
    })
    .map(({candidate}) => candidate);
}

/** Bytes a millisecond; endless for a request that has just begun. */
function rateOf({startMs, readBytes}: ConnectionCandidate, nowMs: number) {
  return nowMs > startMs ? readBytes / (nowMs - startMs) : Infinity;
}

function compare(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
