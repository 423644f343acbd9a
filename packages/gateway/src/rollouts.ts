/*
 * Moves services to the versions that operators order: raises the candidate's
 * share of traffic in steps while it is proven to be no slower, and rolls back
 * when its samples show a regression or the proof is missing in the end.
 */
import * as decisions from '@banyanhall/decisions';
import type * as routers from '@banyanhall/fleet/router.js';
import type * as peers from '@banyanhall/peers';

import type * as directories from './directory.js';
import type * as logs from './logs.js';

const DRIVE_INTERVAL_MS = 250;
const FLUSH_INTERVAL_MS = 200;

/** The state of a rollout, as reported to operators; the last two are final, `reverted` is one that was rolled back. */
export type RolloutState = 'in-progress' | 'completed' | 'reverted';

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly to: string;
  readonly durationMs: number;
  /** Where the order is in the store; later with every order of the service. */
  readonly position: decisions.storeposition.StorePosition;
}

/** One step of a rollout: the candidate's share of traffic from a fraction of the rollout's duration on. */
interface Step {
  readonly fromFraction: number;
  readonly share: number;
}

/** The first share stays below a tenth of the traffic, the limit for an unproven version; the last step drains the old version before it is stopped. */
const STEPS: readonly Step[] = [
  {fromFraction: 0, share: 0.08},
  {fromFraction: 0.55, share: 0.35},
  {fromFraction: 0.68, share: 1},
];
/** The fraction of the duration after which the rollout is completed or rolled back. */
const DECISION_FRACTION = 0.86;
/** The number of candidate samples required, besides the proof that it is no slower, before its share is raised and before the rollout is completed. */
const MIN_SAMPLES = 6;
/** The most orders kept of a service that a later one has replaced. */
const MAX_REPLACED_ORDERS = 8;
/** How long the final state is sent to the other hosts after the decision. */
const ANNOUNCE_MS = 20_000;

/** Dependencies of `Rollouts`. */
export interface RolloutsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly router: routers.Router;
  readonly directory: directories.Directory;
  readonly log: logs.Log;
  readonly servingHosts: () => readonly string[];
  /** Writes a rollout's state to the store for operators; resolves to false when the write failed. */
  readonly publishState: (
    order: RolloutOrder,
    state: RolloutState,
  ) => Promise<boolean>;
  /** Called when a state has been written again that the store had lost. */
  readonly onRewritten?: (key: string) => void;
}

interface Rollout {
  /** The order; its position changes when it is written again after a restore of the store. */
  order: RolloutOrder;
  /** The ids of the rollout in messages, one for each position of its order. */
  readonly ids: Set<string>;
  /** Earlier orders of the service, the oldest first. */
  readonly replaced: readonly RolloutOrder[];
  readonly startedMs: number;
  state: RolloutState;
  /** When the state became final on this host; 0 before that. */
  decidedMs: number;
  evidence: decisions.evidence.Evidence;
  comparison: decisions.versioncomparison.VersionComparison;
  /** The candidate's share of traffic, from 0 to 1, valid until `shareUntilMs`. */
  share: number;
  shareUntilMs: number;
  /** The last state written to the store; undefined when the store may have lost it. */
  published: RolloutState | undefined;
  /** True from a restore of the store until the state is written again. */
  isForgotten: boolean;
  isPublishing: boolean;
  /** Samples and times that have not been sent to the driver. */
  unsent: decisions.evidence.Sample[];
  unsentTimings: decisions.versioncomparison.Timing[];
}

/**
 * This host's part in the rollouts. One serving host, the driver, selected per
 * service by rendezvous hashing, collects the samples of all hosts, sets the
 * candidate's share, and completes the rollout or rolls it back. The other
 * hosts apply that share until it expires.
 */
export class Rollouts {
  private readonly rollouts = new Map<string, Rollout>();
  private readonly timers: NodeJS.Timeout[] = [];
  /** How often the store has come back from an older copy. */
  private restores = 0;

  constructor(private readonly options: RolloutsOptions) {}

  /** Starts driving rollouts and sending samples. */
  start(): void {
    this.timers.push(
      setInterval(() => this.drive(), DRIVE_INTERVAL_MS),
      setInterval(() => this.flush(), FLUSH_INTERVAL_MS),
    );
  }

