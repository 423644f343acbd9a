import type * as crashes from '@banyanhall/fleet/crashes.js';

import * as requests from './request.js';

const STATUS = 503;

/** Builds the rejection of a request with this standing, which has not run; undefined if it may run. */
export function rejectionOf(
  standing: crashes.Standing,
): requests.Rejection | undefined {
  if (standing.status !== 'refused') return undefined;
  if (standing.parts.length === 0) {
    const {retryAfterMs} = standing;
    return requests.rejection(STATUS, 'suspect-request', retryAfterMs);
  }
  const detail = `parts ${standing.parts.join(' ')}, crashes ${standing.crashIds.join(' ')}`;
  return requests.rejection(
    STATUS,
    'suspect-part',
    standing.retryAfterMs,
    detail,
  );
}
