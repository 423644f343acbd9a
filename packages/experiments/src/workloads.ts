import type * as decisions from '@banyanhall/decisions';

import type * as engines from './engine.js';

/** A kind of request: how often it comes, how large it is, what its callers get from it. */
export interface RequestKind {
  readonly name: string;
  readonly tier: decisions.config.Tier;
  readonly requestsPerS: number;
  /** The latest first token that is on time. */
  readonly firstTokenObjectiveMs: number;
  readonly deadlineMs: number;
  /** How long callers wait for the first token. */
  readonly firstTokenPatienceMs: number;
  readonly onTimeValue: number;
  readonly lateValue: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Standard deviations of the logarithms of the sizes. */
  readonly promptSpread: number;
  readonly outputSpread: number;
  /** The same for the error of the expected output length. */
  readonly hintSpread: number;
}

/** A span in which a load is changed; times since the start. */
export interface Disturbance {
  readonly fromMs: number;
  readonly toMs: number;
  /** Multiplies the rate of requests. */
  readonly rateFactor?: number;
  /** The share of the engines that are down. */
  readonly downShare?: number;
}

/** A load and the engines that it meets. */
export interface Workload {
  readonly kinds: readonly RequestKind[];
  readonly engines: number;
  readonly engineParameters: engines.EngineParameters;
  /** Speeds of the engines, by turns. */
  readonly speeds: readonly number[];
  readonly durationMs: number;
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

const TERMS: engines.EngineParameters = {
  ...{slots: 5, stepMs: 3.79, stepMsPerRequest: 0.0893},
  ...{prefillTokensPerMs: 56.6, chunkTokens: 1024, firstTokenMs: 16},
};

const CALM: Workload = {
  ...{
    kinds: KINDS,
    engines: 6,
    engineParameters: TERMS,
    speeds: [0.68, 0.68, 3],
  },
  ...{durationMs: 30_000, rateFactor: 1.3, disturbances: []},
};

const BURSTS: readonly Disturbance[] = [
  {fromMs: 1300, toMs: 6300, rateFactor: 1.8},
  {fromMs: 11_300, toMs: 13_800, rateFactor: 1.9},
];

/** Loads by name. */
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
  zone: {
    ...CALM,
    engines: 16,
    engineParameters: {...TERMS, slots: 4},
    rateFactor: 3.5,
    disturbances: BURSTS,
  },
} satisfies Readonly<Record<string, Workload>>;

/** The name of a load. */
export type WorkloadName = keyof typeof WORKLOADS;
