// The state machine of a version move, which shifts traffic of a service from
// one version to another. The driver (the host that carries out the move)
// computes each next state with `advance` and writes it to the table.

import type * as evidences from './evidence.js';

/**
 * The phases of a version move; `finished` and `taken-back` are final.
 * - `prepare`: backend servers load the candidate;
 * - `ramp`: the candidate's share of traffic grows;
 * - `settle`: the configuration names the candidate as the version of the
 *   service; hosts and backend servers follow, and no roll back is possible;
 * - `taking-back`, `taken-back`: a roll back in progress, and a completed one.
 */
export type Phase =
  'prepare' | 'ramp' | 'settle' | 'taking-back' | 'finished' | 'taken-back';

/** A version move as stored in the table; times are wall-clock times in milliseconds. */
export interface Move {
  readonly id: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  readonly author: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly phase: Phase;
  /** The index into `CANDIDATE_SHARES` during the ramp. */
  readonly step: number;
  /** When the current phase or step began. */
  readonly stepAtMs: number;
  /** The host that drives the move while its lease lasts. */
  readonly driver: string;
  /** When the driver's lease expires. */
  readonly driverUntilMs: number;
  /** The fencing number of the driver; it increases with each takeover. */
  readonly fence: number;
  /** The number of the configuration that makes the candidate the version of the service; 0 until then. */
  readonly settledNumber: number;
  /** Why the move finished or was rolled back; empty until then. */
  readonly reason: string;
}

/** The share of traffic that a candidate gets at each step; the rest serves as the control. */
export const CANDIDATE_SHARES: readonly number[] = [
  0.02, 0.06, 0.15, 0.35, 0.65, 0.9,
];

/** The number of candidate samples that each step needs, during which no regression may be found. */
export const STEP_SAMPLES: readonly number[] = [8, 15, 25, 40, 60, 80];

/** How long a candidate's share is valid after the driver sent it, in milliseconds. */
export const SHARE_TTL_MS = 2000;

/** The duration of a driver's lease, in milliseconds. */
export const DRIVER_LEASE_MS = 6000;

/** The time before the deadline that is reserved for a roll back, in milliseconds; no move enters `settle` in it. */
export const ROLL_BACK_RESERVE_MS = 15_000;

/** The minimum fraction of a step's time that passes, even if there are enough samples earlier; a step's time is an equal part of the move's. */
const MIN_STEP_FRACTION = 0.4;

/** The minimum fraction of the time until `settleDeadlineMs` that passes before the last step ends, so that a late regression is found. */
const MIN_OBSERVED_FRACTION = 0.95;

/** What the driver observed on backend servers and hosts. */
export interface Observations {
  /** Every live backend server has both versions. */
  readonly serversReady: boolean;
  /** Every live backend server has only the old version again. */
  readonly serversRestored: boolean;
  /** Every live host has configuration `settledNumber`, and every live backend server has only the new version. */
  readonly isSettled: boolean;
}

/** Returns true if the move is in a final phase. */
export function isFinal(move: Move): boolean {
  return move.phase === 'finished' || move.phase === 'taken-back';
}

/** Returns the time from which a move can no longer enter `settle`. */
export function settleDeadlineMs(move: Move): number {
  return move.deadlineAtMs - ROLL_BACK_RESERVE_MS;
}

/** Returns the phase at `nowMs`: a move in `prepare` or `ramp` at its deadline counts as `taken-back`, even if that is not written yet. */
export function effectivePhase(move: Move, nowMs: number): Phase {
  const isOpen = move.phase === 'prepare' || move.phase === 'ramp';
  return isOpen && nowMs >= move.deadlineAtMs ? 'taken-back' : move.phase;
}

/** Returns the share of traffic that the candidate gets, from 0 to 1; 0 outside the ramp. */
export function candidateShare(move: Move): number {
  return move.phase === 'ramp' ? CANDIDATE_SHARES[move.step] : 0;
}

/** Creates a move without a driver. */
export function createMove(
  id: string,
  service: string,
  from: string,
  to: string,
  author: string,
  nowMs: number,
  deadlineAtMs: number,
  fence = 0,
): Move {
  return {
    id,
    service,
    from,
    to,
    author,
    startedAtMs: nowMs,
    deadlineAtMs,
    phase: 'prepare',
    step: 0,
    stepAtMs: nowMs,
    driver: '',
    driverUntilMs: 0,
    fence,
    settledNumber: 0,
    reason: '',
  };
}

