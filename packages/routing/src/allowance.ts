// Token allowances of accounts over all hosts, as the hub of an account keeps
// them. Pure: times are passed in, messages are sent elsewhere.

import * as usagebucket from './usagebucket.js';

const MS_PER_S = 1000;

/** How long after its due time a promised admission is kept, in milliseconds. */
export const PROMISE_TTL_MS = 2000;

/** How long the tokens that are promised at any time take to be refilled, in milliseconds. A longer queue would make all of an account's requests late. */
const PROMISED_SPAN_MS = 500;

/** A request of tier `t` leaves this multiple of `t - 1` times its tokens to more urgent and to smaller ones. */
const RESERVE_PER_TIER = 8;

/** The most that a request has to leave, as a fraction of the bucket's capacity. */
const MAX_RESERVE_FRACTION = 0.5;

/** The least wait of a rejected request, in milliseconds. Callers that return sooner only load the hub. */
export const MIN_WAIT_MS = 50;

/** How much earlier than told a promised request may return, in milliseconds. */
const EARLY_MS = 50;

/** How old the level reported by another hub may be to be taken into account, in milliseconds. */
export const KNOWN_LEVEL_TTL_MS = 5000;

/** The limit of an account: within any window at most `perS` x window + `burst` tokens. */
export interface Limit {
  readonly perS: number;
  readonly burst: number;
}

/** The window of all limits, and the leeway beyond them that a ledger may use. */
export interface WindowBound {
  readonly windowMs: number;
  /** A fraction of what the limit allows in a window. */
  readonly overshoot: number;
  /** Tokens in a window. */
  readonly toleranceTokens: number;
  /** The most tokens in a bucket of which nobody knows how much was used. */
  readonly initialTokens: number;
}

/** Returns the most tokens that an account may use in a window. */
export function windowTokens({perS, burst}: Limit, bound: WindowBound): number {
  const stated = (perS * bound.windowMs) / MS_PER_S + burst;
  return stated * (1 + bound.overshoot) + bound.toleranceTokens;
}

/** The fraction of the leeway that is added to a bucket's capacity; the rest is added to its rate. */
const CAPACITY_LEEWAY = 0.2;

/**
 * Returns the bucket that admits `windowTokens` in a window that it starts full. A bucket paces
 * an account at its limit, where a window count would admit and reject by turns.
 */
export function bucketSize(
  limit: Limit,
  bound: WindowBound,
): usagebucket.BucketSize {
  const {perS, burst} = limit;
  const stated = (perS * bound.windowMs) / MS_PER_S + burst;
  const leeway = windowTokens(limit, bound) - stated;
  return {
    capacity: burst + leeway * CAPACITY_LEEWAY,
    perMs: perS / MS_PER_S + (leeway * (1 - CAPACITY_LEEWAY)) / bound.windowMs,
  };
}

/** The tokens in an account's bucket as a host last learned them from a hub; `epoch` identifies that hub. */
export interface KnownLevel {
  readonly epoch: string;
  readonly tokens: number;
  readonly ageMs: number;
}

/** A request's charge to its account. */
export interface Charge {
  readonly account: string;
  readonly tokens: number;
  readonly limit: Limit;
  /** From 1, the most urgent. */
  readonly tier: number;
  /** Equal for a request that a caller repeats. */
  readonly fingerprint: string;
  /** The longest wait after which the caller would still return, in milliseconds. */
  readonly maxWaitMs: number;
  /** True when the host has admitted the request already; the charge is then only recorded. */
  readonly isTaken: boolean;
  /** What the host knows from another hub, undefined if nothing. */
  readonly known: KnownLevel | undefined;
  /** The charge's id among all hosts; empty if it has none. */
  readonly id?: string;
  /** The id of an earlier charge that this one replaces, as the host did not wait for its answer. */
  readonly replaces?: string;
  /** How long ago the host admitted a request that it reports again, in milliseconds. */
  readonly ageMs?: number;
}

/** The answer to a charge, with the time after which a rejected request is expected to be admitted. */
export interface ChargeResult {
  readonly isGranted: boolean;
  readonly waitMs: number;
  /** What the bucket holds for requests without a promise, or its level if that is negative, after charges that hosts took by themselves. */
  readonly tokens: number;
}

/** A rejected request that is admitted when it returns from `dueMs` on. */
interface Promised {
  readonly tokens: number;
  readonly dueMs: number;
}

interface Account {
  readonly bucket: usagebucket.UsageBucket;
  readonly promises: Map<string, Promised>;
  /** The size of the bucket outside of a partition, by the last charge. */
  whole: usagebucket.BucketSize;
}

/**
 * The token buckets of the accounts that a hub is responsible for.
 *
 * Invariant: of an account, one ledger admits at most `windowTokens` in any
 * window. Charges that hosts took by themselves are paid back from later tokens
 * for as long as they are in the window.
 */
export class AllowanceLedger {
  private readonly accounts = new Map<string, Account>();
  /** The part of each limit that this hub may give out, below 1 in a partition. */
  private share = 1;

  constructor(private readonly bound: WindowBound) {}

  /** Sets the part of each limit that this hub may give out. What was gained until now stays that of the part before. */
  setShare(share: number, nowMs: number): void {
    if (share === this.share) return;
    this.share = share;
    for (const {bucket, whole} of this.accounts.values()) {
      bucket.refill(nowMs, partOf(whole, share));
    }
  }

