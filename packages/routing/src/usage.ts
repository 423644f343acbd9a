// Limits that all hosts share. Each host reports its usage to the hub, which
// returns the sums, so that every host can enforce fleet-wide limits locally.

/** Width of a bucket of a sliding window count, in milliseconds. */
export const BUCKET_MS = 500;

/** How long the last sums from the hub count as current, in milliseconds. */
export const SUMS_TTL_MS = 1200;

const MS_PER_S = 1000;

/**
 * Decay per report of the estimated rate of use by other hosts. The estimate
 * is the peak of recent reports; without it all hosts take the same tokens at
 * once whenever some are available.
 */
const RATE_DECAY = 0.95;

/**
 * Key prefix for refunded amounts. Refunds have totals of their own because totals only grow:
 * a lower total means that the host restarted.
 */
const REFUND_PREFIX = 'returned/';

/** Amounts by key that a host has used since it started; they only grow. */
export type Totals = ReadonlyMap<string, number>;

/** The usage of one key as the hub reports it to a host: over all hosts, and the host's own part. */
export interface Sum {
  readonly key: string;
  readonly total: number;
  readonly own: number;
}

/** Sums from a hub; `epoch` identifies the hub and changes each time it starts. */
export interface Sums {
  readonly epoch: string;
  readonly sums: readonly Sum[];
}

/**
 * Sums usage over all hosts. Any host can be the hub. A new hub takes the first
 * totals of each host as its baseline and counts only what is used after them.
 */
export class Hub {
  private readonly all = new Map<string, number>();
  private readonly byHost = new Map<string, Totals>();

  constructor(private readonly epoch: string) {}

  /** Handles the totals of a host; a total below the previous one means that the host restarted. */
  onTotals(host: string, totals: Totals): void {
    const before = this.byHost.get(host);
    for (const [key, total] of totals) {
      const known = before ? (before.get(key) ?? 0) : total;
      const delta = total >= known ? total - known : total;
      this.all.set(key, (this.all.get(key) ?? 0) + delta);
    }
    this.byHost.set(host, totals);
  }

  /** The sums to report to a host. */
  sumsFor(host: string): Sums {
    const own = this.byHost.get(host);
    const sums = [...this.all].map(([key, total]) => ({
      ...{key, total},
      own: own?.get(key) ?? 0,
    }));
    return {epoch: this.epoch, sums};
  }
}

interface Bucket {
  readonly atMs: number;
  readonly amount: number;
}

/** Amounts by key over a sliding window, in buckets of `BUCKET_MS`; times are on the monotonic clock. */
class SlidingCounts {
  private readonly buckets = new Map<string, Bucket[]>();

  add(key: string, amount: number, nowMs: number, windowMs: number): void {
    const buckets = this.live(key, nowMs, windowMs);
    const atMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    const last = buckets[buckets.length - 1];
    if (last?.atMs === atMs) {
      buckets[buckets.length - 1] = {atMs, amount: last.amount + amount};
    } else {
      buckets.push({atMs, amount});
    }
    this.buckets.set(key, buckets);
  }

  sum(key: string, nowMs: number, windowMs: number): number {
    const live = this.live(key, nowMs, windowMs);
    return live.reduce((sum, bucket) => sum + bucket.amount, 0);
  }

  private live(key: string, nowMs: number, windowMs: number): Bucket[] {
    const known = this.buckets.get(key) ?? [];
    return known.filter(bucket => bucket.atMs > nowMs - windowMs - BUCKET_MS);
  }
}

/** A rate limit of `perS` per second on average, with bursts up to `burst`. */
export interface Rate {
  readonly perS: number;
  readonly burst: number;
}

interface Level {
  tokens: number;
  atMs: number;
  /** Estimated rate of use by other hosts, applied to the time since the last sums. */
  othersPerMs: number;
}

/**
 * Token buckets and sliding window counts that all hosts share, as seen by one
 * host. The host's own usage is exact; that of other hosts comes from the hub.
 *
 * Invariant: hosts with current sums together admit at most the limit, plus
 * any increase over their earlier rate between two reports. A host without
 * current sums limits itself to an equal share: of the rate and the burst from
 * then on, or of a count by its own usage alone.
 */
export class SharedUsage {
  private readonly totals = new Map<string, number>();
  private readonly levels = new Map<string, Level>();
  private readonly own = new SlidingCounts();
  private readonly others = new SlidingCounts();
  private known: {readonly epoch: string; readonly byKey: Map<string, Sum>};
  private lastSumsMs = -Infinity;

  constructor(private readonly windowMs: number) {
    this.known = {epoch: '', byKey: new Map()};
  }

