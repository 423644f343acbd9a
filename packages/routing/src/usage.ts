// Limits that all hosts share. Each host reports its usage to the hub (the host
// that sums usage over all hosts), which returns the sums, so that every host
// can enforce fleet-wide limits by itself.

/** The width of the buckets of a sliding window count, in milliseconds. */
export const BUCKET_MS = 500;

/** How long the last sums from the hub count as current, in milliseconds. */
export const SUMS_TTL_MS = 1200;

/** A host that has not reported for longer was counted elsewhere meanwhile, or not at all. */
const MAX_REPORT_GAP_MS = 3000;

/** Of what is left of a bound, this fraction is shared out as hosts may use it before they know of each other's use. */
const UNREPORTED_FRACTION = 0.5;

/** The usage of one key as a host reports it to the hub. */
export interface Usage {
  readonly key: string;
  /** What the host has used since it started; it only grows. */
  readonly amount: number;
  /** What the host has used within the window. */
  readonly own: number;
  /** What all hosts have used within the window, as far as this host knows. */
  readonly recent: number;
}

/** What a host reports to the hub. */
export interface Report {
  readonly entries: readonly Usage[];
  /** How far back the host knows what all hosts have used. */
  readonly knownMs: number;
}

/** The usage of one key as the hub reports it to a host: over all hosts, and the host's own part. */
export interface Sum {
  readonly key: string;
  readonly total: number;
  readonly own: number;
  /** What all hosts have used within the window, as far as the hub knows. */
  readonly recent: number;
}

/** How much all hosts together may use of a key within the window. */
export interface Limits {
  /** Hosts that know of this much use nothing more. */
  readonly soft: number;
  /** Never exceeded, also by what hosts use before they know of it. */
  readonly hard: number;
}

/** The sums from a hub; `epoch` identifies the hub and changes each time it starts. */
export interface Sums {
  readonly epoch: string;
  readonly sums: readonly Sum[];
  /** How far back the hub knows what all hosts have used. */
  readonly knownMs: number;
}

/** The amounts by key in the last report of a host. */
interface LastReport {
  readonly amounts: ReadonlyMap<string, number>;
  readonly atMs: number;
}

/**
 * Sums usage over all hosts. Any host can be the hub. A new hub takes the first
 * amounts of each host as its baseline and counts only what is used after them,
 * and so it does for a host that returns after a partition. What was used within
 * the window before it learns from the hosts.
 */
export class Hub {
  private readonly totals = new Map<string, number>();
  private readonly byHost = new Map<string, LastReport>();
  private readonly recent: SlidingCounts;
  private readonly learning = new LearningTime();
  /** What the hosts have reported of themselves while the hub learns. */
  private readonly learned = new Map<string, number>();
  private knownSinceMs = Infinity;

  constructor(
    private readonly epoch: string,
    windowMs: number,
  ) {
    this.recent = new SlidingCounts(windowMs);
  }

  /** Adds what a host has used since its last report; an amount below the previous one means that the host restarted. */
  onUsage(host: string, {entries, knownMs}: Report, nowMs: number): void {
    if (this.learning.onHeard(nowMs)) this.learned.clear();
    this.knownSinceMs = Math.min(this.knownSinceMs, nowMs - knownMs);
    const report = this.byHost.get(host);
    const isCurrent = report && nowMs - report.atMs <= MAX_REPORT_GAP_MS;
    const before = isCurrent ? report.amounts : undefined;
    for (const {key, amount, own, recent} of entries) {
      const known = before ? (before.get(key) ?? 0) : amount;
      const delta = amount >= known ? amount - known : amount;
      this.totals.set(key, (this.totals.get(key) ?? 0) + delta);
      this.recent.add(key, delta, nowMs);
      if (!this.learning.lasts(nowMs)) continue;
      const learned = (this.learned.get(key) ?? 0) + (before ? delta : own);
      this.learned.set(key, learned);
      const {sinceMs} = this.learning;
      this.recent.raise(key, Math.max(recent, learned), sinceMs, nowMs);
    }
    const amounts = new Map(entries.map(({key, amount}) => [key, amount]));
    this.byHost.set(host, {amounts, atMs: nowMs});
  }

  /** Returns the sums to report to a host. */
  sumsFor(host: string, nowMs: number): Sums {
    const own = this.byHost.get(host)?.amounts;
    const sums = [...this.totals].map(([key, total]) => ({
      ...{key, total, recent: this.recent.sum(key, nowMs)},
      own: own?.get(key) ?? 0,
    }));
    const knownMs = Math.max(0, nowMs - this.knownSinceMs);
    return {epoch: this.epoch, sums, knownMs};
  }
}

/** The time after a start, or after a gap without messages, in which a host or hub takes over what others know of the window. */
class LearningTime {
  private heardMs = -Infinity;
  private begunMs = -Infinity;

  /** When the time began. */
  get sinceMs(): number {
    return this.begunMs;
  }

  /** Records a message; true if the time begins with it. */
  onHeard(nowMs: number): boolean {
    const begins = nowMs - this.heardMs > MAX_REPORT_GAP_MS;
    if (begins) this.begunMs = nowMs;
    this.heardMs = nowMs;
    return begins;
  }

  lasts(nowMs: number): boolean {
    return nowMs - this.begunMs <= MAX_REPORT_GAP_MS;
  }
}

/** An amount used from `atMs` on, for `BUCKET_MS`. */
interface WindowBucket {
  readonly atMs: number;
  readonly amount: number;
}

