const SAMPLE_INTERVAL_MS = 100;
/** The factor applied to the recent lag at each sample. */
const DECAY = 0.5;

/** Measures how late the event loop runs its timers, which grows when a host has more work than processor time. */
export class EventLoopLag {
  private timer: NodeJS.Timeout | undefined;
  private dueMs = Infinity;
  private recentMs = 0;

  constructor(private readonly nowMs: () => number) {}

  /** Starts sampling. */
  start(): void {
    this.dueMs = this.nowMs() + SAMPLE_INTERVAL_MS;
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The current lag in milliseconds, or the decayed recent lag if that is larger. */
  get lagMs(): number {
    return Math.max(this.recentMs, this.nowMs() - this.dueMs);
  }

  /** Records the lag of the sample due now; called on a timer. */
  sample(): void {
    const nowMs = this.nowMs();
    this.recentMs = Math.max(this.recentMs * DECAY, nowMs - this.dueMs, 0);
    this.dueMs = nowMs + SAMPLE_INTERVAL_MS;
  }
}
