// Schedulers that measure.ts compares with the fleet: they call backend servers
// directly, without hosts.

import * as crypto from 'node:crypto';

import * as backends from '@banyanhall/backends';

import type * as callers from './caller.js';
import type * as fleets from './fleet.js';

const LOAD_POLL_MS = 1000;
/** Longer than every deadline in measure.ts, so that only the timeout of the request ends it. */
const PROGRESS_TIMEOUT_MS = 60_000;

/** Sends chat requests: a caller of the fleet or a baseline scheduler. */
export interface Sender {
  chat(chatRequest: callers.ChatRequest): Promise<callers.Outcome>;
  close(): void;
}

/** Selects one of the backend servers of a service. */
export type PickServer = (servers: readonly fleets.Backend[]) => fleets.Backend;

/**
 * A baseline scheduler: sends each request at once to the backend server that
 * `pick` selects, without tiers, slots or queueing, and cancels a request that
 * is not finished within its timeout.
 */
export class BaselineSender implements Sender {
  private readonly client = new backends.client.BackendClient();

  constructor(
    private readonly fleet: fleets.Fleet,
    private readonly pick: PickServer,
    private readonly onClose: () => void,
  ) {}

  /** Calls `onClose` and closes all connections. */
  close(): void {
    this.onClose();
    this.client.close();
  }

  /** Sends a request once; any failure gets the verdict `may-have-run`. Never throws. */
  async chat(chatRequest: callers.ChatRequest): Promise<callers.Outcome> {
    const servers = this.fleet.backends.filter(
      backend => backend.service === chatRequest.service,
    );
    const {url} = this.pick(servers).server;
    const streamId = crypto.randomUUID();
    const startedMs = performance.now();
    const gapsMs: number[] = [];
    let text = '';
    let firstTokenAtMs = 0;
    let lastTokenAtMs = 0;
    let failure = '';
    const signal = AbortSignal.timeout(chatRequest.timeoutMs);
    try {
      const request = {
        streamId,
        model: chatRequest.service,
        messages: [{role: 'user', content: chatRequest.prompt}],
        maxTokens: chatRequest.maxTokens,
      };
      const events = this.client.chat(
        url,
        request,
        signal,
        PROGRESS_TIMEOUT_MS,
      );
      for await (const event of events) {
        if (event.kind === 'end') break;
        const nowMs = performance.now();
        text += event.text;
        if (firstTokenAtMs === 0) firstTokenAtMs = nowMs;
        else gapsMs.push(nowMs - lastTokenAtMs);
        lastTokenAtMs = nowMs;
      }
    } catch (error) {
      failure = (error as Error).message;
      void this.client.cancel(url, streamId);
    }
    return {
      verdict: failure === '' ? 'ran' : 'may-have-run',
      ...{failure, text, gapsMs, resumes: 0, status: 200},
      isWhole: failure === '',
      firstTokenMs: firstTokenAtMs === 0 ? 0 : firstTokenAtMs - startedMs,
      durationMs: performance.now() - startedMs,
    };
  }
}

/** A baseline scheduler that uses the backend servers of a service in turn; all services share one counter. */
export function roundRobin(fleet: fleets.Fleet): Sender {
  let next = 0;
  const pick: PickServer = servers => {
    next++;
    return servers[next % servers.length];
  };
  return new BaselineSender(fleet, pick, () => undefined);
}

/**
 * A baseline scheduler that picks the backend server with the fewest used tokens
 * in its last load report, polled every second. A server whose last poll failed
 * comes last; one that was not polled yet counts as unused.
 */
export function leastLoaded(fleet: fleets.Fleet): Sender {
  const loads = new Map<string, number>();
  const client = new backends.client.BackendClient();
  const poll = () => {
    for (const {name, server} of fleet.backends) {
      client.readLoad(server.url).then(
        report => loads.set(name, report.usedTokens),
        () => loads.set(name, Infinity),
      );
    }
  };
  const timer = setInterval(poll, LOAD_POLL_MS);
  const pick: PickServer = servers => {
    const load = (backend: fleets.Backend) => loads.get(backend.name) ?? 0;
    return [...servers].sort((a, b) => load(a) - load(b))[0];
  };
  return new BaselineSender(fleet, pick, () => {
    clearInterval(timer);
    client.close();
  });
}
