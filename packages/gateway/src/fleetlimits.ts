/*
 * Retry budgets of services over all hosts. Hosts report their totals to the
 * hub, which answers with the sums.
 */
import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import * as routing from '@banyanhall/routing';

/** The interval of usage reports to the hub; hosts can exceed a limit by what they admit within one interval. */
const REPORT_INTERVAL_MS = 300;
/** With more hosts than this, each sends only every second report, to reduce the load on the hub. */
const LARGE_FLEET_HOSTS = 16;
/** The key that selects the hub among the largest hosts by rendezvous hashing. */
const HUB_KEY = 'usage';
const FIRST_ATTEMPT_PREFIX = 'first/';
const RETRY_PREFIX = 'repeat/';
/** The fraction of the retry budget that may be used; the rest covers retries that hosts admit between two reports. */
const RETRY_BUDGET_FRACTION = 0.5;

/** The slack that is there from the start, if the deployment has as much. */
const MIN_SLACK = 2;

/** The limits over all hosts, from the deployment's settings. */
export interface FleetLimitSettings {
  /** Retries allowed per first attempt within `retryWindowMs`. */
  readonly retryRatio: number;
  /** Retries allowed within `retryWindowMs` in addition to the ratio. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** True if the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
}

/** Dependencies of `FleetLimits`. */
export interface FleetLimitsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly settings: FleetLimitSettings;
  /** All serving hosts, including this one. */
  readonly members: () => readonly decisions.membership.Member[];
  /** The part of the fleet's hosts that this one sees, above 0 and at most 1. */
  readonly part: () => number;
  /** Called at each report while there are no current sums from the hub. */
  readonly onUnanswered: (hub: string) => void;
  readonly send: (host: string, item: peers.messages.Message) => void;
}

/** Enforces retry budgets per service, over all hosts. */
export class FleetLimits {
  private readonly shared: routing.usage.SharedUsage;
  private readonly hub: routing.usage.Hub;
  private timer: NodeJS.Timeout | undefined;
  private reports = 0;

  constructor(private readonly options: FleetLimitsOptions) {
    const {host, settings, clock, random} = options;
    const {retryWindowMs} = settings;
    // Before the first start of the fleet nothing was used.
    const unknownMs = settings.isFirstStart ? 0 : retryWindowMs;
    const knownSinceMs = clock.monotonicMs() - retryWindowMs + unknownMs;
    this.shared = new routing.usage.SharedUsage(
      ...([retryWindowMs, knownSinceMs, random] as const),
    );
    const epoch = `${host}/${clock.nowMs()}`;
    this.hub = new routing.usage.Hub(epoch, retryWindowMs);
  }

  /** Starts reporting to the hub. */
  start(): void {
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Stops reporting. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Counts the first attempt of a request. */
  countFirstAttempt(service: string): void {
    this.shared.add(FIRST_ATTEMPT_PREFIX + service, 1, this.nowMs);
  }

  /** Takes a retry from the service's budget; false, without counting it, when the budget is used up. */
  tryCountRetry(service: string): boolean {
    if (!this.hasRetryLeft(service)) return false;
    this.shared.add(RETRY_PREFIX + service, 1, this.nowMs);
    return true;
  }

  /** True while the service's budget has room for a retry. */
  hasRetryLeft(service: string): boolean {
    const {settings, members, part} = this.options;
    const nowMs = this.nowMs;
    const firstAttempts = this.shared.sum(
      FIRST_ATTEMPT_PREFIX + service,
      nowMs,
    );
    // The first attempts are those of this side of a partition already.
    const wholeSlack = settings.retrySlack * part();
    const slack = Math.max(
      Math.min(MIN_SLACK, wholeSlack),
      wholeSlack * this.knownFraction,
    );
    const hard = settings.retryRatio * firstAttempts + slack;
    const limits = {soft: hard * RETRY_BUDGET_FRACTION, hard};
    const key = RETRY_PREFIX + service;
    return this.shared.fits(key, limits, members().length, nowMs);
  }

  /** As the hub: records a host's totals and answers with the sums over all hosts. */
  onUsage(from: string, usage: peers.messages.MessageBodies['usage']): void {
    const {nowMs} = this;
    this.hub.onUsage(from, usage, nowMs);
    const body = this.hub.sumsFor(from, nowMs);
    this.options.send(from, {kind: 'sums', body});
  }

  /** Handles the sums that the hub sent. */
  onSums(sums: peers.messages.MessageBodies['sums']): void {
    this.shared.onSums(sums, this.nowMs);
  }

  /** The fraction of the window of which the fleet knows what was used; below 1 after a start of all hosts. */
  private get knownFraction(): number {
    const knownMs = this.shared.knownMs(this.nowMs);
    return Math.min(1, knownMs / this.options.settings.retryWindowMs);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private report(): void {
    const {members, send, onUnanswered} = this.options;
    this.reports++;
    if (members().length > LARGE_FLEET_HOSTS && this.reports % 2 === 0) return;
    const hub = decisions.rendezvous.owner(
      HUB_KEY,
      decisions.celltopology.largestHosts(members()).map(member => member.host),
    );
    if (!hub) return;
    if (!this.shared.isHubCurrent(this.nowMs)) onUnanswered(hub);
    send(hub, {kind: 'usage', body: this.shared.report(this.nowMs)});
  }
}