/** Amounts by key over a sliding window, in buckets of `BUCKET_MS`; times are on the monotonic clock. */
class SlidingCounts {
  private readonly buckets = new Map<string, WindowBucket[]>();

  constructor(private readonly windowMs: number) {}

  add(key: string, amount: number, usedMs: number, nowMs = usedMs): void {
    if (amount === 0) return;
    const buckets = this.liveBuckets(key, nowMs);
    const atMs = Math.floor(usedMs / BUCKET_MS) * BUCKET_MS;
    const index = buckets.findIndex(bucket => bucket.atMs === atMs);
    if (index >= 0) {
      buckets[index] = {atMs, amount: buckets[index].amount + amount};
    } else {
      buckets.push({atMs, amount});
    }
    this.buckets.set(key, buckets);
  }

  /** Adds what is missing for the sum to reach `least`, as used at `usedMs`. */
  raise(key: string, least: number, usedMs: number, nowMs: number): void {
    this.add(key, Math.max(0, least - this.sum(key, nowMs)), usedMs, nowMs);
  }

  sum(key: string, nowMs: number): number {
    const live = this.liveBuckets(key, nowMs);
    return live.reduce((sum, bucket) => sum + bucket.amount, 0);
  }

  private liveBuckets(key: string, nowMs: number): WindowBucket[] {
    const known = this.buckets.get(key) ?? [];
    const sinceMs = nowMs - this.windowMs - BUCKET_MS;
    return known.filter(bucket => bucket.atMs > sinceMs);
  }
}

/**
 * Sliding window counts that all hosts share, as seen by one host. The host's
 * own usage is exact; that of other hosts comes from the hub, which also tells
 * a host that has just started what was used before.
 *
 * Invariant: hosts with current sums together stay within the hard limit, as
 * each uses only its share of what was left before it hears from the hub again.
 * A host without current sums also keeps to its share of the soft limit.
 */
export class SharedUsage {
  private readonly totals = new Map<string, number>();
  private readonly own: SlidingCounts;
  private readonly others: SlidingCounts;
  private readonly learning = new LearningTime();
  private lastSums: {readonly epoch: string; readonly byKey: Map<string, Sum>};
  private lastSumsMs = -Infinity;
  /** Since when this host, or a hub that it has heard from, counts what all hosts use. */
  private knownSinceMs: number;
  /** Rounds this host's share, which is below 1 in a large fleet, up or down. */
  private rounding: number;

  constructor(
    windowMs: number,
    knownSinceMs: number,
    private readonly random: () => number,
  ) {
    this.knownSinceMs = knownSinceMs;
    this.own = new SlidingCounts(windowMs);
    this.others = new SlidingCounts(windowMs);
    this.lastSums = {epoch: '', byKey: new Map()};
    this.rounding = random();
  }

  /** What this host reports to the hub. */
  report(nowMs: number): Report {
    const entries = [...this.totals].map(([key, amount]) => ({
      ...{key, amount},
      own: this.own.sum(key, nowMs),
      recent: this.sum(key, nowMs),
    }));
    return {entries, knownMs: this.knownMs(nowMs)};
  }

  /** Returns how far back this host knows what all hosts have used. */
  knownMs(nowMs: number): number {
    return nowMs - this.knownSinceMs;
  }

  /** Handles sums from the hub; of the first sums of an epoch only `recent` counts. */
  onSums({epoch, sums, knownMs}: Sums, nowMs: number): void {
    this.learning.onHeard(nowMs);
    this.knownSinceMs = Math.min(this.knownSinceMs, nowMs - knownMs);
    const isSame = epoch === this.lastSums.epoch;
    for (const sum of sums) {
      const {key, total, own, recent} = sum;
      if (isSame) {
        const before = this.lastSums.byKey.get(key) ?? {total: 0, own: 0};
        const delta = total - before.total - (own - before.own);
        if (delta > 0) this.others.add(key, delta, nowMs);
      }
      if (!this.learning.lasts(nowMs)) continue;
      const missing = recent - this.own.sum(key, nowMs);
      this.others.raise(key, missing, this.learning.sinceMs, nowMs);
    }
    const byKey = new Map(sums.map(sum => [sum.key, sum]));
    this.lastSums = {epoch, byKey};
    this.lastSumsMs = nowMs;
    this.rounding = this.random();
  }

  /** Adds an amount to a sliding window count. */
  add(key: string, amount: number, nowMs: number): void {
    this.own.add(key, amount, nowMs);
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  /** Returns the sliding window count over all hosts, as far as this host knows it. */
  sum(key: string, nowMs: number): number {
    return this.own.sum(key, nowMs) + this.others.sum(key, nowMs);
  }

  /** Returns true if this host may use 1 more. */
  fits(
    key: string,
    {soft, hard}: Limits,
    hosts: number,
    nowMs: number,
  ): boolean {
    const sum = this.sum(key, nowMs);
    if (sum + 1 > soft) return false;
    if (!this.isHubCurrent(nowMs)) {
      return this.own.sum(key, nowMs) + 1 <= soft / hosts;
    }
    const reported = this.lastSums.byKey.get(key)?.own ?? 0;
    const unreported = (this.totals.get(key) ?? 0) - reported;
    const left = hard - (sum - unreported);
    const share = (left * UNREPORTED_FRACTION) / hosts;
    return unreported + 1 <= Math.floor(share + this.rounding);
  }

  /** Returns true while the last sums from the hub are current. */
  isHubCurrent(nowMs: number): boolean {
    return nowMs - this.lastSumsMs <= SUMS_TTL_MS;
  }
}
