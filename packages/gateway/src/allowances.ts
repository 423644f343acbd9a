/*
 * Token allowances of accounts over all hosts. Each account has a hub, a host
 * that keeps its token bucket; every other host charges its requests there.
 */
import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import * as routing from '@banyanhall/routing';

import * as requests from './request.js';

/** The accounts are divided among this many hubs, each on one of the largest hosts. */
const HUBS = 4;
/** How long a host waits for the hub's answer; allows for a round trip between regions and a busy event loop. */
const ANSWER_TIMEOUT_MS = 150;
/** The fraction of the stated leeway that accounts may use; the rest covers requests that wait between their charge and their start, and changes of hub. */
const LEEWAY_FRACTION = 0.75;
/** The fraction of the stated tolerance that a hub gives out at once to an account of which it knows nothing. */
const INITIAL_FRACTION = 0.25;
/** The longest retry-after time given to an account over its limit, in milliseconds. */
const MAX_RETRY_AFTER_MS = 4000;
/** How long a late answer of a hub is awaited, in milliseconds. */
const LATE_ANSWER_TTL_MS = 5000;
/** A hub that sends nothing for this long is told of charges through another host, in milliseconds. Slow hubs answer in up to 400 ms. */
const SILENT_HUB_MS = 500;
/** How long ago a host may have charged at another hub that is told of grants, in milliseconds. Membership settles in less. */
const OTHER_HUB_TTL_MS = 30_000;
/** The most hosts that pass a charge on. */
const MAX_HOPS = 3;
/** Callers return after a rejection only within this fraction of the time they have left. */
const MAX_RETRY_FRACTION = 1 / 3;

/** The stated bound on an account's usage within a window, beyond its rate and burst. */
export interface QuotaSettings {
  readonly windowMs: number;
  /** A fraction of what rate and burst allow in a window. */
  readonly overshoot: number;
  readonly toleranceTokens: number;
}

/** Dependencies of `Allowances`. */
export interface AllowancesOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly quota: QuotaSettings;
  /** All serving hosts, including this one. */
  readonly members: () => readonly decisions.membership.Member[];
  /** The part of the fleet's hosts that this one sees, above 0 and at most 1. */
  readonly part: () => number;
  /** Called with a hub that did not answer a charge. */
  readonly onUnanswered: (hub: string) => void;
  readonly send: (host: string, item: peers.messages.Message) => void;
  /** Calls back once all that has arrived was read; at once by default. */
  readonly afterReads?: (callback: () => void) => void;
}

/** A charge that has been sent. `isLikely` is true if it will almost certainly be granted. */
export interface PendingCharge {
  readonly isLikely: boolean;
  /** Resolves to a rejection when the account is over its limit. */
  readonly result: Promise<requests.Rejection | undefined>;
}

type ChargeBody = peers.messages.MessageBodies['charge'];

/** A charge that is counted at a hub. */
interface PlacedCharge {
  readonly hub: string;
  readonly id: string;
  readonly accepted: requests.AcceptedRequest;
  readonly account: routing.configuration.Account;
}

/** A charge that was taken. */
interface SentTaken {
  readonly body: ChargeBody;
  readonly sentMs: number;
}

/** A charge that waits for the hub's answer. */
interface OpenCharge {
  readonly sentMs: number;
  readonly accepted: requests.AcceptedRequest;
  readonly account: routing.configuration.Account;
  readonly tokens: number;
  readonly hub: string;
  readonly timer: NodeJS.Timeout;
  /** How much longer to wait for a slow hub after the timer. */
  readonly nextWaitMs: number;
  readonly settle: (rejection: requests.Rejection | undefined) => void;
}

const GRANTED: PendingCharge = {
  isLikely: true,
  result: Promise.resolve(undefined),
};

