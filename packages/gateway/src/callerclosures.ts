/*
 * Logs and counts the connections and requests that a host closes or refuses
 * for what their callers send.
 */
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';
import type * as requestbody from './requestbody.js';

/** Why a connection was closed, or its request refused before it was read. */
export type ClosureCause =
  | Exclude<requestbody.UnreadReason, 'cut'>
  | 'too-many-connections'
  | 'head-timeout'
  | 'invalid-request'
  | 'endless-framing'
  | 'small-chunks';

/** The interval of the log lines of a cause. */
const LINE_INTERVAL_MS = 1000;

/** Writes at most one line a second for each cause, with the number of closures. */
export class CallerClosures {
  private readonly counts = new Map<ClosureCause, number>();
  private readonly timers = new Map<ClosureCause, NodeJS.Timeout>();

  constructor(
    private readonly log: logs.Log,
    private readonly metrics: metricsModule.Metrics,
  ) {}

  /** Counts one closure. */
  count(cause: ClosureCause): void {
    this.metrics.callerClosures.inc({cause});
    this.counts.set(cause, (this.counts.get(cause) ?? 0) + 1);
    if (!this.timers.has(cause)) this.write(cause);
  }

  private write(cause: ClosureCause): void {
    const count = this.counts.get(cause) ?? 0;
    this.counts.delete(cause);
    this.timers.delete(cause);
    if (count === 0) return;
    this.log.event('caller-closed', '', {cause, count});
    const timer = setTimeout(() => this.write(cause), LINE_INTERVAL_MS);
    this.timers.set(cause, timer.unref());
  }
}
