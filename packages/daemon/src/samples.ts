import type * as decisions from '@banyanhall/decisions';

import type * as dispatcher from './dispatcher.js';

/** What one request showed of the version that served it. */
export interface Shown {
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
}

/** Where samples of versions go; ignored for services that are not being moved. */
export interface Samples {
  add(request: dispatcher.Prepared, version: string, shown: Shown): void;
}

/** Builds the evidence sample of a request. */
export function sampleOf(
  request: dispatcher.Prepared,
  isCandidate: boolean,
  shown: Shown,
): decisions.evidence.Sample {
  return {route: request.terms.profile.name, isCandidate, ...shown};
}
