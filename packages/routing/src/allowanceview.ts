// What a host knows of the allowances that hubs keep, and what it admits while
// a hub does not answer. Pure: times are passed in.
import * as allowance from './allowance.js';

const MS_PER_S = 1000;

/** The fraction of a bucket that is left while its account is far from its limit. */
const FAR_FRACTION = 0.3;

/** How long a learned level is used to judge requests, in milliseconds. */
const LEARNED_TTL_MS = 3000;

/** The fraction of a hub's level that all hosts together may take by themselves. The rest covers what others used since the level was learned. */
const ALONE_FRACTION = 1;

/** The fraction of a request's tokens that a host's share has to hold; with the whole, shares of many hosts would hold no request. */
const HELD_FRACTION = 0.5;

interface LearnedLevel {
  readonly epoch: string;
  readonly tokens: number;
  readonly capacity: number;
  readonly atMs: number;
}

interface Taken {
  readonly atMs: number;
  readonly tokens: number;
}

/** A host's share of an account's tokens, times the number of hosts. */
interface OwnShare {
  tokens: number;
  atMs: number;
}

/** Whether a host admits a request by itself, and else the time after which it would. */
export interface AloneResult {
  readonly isGranted: boolean;
  readonly waitMs: number;
}

/**
 * What a host knows of the buckets that hubs keep: whether a charge is likely
 * to be granted, and whether a request is admitted when the hub is silent.
 */
export class AllowanceView {
  private readonly learned = new Map<string, LearnedLevel>();
  private readonly ownShares = new Map<string, OwnShare>();
  /** What this host took by itself in the last seconds. */
  private readonly taken = new Map<string, readonly Taken[]>();

  constructor(
    private readonly bound: allowance.WindowBound,
    private readonly startMs = 0,
  ) {}

  /** Records the level that came with a hub's answer to a charge, which was sent at `sentMs`. */
  onLevel(
    account: string,
    epoch: string,
    tokens: number,
    limit: allowance.Limit,
    nowMs: number,
    sentMs = nowMs,
  ): void {
    const {capacity} = allowance.bucketSize(limit, this.bound);
    this.learned.set(account, {epoch, tokens, capacity, atMs: nowMs});
    // What was taken since then is not in the level.
    const taken = this.taken.get(account)?.filter(each => each.atMs >= sentMs);
    this.taken.set(account, taken ?? []);
    const unknown = (taken ?? []).reduce((sum, each) => sum + each.tokens, 0);
    const share = Math.max(0, tokens) * ALONE_FRACTION - unknown;
    this.ownShares.set(account, {tokens: share, atMs: sentMs});
  }

  /** Returns the level as this host last learned it; undefined if it never did. */
  known(account: string, nowMs: number): allowance.KnownLevel | undefined {
    const level = this.learned.get(account);
    if (!level) return undefined;
    const {epoch, tokens, atMs} = level;
    return {epoch, tokens, ageMs: nowMs - atMs};
  }

  /** Returns true if the account was far from its limit a short time ago, so that its charge will be granted. */
  isFar(account: string, tokens: number, nowMs: number): boolean {
    const level = this.learned.get(account);
    if (!level || nowMs - level.atMs > LEARNED_TTL_MS) return false;
    return level.tokens - tokens >= level.capacity * FAR_FRACTION;
  }

  /**
   * Admits a request without the hub's answer from this host's equal share
   * among `hosts` of the last level and of the rate since then. The share may be
   * overdrawn by a part of one request.
   */
  takeAlone(
    account: string,
    tokens: number,
    limit: allowance.Limit,
    hosts: number,
    nowMs: number,
  ): AloneResult {
    const {capacity} = allowance.bucketSize(limit, this.bound);
    const most = capacity * ALONE_FRACTION;
    const perMs = limit.perS / MS_PER_S;
    const own = this.ownShares.get(account) ?? {tokens: 0, atMs: this.startMs};
    this.ownShares.set(account, own);
    own.tokens = Math.min(most, own.tokens + perMs * (nowMs - own.atMs));
    own.atMs = nowMs;
    const needed = Math.min(most, tokens * hosts * HELD_FRACTION);
    if (own.tokens < needed) {
      return {isGranted: false, waitMs: (needed - own.tokens) / perMs};
    }
    own.tokens -= tokens * hosts;
    const sinceMs = nowMs - LEARNED_TTL_MS;
    const taken = this.taken.get(account) ?? [];
    const recent = taken.filter(({atMs}) => atMs >= sinceMs);
    recent.push({atMs: nowMs, tokens: tokens * hosts});
    this.taken.set(account, recent);
    return {isGranted: true, waitMs: 0};
  }
}
