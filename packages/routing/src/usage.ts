/** The width of a bucket of a sliding count, in milliseconds. */
export const BUCKET_MS = 500;

/** How long what the hub said is taken as the state of the fleet, in milliseconds. */
export const SUMS_TTL_MS = 1200;

const MS_PER_S = 1000;

/**
 * What the others take is expected to go on as in their busiest report lately;
 * the part of it that still counts at the next one. Without it all hosts draw
 * on the same tokens at once, whenever there are some.
 */
const RATE_FADE = 0.95;

/** Marks the total of what was put back; totals only grow, so that a lower one shows a new start. */
const RETURNED_MARK = 'returned/';

/** Amounts by key that a host used since its start; they only grow. */
export type Totals = ReadonlyMap<string, number>;

/** What a hub tells one host: the total of all hosts, and the part of it that is the host's own. */
export interface Sum {
  readonly key: string;
  readonly total: number;
  readonly own: number;
}

/** Sums by the hub that names itself by `epoch`, a new one for each start. */
export interface Sums {
  readonly epoch: string;
  readonly sums: readonly Sum[];
}

/**
 * Adds up the totals of all hosts. Any host can be the hub: a new one starts
 * from the totals it gets first, and nothing before that counts.
 */
export class Hub {
  private readonly all = new Map<string, number>();
  private readonly byHost = new Map<string, Totals>();

  constructor(private readonly epoch: string) {}

  /** Takes in the totals of a host; lower ones than before come from a new start of it. */
  onTotals(host: string, totals: Totals): void {
    const before = this.byHost.get(host);
    for (const [key, total] of totals) {
      const known = before ? (before.get(key) ?? 0) : total;
      const delta = total >= known ? total - known : total;
      this.all.set(key, (this.all.get(key) ?? 0) + delta);
    }
    this.byHost.set(host, totals);
  }

  /** What the hub tells a host. */
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

/** Amounts by key over a sliding window, in buckets of `BUCKET_MS`. Times are monotonic. */
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

/** A limit on a rate: `perS` on average, with bursts of `burst`. */
export interface Rate {
  readonly perS: number;
  readonly burst: number;
}

interface Level {
  tokens: number;
  atMs: number;
  /** What the others took lately, for the time since the hub was heard. */
  othersPerMs: number;
}

/**
 * Amounts that all hosts share, as one of them sees them: token buckets and
 * counts over a sliding window. It counts its own use exactly and learns that
 * of the others from the hub.
 *
 * Invariant: hosts that hear the hub admit no more than the limit, plus what
 * they admit between two reports beyond what they did before. A host that
 * doesn't hear it keeps to its equal share: of a rate and of a burst, from
 * then on; of a count, by its own use alone.
 */
export class SharedUsage {
  private readonly totals = new Map<string, number>();
  private readonly levels = new Map<string, Level>();
  private readonly own = new SlidingCounts();
  private readonly others = new SlidingCounts();
  private known: {readonly epoch: string; readonly byKey: Map<string, Sum>};
  private heardMs = -Infinity;

  constructor(private readonly windowMs: number) {
    this.known = {epoch: '', byKey: new Map()};
  }

  /** What this host used since its start, for the hub. */
  get ownTotals(): Totals {
    return this.totals;
  }

  /** Takes in what the hub says; the first word of a hub only sets where to count from. */
  onSums({epoch, sums}: Sums, nowMs: number): void {
    const isSame = epoch === this.known.epoch;
    const sinceMs = nowMs - this.heardMs;
    for (const level of this.levels.values()) level.othersPerMs *= RATE_FADE;
    for (const sum of sums) {
      if (!isSame) continue;
      const before = this.known.byKey.get(sum.key) ?? {total: 0, own: 0};
      const delta = sum.total - before.total - (sum.own - before.own);
      if (delta > 0) this.usedElsewhere(sum.key, delta, sinceMs, nowMs);
    }
    const byKey = new Map(sums.map(sum => [sum.key, sum]));
    this.known = {epoch, byKey};
    this.heardMs = nowMs;
  }

  /** Takes `amount` out of a bucket when it holds as much; `hosts` is the number of all hosts. */
  take(
    key: string,
    amount: number,
    rate: Rate,
    hosts: number,
    nowMs: number,
  ): boolean {
    const level = this.refilled(key, rate, hosts, nowMs);
    const takenMs = Math.min(SUMS_TTL_MS, Math.max(0, nowMs - this.heardMs));
    const taken = this.isHubCurrent(nowMs) ? level.othersPerMs * takenMs : 0;
    if (level.tokens - taken < amount) return false;
    level.tokens -= amount;
    this.count(key, amount);
    return true;
  }

  /** Puts back into a bucket what was not used after all. */
  refund(key: string, amount: number): void {
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

  /** Adds to a count over the window. */
  add(key: string, amount: number, nowMs: number): void {
    this.own.add(key, amount, nowMs, this.windowMs);
    this.count(key, amount);
  }

  /** The count over the window by all hosts, as far as it is known. */
  sum(key: string, nowMs: number): number {
    const own = this.own.sum(key, nowMs, this.windowMs);
    return own + this.others.sum(key, nowMs, this.windowMs);
  }

  /** True when one more stays within `limit` over the window. */
  fits(key: string, limit: number, hosts: number, nowMs: number): boolean {
    if (this.isHubCurrent(nowMs)) return this.sum(key, nowMs) + 1 <= limit;
    return this.own.sum(key, nowMs, this.windowMs) + 1 <= limit / hosts;
  }

  /** True while the hub answers. */
  isHubCurrent(nowMs: number): boolean {
    return nowMs - this.heardMs <= SUMS_TTL_MS;
  }

  private usedElsewhere(
    name: string,
    amount: number,
    sinceMs: number,
    nowMs: number,
  ): void {
    const isReturn = name.startsWith(RETURNED_MARK);
    const key = isReturn ? name.slice(RETURNED_MARK.length) : name;
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

  private refilled(
    key: string,
    rate: Rate,
    hosts: number,
    nowMs: number,
  ): Level {
    const known = this.levels.get(key);
    if (!known) {
      // What was used before this host's first sight of the key is not known.
      const level = {tokens: rate.burst / 2, atMs: nowMs, othersPerMs: 0};
      this.levels.set(key, level);
      return level;
    }
    const part = this.isHubCurrent(nowMs) ? 1 : 1 / hosts;
    const gained = (rate.perS * part * (nowMs - known.atMs)) / MS_PER_S;
    // Alone, a host keeps its share of a burst and of a second's refill.
    const most = part === 1 ? rate.burst : (rate.burst + rate.perS) * part;
    known.tokens = Math.min(most, known.tokens + gained);
    known.atMs = nowMs;
    return known;
  }
}
