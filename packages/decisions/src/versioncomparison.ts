/*
 * Compares the times of a candidate with those of the current version, to tell
 * a version that is proven to be no slower from one that is not proven yet.
 */
/** The age up to which samples are compared, in milliseconds. */
export const MAX_SAMPLE_AGE_MS = 30_000;

/** The most samples kept of each version and route; the latest ones are kept. */
const MAX_SAMPLES = 100;

/** The least number of candidate samples, over all routes, for a finding. */
const MIN_CANDIDATE_SAMPLES = 12;

/** The least number of candidate samples for a finding about a single route. */
const MIN_ROUTE_SAMPLES = 8;

/** The least number of control samples of a route for it to be compared. */
const MIN_CONTROL_SAMPLES = 10;

/**
 * A candidate is no slower if its time exceeds that of the current version in
 * less than this fraction of all pairs, and slower above `WORSE_FRACTION`. Equal
 * versions have one half; among times that vary as much as those of engines do,
 * one that is slow by a factor of two has about three quarters.
 */
const TOLERATED_FRACTION = 0.71;
const WORSE_FRACTION = 0.65;

/** The confidence of each finding, in standard errors. */
const PROOF_ERRORS = 1.4;
const ALARM_ERRORS = 2.6;

/** Times of one request on one version, in milliseconds; 0 for one that was not measured. */
export interface Timing {
  readonly route: string;
  readonly isCandidate: boolean;
  readonly firstTokenMs: number;
  /** The mean time between tokens. */
  readonly tokenMs: number;
}

const METRICS = ['first-token', 'pace'] as const;

type Metric = (typeof METRICS)[number];

/** How much a metric of the candidate exceeds that of the current version. */
export interface Excess {
  readonly metric: Metric;
  readonly route: string;
  /** The fraction of pairs of one sample of each version in which the candidate is slower. */
  readonly fraction: number;
  readonly standardError: number;
  readonly candidateSamples: number;
  readonly controlSamples: number;
}

/** What a comparison has found: `proven` is no slower, `worse` is slower. */
export interface Finding {
  readonly kind: 'proven' | 'worse' | 'unproven';
  /** The excess that decided, of all routes together or of a single one; undefined without samples. */
  readonly excess: Excess | undefined;
}

interface Times {
  readonly atMs: number;
  readonly values: Readonly<Record<Metric, number>>;
}

interface RouteTimes {
  readonly candidate: readonly Times[];
  readonly control: readonly Times[];
}

const NO_TIMES: RouteTimes = {candidate: [], control: []};

/** The route that stands for all of them. */
const ALL_ROUTES = '*';

/** The latest times of both versions, by route. */
export class VersionComparison {
  private constructor(
    private readonly routes: ReadonlyMap<string, RouteTimes>,
  ) {}

  /** No samples. */
  static readonly none = new VersionComparison(new Map());

  /** Adds times received at `nowMs`. */
  add(timing: Timing, nowMs: number): VersionComparison {
    const known = this.routes.get(timing.route) ?? NO_TIMES;
    const values = {'first-token': timing.firstTokenMs, pace: timing.tokenMs};
    const version = timing.isCandidate ? 'candidate' : 'control';
    const times = [...known[version], {atMs: nowMs, values}];
    const next = {...known, [version]: times.slice(-MAX_SAMPLES)};
    return new VersionComparison(new Map(this.routes).set(timing.route, next));
  }

  /** Returns what the samples up to `nowMs` show. */
  find(nowMs: number): Finding {
    const excesses = METRICS.flatMap(metric => this.excessesOf(metric, nowMs));
    const worse = excesses.find(({fraction, standardError, ...excess}) => {
      const isEnough =
        excess.candidateSamples >=
        (excess.route === ALL_ROUTES
          ? MIN_CANDIDATE_SAMPLES
          : MIN_ROUTE_SAMPLES);
      const lowest = fraction - ALARM_ERRORS * standardError;
      return isEnough && lowest > WORSE_FRACTION;
    });
    if (worse) return {kind: 'worse', excess: worse};
    const overall = excesses.filter(({route}) => route === ALL_ROUTES);
    const unproven = overall.find(
      ({fraction, standardError, candidateSamples}) =>
        candidateSamples < MIN_CANDIDATE_SAMPLES ||
        fraction + PROOF_ERRORS * standardError > TOLERATED_FRACTION,
    );
    if (unproven) return {kind: 'unproven', excess: unproven};
    const [first] = overall;
    return {kind: first ? 'proven' : 'unproven', excess: first};
  }

  /** The excess of a metric over all routes, followed by those of single routes; empty if no route has enough samples of it. */
  private excessesOf(metric: Metric, nowMs: number): readonly Excess[] {
    const compared: RankSum[] = [];
    const byRoute: Excess[] = [];
    for (const [route, {candidate, control}] of this.routes) {
      const recent = (times: readonly Times[]) =>
        times
          .filter(({atMs}) => nowMs - atMs <= MAX_SAMPLE_AGE_MS)
          .map(({values}) => values[metric])
          .filter(ms => ms > 0);
      const own = recent(candidate);
      const others = recent(control);
      if (own.length === 0 || others.length < MIN_CONTROL_SAMPLES) continue;
      const sum = rankSum(own, others);
      compared.push(sum);
      byRoute.push(excessOf(metric, route, [sum]));
    }
    if (compared.length === 0) return [];
    return [excessOf(metric, ALL_ROUTES, compared), ...byRoute];
  }
}

/** The pairs of one route in which the candidate is slower, with their variance if both versions are alike. */
interface RankSum {
  readonly slower: number;
  readonly pairs: number;
  readonly variance: number;
  readonly candidateSamples: number;
  readonly controlSamples: number;
}

/** Compares all pairs of one value of each list; equal ones count half. */
function rankSum(
  candidate: readonly number[],
  control: readonly number[],
): RankSum {
  let slower = 0;
  for (const own of candidate) {
    for (const other of control) {
      slower += own > other ? 1 : own === other ? 0.5 : 0;
    }
  }
  const pairs = candidate.length * control.length;
  const variance = (pairs * (candidate.length + control.length + 1)) / 12;
  return {
    ...{slower, pairs, variance},
    candidateSamples: candidate.length,
    controlSamples: control.length,
  };
}

/** Combines the comparisons of routes; each counts by its number of pairs. */
function excessOf(
  metric: Metric,
  route: string,
  sums: readonly RankSum[],
): Excess {
  const total = (of: (sum: RankSum) => number) =>
    sums.reduce((result, sum) => result + of(sum), 0);
  const pairs = total(sum => sum.pairs);
  return {
    ...{metric, route},
    fraction: total(sum => sum.slower) / pairs,
    standardError: Math.sqrt(total(sum => sum.variance)) / pairs,
    candidateSamples: total(sum => sum.candidateSamples),
    controlSamples: total(sum => sum.controlSamples),
  };
}

/** Formats an excess for a log line. */
export function describe(excess: Excess | undefined): string {
  if (!excess) return 'no samples';
  const {metric, route, fraction, standardError} = excess;
  const {candidateSamples, controlSamples} = excess;
  const slower = `${fraction.toFixed(2)} +- ${standardError.toFixed(2)}`;
  return `${metric} on ${route} slower in ${slower} of pairs, ${candidateSamples} against ${controlSamples} samples`;
}
