/** What one request showed of the version that served it. */
export interface Sample {
  /** The kind of traffic, so that a version that is bad on one route shows. */
  readonly route: string;
  /** True for the version that is moved to. */
  readonly isCandidate: boolean;
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  /** Mean time between tokens; 0 when the answer was too short to tell. */
  readonly tokenMs: number;
}

/** Why a candidate counts as bad. */
export interface Regression {
  readonly route: string;
  readonly metric: Metric;
}

/** The signs that are tested for. */
export type Metric = 'failures' | 'first-token' | 'pace';

/** The samples of the present version that a candidate is compared with. */
export const CONTROL_WINDOW = 100;

/** How old a sample may be when times are compared with it, in milliseconds. */
export const CONTROL_AGE_MS = 45_000;

/** Samples of the present version that are needed before times can be compared. */
export const MIN_CONTROL = 20;

/** The log of the odds at which a candidate is called bad. */
export const ALARM_LOG_ODDS = Math.log(1e8);

const ALL_ROUTES = '*';
const MIN_FAILURE_RATE = 0.01;
const BAD_FAILURE_RATE = 0.3;
const SLOW_QUANTILE = 0.95;
const SLOW_MARGIN = 1.25;
const SLOW_RATE = 0.06;
const BAD_SLOW_RATE = 0.6;
const RATE_PRIOR_SAMPLES = 20;

interface TimedSample extends Sample {
  readonly atMs: number;
}

interface RouteEvidence {
  readonly control: readonly TimedSample[];
  readonly logOdds: Readonly<Record<Metric, number>>;
}

const NO_EVIDENCE: RouteEvidence = {
  control: [],
  logOdds: {failures: 0, 'first-token': 0, pace: 0},
};

/**
 * Evidence about a candidate version, against the present version at the
 * same time. Each sign is a cumulative-sum test per route and over all
 * routes: it adds up log-likelihood ratios, never falls below zero, and so
 * finds badness that starts late as fast as badness from the start.
 */
export class Evidence {
  private constructor(
    /** Candidate samples since the last `nextStep`. */
    readonly stepSamples: number,
    /** All samples of both versions since the last `nextStep`. */
    readonly stepTotal: number,
    readonly regression: Regression | undefined,
    private readonly routes: ReadonlyMap<string, RouteEvidence>,
  ) {}

  /** Nothing was seen. */
  static readonly none = new Evidence(0, 0, undefined, new Map());

  /** The evidence with one more sample, which came at `nowMs`. */
  add(sample: Sample, nowMs: number): Evidence {
    const routes = new Map(this.routes);
    let badness = this.regression;
    for (const route of [sample.route, ALL_ROUTES]) {
      const known = routes.get(route) ?? NO_EVIDENCE;
      const next = sample.isCandidate
        ? tested(known, sample, nowMs)
        : controlled(known, {...sample, atMs: nowMs});
      routes.set(route, next);
      badness ??= alarm(route, next);
    }
    const candidates = this.stepSamples + Number(sample.isCandidate);
    return new Evidence(candidates, this.stepTotal + 1, badness, routes);
  }

  /** The same evidence with the counts of a new step. */
  nextStep(): Evidence {
    return new Evidence(0, 0, this.regression, this.routes);
  }

  /** True when the present version was seen often enough to compare times with. */
  get hasControl(): boolean {
    const all = this.routes.get(ALL_ROUTES);
    return !!all && all.control.length >= MIN_CONTROL;
  }
}

function controlled(known: RouteEvidence, sample: TimedSample): RouteEvidence {
  const control = [...known.control, sample].slice(-CONTROL_WINDOW);
  return {...known, control};
}

function tested(
  known: RouteEvidence,
  sample: Sample,
  nowMs: number,
): RouteEvidence {
  const {control, logOdds} = known;
  const base = failureRate(control);
  const failures = updated(
    logOdds.failures,
    sample.isFailure,
    base,
    Math.max(BAD_FAILURE_RATE, Math.min(0.95, 3 * base)),
  );
  if (sample.isFailure || control.length < MIN_CONTROL) {
    return {...known, logOdds: {...logOdds, failures}};
  }
  const ok = control.filter(
    s => !s.isFailure && nowMs - s.atMs <= CONTROL_AGE_MS,
  );
  const firstToken = slower(
    logOdds['first-token'],
    sample.firstTokenMs,
    ok.map(s => s.firstTokenMs),
  );
  const pace = slower(
    logOdds.pace,
    sample.tokenMs,
    ok.map(s => s.tokenMs),
  );
  return {control, logOdds: {failures, 'first-token': firstToken, pace}};
}

/** The failure rate of the present version, on the high side while few samples are known. */
function failureRate(control: readonly Sample[]): number {
  const failures = control.filter(s => s.isFailure).length;
  const rate = (failures + 1) / (control.length + RATE_PRIOR_SAMPLES);
  return Math.max(MIN_FAILURE_RATE, rate);
}

function slower(
  logOdds: number,
  valueMs: number,
  control: readonly number[],
): number {
  const known = control.filter(ms => ms > 0);
  if (valueMs <= 0 || known.length < MIN_CONTROL) return logOdds;
  const slowerThanValue = known.filter(ms => ms * SLOW_MARGIN >= valueMs);
  const isSlow = slowerThanValue.length <= (1 - SLOW_QUANTILE) * known.length;
  return updated(logOdds, isSlow, SLOW_RATE, BAD_SLOW_RATE);
}

function updated(
  logOdds: number,
  isHit: boolean,
  goodRate: number,
  badRate: number,
): number {
  const ratio = isHit ? badRate / goodRate : (1 - badRate) / (1 - goodRate);
  return Math.max(0, logOdds + Math.log(ratio));
}

function alarm(route: string, evidence: RouteEvidence): Regression | undefined {
  const signs = Object.entries(evidence.logOdds) as [Metric, number][];
  const found = signs.find(([, logOdds]) => logOdds >= ALARM_LOG_ODDS);
  return found && {route, metric: found[0]};
}
