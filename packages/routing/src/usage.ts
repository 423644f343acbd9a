/** The width of a bucket of a sliding count, in milliseconds. */
export const BUCKET_MS = 500;

interface Bucket {
  readonly atMs: number;
  readonly amount: number;
}

/** Amounts by key over a sliding window, in buckets of `BUCKET_MS`. Times are monotonic. */
export class SlidingCounts {
  private readonly buckets = new Map<string, Bucket[]>();

  constructor(private readonly windowMs: number) {}

  /** Adds an amount to a key; a negative one takes back what was not used after all. */
  add(key: string, amount: number, nowMs: number): void {
    const buckets = this.live(key, nowMs);
    const atMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    const last = buckets[buckets.length - 1];
    if (last?.atMs === atMs) {
      buckets[buckets.length - 1] = {atMs, amount: last.amount + amount};
    } else {
      buckets.push({atMs, amount});
    }
    this.buckets.set(key, buckets);
  }

  /** The sum over the window for one key. */
  sum(key: string, nowMs: number): number {
    return this.live(key, nowMs).reduce((sum, b) => sum + b.amount, 0);
  }

  /** The sums over the window of all keys that have one. */
  sums(nowMs: number): ReadonlyMap<string, number> {
    const all = new Map<string, number>();
    for (const key of this.buckets.keys()) {
      const sum = this.sum(key, nowMs);
      if (sum > 0) all.set(key, sum);
      else this.buckets.delete(key);
    }
    return all;
  }

  private live(key: string, nowMs: number): Bucket[] {
    const known = this.buckets.get(key) ?? [];
    const oldestMs = nowMs - this.windowMs;
    return known.filter(bucket => bucket.atMs > oldestMs);
  }
}

/** What another host said it used over the window, by key. */
export interface Report {
  readonly host: string;
  readonly atMs: number;
  readonly amounts: ReadonlyMap<string, number>;
}

/** How long a report of another host is taken at its word, in milliseconds. */
export const REPORT_TTL_MS = 2500;

/**
 * An amount that all hosts share over a sliding window. Each host counts its
 * own use exactly and knows that of the others from their reports.
 *
 * Invariant: a host admits only while its own use plus that of the others
 * stays within the limit. A host whose report is old counts with its equal
 * share of the limit; a host that hears nobody keeps to its own equal share.
 * Worst case: the limit plus what all hosts admit between two reports.
 */
export class SharedUsage {
  private readonly own: SlidingCounts;
  private readonly reports = new Map<string, Report>();

  constructor(
    private readonly windowMs: number,
    private readonly startedMs: number,
  ) {
    this.own = new SlidingCounts(windowMs);
  }

  /** Takes in what another host reports. */
  onReport(report: Report): void {
    this.reports.set(report.host, report);
  }

  /** What this host used over the window, for its next report. */
  report(nowMs: number): ReadonlyMap<string, number> {
    return this.own.sums(nowMs);
  }

  /** Notes use by this host; a negative amount takes it back. */
  use(key: string, amount: number, nowMs: number): void {
    this.own.add(key, amount, nowMs);
  }

  /** The use by all of `hosts` as far as it is known. */
  used(
    key: string,
    limit: number,
    hosts: readonly string[],
    nowMs: number,
  ): number {
    const share = limit / (hosts.length + 1);
    let used = this.own.sum(key, nowMs);
    for (const host of hosts) {
      const report = this.reports.get(host);
      if (report && nowMs - report.atMs <= REPORT_TTL_MS) {
        used += report.amounts.get(key) ?? 0;
      } else if (report || nowMs - this.startedMs > REPORT_TTL_MS) {
        used += share;
      }
    }
    return used;
  }

  /**
   * True when `amount` more stays within `limit` over the window. `hosts` are
   * the others. A host that has just started doesn't know what was used
   * before and assumes that the window was in use at an even rate.
   */
  fits(
    key: string,
    amount: number,
    limit: number,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const share = limit / (hosts.length + 1);
    const ageMs = nowMs - this.startedMs;
    const unseen = (limit / 2) * Math.max(0, 1 - ageMs / this.windowMs);
    const used = this.used(key, limit, hosts, nowMs);
    if (used + amount <= limit - unseen) return true;
    const own = this.own.sum(key, nowMs);
    return own + amount <= (share * (limit - unseen)) / limit;
  }
}
