import type * as decisions from '@banyanhall/decisions';

import type * as dispatcher from './dispatcher.js';

/** What one request showed of the version that served it. */
export interface Observation {
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
}

/** Where samples of versions go; ignored for services that are not being moved. */
export interface SampleSink {
  add(
    request: dispatcher.PreparedRequest,
    version: string,
    observation: Observation,
  ): void;
}

/** Builds the evidence sample of a request. */
export function toSample(
  request: dispatcher.PreparedRequest,
  isCandidate: boolean,
  observation: Observation,
): decisions.evidence.Sample {
  return {route: request.terms.profile.name, isCandidate, ...observation};
}
