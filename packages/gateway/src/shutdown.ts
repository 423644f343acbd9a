/*
 * Limits the work of a stopping host to what can end within its grace period.
 */
import type * as decisions from '@banyanhall/decisions';

import * as requests from './request.js';

/** The `reason` of rejections by a stopping host. */
export const REASON = 'host-stopping';
/** The retry-after time given by a stopping host; callers may retry on another host at once. */
export const RETRY_AFTER_MS = 100;
/** The longest time from the stop signal to closing the caller listener; callers may go on using a cached address. */
const LISTENER_CLOSE_DELAY_MS = 4500;
/** The share of the grace period after which the caller listener is closed at the latest. */
const LISTENER_CLOSE_SHARE = 0.75;
/** The time before the end of the grace period at which requests in flight are cut, so that their callers can be told. */
const CUT_MARGIN_MS = 300;
const CUT_MARGIN_SHARE = 0.1;
/** The part of that time which is left when the process ends. */
const EXIT_MARGIN_SHARE = 1 / 3;
/** The factor applied to the longest duration of a route at each shorter one. */
const DURATION_DECAY = 0.95;
/** A request is expected to take up to this multiple of the longest recent duration of its route. */
const DURATION_FACTOR = 1.5;
/** The most routes whose durations are kept, as routes come and go with configurations. */
const MAX_ROUTES = 10_000;
const POLL_MS = 50;

/** The reason with which a stopping host aborts work. */
export const CUT_REASON = new Error('host stopping');

/** A rejection of a request that was not sent to a backend server. */
export function rejection(detail: string): requests.Rejection {
  return requests.rejection(503, REASON, RETRY_AFTER_MS, detail);
}

/** Dependencies of `Shutdown`; times in milliseconds. */
export interface ShutdownOptions {
  readonly clock: decisions.clock.Clock;
  /** The time from the stop signal until the process is killed. */
  readonly gracePeriodMs: number;
  /** How long after the stop signal callers may not know of it. */
  readonly noticeMs: number;
}

/** Work that is aborted once it is due. */
interface Limited {
  readonly controller: AbortController;
  readonly isDue: () => boolean;
}

/** The stages of a host's shutdown, and the time that they leave for requests. */
export class Shutdown {
  private startMs = Infinity;
  private readonly limited = new Set<Limited>();
  /** The longest recent duration of an answered attempt, by route. */
  private readonly durations = new Map<string, number>();

  constructor(private readonly options: ShutdownOptions) {}

  /** Starts the shutdown; `startMs` is the time of the stop signal on the monotonic clock. */
  begin(startMs: number): void {
    this.startMs = startMs;
  }

  /** True from the stop signal on. */
  get hasBegun(): boolean {
    return this.startMs !== Infinity;
  }

  /** True when the caller listener must be closed. */
  get mustCloseListener(): boolean {
    const {gracePeriodMs} = this.options;
    const delayMs = Math.min(
      LISTENER_CLOSE_DELAY_MS,
      gracePeriodMs * LISTENER_CLOSE_SHARE,
    );
    return this.nowMs >= this.startMs + delayMs;
  }

  /** True when requests in flight must be cut. */
  get mustCut(): boolean {
    return this.nowMs >= this.cutMs;
  }

  /** True when the process must end. */
  get mustExit(): boolean {
    return this.nowMs >= this.cutMs + this.marginMs * (1 - EXIT_MARGIN_SHARE);
  }

  /** Records how long a backend server took to answer a request. */
  recordDuration(route: string, durationMs: number): void {
    const longestMs = (this.durations.get(route) ?? 0) * DURATION_DECAY;
    if (this.durations.size >= MAX_ROUTES) this.durations.clear();
    this.durations.set(route, Math.max(longestMs, durationMs));
  }

  /**
   * True if a request that is sent to a backend server now can end before it is
   * cut: by its deadline or, if its caller may not have known of the stop, by
   * the duration expected from others on its route.
   */
  hasTimeFor({route, received, deadlineMs}: requests.AcceptedRequest): boolean {
    if (!this.hasBegun || deadlineMs <= this.cutMs) return true;
    if (received.arrivedMs > this.startMs + this.options.noticeMs) return false;
    const longestMs = this.durations.get(route.name) ?? Infinity;
    return this.nowMs + longestMs * DURATION_FACTOR <= this.cutMs;
  }

  /** Aborts `controller` during the shutdown as soon as `isDue` returns true; returns a function that ends this. */
  abortWhen(controller: AbortController, isDue: () => boolean): () => void {
    const limited: Limited = {controller, isDue};
    this.limited.add(limited);
    return () => void this.limited.delete(limited);
  }

  /** Resolves once `isDone` returns true. */
  async waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      for (const {controller, isDue} of this.limited) {
        if (isDue()) controller.abort(CUT_REASON);
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private get marginMs(): number {
    const {gracePeriodMs} = this.options;
    return Math.min(CUT_MARGIN_MS, gracePeriodMs * CUT_MARGIN_SHARE);
  }

  private get cutMs(): number {
    return this.startMs + this.options.gracePeriodMs - this.marginMs;
  }
}