/** Charges requests to their accounts, and keeps the buckets of the accounts for which this host is the hub. */
export class Allowances {
  private readonly ledger: routing.allowance.AllowanceLedger;
  private readonly view: routing.allowanceview.AllowanceView;
  /** By a number of this host, as callers may use the id of a request again. */
  private readonly open = new Map<string, OpenCharge>();
  /** Charges that were decided before the hub's answer, in the order of their time. */
  private readonly late = new Map<string, OpenCharge>();
  /** Where the charges of admitted requests are counted. */
  private readonly placed = new WeakMap<
    requests.AcceptedRequest,
    {readonly hub: string; readonly id: string}
  >();
  /** Hubs that take back a charge which another one replaces; older ones do not. */
  private readonly replacingHubs = new Set<string>();
  /** By hub, when the first charge was sent that it has not answered, nor a later one. */
  private readonly unansweredSinceMs = new Map<string, number>();
  /** By hub, the taken charges that it may not have got, with the time at which they were sent. */
  private readonly unconfirmed = new Map<string, SentTaken[]>();
  /** By account, the other hosts that were its hub lately, and when a host last told so. */
  private readonly otherHubs = new Map<string, Map<string, number>>();
  /** Not used again after a restart, as a hub remembers the charges of a window. */
  private lastCharge: number;
  private readonly epoch: string;

  constructor(private readonly options: AllowancesOptions) {
    const {host, clock, quota} = options;
    const {windowMs, overshoot, toleranceTokens} = quota;
    const bound = {
      windowMs,
      overshoot: overshoot * LEEWAY_FRACTION,
      toleranceTokens: toleranceTokens * LEEWAY_FRACTION,
      initialTokens: toleranceTokens * INITIAL_FRACTION,
    };
    this.epoch = `${host}/${clock.nowMs()}`;
    this.ledger = new routing.allowance.AllowanceLedger(bound);
    this.view = new routing.allowanceview.AllowanceView(bound, this.nowMs);
    this.lastCharge = Math.floor(clock.nowMs());
  }

  /** The lowest level among the accounts that this host is the hub of; undefined if it was none's. */
  get lowestTokens(): number | undefined {
    return this.ledger.lowestTokens(this.nowMs);
  }

  /** Charges a request's tokens to its account. */
  charge(accepted: requests.AcceptedRequest): PendingCharge {
    const {account, demand, deadlineMs} = accepted;
    if (!account || account.tokensPerS === 0) return GRANTED;
    const tokens = requests.chargedTokens(account, demand);
    const {nowMs} = this;
    const isLikely = this.view.isFar(account.name, tokens, nowMs);
    const leftMs = Math.max(0, deadlineMs - nowMs);
    const maxWaitMs = Math.min(leftMs * MAX_RETRY_FRACTION, MAX_RETRY_AFTER_MS);
    const hub = this.hubOf(account.name);
    const id = this.nextId();
    const result = new Promise<requests.Rejection | undefined>(settle => {
      const waitMs = Math.min(SILENT_HUB_MS, leftMs);
      const timer = this.startTimer(id, waitMs);
      const sent = {accepted, account, tokens, hub, timer, sentMs: nowMs};
      const nextWaitMs = waitMs - ANSWER_TIMEOUT_MS;
      this.open.set(id, {...sent, nextWaitMs, settle});
    });
    if (!this.unansweredSinceMs.has(hub)) {
      this.unansweredSinceMs.set(hub, nowMs);
    }
    const body = this.chargeOf(id, accepted, account, tokens);
    this.options.send(hub, {
      kind: 'charge',
      body: {...body, maxWaitMs: Math.round(maxWaitMs)},
    });
    return {isLikely, result};
  }

  /** Refunds the charge of a request that did not run. */
  refund(accepted: requests.AcceptedRequest): void {
    const charge = this.placed.get(accepted);
    const {account} = accepted;
    if (!account || !charge) return;
    this.placed.delete(accepted);
    this.takeBack({...charge, accepted, account});
  }

