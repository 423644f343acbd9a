import * as timers from 'node:timers/promises';

import type * as decisions from '@banyanhall/decisions';

/** When requests come: at random times at a mean rate, whether earlier ones were answered or not. */
export interface Arrivals {
  readonly random: decisions.random.Random;
  readonly requestsPerS: number;
  readonly durationMs: number;
}

/** Sends requests as they are due and resolves to what came of all of them, in order. */
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