  /** The totals that this host reports to the hub. */
  get ownTotals(): Totals {
    return this.totals;
  }

  /** Handles sums from the hub; the first sums of an epoch only set the baseline. */
  onSums({epoch, sums}: Sums, nowMs: number): void {
    const isSame = epoch === this.known.epoch;
    const sinceMs = nowMs - this.lastSumsMs;
    for (const level of this.levels.values()) level.othersPerMs *= RATE_DECAY;
    for (const sum of sums) {
      if (!isSame) continue;
      const before = this.known.byKey.get(sum.key) ?? {total: 0, own: 0};
      const delta = sum.total - before.total - (sum.own - before.own);
      if (delta > 0) this.addRemoteUsage(sum.key, delta, sinceMs, nowMs);
    }
    const byKey = new Map(sums.map(sum => [sum.key, sum]));
    this.known = {epoch, byKey};
    this.lastSumsMs = nowMs;
  }

  /** Takes `amount` from a bucket and returns true if it holds that much; `hosts` counts all hosts. */
  take(
    key: string,
    amount: number,
    rate: Rate,
    hosts: number,
    nowMs: number,
  ): boolean {
    const level = this.refill(key, rate, hosts, nowMs);
    const takenMs = Math.min(SUMS_TTL_MS, Math.max(0, nowMs - this.lastSumsMs));
    const taken = this.isHubCurrent(nowMs) ? level.othersPerMs * takenMs : 0;
    if (level.tokens - taken < amount) return false;
    level.tokens -= amount;
    this.count(key, amount);
    return true;
  }

  /** Returns an unused amount to a bucket. */
  refund(key: string, amount: number): void {
    const level = this.levels.get(key);
    if (!level) return;
    level.tokens += amount;
    this.count(REFUND_PREFIX + key, amount);
  }

  /** Time until a bucket holds `amount`, in milliseconds, as of its last refill. */
  waitMs(key: string, amount: number, rate: Rate): number {
    const missing = amount - (this.levels.get(key)?.tokens ?? 0);
    return (Math.max(0, missing) / rate.perS) * MS_PER_S;
  }

  /** Adds an amount to a sliding window count. */
  add(key: string, amount: number, nowMs: number): void {
    this.own.add(key, amount, nowMs, this.windowMs);
    this.count(key, amount);
  }

  /** The sliding window count over all hosts, as far as this host knows it. */
  sum(key: string, nowMs: number): number {
    const own = this.own.sum(key, nowMs, this.windowMs);
    return own + this.others.sum(key, nowMs, this.windowMs);
  }

  /** True when a count stays within `limit` after adding 1. */
  fits(key: string, limit: number, hosts: number, nowMs: number): boolean {
    if (this.isHubCurrent(nowMs)) return this.sum(key, nowMs) + 1 <= limit;
    return this.own.sum(key, nowMs, this.windowMs) + 1 <= limit / hosts;
  }

  /** True while the last sums from the hub are current. */
  isHubCurrent(nowMs: number): boolean {
    return nowMs - this.lastSumsMs <= SUMS_TTL_MS;
  }

  private addRemoteUsage(
    name: string,
    amount: number,
    sinceMs: number,
    nowMs: number,
  ): void {
    const isReturn = name.startsWith(REFUND_PREFIX);
    const key = isReturn ? name.slice(REFUND_PREFIX.length) : name;
    const level = this.levels.get(key);
    if (level) {
      level.tokens += isReturn ? amount : -amount;
      const perMs = sinceMs > 0 ? amount / sinceMs : 0;
      if (!isReturn) level.othersPerMs = Math.max(level.othersPerMs, perMs);
    } else {
      this.others.add(key, amount, nowMs, this.windowMs);
    }
  }

  private count(name: string, amount: number): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount);
  }

  private refill(key: string, rate: Rate, hosts: number, nowMs: number): Level {
    const known = this.levels.get(key);
    if (!known) {
      // Usage before this host first saw the key is unknown, so start half full.
      const level = {tokens: rate.burst / 2, atMs: nowMs, othersPerMs: 0};
      this.levels.set(key, level);
      return level;
    }
    const part = this.isHubCurrent(nowMs) ? 1 : 1 / hosts;
    const gained = (rate.perS * part * (nowMs - known.atMs)) / MS_PER_S;
    // Without current sums, the cap is this host's share of the burst plus one second of refill.
    const most = part === 1 ? rate.burst : (rate.burst + rate.perS) * part;
    known.tokens = Math.min(most, known.tokens + gained);
    known.atMs = nowMs;
    return known;
  }
}
