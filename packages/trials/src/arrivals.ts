// Arrival process of the load generators (load.ts and measure.ts).

import * as timers from 'node:timers/promises';

import type * as decisions from '@banyanhall/decisions';

/** An open-loop Poisson arrival process: requests are sent at a mean rate, whether or not earlier ones were answered. */
export interface Arrivals {
  readonly random: decisions.random.Random;
  readonly requestsPerS: number;
  readonly durationMs: number;
}

/**
 * Calls `sendOne` for each arrival and resolves to all results in the order of
 * arrival. `serial` counts arrivals from 0; `dueMs` is the scheduled time of the
 * arrival since the start.
 */
export async function send<T>(
  {random, requestsPerS, durationMs}: Arrivals,
  sendOne: (serial: number, dueMs: number) => Promise<T>,
): Promise<readonly T[]> {
  const pending: Promise<T>[] = [];
  const startedMs = performance.now();
  let dueMs = 0;
  for (let serial = 0; dueMs < durationMs; serial++) {
    const waitMs = startedMs + dueMs - performance.now();
    if (waitMs > 0) await timers.setTimeout(waitMs);
    pending.push(sendOne(serial, dueMs));
    dueMs += (-Math.log(1 - random()) * 1000) / requestsPerS;
  }
  return Promise.all(pending);
}
