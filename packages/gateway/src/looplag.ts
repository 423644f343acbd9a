import * as decisions from '@banyanhall/decisions';

const SAMPLE_INTERVAL_MS = 100;
/** The factor applied to the recent lag at each sample. */
const DECAY = 0.5;
/** A sample that is less late is that of a loop which is up to date. */
const MIN_UNREAD_MS = 5;

/** Measures how late the event loop runs its timers, which grows when a host has more work than processor time. */
export class EventLoopLag {
  private timer: NodeJS.Timeout | undefined;
  private dueMs = Infinity;
  private recentMs = 0;
  /** The last sample, until all that had arrived by then has been read. */
  private unread: {readonly lateMs: number} | undefined;

  constructor(
    private readonly nowMs: () => number,
    private readonly afterReads = decisions.reads.afterReads,
  ) {}

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

  /** The longest time in milliseconds for which what is read now may have waited for the event loop. */
  get readDelayMs(): number {
    return Math.max(this.unread?.lateMs ?? 0, this.nowMs() - this.dueMs, 0);
  }

  /** Records the lag of the sample due now; called on a timer. */
  sample(): void {
    const nowMs = this.nowMs();
    const sampled = {lateMs: Math.max(nowMs - this.dueMs, 0)};
    this.recentMs = Math.max(this.recentMs * DECAY, sampled.lateMs);
    this.dueMs = nowMs + SAMPLE_INTERVAL_MS;
    if (sampled.lateMs < MIN_UNREAD_MS) return;
    this.unread = sampled;
    this.afterReads(() => {
      if (this.unread === sampled) this.unread = undefined;
    });
  }
}
