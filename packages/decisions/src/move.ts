import type * as evidences from './evidence.js';

/** The phases of a version move; the last two are final. */
export type Phase =
  'prepare' | 'ramp' | 'settle' | 'taking-back' | 'finished' | 'taken-back';

/** A version move as it stands in the table. Times are wall times in milliseconds. */
export interface Move {
  readonly id: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  readonly author: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly phase: Phase;
  /** Index into `SHARES` during the ramp. */
  readonly step: number;
  readonly stepAtMs: number;
  /** The host that drives the move, until its lease ends, under this fencing number. */
  readonly driver: string;
  readonly driverUntilMs: number;
  readonly fence: number;
  /** The configuration number that makes the new version the service's own; 0 before that. */
  readonly settledNumber: number;
  readonly reason: string;
}

/** The shares of traffic that a candidate gets, step by step; the rest stays for comparison. */
export const CANDIDATE_SHARES: readonly number[] = [
  0.02, 0.06, 0.15, 0.35, 0.65, 0.9,
];

/** Candidate samples without alarm that each step needs. */
export const STEP_SAMPLES: readonly number[] = [8, 15, 25, 40, 60, 80];

/** How long a share is good for after the driver sent it, in milliseconds. */
export const SHARE_TTL_MS = 2000;

/** How long a driver's lease lasts, in milliseconds. */
export const DRIVER_LEASE_MS = 6000;

/** The time kept before the deadline, in which taking back is certain, in milliseconds. */
export const ROLL_BACK_RESERVE_MS = 15_000;

/** The part of a step's time slot that must pass even if the evidence comes sooner. */
const MIN_DWELL = 0.4;

/** The part of a move's time for which the last step is watched, so that badness that starts late shows. */
const WATCH_PART = 0.95;

/** What the driver has found out about the world. */
export interface Observations {
  /** Every live backend server has both versions. */
  readonly serversReady: boolean;
  /** Every live backend server is back at the old version alone. */
  readonly serversRestored: boolean;
  /** Every live host has the configuration of `settledNumber`, and every live backend server the new version alone. */
  readonly isSettled: boolean;
}

/** True when nothing more will happen to the move. */
export function isFinal(move: Move): boolean {
  return move.phase === 'finished' || move.phase === 'taken-back';
}

/** The last moment at which a move may still be settled. */
export function settleDeadlineMs(move: Move): number {
  return move.deadlineAtMs - ROLL_BACK_RESERVE_MS;
}

/** The phase that counts at `nowMs`: a move that was not settled in time is taken back, whether that is written yet or not. */
export function effectivePhase(move: Move, nowMs: number): Phase {
  const isOpen = move.phase === 'prepare' || move.phase === 'ramp';
  return isOpen && nowMs >= move.deadlineAtMs ? 'taken-back' : move.phase;
}

/** The share of traffic that the candidate may get now. */
export function candidateShare(move: Move): number {
  return move.phase === 'ramp' ? CANDIDATE_SHARES[move.step] : 0;
}

/** A new move, not yet driven by anyone. */
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

/** The move under a new driver, or undefined while another one's lease lasts. */
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

/** The move with its driver's lease renewed; undefined while there is time left or when it was lost. */
export function renew(
  move: Move,
  host: string,
  nowMs: number,
): Move | undefined {
  if (move.driver !== host || isFinal(move)) return undefined;
  if (move.driverUntilMs - nowMs > DRIVER_LEASE_MS / 2) return undefined;
  return {...move, driverUntilMs: nowMs + DRIVER_LEASE_MS};
}

/** The move on its way back; undefined when it is settled already or over. */
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
  facts: Observations,
  nowMs: number,
) => Move | undefined;

const ADVANCE: Readonly<Record<Phase, Advance>> = {
  prepare: (move, _, facts, nowMs) => {
    if (nowMs >= settleDeadlineMs(move)) {
      return rollBack(move, 'not prepared in time', nowMs);
    }
    if (!facts.serversReady) return undefined;
    return {...move, phase: 'ramp', step: 0, stepAtMs: nowMs};
  },
  ramp: (move, evidence, _, nowMs) => {
    const {regression: badness} = evidence;
    if (badness) {
      const where = badness.route === '*' ? 'all routes' : badness.route;
      return rollBack(move, `bad: ${badness.metric} on ${where}`, nowMs);
    }
    if (nowMs >= settleDeadlineMs(move)) {
      return rollBack(move, 'not proved in time', nowMs);
    }
    if (!isStepProved(move, evidence, nowMs)) return undefined;
    const isLast = move.step === CANDIDATE_SHARES.length - 1;
    if (isLast) return {...move, phase: 'settle', stepAtMs: nowMs};
    return {...move, step: move.step + 1, stepAtMs: nowMs};
  },
  settle: (move, _, facts, nowMs) =>
    facts.isSettled
      ? {...move, phase: 'finished', reason: 'proved', stepAtMs: nowMs}
      : undefined,
  'taking-back': (move, _, facts, nowMs) => {
    const isShareOver = nowMs >= move.stepAtMs + SHARE_TTL_MS;
    if (!isShareOver || !facts.serversRestored) return undefined;
    return {...move, phase: 'taken-back', stepAtMs: nowMs};
  },
  finished: () => undefined,
  'taken-back': () => undefined,
};

/**
 * The next state of a move that its driver should write, if there is one.
 * A move in `ramp` whose next phase is `settle` must be written together
 * with the change of configuration, in one transaction, before `decideByMs`.
 */
export function advance(
  move: Move,
  evidence: evidences.Evidence,
  facts: Observations,
  nowMs: number,
): Move | undefined {
  return ADVANCE[move.phase](move, evidence, facts, nowMs);
}

function isStepProved(
  move: Move,
  evidence: evidences.Evidence,
  nowMs: number,
): boolean {
  const wholeMs = settleDeadlineMs(move) - move.startedAtMs;
  const slotMs = wholeMs / (CANDIDATE_SHARES.length + 1);
  if (nowMs - move.stepAtMs < slotMs * MIN_DWELL) return false;
  const isLast = move.step === CANDIDATE_SHARES.length - 1;
  const isWatching = nowMs - move.startedAtMs < wholeMs * WATCH_PART;
  if (isLast && isWatching) return false;
  return evidence.hasControl && evidence.stepSamples >= STEP_SAMPLES[move.step];
}

/** A share of traffic as hosts hold it; it ends by itself. */
export interface LeasedShare {
  readonly moveId: string;
  readonly service: string;
  readonly to: string;
  readonly fence: number;
  readonly share: number;
  readonly untilMs: number;
}

/** The share to keep when a message of a driver comes: older drivers are ignored. */
export function newerShare(
  known: LeasedShare | undefined,
  fresh: LeasedShare,
): LeasedShare {
  if (known && known.moveId === fresh.moveId && known.fence > fresh.fence) {
    return known;
  }
  return fresh;
}