/** Makes `host` the driver; returns undefined while another driver's lease lasts, or if the move is final. */
export function takeOver(
  move: Move,
  host: string,
  nowMs: number,
): Move | undefined {
  if (isFinal(move)) return undefined;
  if (move.driver !== host && nowMs < move.driverUntilMs) return undefined;
  const driverUntilMs = nowMs + DRIVER_LEASE_MS;
  return {...move, driver: host, driverUntilMs, fence: move.fence + 1};
}

/** Renews the driver's lease; returns undefined if more than half of it is left, `host` is not the driver, or the move is final. */
export function renew(
  move: Move,
  host: string,
  nowMs: number,
): Move | undefined {
  if (move.driver !== host || isFinal(move)) return undefined;
  if (move.driverUntilMs - nowMs > DRIVER_LEASE_MS / 2) return undefined;
  return {...move, driverUntilMs: nowMs + DRIVER_LEASE_MS};
}

/** Starts to roll a move back; returns undefined unless it is in `prepare` or `ramp`. */
export function rollBack(
  move: Move,
  reason: string,
  nowMs: number,
): Move | undefined {
  if (move.phase !== 'prepare' && move.phase !== 'ramp') return undefined;
  return {...move, phase: 'taking-back', reason, stepAtMs: nowMs};
}

type Advance = (
  move: Move,
  evidence: evidences.Evidence,
  observations: Observations,
  nowMs: number,
) => Move | undefined;

const ADVANCE: Readonly<Record<Phase, Advance>> = {
  prepare: (move, _, observations, nowMs) => {
    if (nowMs >= settleDeadlineMs(move)) {
      return rollBack(move, 'not prepared in time', nowMs);
    }
    if (!observations.serversReady) return undefined;
    return {...move, phase: 'ramp', step: 0, stepAtMs: nowMs};
  },
  ramp: (move, evidence, _, nowMs) => {
    const {regression} = evidence;
    if (regression) {
      const where = regression.route === '*' ? 'all routes' : regression.route;
      return rollBack(move, `bad: ${regression.metric} on ${where}`, nowMs);
    }
    if (nowMs >= settleDeadlineMs(move)) {
      return rollBack(move, 'not proved in time', nowMs);
    }
    if (!isStepComplete(move, evidence, nowMs)) return undefined;
    const isLast = move.step === CANDIDATE_SHARES.length - 1;
    if (isLast) return {...move, phase: 'settle', stepAtMs: nowMs};
    return {...move, step: move.step + 1, stepAtMs: nowMs};
  },
  settle: (move, _, observations, nowMs) =>
    observations.isSettled
      ? {...move, phase: 'finished', reason: 'proved', stepAtMs: nowMs}
      : undefined,
  'taking-back': (move, _, observations, nowMs) => {
    const isShareExpired = nowMs >= move.stepAtMs + SHARE_TTL_MS;
    if (!isShareExpired || !observations.serversRestored) return undefined;
    return {...move, phase: 'taken-back', stepAtMs: nowMs};
  },
  finished: () => undefined,
  'taken-back': () => undefined,
};

/**
 * Returns the next state of a move, or undefined if it does not change. The
 * driver must write the step from `ramp` to `settle` in one transaction with
 * the change of configuration, before `settleDeadlineMs`.
 */
export function advance(
  move: Move,
  evidence: evidences.Evidence,
  observations: Observations,
  nowMs: number,
): Move | undefined {
  return ADVANCE[move.phase](move, evidence, observations, nowMs);
}

/** Returns true if the current step of the ramp has lasted long enough and has enough samples. */
function isStepComplete(
  move: Move,
  evidence: evidences.Evidence,
  nowMs: number,
): boolean {
  const moveMs = settleDeadlineMs(move) - move.startedAtMs;
  const stepMs = moveMs / (CANDIDATE_SHARES.length + 1);
  if (nowMs - move.stepAtMs < stepMs * MIN_STEP_FRACTION) return false;
  const isLast = move.step === CANDIDATE_SHARES.length - 1;
  const isObserving = nowMs - move.startedAtMs < moveMs * MIN_OBSERVED_FRACTION;
  if (isLast && isObserving) return false;
  return evidence.hasControl && evidence.stepSamples >= STEP_SAMPLES[move.step];
}

/** A candidate's share of traffic as sent to hosts; it expires at `untilMs`. */
export interface LeasedShare {
  readonly moveId: string;
  readonly service: string;
  readonly to: string;
  readonly fence: number;
  readonly share: number;
  readonly untilMs: number;
}

/** Returns the share to keep after a driver's message; a message of the same move with a lower fence is ignored. */
export function newerShare(
  known: LeasedShare | undefined,
  fresh: LeasedShare,
): LeasedShare {
  if (known && known.moveId === fresh.moveId && known.fence > fresh.fence) {
    return known;
  }
  return fresh;
}
