import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as dispatcher from './dispatcher.js';
import type * as routers from '@banyanhall/fleet/router.js';
import * as samples from './samples.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const FLUSH_MS = 200;

/** What `Shares` needs from the rest of the host. */
export interface SharesOptions {
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
}

interface HeldShare {
  readonly leased: decisions.move.LeasedShare;
  readonly driver: string;
  /** What this host saw itself; it stops at once when that is bad. */
  evidence: decisions.evidence.Evidence;
  unsent: decisions.evidence.Sample[];
}

/** The shares of traffic that moves have leased to this host, and the samples that go back to their drivers. */
export class Shares implements samples.Samples {
  private readonly held = new Map<string, HeldShare>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SharesOptions) {}

  /** Starts sending samples. */
  start(): void {
    this.timer = setInterval(() => this.flush(), FLUSH_MS);
  }

  /** Stops sending samples. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The version for a request under these terms: the candidate only while a share is fresh. */
  choose(terms: decisions.policy.RequestPolicy): string {
    const {service, profile} = terms;
    const held = this.held.get(service.name);
    const versions = held
      ? [service.version, held.leased.to]
      : [service.version];
    const allowed = decisions.policy.allowedVersions(profile, versions);
    if (!held || !allowed.includes(held.leased.to))
      return allowed[0] ?? service.version;
    const isFresh = this.options.clock.monotonicMs() < held.leased.untilMs;
    if (!isFresh || held.evidence.regression) return service.version;
    const isCandidate = this.options.random() < held.leased.share;
    return isCandidate ? held.leased.to : service.version;
  }

  /** Takes in a share from the driver of a move. */
  onShare(_: string, body: peers.messages.MessageBodies['share']): void {
    const untilMs = this.options.clock.monotonicMs() + body.ttlMs;
    const {moveId, service, to, fence, share, driver} = body;
    const fresh = {moveId, service, to, fence, share, untilMs};
    const known = this.held.get(service);
    const leased = decisions.move.newerShare(known?.leased, fresh);
    if (leased !== fresh) return;
    const isSameMove = known?.leased.moveId === moveId;
    if (!isSameMove || known.leased.share !== share) {
      this.options.timeline.record('share', '', {service, to, share, fence});
    }
    this.held.set(service, {
      leased,
      driver,
      evidence: isSameMove ? known.evidence : decisions.evidence.Evidence.none,
      unsent: isSameMove ? known.unsent : [],
    });
  }

  /** Takes in what a request showed of a version. */
  add(
    request: dispatcher.Prepared,
    version: string,
    shown: samples.Shown,
  ): void {
    const held = this.held.get(request.terms.service.name);
    if (!held) return;
    const isCandidate = version === held.leased.to;
    const sample = samples.sampleOf(request, isCandidate, shown);
    const nowMs = this.options.clock.monotonicMs();
    held.evidence = held.evidence.add(sample, nowMs);
    held.unsent.push(sample);
    if (sample.isFailure) this.flush();
  }

  private flush(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [service, held] of this.held) {
      const {driver, leased, unsent} = held;
      const isOld = nowMs > leased.untilMs + decisions.move.DRIVER_LEASE_MS;
      if (isOld) this.held.delete(service);
      if (unsent.length === 0) continue;
      held.unsent = [];
      this.options.router.send(driver, {
        kind: 'evidence',
        body: {moveId: leased.moveId, samples: unsent},
      });
    }
  }
}
