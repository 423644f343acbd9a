/** The requests that a host may send to a cold backend server at once. */
const BURST = 3;

const MS_PER_S = 1000;

/**
 * Limits what one host sends to a cold backend server. Its keeper paces the
 * grants, but a host that was frozen finds several at once, and grants may be
 * older than the news that the server is cold.
 */
export class SendGate {
  /** When the next send is allowed once the burst is used up. */
  private nextMs = -Infinity;

  /** Returns true, and counts the request, if it may be sent at `nowMs`: at most `BURST + t * limitPerS` are in `t` seconds. */
  tryPass(limitPerS: number, nowMs: number): boolean {
    const intervalMs = MS_PER_S / limitPerS;
    const fromMs = Math.max(this.nextMs, nowMs - (BURST - 1) * intervalMs);
    if (fromMs > nowMs) return false;
    this.nextMs = fromMs + intervalMs;
    return true;
  }
}
