// Policies for version moves, and the simulation that moves.ts runs them in.

import * as decisions from '@banyanhall/decisions';

import * as simulation from './simulation.js';

/** How a move ended; `open` while it has not, `taken-back` after a rollback. */
export type Ending = 'finished' | 'taken-back' | 'open';

/** Decides on the course of one version move from the samples of its requests. */
export interface Policy {
  /** The current share of traffic of the candidate. */
  readonly share: number;
  readonly ending: Ending;
  /** Takes in the sample of a request that has ended. */
  add(sample: decisions.evidence.Sample, nowMs: number): void;
  /** Advances the move; called every `TICK_MS`. */
  tick(nowMs: number): void;
}

/** Creates a policy for a move that starts at time 0 and must end by `deadlineMs`. */
export type PolicyFactory = (deadlineMs: number) => Policy;

const RAMP_STEPS = 10;
/** The highest share of failed requests in a step at which FixedRamp goes on. */
const ERROR_THRESHOLD = 0.05;
/** When the backend servers are ready for the candidate, from the start of the move. */
const SERVERS_READY_MS = 1000;
/** How long after its last step a move counts as settled. */
const SETTLE_MS = 3000;

/** The decisions of the product (`decisions.move` and `decisions.evidence`) on the simulated clock. */
class ProductPolicy implements Policy {
  private move: decisions.move.Move;
  private evidence = decisions.evidence.Evidence.none;

  constructor(deadlineMs: number) {
    this.move = decisions.move.createMove(
      'm',
      's',
      'v1',
      'v2',
      'o',
      0,
      deadlineMs,
    );
  }

  get share(): number {
    return this.evidence.regression
      ? 0
      : decisions.move.candidateShare(this.move);
  }

  get ending(): Ending {
    const {phase} = this.move;
    if (phase === 'settle' || phase === 'finished') return 'finished';
    if (phase === 'taking-back' || phase === 'taken-back') return 'taken-back';
    return 'open';
  }

  add(sample: decisions.evidence.Sample, nowMs: number): void {
    this.evidence = this.evidence.add(sample, nowMs);
  }

  tick(nowMs: number): void {
    const observations = {
      serversReady: nowMs >= SERVERS_READY_MS,
      serversRestored: true,
      isSettled: nowMs >= this.move.stepAtMs + SETTLE_MS,
    };
    const {move, evidence} = this;
    const next = decisions.move.advance(move, evidence, observations, nowMs);
    if (!next) return;
    if (next.step !== move.step) this.evidence = evidence.nextStep();
    this.move = next;
  }
}

/** Raises the share in ten equal steps; rolls back when the error rate of a step exceeds a threshold. */
class FixedRamp implements Policy {
  ending: Ending = 'open';
  private step = 1;
  private total = 0;
  private failed = 0;

  constructor(private readonly deadlineMs: number) {}

  get share(): number {
    return this.ending === 'open' ? this.step / RAMP_STEPS : 0;
  }

  add(sample: decisions.evidence.Sample): void {
    if (!sample.isCandidate) return;
    this.total++;
    this.failed += Number(sample.isFailure);
  }

  tick(nowMs: number): void {
    if (this.ending !== 'open') return;
    const stepMs = this.deadlineMs / (RAMP_STEPS + 1);
    if (nowMs < this.step * stepMs) return;
    const isBad = this.total > 0 && this.failed / this.total > ERROR_THRESHOLD;
    if (isBad) this.ending = 'taken-back';
    else if (this.step === RAMP_STEPS) this.ending = 'finished';
    else this.step++;
    this.total = 0;
    this.failed = 0;
  }
}

/** Sends all traffic to the candidate at once and never rolls back. */
class ImmediateSwitch implements Policy {
  ending: Ending = 'open';

  constructor(private readonly deadlineMs: number) {}

  readonly share = 1;

  add(): void {
    // Samples are ignored.
  }

  tick(nowMs: number): void {
    if (nowMs >= this.deadlineMs) this.ending = 'finished';
  }
}

/** The policies that are compared; `ours` is the one of the product. */
export const POLICIES: Readonly<Record<string, PolicyFactory>> = {
  ours: deadlineMs => new ProductPolicy(deadlineMs),
  'fixed-ramp': deadlineMs => new FixedRamp(deadlineMs),
  'immediate-switch': deadlineMs => new ImmediateSwitch(deadlineMs),
};

/** The result of one simulated move. */
export interface MoveResult {
  readonly ending: Ending;
  /** Requests that failed or were slow because of a fault of the candidate. */
  readonly badRequests: number;
  /** Time from the first bad request to the last request sent to the candidate; 0 without bad requests. */
  readonly exposureMs: number;
  /** When the move ended; 0 when it was still open at its deadline. */
  readonly endedAtMs: number;
}

const TICK_MS = 100;
/** Delay between the end of a request and the arrival of its sample at the policy. */
const REPORT_LAG_MS = 300;

interface PendingReport {
  readonly atMs: number;
  readonly sample: decisions.evidence.Sample;
}

/** Runs one move under a policy on a simulated clock. */
export function runMove(
  makePolicy: PolicyFactory,
  kind: simulation.Kind,
  seed: number,
): MoveResult {
  const random = decisions.random.seeded(seed);
  const traffic = new simulation.SimulatedTraffic(kind, random);
  const policy = makePolicy(simulation.MOVE_MS);
  let pendingReports: PendingReport[] = [];
  let badRequests = 0;
  let firstBadMs = -1;
  let lastSentMs = 0;
  let endedAtMs = 0;
  const requestsPerTick = (simulation.REQUESTS_PER_S * TICK_MS) / 1000;
  for (let nowMs = 0; nowMs <= simulation.MOVE_MS; nowMs += TICK_MS) {
    const due = pendingReports.filter(each => each.atMs <= nowMs);
    if (due.length > 0)
      pendingReports = pendingReports.filter(each => each.atMs > nowMs);
    for (const each of due) policy.add(each.sample, nowMs);
    policy.tick(nowMs);
    if (policy.ending !== 'open') {
      endedAtMs = nowMs;
      break;
    }
    const count = Math.floor(requestsPerTick + random());
    for (let i = 0; i < count; i++) {
      const {share} = policy;
      const isCandidate = random() < share;
      const outcome = traffic.request(nowMs, isCandidate, share);
      const atMs = nowMs + outcome.durationMs + REPORT_LAG_MS;
      pendingReports.push({atMs, sample: outcome.sample});
      if (isCandidate) lastSentMs = nowMs;
      if (!outcome.isBad) continue;
      badRequests++;
      if (firstBadMs < 0) firstBadMs = nowMs;
    }
  }
  const exposureMs = firstBadMs < 0 ? 0 : lastSentMs - firstBadMs;
  return {ending: policy.ending, badRequests, exposureMs, endedAtMs};
}
