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
 * Worst case: twice the limit, when every host falls back on its share, plus
 * what all hosts admit between two reports.
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

/** A limit on a rate: `perS` on average, with bursts of `burst`. */
export interface Rate {
  readonly perS: number;
  readonly burst: number;
}

interface Level {
  tokens: number;
  atMs: number;
}

const MS_PER_S = 1000;
/** Totals only grow, so that a lower one shows a new start; what is put back has a total of its own. */
const RETURNED_MARK = 'returned/';

/**
 * Token buckets that all hosts share, one a key. Each host keeps its own copy
 * of a bucket, takes its own use out at once and that of the others as they
 * report their totals.
 *
 * Invariant: hosts that hear each other admit no more than the rate and the
 * burst, plus what they admit between two reports. A host refills at the part
 * of the rate that belongs to the hosts it hears, itself included.
 */
export class SharedBuckets {
  private readonly levels = new Map<string, Level>();
  private readonly totals = new Map<string, number>();
  private readonly seen = new Map<string, Report>();

  /** What this host used since its start, by key. */
  get ownTotals(): ReadonlyMap<string, number> {
    return this.totals;
  }

  /** Takes `amount` out of a bucket when it holds as much. */
  take(
    key: string,
    amount: number,
    rate: Rate,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const level = this.refilled(key, rate, hosts, nowMs);
    if (level.tokens < amount) return false;
    this.use(key, amount, level);
    return true;
  }

  /** Puts back what was not used after all. */
  giveBack(key: string, amount: number): void {
    const level = this.levels.get(key);
    if (!level) return;
    level.tokens += amount;
    this.count(RETURNED_MARK + key, amount);
  }

  /** How long until a bucket holds `amount`, in milliseconds. */
  waitMs(key: string, amount: number, rate: Rate): number {
    const missing = amount - (this.levels.get(key)?.tokens ?? 0);
    return (Math.max(0, missing) / rate.perS) * MS_PER_S;
  }

  /** Takes in the totals of another host; lower ones than before come from a new start of it. */
  onReport(report: Report): void {
    const before = this.seen.get(report.host)?.amounts;
    for (const [name, total] of report.amounts) {
      const known = before?.get(name) ?? (before ? 0 : total);
      const delta = total >= known ? total - known : total;
      const isReturn = name.startsWith(RETURNED_MARK);
      const key = isReturn ? name.slice(RETURNED_MARK.length) : name;
      const level = this.levels.get(key);
      if (level) level.tokens += isReturn ? delta : -delta;
    }
    this.seen.set(report.host, report);
  }

  private use(key: string, amount: number, level: Level): void {
    level.tokens -= amount;
    this.count(key, amount);
  }

  private count(name: string, amount: number): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount);
  }

  private refilled(
    key: string,
    rate: Rate,
    hosts: readonly string[],
    nowMs: number,
  ): Level {
    const known = this.levels.get(key);
    if (!known) {
      // What was used before this host's first sight of the key is not known.
      const level = {tokens: rate.burst / 2, atMs: nowMs};
      this.levels.set(key, level);
      return level;
    }
    const heard = hosts.filter(host => {
      const report = this.seen.get(host);
      return report && nowMs - report.atMs <= REPORT_TTL_MS;
    });
    const part = (heard.length + 1) / (hosts.length + 1);
    const gained = (rate.perS * part * (nowMs - known.atMs)) / MS_PER_S;
    known.tokens = Math.min(rate.burst, known.tokens + gained);
    known.atMs = nowMs;
    return known;
  }
}