  /** Stops; another host becomes the driver once this one is not among the serving hosts. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /**
   * Starts a rollout. An order whose position is not later than the known one
   * is ignored, and after a restore of the store so is a row of its copy with
   * an order that a later one had replaced. The known order, seen in a later
   * era for the first time, goes on as the same rollout. Returns true if a
   * rollout was started.
   */
  onOrder(order: RolloutOrder): boolean {
    const known = this.rollouts.get(order.service);
    if (known) {
      if (!order.position.isAfter(known.order.position)) return false;
      const isRestored = known.order.position.isOfEarlierEraThan(
        order.position,
      );
      if (isRestored && isSameOrder(known.order, order)) {
        known.order = order;
        known.ids.add(rolloutIdOf(order));
        return false;
      }
      const isCopy = known.replaced.some(
        old =>
          isSameOrder(old, order) && order.position.mayBeCopyOf(old.position),
      );
      if (isRestored && isCopy) return false;
    }
    this.rollouts.set(order.service, {
      order,
      ids: new Set([rolloutIdOf(order)]),
      replaced: known
        ? [...known.replaced, known.order].slice(-MAX_REPLACED_ORDERS)
        : [],
      isForgotten: false,
      startedMs: this.nowMs,
      state: 'in-progress',
      decidedMs: 0,
      evidence: decisions.evidence.Evidence.none,
      comparison: decisions.versioncomparison.VersionComparison.none,
      share: 0,
      shareUntilMs: 0,
      published: undefined,
      isPublishing: false,
      unsent: [],
      unsentTimings: [],
    });
    this.logState(order, 'in-progress', 'ordered');
    this.updateCandidates();
    return true;
  }

  /** Writes the states of all rollouts again, since the store came back from an older copy. */
  onStoreRestored(): void {
    this.restores++;
    for (const rollout of this.rollouts.values()) {
      rollout.published = undefined;
      rollout.isForgotten = true;
    }
  }

