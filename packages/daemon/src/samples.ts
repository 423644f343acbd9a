// Evidence samples that the request path collects for version moves; shares.ts sends them to the driver.

import type * as decisions from '@banyanhall/decisions';

import type * as dispatcher from './dispatcher.js';

/** Measurements of one request on one version. */
export interface Observation {
  readonly isFailure: boolean;
  /** Time from dispatch to the first token; for a plain request, to its answer; 0 when it was not measured. */
  readonly firstTokenMs: number;
  /** Mean time between tokens; 0 when it was not measured. */
  readonly tokenMs: number;
}

/** Receives the observations of requests; drops those of services without a version move. */
export interface SampleSink {
  add(
    request: dispatcher.PreparedRequest,
    version: string,
    observation: Observation,
  ): void;
}

/** Converts an observation into an evidence sample, whose route is the profile of the request. */
export function toSample(
  request: dispatcher.PreparedRequest,
  isCandidate: boolean,
  observation: Observation,
): decisions.evidence.Sample {
  return {route: request.policy.profile.name, isCandidate, ...observation};
}
