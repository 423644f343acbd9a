/** Named workloads for the simulation: request kinds, engines and disturbances. */
import type * as decisions from '@banyanhall/decisions';

import type * as engines from './engine.js';

/** A kind of request: its arrival rate, sizes, limits, and its value to callers. */
export interface RequestKind {
  readonly name: string;
  readonly tier: decisions.config.Tier;
  /** Mean arrival rate; arrivals are a Poisson process. */
  readonly requestsPerS: number;
  /** A first token within this time after arrival is on time. */
  readonly firstTokenObjectiveMs: number;
  readonly deadlineMs: number;
  /** A caller gives up if no first token arrives within this time after its latest slot request. */
  readonly firstTokenPatienceMs: number;
  /** Value of a request of mean size whose first token is on time. */
  readonly onTimeValue: number;
  /** Value of a request of mean size whose first token is late. */
  readonly lateValue: number;
  /** Mean sizes; the sizes of requests are log-normal, cut off at ten times the mean. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Standard deviations of the natural logarithms of the sizes. */
  readonly promptSpread: number;
  readonly outputSpread: number;
  /** Standard deviation of the natural logarithm of hinted over actual output length. */
  readonly hintSpread: number;
}

/** A change of the workload between two times since the start. */
export interface Disturbance {
  readonly fromMs: number;
  readonly toMs: number;
  /** Multiplies the arrival rate. */
  readonly rateFactor?: number;
  /** The share of the engines that are down, from 0 to 1; rounded up to whole engines. */
  readonly downShare?: number;
}

/** A stream of requests and the engines that serve it. */
export interface Workload {
  readonly kinds: readonly RequestKind[];
  /** Number of engines. */
  readonly engines: number;
  readonly engineParameters: engines.EngineParameters;
  /** Relative speeds, assigned to the engines in turn. */
  readonly speeds: readonly number[];
  /** Arrivals stop after this time. */
  readonly durationMs: number;
  /** Multiplies the arrival rate of all kinds. */
  readonly rateFactor: number;
  readonly disturbances: readonly Disturbance[];
}

const KINDS: readonly RequestKind[] = [
  {
    ...{name: 'long-urgent', tier: 1, requestsPerS: 11.8},
    ...{
      firstTokenObjectiveMs: 600,
      deadlineMs: 10_000,
      firstTokenPatienceMs: 2400,
    },
    ...{onTimeValue: 4.9, lateValue: 1.5},
    ...{promptTokens: 3720, outputTokens: 120},
    ...{promptSpread: 1.1, outputSpread: 1.5, hintSpread: 0.5},
  },
  {
    ...{name: 'short', tier: 2, requestsPerS: 8.1},
    ...{
      firstTokenObjectiveMs: 600,
      deadlineMs: 5000,
      firstTokenPatienceMs: 2400,
    },
    ...{onTimeValue: 2.6, lateValue: 0.77},
    ...{promptTokens: 2890, outputTokens: 52},
    ...{promptSpread: 1.1, outputSpread: 1.5, hintSpread: 0.5},
  },
  {
    ...{name: 'least-urgent', tier: 3, requestsPerS: 12.4},
    ...{
      firstTokenObjectiveMs: 400,
      deadlineMs: 12_000,
      firstTokenPatienceMs: 2000,
    },
    ...{onTimeValue: 0.33, lateValue: 0.1},
    ...{promptTokens: 1110, outputTokens: 172},
    ...{promptSpread: 1, outputSpread: 1.5, hintSpread: 0.5},
  },
];

const ENGINE_PARAMETERS: engines.EngineParameters = {
  ...{slots: 5, stepMs: 3.79, stepMsPerRequest: 0.0893},
  ...{prefillTokensPerMs: 56.6, chunkTokens: 1024, firstTokenMs: 16},
};

const CALM: Workload = {
  ...{
    kinds: KINDS,
    engines: 6,
    engineParameters: ENGINE_PARAMETERS,
    speeds: [0.68, 0.68, 3],
  },
  ...{durationMs: 30_000, rateFactor: 1.3, disturbances: []},
};

const BURSTS: readonly Disturbance[] = [
  {fromMs: 1300, toMs: 6300, rateFactor: 1.8},
  {fromMs: 11_300, toMs: 13_800, rateFactor: 1.9},
];

/** Workloads by name. */
export const WORKLOADS = {
  calm: CALM,
  burst: {...CALM, rateFactor: 1.7, disturbances: BURSTS},
  crash: {
    ...CALM,
    rateFactor: 1.7,
    disturbances: [
      ...BURSTS,
      {fromMs: 8300, toMs: 10_300, downShare: 0.25},
      {fromMs: 9300, toMs: 14_100, downShare: 0.18},
    ],
  },
  overload: {...CALM, rateFactor: 3},
  // Callers come at once to a cell that has measured none of its unlike engines.
  'cold-burst': {
    ...CALM,
    kinds: KINDS.map(kind => ({...kind, promptSpread: 1.5})),
    ...{engines: 10, speeds: [0.55, 1, 2.8], rateFactor: 2.2},
    disturbances: [{fromMs: 900, toMs: 5900, rateFactor: 2}],
  },
  zone: {
    ...CALM,
    engines: 16,
    engineParameters: {...ENGINE_PARAMETERS, slots: 4},
    rateFactor: 3.5,
    disturbances: BURSTS,
  },
} satisfies Readonly<Record<string, Workload>>;

/** The name of a workload. */
export type WorkloadName = keyof typeof WORKLOADS;
