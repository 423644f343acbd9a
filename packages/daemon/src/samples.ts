// Evidence samples that the request path collects for version moves; shares.ts sends them to the driver.

import type * as decisions from '@banyanhall/decisions';

import type * as dispatcher from './dispatcher.js';

/** Measurements of one request, attributed to the version that served it. */
export interface Observation {
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
}

/** Receives samples per version; drops those of services without a version move. */
export interface SampleSink {
  add(
    request: dispatcher.PreparedRequest,
    version: string,
    observation: Observation,
  ): void;
}

/** Converts an observation into the evidence sample of the request's route. */
export function toSample(
  request: dispatcher.PreparedRequest,
  isCandidate: boolean,
  observation: Observation,
): decisions.evidence.Sample {
  return {route: request.terms.profile.name, isCandidate, ...observation};
}