  /** Takes a charge back that is counted at a hub. Older hubs are only told its tokens. */
  private takeBack({hub, id, accepted, account}: PlacedCharge): void {
    if (this.replacingHubs.has(hub)) {
      const body = this.chargeOf(this.nextId(), accepted, account, 0);
      return this.sendTaken(hub, {...body, replaces: id});
    }
    const tokens = requests.chargedTokens(account, accepted.demand);
    const body = {account: account.name, tokens};
    this.options.send(hub, {kind: 'refund', body});
  }

  /** As the hub: decides a charge and answers it. */
  onCharge(from: string, body: peers.messages.MessageBodies['charge']): void {
    if (!isValid(body)) return;
    const {requestId, isTaken, hops, account, tokens} = body;
    const hub = this.hubOf(account);
    if (isTaken && hops < MAX_HOPS && hub !== this.options.host) {
      const to = this.reachable(hub, account, from);
      this.forward(to, from, body, hops + 1);
      return;
    }
    const {requestId: id, replaces} = idsOf(from, body);
    const known = this.knownFrom(body);
    const charge = {
      ...{account, tokens, isTaken, known, ageMs: body.ageMs},
      limit: {perS: body.perS, burst: body.burst},
      ...{fingerprint: body.fingerprint, maxWaitMs: body.maxWaitMs},
      tier: Math.max(1, body.tier),
      ...{id, replaces},
    };
    this.ledger.setShare(this.options.part(), this.nowMs);
    const result = this.ledger.charge(charge, this.nowMs);
    const {isGranted} = result;
    if (isGranted && hops === 0) this.tellOtherHubs(from, body);
    if (isTaken) return;
    const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.ceil(result.waitMs));
    const {epoch} = this;
    this.options.send(from, {
      kind: 'charged',
      body: {
        ...{requestId, isGranted, waitMs, epoch, tokens: result.tokens},
        canReplace: true,
      },
    });
  }

  /** As the hub: returns tokens to an account. */
  onRefund(_: string, body: peers.messages.MessageBodies['refund']): void {
    if (body.tokens >= 0) this.ledger.refund(body.account, body.tokens);
  }

  /** Handles the hub's answer to a charge. */
  onCharged(from: string, body: peers.messages.MessageBodies['charged']): void {
    const wasSilent = this.isSilent(from);
    this.unansweredSinceMs.delete(from);
    if (body.canReplace) this.replacingHubs.add(from);
    else this.replacingHubs.delete(from);
    if (wasSilent && body.canReplace) this.reportAgain(from);
    this.unconfirmed.delete(from);
    const {requestId, epoch, tokens, isGranted} = body;
    const open = this.open.get(requestId);
    const charge = open ?? this.late.get(requestId);
    if (!charge) return;
    const {account, accepted, sentMs} = charge;
    const limit = limitOf(account);
    this.view.onLevel(
      ...([account.name, epoch, tokens, limit, this.nowMs, sentMs] as const),
    );
    if (open) {
      this.close(requestId, open);
      if (isGranted) this.placed.set(accepted, {hub: from, id: requestId});
      open.settle(isGranted ? undefined : rejectionOf(open, body.waitMs));
      return;
    }
    this.late.delete(requestId);
    if (!isGranted || body.canReplace) return;
    this.takeBack({hub: from, id: requestId, accepted, account});
  }

  /** Applies a change of the part of the fleet's hosts that this one sees. */
  onPart(): void {
    this.ledger.setShare(this.options.part(), this.nowMs);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Returns the hub of an account. */
  private hubOf(account: string): string {
    return this.hubAmong(account, this.options.members());
  }

  private hubAmong(
    account: string,
    members: readonly decisions.membership.Member[],
  ): string {
    const index = decisions.rendezvous.hash32(account) % HUBS;
    const {host} = this.options;
    return decisions.celltopology.largeHostFor(`hub/${index}`, members, host);
  }

  private nextId(): string {
    return String(++this.lastCharge);
  }

  private close(id: string, {timer}: OpenCharge): void {
    clearTimeout(timer);
    this.open.delete(id);
  }

  /**
   * Decides a charge that the hub did not answer, and tells the hub what was
   * taken in its place. A request that this host can't admit by itself waits on
   * for a hub that is only slow.
   */
  private onTimeout(id: string): void {
    const charge = this.open.get(id);
    if (!charge) return;
    const {accepted, account, tokens, hub, settle} = charge;
    this.options.onUnanswered(hub);
    const limit = limitOf(account);
    const {members, part} = this.options;
    const hosts = Math.max(1, members().length / part());
    const {isGranted, waitMs} = this.view.takeAlone(
      ...([account.name, tokens, limit, hosts, this.nowMs] as const),
    );
    const {nextWaitMs} = charge;
    if (!isGranted && !this.isSilent(hub) && nextWaitMs > 0) {
      const timer = this.startTimer(id, nextWaitMs);
      const thenMs = nextWaitMs - ANSWER_TIMEOUT_MS;
      this.open.set(id, {...charge, timer, nextWaitMs: thenMs});
      return;
    }
    this.close(id, charge);
    this.awaitLate(id, charge);
    const currentHub = this.hubOf(account.name);
    const isSame = isGranted && hub === currentHub;
    if (!isSame) {
      const body = this.chargeOf(this.nextId(), accepted, account, 0);
      this.sendTaken(hub, {...body, replaces: id});
    }
    if (!isGranted) return settle(rejectionOf(charge, waitMs));
    const takenId = this.nextId();
    const body = this.chargeOf(takenId, accepted, account, tokens);
    this.sendTaken(currentHub, {...body, replaces: isSame ? id : ''});
    this.placed.set(accepted, {hub: currentHub, id: takenId});
    settle(undefined);
  }

  /** Starts the timer for the next decision without the hub's answer. */
  private startTimer(id: string, leftMs: number): NodeJS.Timeout {
    const waitMs = Math.min(ANSWER_TIMEOUT_MS, leftMs);
    const {afterReads = callback => callback()} = this.options;
    return setTimeout(() => afterReads(() => this.onTimeout(id)), waitMs);
  }

  /** Keeps a decided charge until its answer comes. */
  private awaitLate(id: string, charge: OpenCharge): void {
    const sinceMs = this.nowMs - LATE_ANSWER_TTL_MS;
    for (const [key, {sentMs}] of this.late) {
      if (sentMs >= sinceMs) break;
      this.late.delete(key);
    }
    this.late.set(id, charge);
  }

  /** Reports a charge that was taken to the hub. */
  private sendTaken(hub: string, body: ChargeBody): void {
    const taken = {...body, isTaken: true};
    const sinceMs = this.nowMs - this.options.quota.windowMs;
    const sent = this.unconfirmed.get(hub) ?? [];
    while (sent.length > 0 && sent[0].sentMs < sinceMs) sent.shift();
    sent.push({body: taken, sentMs: this.nowMs});
    this.unconfirmed.set(hub, sent);
    const to = this.reachable(hub, body.account);
    this.options.send(to, {kind: 'charge', body: taken});
  }

  /** Reports what was taken to a hub that was silent and may not have got it. */
  private reportAgain(hub: string): void {
    for (const {body, sentMs} of this.unconfirmed.get(hub) ?? []) {
      const ageMs = Math.ceil(this.nowMs - sentMs);
      if (ageMs >= this.options.quota.windowMs) continue;
      const again = {...body, ageMs, knownEpoch: ''};
      this.options.send(hub, {kind: 'charge', body: again});
    }
  }

  /** True if the hub has left charges of this host unanswered for a while. */
  private isSilent(hub: string): boolean {
    const sinceMs = this.unansweredSinceMs.get(hub) ?? Infinity;
    return this.nowMs - sinceMs > SILENT_HUB_MS;
  }

  /** Returns the hub, or the host that is next in its place if the hub is silent. */
  private reachable(hub: string, account: string, from = ''): string {
    if (!this.isSilent(hub)) return hub;
    const passed = [hub, this.options.host, from];
    const members = this.options.members();
    const others = members.filter(({host}) => !passed.includes(host));
    return others.length > 0 ? this.hubAmong(account, others) : hub;
  }

  /** Passes a charge on to another host, which only records it. */
  private forward(
    to: string,
    from: string,
    body: ChargeBody,
    hops: number,
  ): void {
    const ids = idsOf(from, body);
    const passed = {...body, ...ids, hops, isTaken: true, knownEpoch: ''};
    this.options.send(to, {kind: 'charge', body: passed});
  }

  /** What the charging host knows from another hub, which is remembered. */
  private knownFrom(
    body: ChargeBody,
  ): routing.allowance.KnownLevel | undefined {
    const {knownEpoch: epoch, knownTokens: tokens, knownAgeMs: ageMs} = body;
    if (epoch === '' || epoch === this.epoch) return undefined;
    const hub = epoch.slice(0, epoch.lastIndexOf('/'));
    const others = this.otherHubs.get(body.account) ?? new Map();
    this.otherHubs.set(body.account, others);
    if (hub !== this.options.host && ageMs <= OTHER_HUB_TTL_MS) {
      others.set(hub, this.nowMs);
    }
    return {epoch, tokens, ageMs};
  }

  /** Tells the other hosts that were the account's hub lately what was granted here, as hosts may still charge there. */
  private tellOtherHubs(from: string, body: ChargeBody): void {
    const others = this.otherHubs.get(body.account);
    for (const [hub, atMs] of others ?? []) {
      if (this.nowMs - atMs > this.options.quota.windowMs) {
        others?.delete(hub);
        continue;
      }
      const to = this.reachable(hub, body.account);
      // The other hub records it; a host that is passed on the way does not.
      this.forward(to, from, body, to === hub ? MAX_HOPS : 1);
    }
  }

  /** The charge of a request; by default one that the hub decides. */
  private chargeOf(
    requestId: string,
    accepted: requests.AcceptedRequest,
    account: routing.configuration.Account,
    tokens: number,
  ): ChargeBody {
    const {perS, burst} = limitOf(account);
    const known = this.view.known(account.name, this.nowMs);
    return {
      ...{requestId, account: account.name, tokens, perS, burst},
      ...{isTaken: false, replaces: '', hops: 0, ageMs: 0, maxWaitMs: 0},
      fingerprint: accepted.fingerprint,
      tier: accepted.tier,
      knownEpoch: known?.epoch ?? '',
      knownTokens: known?.tokens ?? 0,
      knownAgeMs: Math.round(known?.ageMs ?? 0),
    };
  }
}

