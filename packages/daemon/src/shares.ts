// Host side of a version move: chooses versions by the leased canary share and collects samples. driver.ts holds the driver side.

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as dispatcher from './dispatcher.js';
import type * as routers from '@banyanhall/fleet/router.js';
import * as samples from './samples.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const FLUSH_INTERVAL_MS = 200;

/** Dependencies of `Shares`. */
export interface SharesOptions {
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
}

interface ShareState {
  readonly leased: decisions.move.LeasedShare;
  readonly driver: string;
  /** Evidence collected on this host; a regression in it stops the canary here without waiting for the driver. */
  evidence: decisions.evidence.Evidence;
  /** Samples not yet sent to the driver. */
  unsent: decisions.evidence.Sample[];
}

/** Holds the canary shares that version moves lease to this host, and sends samples back to their drivers. */
export class Shares implements samples.SampleSink {
  private readonly states = new Map<string, ShareState>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SharesOptions) {}

  /** Starts the timer that sends samples. */
  start(): void {
    this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Stops the timer that sends samples. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Picks the version for a request under this policy; the candidate of a move only while the share lease has not expired and the evidence shows no regression. */
  choose(policy: decisions.policy.RequestPolicy): string {
    const {service, profile} = policy;
    const state = this.states.get(service.name);
    const versions = state
      ? [service.version, state.leased.to]
      : [service.version];
    const allowed = decisions.policy.allowedVersions(profile, versions);
    if (!state || !allowed.includes(state.leased.to))
      return allowed[0] ?? service.version;
    const isFresh = this.options.clock.monotonicMs() < state.leased.untilMs;
    if (!isFresh || state.evidence.regression) return service.version;
    const isCandidate = this.options.random() < state.leased.share;
    return isCandidate ? state.leased.to : service.version;
  }

  /** Handles a share leased by the driver of a move; a stale fence is ignored. */
  onShare(_: string, body: peers.messages.MessageBodies['share']): void {
    const untilMs = this.options.clock.monotonicMs() + body.ttlMs;
    const {moveId, service, to, fence, share, driver} = body;
    const received = {moveId, service, to, fence, share, untilMs};
    const current = this.states.get(service);
    const leased = decisions.move.newerShare(current?.leased, received);
    if (leased !== received) return;
    const isSameMove = current?.leased.moveId === moveId;
    if (!isSameMove || current.leased.share !== share) {
      this.options.timeline.record('share', '', {service, to, share, fence});
    }
    this.states.set(service, {
      leased,
      driver,
      evidence: isSameMove
        ? current.evidence
        : decisions.evidence.Evidence.none,
      unsent: isSameMove ? current.unsent : [],
    });
  }

  /** Records an observation of a version. A failure is sent to the driver at once. */
  add(
    request: dispatcher.PreparedRequest,
    version: string,
    observation: samples.Observation,
  ): void {
    const state = this.states.get(request.policy.service.name);
    if (!state) return;
    const isCandidate = version === state.leased.to;
    const sample = samples.toSample(request, isCandidate, observation);
    const nowMs = this.options.clock.monotonicMs();
    state.evidence = state.evidence.add(sample, nowMs);
    state.unsent.push(sample);
    if (sample.isFailure) this.flush();
  }

  private flush(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [service, state] of this.states) {
      const {driver, leased, unsent} = state;
      const isExpired = nowMs > leased.untilMs + decisions.move.DRIVER_LEASE_MS;
      if (isExpired) this.states.delete(service);
      if (unsent.length === 0) continue;
      state.unsent = [];
      this.options.router.send(driver, {
        kind: 'evidence',
        body: {moveId: leased.moveId, samples: unsent, timings: []},
      });
    }
  }
}
