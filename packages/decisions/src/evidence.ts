/** The result of one request on one version; times are in milliseconds. */
export interface Sample {
  /** The kind of traffic. Routes are tested one by one, so that a regression on a single route is found. */
  readonly route: string;
  /** True for the candidate, false for the current version. */
  readonly isCandidate: boolean;
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  /** The mean time between tokens; 0 if the answer was too short to measure it. */
  readonly tokenMs: number;
}

/** A metric in which the candidate is worse than the current version. */
export interface Regression {
  readonly route: string;
  readonly metric: Metric;
}

/** The metrics that are tested; `pace` is the mean time between tokens. */
export type Metric = 'failures' | 'first-token' | 'pace';

/** The maximum number of control samples kept per route; the latest ones are kept. */
export const MAX_CONTROL_SAMPLES = 100;

/** The maximum age of a control sample in a comparison of times, in milliseconds. */
export const MAX_CONTROL_AGE_MS = 45_000;

/** The minimum number of control samples for a comparison of times. */
export const MIN_CONTROL_SAMPLES = 20;

/** The cumulative log-likelihood ratio at which a regression is reported. */
export const ALARM_LOG_RATIO = Math.log(1e8);

/** The route under which the samples of all routes are tested together. */
const ALL_ROUTES = '*';

/** The minimum failure rate that is assumed for a good version. */
const MIN_FAILURE_RATE = 0.01;

/** The minimum failure rate that is assumed for a bad candidate. */
const BAD_FAILURE_RATE = 0.3;

/** A time is slow if it exceeds this fraction of the control times by the factor `SLOW_MARGIN`. */
const SLOW_QUANTILE = 0.95;
const SLOW_MARGIN = 1.25;

/** The assumed fraction of slow times of a good candidate. */
const SLOW_RATE = 0.06;

/** The assumed fraction of slow times of a bad candidate. */
const BAD_SLOW_RATE = 0.6;

/** The number of samples, one of them a failure, that the estimate of the failure rate starts from. */
const RATE_PRIOR_SAMPLES = 20;

interface TimedSample extends Sample {
  readonly atMs: number;
}

interface RouteEvidence {
  /** The latest samples of the current version, oldest first. */
  readonly control: readonly TimedSample[];
  /** The cumulative log-likelihood ratio of each metric. */
  readonly logRatios: Readonly<Record<Metric, number>>;
}

const NO_ROUTE_EVIDENCE: RouteEvidence = {
  control: [],
  logRatios: {failures: 0, 'first-token': 0, pace: 0},
};

/**
 * Compares a candidate (the new version, on a canary share of traffic) with
 * samples of the current version (the control) from the same period. Each
 * metric has a cumulative-sum test per route and one over all routes:
 * log-likelihood ratios are added up, but the sum never falls below zero, so a
 * regression that starts late is found as quickly as one that is present from
 * the start.
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

  /** No samples. */
  static readonly none = new Evidence(0, 0, undefined, new Map());

  /** Adds a sample received at `nowMs`. */
  add(sample: Sample, nowMs: number): Evidence {
    const routes = new Map(this.routes);
    let regression = this.regression;
    for (const route of [sample.route, ALL_ROUTES]) {
      const known = routes.get(route) ?? NO_ROUTE_EVIDENCE;
      const next = sample.isCandidate
        ? withCandidateSample(known, sample, nowMs)
        : withControlSample(known, {...sample, atMs: nowMs});
      routes.set(route, next);
      regression ??= findRegression(route, next);
    }
    const candidates = this.stepSamples + Number(sample.isCandidate);
    return new Evidence(candidates, this.stepTotal + 1, regression, routes);
  }

  /** Resets the sample counts for a new step. */
  nextStep(): Evidence {
    return new Evidence(0, 0, this.regression, this.routes);
  }

  /** True if there are enough control samples to compare times. */
  get hasControl(): boolean {
    const all = this.routes.get(ALL_ROUTES);
    return !!all && all.control.length >= MIN_CONTROL_SAMPLES;
  }
}

function withControlSample(
  known: RouteEvidence,
  sample: TimedSample,
): RouteEvidence {
  const control = [...known.control, sample].slice(-MAX_CONTROL_SAMPLES);
  return {...known, control};
}

function withCandidateSample(
  known: RouteEvidence,
  sample: Sample,
  nowMs: number,
): RouteEvidence {
  const {control, logRatios} = known;
  const base = failureRate(control);
  const failures = addLogRatio(
    logRatios.failures,
    sample.isFailure,
    base,
    Math.max(BAD_FAILURE_RATE, Math.min(0.95, 3 * base)),
  );
  if (sample.isFailure || control.length < MIN_CONTROL_SAMPLES) {
    return {...known, logRatios: {...logRatios, failures}};
  }
  const ok = control.filter(
    s => !s.isFailure && nowMs - s.atMs <= MAX_CONTROL_AGE_MS,
  );
  const firstToken = addLatencyRatio(
    logRatios['first-token'],
    sample.firstTokenMs,
    ok.map(s => s.firstTokenMs),
  );
  const pace = addLatencyRatio(
    logRatios.pace,
    sample.tokenMs,
    ok.map(s => s.tokenMs),
  );
  return {control, logRatios: {failures, 'first-token': firstToken, pace}};
}

/** Returns the estimated failure rate of the current version, biased upwards while there are few samples. */
function failureRate(control: readonly Sample[]): number {
  const failures = control.filter(s => s.isFailure).length;
  const rate = (failures + 1) / (control.length + RATE_PRIOR_SAMPLES);
  return Math.max(MIN_FAILURE_RATE, rate);
}

/** Adds the log-likelihood ratio of a time, unless it is 0 or there are too few control times. */
function addLatencyRatio(
  logRatio: number,
  valueMs: number,
  control: readonly number[],
): number {
  const known = control.filter(ms => ms > 0);
  if (valueMs <= 0 || known.length < MIN_CONTROL_SAMPLES) return logRatio;
  const slowerThanValue = known.filter(ms => ms * SLOW_MARGIN >= valueMs);
  const isSlow = slowerThanValue.length <= (1 - SLOW_QUANTILE) * known.length;
  return addLogRatio(logRatio, isSlow, SLOW_RATE, BAD_SLOW_RATE);
}

/** Adds the log-likelihood ratio of one observation to a sum that never falls below zero. */
function addLogRatio(
  logRatio: number,
  isHit: boolean,
  expectedRate: number,
  badRate: number,
): number {
  const ratio = isHit
    ? badRate / expectedRate
    : (1 - badRate) / (1 - expectedRate);
  return Math.max(0, logRatio + Math.log(ratio));
}

/** Returns the first metric whose sum has reached `ALARM_LOG_RATIO`. */
function findRegression(
  route: string,
  evidence: RouteEvidence,
): Regression | undefined {
  const metrics = Object.entries(evidence.logRatios) as [Metric, number][];
  const found = metrics.find(([, logRatio]) => logRatio >= ALARM_LOG_RATIO);
  return found && {route, metric: found[0]};
}