/** Names a charge and the one that it replaces among those of all hosts. */
function idsOf(from: string, {requestId, replaces, hops}: ChargeBody) {
  return hops > 0
    ? {requestId, replaces}
    : {requestId: idAt(from, requestId), replaces: idAt(from, replaces)};
}

/** Names a charge of a host; empty for none. */
function idAt(host: string, requestId: string): string {
  return requestId === '' ? '' : `${host}/${requestId}`;
}

/** Returns true if the numbers of a charge make sense. */
function isValid({
  tokens,
  perS,
  burst,
  knownTokens,
}: peers.messages.MessageBodies['charge']): boolean {
  const amounts = [tokens, perS, burst];
  return amounts.every(n => n >= 0) && Number.isFinite(knownTokens);
}

function limitOf({
  tokensPerS,
  burstTokens,
}: routing.configuration.Account): routing.allowance.Limit {
  return {perS: tokensPerS, burst: burstTokens};
}

function rejectionOf(
  {account, tokens}: OpenCharge,
  waitMs: number,
): requests.Rejection {
  const {MIN_WAIT_MS} = routing.allowance;
  const atLeastMs = Math.max(MIN_WAIT_MS, Math.ceil(waitMs));
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, atLeastMs);
  const {name, tokensPerS} = account;
  const detail = `account ${name}: request of ${tokens} tokens exceeds ${tokensPerS}/s, available in ${retryAfterMs} ms`;
  return requests.rejection(429, 'account-limit', retryAfterMs, detail);
}
