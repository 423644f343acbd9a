import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import * as routing from '@banyanhall/routing';

import * as requests from './request.js';

/** How often a host tells the hub what it used; hosts may overshoot by what they admit in that time. */
const REPORT_MS = 300;
/** In fleets above this size reports are sent every second time, to spare the hub. */
const LARGE_FLEET = 16;
/** Picks the hub by rendezvous. */
const HUB_NAME = 'usage';
const ACCOUNT_MARK = 'account/';
const FIRST_MARK = 'first/';
const REPEAT_MARK = 'repeat/';
/** The part of the repeats that is used; the rest covers what hosts admit between two reports. */
const REPEAT_MARGIN = 0.5;
/** The part of a stated tolerance that an account's use may enter; the rest covers the lag of reports. */
const TOLERANCE_MARGIN = 0.5;
/** The shortest and longest times after which a caller over its limit is asked to come back. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 4000;

/** Bounds on sums over all hosts, as the deployment states them. */
export interface FleetLimitSettings {
  /** Tokens over an account's limit that a window may hold. */
  readonly quotaToleranceTokens: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}

/** What `SharedBounds` needs from the rest of the host. */
export interface FleetLimitsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly settings: FleetLimitSettings;
  /** All hosts that serve, this one included. */
  readonly members: () => readonly decisions.membership.Member[];
  /** Told of a hub that leaves reports unanswered. */
  readonly onUnanswered: (hub: string) => void;
  readonly send: (host: string, item: peers.messages.Message) => void;
}

/** The sums that all hosts share: tokens by account, first sends and repeats by service. */
export class FleetLimits {
  private readonly shared: routing.usage.SharedUsage;
  private readonly hub: routing.usage.Hub;
  private timer: NodeJS.Timeout | undefined;
  private reports = 0;

  constructor(private readonly options: FleetLimitsOptions) {
    const {host, settings, clock} = options;
    this.shared = new routing.usage.SharedUsage(settings.retryWindowMs);
    this.hub = new routing.usage.Hub(`${host}/${clock.nowMs()}`);
  }

  /** Starts reporting to the hub. */
  start(): void {
    this.timer = setInterval(() => this.report(), REPORT_MS);
  }

  /** Stops reporting. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Charges a request to its account, or says when to come back. */
  chargeAccount(
    accepted: requests.AcceptedRequest,
  ): requests.Rejection | undefined {
    const {account, demand} = accepted;
    if (!account || account.tokensPerS === 0) return undefined;
    const {settings, members} = this.options;
    const {quotaToleranceTokens: allowanceToleranceTokens} = settings;
    const rate = {
      perS: account.tokensPerS,
      burst: account.burstTokens + allowanceToleranceTokens * TOLERANCE_MARGIN,
    };
    const tokens = requests.chargedTokens(account, demand);
    const key = ACCOUNT_MARK + account.name;
    if (this.shared.take(key, tokens, rate, members().length, this.nowMs)) {
      return undefined;
    }
    const waitMs = this.shared.waitMs(key, tokens, rate);
    const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    const detail = `${account.name} asks ${tokens} of ${rate.perS}/s, short for ${Math.round(waitMs)} ms, ${members().length} hosts`;
    return requests.rejection(429, 'account-limit', retryMs, detail);
  }

  /** Takes a charge back for a request that did not run. */
  refundAccount({account, demand}: requests.AcceptedRequest): void {
    if (!account || account.tokensPerS === 0) return;
    const tokens = requests.chargedTokens(account, demand);
    this.shared.refund(ACCOUNT_MARK + account.name, tokens);
  }

  /** Notes the first send of a request. */
  countFirstAttempt(service: string): void {
    this.shared.add(FIRST_MARK + service, 1, this.nowMs);
  }

  /** True when a request may be sent once more; the repeat is then counted. */
  tryCountRetry(service: string): boolean {
    const {settings, members} = this.options;
    const nowMs = this.nowMs;
    const firsts = this.shared.sum(FIRST_MARK + service, nowMs);
    const allowed = settings.retryRatio * firsts + settings.retrySlack;
    const limit = allowed * REPEAT_MARGIN;
    const key = REPEAT_MARK + service;
    if (!this.shared.fits(key, limit, members().length, nowMs)) return false;
    this.shared.add(key, 1, nowMs);
    return true;
  }

  /** Takes in, as the hub, what a host used, and tells it what all used. */
  onUsage(from: string, usage: peers.messages.MessageBodies['usage']): void {
    const totals = new Map(usage.entries.map(e => [e.key, e.amount]));
    this.hub.onTotals(from, totals);
    this.options.send(from, {kind: 'sums', body: this.hub.sumsFor(from)});
  }

  /** Takes in what the hub says. */
  onSums(sums: peers.messages.MessageBodies['sums']): void {
    this.shared.onSums(sums, this.nowMs);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private report(): void {
    const {members, send, onUnanswered} = this.options;
    this.reports++;
    if (members().length > LARGE_FLEET && this.reports % 2 === 0) return;
    const hub = decisions.rendezvous.owner(
      HUB_NAME,
      decisions.celltopology.largestHosts(members()).map(member => member.host),
    );
    const entries = [...this.shared.ownTotals].map(([key, amount]) => ({
      ...{key, amount},
    }));
    if (!hub) return;
    if (!this.shared.isHubCurrent(this.nowMs)) onUnanswered(hub);
    send(hub, {kind: 'usage', body: {entries}});
  }
}
