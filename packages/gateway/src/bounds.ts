import type * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import * as routing from '@banyanhall/routing';

import * as requests from './request.js';

const REPORT_MS = 400;
const ACCOUNT_MARK = 'account/';
const FIRST_MARK = 'first/';
const REPEAT_MARK = 'repeat/';
/** The part of the repeats that is used; the rest covers what hosts admit between two reports. */
const REPEAT_MARGIN = 0.5;
/** The part of a stated tolerance that an account's use may enter; the rest covers the lag of reports. */
const TOLERANCE_MARGIN = 0.5;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 4000;

/** Bounds on sums over all hosts, as the deployment states them. */
export interface BoundSettings {
  /** Tokens over an account's limit that a window may hold. */
  readonly allowanceToleranceTokens: number;
  readonly repeatShare: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
}

/** What `SharedBounds` needs from the rest of the host. */
export interface BoundsOptions {
  readonly clock: decisions.clock.Clock;
  readonly settings: BoundSettings;
  readonly otherHosts: () => readonly string[];
  readonly send: (host: string, item: peers.messages.Item) => void;
}

/** The sums that all hosts share: tokens by account, first sends and repeats by service. */
export class SharedBounds {
  private readonly tokens = new routing.usage.SharedBuckets();
  private readonly sends: routing.usage.SharedUsage;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: BoundsOptions) {
    const {settings, clock} = options;
    const nowMs = clock.monotonicMs();
    this.sends = new routing.usage.SharedUsage(settings.repeatWindowMs, nowMs);
  }

  /** Starts reporting to the other hosts. */
  start(): void {
    this.timer = setInterval(() => this.report(), REPORT_MS);
  }

  /** Stops reporting. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Charges a request to its account, or says when to come back. */
  charge(accepted: requests.Accepted): requests.Refusal | undefined {
    const {account, demand} = accepted;
    if (!account || account.tokensPerS === 0) return undefined;
    const {settings, otherHosts} = this.options;
    const {allowanceToleranceTokens} = settings;
    const rate = {
      perS: account.tokensPerS,
      burst: account.burstTokens + allowanceToleranceTokens * TOLERANCE_MARGIN,
    };
    const tokens = requests.chargedTokens(account, demand);
    const key = ACCOUNT_MARK + account.name;
    if (this.tokens.take(key, tokens, rate, otherHosts(), this.nowMs)) {
      return undefined;
    }
    const waitMs = this.tokens.waitMs(key, tokens, rate);
    const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    const detail = `${account.name} asks ${tokens} of ${rate.perS}/s, short for ${Math.round(waitMs)} ms, ${otherHosts().length} other hosts`;
    return requests.refusal(429, 'account-limit', retryMs, detail);
  }

  /** Takes a charge back for a request that did not run. */
  refund({account, demand}: requests.Accepted): void {
    if (!account || account.tokensPerS === 0) return;
    const tokens = requests.chargedTokens(account, demand);
    this.tokens.giveBack(ACCOUNT_MARK + account.name, tokens);
  }

  /** Notes the first send of a request. */
  firstSend(service: string): void {
    this.sends.use(FIRST_MARK + service, 1, this.nowMs);
  }

  /** True when a request may be sent once more; the repeat is then counted. */
  mayRepeat(service: string): boolean {
    const {settings, otherHosts} = this.options;
    const hosts = otherHosts();
    const nowMs = this.nowMs;
    const firsts = this.sends.used(FIRST_MARK + service, 0, hosts, nowMs);
    const allowed = settings.repeatShare * firsts + settings.repeatSlack;
    const limit = allowed * REPEAT_MARGIN;
    const key = REPEAT_MARK + service;
    if (!this.sends.fits(key, 1, limit, hosts, nowMs)) return false;
    this.sends.use(key, 1, nowMs);
    return true;
  }

  /** Takes in what another host used. */
  onUsage(host: string, usage: peers.messages.Messages['usage']): void {
    const atMs = this.nowMs;
    const amounts = new Map(usage.entries.map(e => [e.key, e.amount]));
    const report = {host, atMs, amounts};
    this.tokens.onReport(report);
    this.sends.onReport(report);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private report(): void {
    const nowMs = this.nowMs;
    const entries = [...this.tokens.ownTotals, ...this.sends.report(nowMs)].map(
      ([key, amount]) => ({key, amount}),
    );
    for (const host of this.options.otherHosts()) {
      this.options.send(host, {kind: 'usage', body: {entries}});
    }
  }
}
