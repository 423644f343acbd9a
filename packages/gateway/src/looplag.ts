/** How often the loop is looked at. */
const CHECK_MS = 100;
/** The part of an earlier lag that still counts at the next look. */
const FADE = 0.5;

/** How late the event loop runs what is due: a host that has less processor time than work falls behind. */
export class EventLoopLag {
  private timer: NodeJS.Timeout | undefined;
  private dueMs = Infinity;
  private recentMs = 0;

  constructor(private readonly nowMs: () => number) {}

  /** Starts looking. */
  start(): void {
    this.dueMs = this.nowMs() + CHECK_MS;
    this.timer = setInterval(() => this.sample(), CHECK_MS);
  }

  /** Stops looking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The present lag in milliseconds, or what is left of an earlier one. */
  get lagMs(): number {
    return Math.max(this.recentMs, this.nowMs() - this.dueMs);
  }

  /** Takes the lag of the look that is due now. */
  sample(): void {
    const nowMs = this.nowMs();
    this.recentMs = Math.max(this.recentMs * FADE, nowMs - this.dueMs, 0);
    this.dueMs = nowMs + CHECK_MS;
  }
}