  /**
   * Admits a request if its account's bucket holds its tokens beside those
   * promised to others and those left to more urgent and smaller requests. A
   * rejected one is promised admission after the returned wait if its caller
   * would return by then and few others are promised.
   */
  charge(charge: Charge, nowMs: number): ChargeResult {
    const {tokens, fingerprint, isTaken, ageMs = 0} = charge;
    const {id = '', replaces = ''} = charge;
    const size = partOf(bucketSize(charge.limit, this.bound), this.share);
    const {bucket, promises, whole} = this.accountOf(charge, size, nowMs);
    if (replaces !== '') bucket.takeBack(replaces);
    const {known} = charge;
    if (known && known.ageMs <= KNOWN_LEVEL_TTL_MS) {
      bucket.takeOver(known.tokens, known.ageMs);
    }
    const promised = promises.get(fingerprint);
    const reserved = reservedTokens(promises, fingerprint);
    const isDue = promised !== undefined && promised.dueMs <= nowMs + EARLY_MS;
    // A promised request is served from the tokens that are reserved for all of them.
    const needed = isDue ? tokens : tokens + reserved + leftFor(charge, size);
    const fitsWhole = tokens <= whole.capacity;
    // A request larger than a part of the bucket overdraws it, and is paid back.
    const mayOverdraw =
      fitsWhole && this.share < 1 && bucket.tokens >= size.capacity;
    const isGrantable = !bucket.isTakenBack(id);
    const isHeld = bucket.tokens >= needed || mayOverdraw;
    if (isTaken || (isHeld && isGrantable)) {
      promises.delete(fingerprint);
      if (ageMs > 0) bucket.useEarlier(id, tokens, ageMs);
      else bucket.use(id, tokens);
      const tokensLeft = unreserved(bucket.tokens, reserved);
      return {isGranted: true, waitMs: 0, tokens: tokensLeft};
    }
    const level = unreserved(bucket.tokens, reserved);
    if (promised && !isDue) {
      return {isGranted: false, waitMs: promised.dueMs - nowMs, tokens: level};
    }
    const missing = Math.min(tokens, size.capacity) + reserved - bucket.tokens;
    const waitMs = fitsWhole
      ? Math.max(MIN_WAIT_MS, Math.ceil(missing / size.perMs))
      : Infinity;
    const isPromisable =
      reserved + tokens <= Math.max(tokens, size.perMs * PROMISED_SPAN_MS) &&
      waitMs <= charge.maxWaitMs &&
      isGrantable;
    if (!isPromisable) {
      return {
        isGranted: false,
        waitMs: waitMs + PROMISED_SPAN_MS,
        tokens: level,
      };
    }
    promises.set(fingerprint, {tokens, dueMs: nowMs + waitMs});
    return {isGranted: false, waitMs, tokens: level};
  }

  /** Returns the lowest level of all buckets; undefined without buckets. */
  lowestTokens(nowMs: number): number | undefined {
    if (this.accounts.size === 0) return undefined;
    const levels = [...this.accounts.values()].map(({bucket}) => {
      bucket.refill(nowMs);
      return bucket.tokens;
    });
    return Math.min(...levels);
  }

  /** Returns the tokens of a request of an older host that did not run; others replace its charge by one of no tokens. */
  refund(account: string, tokens: number): void {
    this.accounts.get(account)?.bucket.refund(tokens);
  }

  private accountOf(
    {account, limit}: Charge,
    size: usagebucket.BucketSize,
    nowMs: number,
  ): Account {
    const {initialTokens, windowMs} = this.bound;
    const whole = bucketSize(limit, this.bound);
    const known = this.accounts.get(account);
    if (!known) {
      const tokens = Math.min(whole.capacity, initialTokens) * this.share;
      const bucket = new usagebucket.UsageBucket(
        ...([size, windowMs, tokens, nowMs] as const),
      );
      const created = {bucket, promises: new Map<string, Promised>(), whole};
      this.accounts.set(account, created);
      return created;
    }
    known.whole = whole;
    known.bucket.refill(nowMs, size);
    for (const [fingerprint, {dueMs}] of known.promises) {
      if (dueMs + PROMISE_TTL_MS < nowMs) known.promises.delete(fingerprint);
    }
    return known;
  }
}

/** Returns the size of a bucket that holds a part of a limit. */
function partOf(
  {capacity, perMs}: usagebucket.BucketSize,
  part: number,
): usagebucket.BucketSize {
  return {capacity: capacity * part, perMs: perMs * part};
}

/** The tokens of a bucket that are not reserved. Promises are no debt: a hub that takes over a level knows none. */
function unreserved(tokens: number, reserved: number): number {
  return tokens < 0 ? tokens : Math.max(0, tokens - reserved);
}

/** The tokens that a request has to leave in the bucket. */
function leftFor(
  {tokens, tier}: Charge,
  {capacity}: usagebucket.BucketSize,
): number {
  const left = tokens * (tier - 1) * RESERVE_PER_TIER;
  return Math.min(left, capacity * MAX_RESERVE_FRACTION);
}

/** The tokens promised to requests other than `fingerprint`. */
function reservedTokens(
  promises: ReadonlyMap<string, Promised>,
  fingerprint: string,
): number {
  let sum = 0;
  for (const [key, {tokens}] of promises) {
    if (key !== fingerprint) sum += tokens;
  }
  return sum;
}