  /** Applies a state read from the store; only a final state has an effect. */
  onRecordedState(service: string, to: string, state: RolloutState): void {
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.order.to !== to || state === 'in-progress') return;
    if (rollout.state !== 'in-progress') return;
    rollout.published = state;
    this.decide(rollout, state, 'on record');
  }

  /** True when the next attempt of a request to the service goes to the candidate; random in proportion to its share. */
  usesCandidate(service: string): boolean {
    const rollout = this.rollouts.get(service);
    if (!rollout || !this.options.directory.hasBaseAndCandidate(service))
      return false;
    if (rollout.state === 'completed') return true;
    if (rollout.state === 'reverted' || rollout.evidence.regression)
      return false;
    if (this.nowMs >= rollout.shareUntilMs) return false;
    return this.options.random() < rollout.share;
  }

  /** Adds the sample of an attempt on either version. */
  addSample(service: string, sample: decisions.evidence.Sample): void {
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.state !== 'in-progress') return;
    rollout.evidence = rollout.evidence.add(sample, this.nowMs);
    rollout.unsent.push(sample);
    if (sample.isCandidate && sample.isFailure) this.flush();
  }

  /** Adds times of a request on either version, as soon as they are known. */
  addTiming(service: string, timing: decisions.versioncomparison.Timing): void {
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.state !== 'in-progress') return;
    rollout.comparison = rollout.comparison.add(timing, this.nowMs);
    rollout.unsentTimings.push(timing);
  }

  /** Adds samples and times from another host. */
  onEvidence(body: peers.messages.MessageBodies['evidence']): void {
    const rollout = [...this.rollouts.values()].find(({ids}) =>
      ids.has(body.moveId),
    );
    if (!rollout) return;
    for (const sample of body.samples) {
      rollout.evidence = rollout.evidence.add(sample, this.nowMs);
    }
    for (const timing of body.timings) {
      rollout.comparison = rollout.comparison.add(timing, this.nowMs);
    }
  }

  /** Applies a share, or a final state, sent by the driver. */
  onShare(body: peers.messages.MessageBodies['share']): void {
    const rollout = this.rollouts.get(body.service);
    if (!rollout?.ids.has(body.moveId)) return;
    const finalState = FINAL_BY_FENCE.get(body.fence);
    if (finalState)
      return this.decide(rollout, finalState, `told by ${body.driver}`);
    rollout.share = body.share;
    rollout.shareUntilMs = this.nowMs + body.ttlMs;
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Advances the rollouts that this host drives; called on a timer. */
  drive(): void {
    for (const rollout of this.rollouts.values()) {
      const driver = decisions.rendezvous.owner(
        rollout.order.service,
        this.options.servingHosts(),
      );
      if (driver !== this.options.host) continue;
      if (rollout.state === 'in-progress') this.advance(rollout);
      const sinceMs = this.nowMs - rollout.decidedMs;
      const isAnnounced = rollout.decidedMs > 0 && sinceMs > ANNOUNCE_MS;
      if (!isAnnounced) this.sendShares(rollout);
      void this.publish(rollout);
    }
  }

  private advance(rollout: Rollout): void {
    const {order, evidence, startedMs} = rollout;
    const fraction = (this.nowMs - startedMs) / order.durationMs;
    if (evidence.regression) {
      const {metric: metricName, route} = evidence.regression;
      return this.decide(rollout, 'reverted', `bad: ${metricName} on ${route}`);
    }
    const finding = rollout.comparison.find(this.nowMs);
    const figures = decisions.versioncomparison.describe(finding.excess);
    if (finding.kind === 'worse') {
      return this.decide(rollout, 'reverted', `bad: ${figures}`);
    }
    const step = STEPS.filter(
      ({fromFraction}) => fraction >= fromFraction,
    ).pop();
    const isProven =
      evidence.stepSamples >= MIN_SAMPLES && finding.kind === 'proven';
    const share = isProven ? (step?.share ?? 0) : STEPS[0].share;
    if (share !== rollout.share) {
      this.logState(order, 'in-progress', `share ${share}: ${figures}`);
    }
    rollout.share = share;
    rollout.shareUntilMs = this.nowMs + decisions.move.SHARE_TTL_MS;
    if (fraction < DECISION_FRACTION) return;
    if (isProven) this.decide(rollout, 'completed', `proved: ${figures}`);
    else this.decide(rollout, 'reverted', `not proved in time: ${figures}`);
  }

  private decide(rollout: Rollout, state: RolloutState, reason: string): void {
    if (rollout.state !== 'in-progress') return;
    rollout.state = state;
    rollout.decidedMs = this.nowMs;
    this.logState(rollout.order, state, reason);
    this.updateCandidates();
  }

  private async publish(rollout: Rollout): Promise<void> {
    if (rollout.isPublishing || rollout.published === rollout.state) return;
    rollout.isPublishing = true;
    const {restores} = this;
    const {state, order} = rollout;
    const isWritten = await this.options.publishState(order, state);
    rollout.isPublishing = false;
    // A write that a restore overtook may be lost.
    if (!isWritten || restores !== this.restores) return;
    rollout.published = state;
    if (!rollout.isForgotten) return;
    rollout.isForgotten = false;
    this.options.onRewritten?.(order.service);
  }

  private sendShares(rollout: Rollout): void {
    const {host, router, servingHosts} = this.options;
    const {order, share, state} = rollout;
    const body = {
      moveId: rolloutIdOf(order),
      service: order.service,
      to: order.to,
      fence: FENCE_BY_STATE[state],
      share,
      ttlMs: decisions.move.SHARE_TTL_MS,
      driver: host,
    };
    for (const other of servingHosts()) {
      if (other !== host) router.send(other, {kind: 'share', body});
    }
  }

  /** Sends the samples and times collected since the last call to the driver. */
  private flush(): void {
    for (const {order, unsent, unsentTimings} of this.rollouts.values()) {
      if (unsent.length + unsentTimings.length === 0) continue;
      const samples = unsent.splice(0);
      const timings = unsentTimings.splice(0);
      const {host, servingHosts, router} = this.options;
      const driver = decisions.rendezvous.owner(order.service, servingHosts());
      if (!driver || driver === host) continue;
      const body = {moveId: rolloutIdOf(order), samples, timings};
      router.send(driver, {kind: 'evidence', body});
    }
  }

  private updateCandidates(): void {
    const candidates = new Map<string, string>();
    for (const {order} of this.rollouts.values()) {
      candidates.set(order.service, order.to);
    }
    this.options.directory.setCandidates(candidates);
  }

  private logState(
    order: RolloutOrder,
    state: RolloutState,
    reason: string,
  ): void {
    const {service, to, durationMs} = order;
    const fields = {service, to, state, reason, durationMs};
    this.options.log.event('rollout', '', fields);
  }
}

/** The values of the `fence` field of share messages, which carries the rollout's state and no fencing number. */
const FENCE_BY_STATE: Readonly<Record<RolloutState, number>> = {
  'in-progress': 0,
  completed: 1,
  reverted: 2,
};
const FINAL_BY_FENCE: ReadonlyMap<number, RolloutState> = new Map([
  [FENCE_BY_STATE.completed, 'completed'],
  [FENCE_BY_STATE.reverted, 'reverted'],
]);

function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
  return (
    a.service === b.service && a.to === b.to && a.durationMs === b.durationMs
  );
}

/** Identifies a rollout in messages between hosts, as `moveId`; without the era, which older builds do not know. */
function rolloutIdOf({service, to, position}: RolloutOrder): string {
  return `${service}/${to}/${position.encode().revision}`;
}
