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
/** Interval of reads of a rollout's record, until it is final. */
const RECORD_POLL_MS = 2000;
/** The time from a call to the store that failed to the next one. */
const RECORD_RETRY_MS = 500;
/** The time after which a driver that lost its term claims another one, so that two drivers do not replace each other all the time. */
const RECLAIM_AFTER_MS = 1000;
/** A driver whose timer is late by more has missed samples and may have been replaced. */
const MAX_DRIVE_GAP_MS = 1000;

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
/** A driver whose term is shorter waits with the decision for samples, as earlier ones were sent to another host, but not beyond this fraction. */
const MIN_TERM_MS = 2000;
const LAST_DECISION_FRACTION = 0.95;
/** The number of candidate samples required, besides the proof that it is no slower, before its share is raised and before the rollout is completed. */
const MIN_SAMPLES = 6;
/** The most orders kept of a service that a later one has replaced. */
const MAX_REPLACED_ORDERS = 8;
/** How long the final state is sent to the other hosts after the decision. */
const ANNOUNCE_MS = 20_000;

/** What the store holds about an order. */
export interface RolloutRecord {
  /** Undefined if no state of this order has been written. */
  readonly state: RolloutState | undefined;
  /** The position at which the row was written, with revision 0 if there is no row. */
  readonly position: decisions.storeposition.StorePosition;
}

/** The outcome of a write of a record: `conflict` if it was not performed since the record or the order is another one by now, `unknown` if it may have been performed, or may still be. */
export type RolloutWrite =
  | {readonly kind: 'written'; readonly record: RolloutRecord}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'unknown'};

/** The states of rollouts in the store, where operators see them. */
export interface RolloutRecords {
  /** Reads the record of an order; resolves to undefined if it is not known, as when the store does not answer. */
  readonly read: (order: RolloutOrder) => Promise<RolloutRecord | undefined>;
  /** Writes a state if the record is still `expected` and the order has not been replaced. */
  readonly write: (
    order: RolloutOrder,
    state: RolloutState,
    expected: RolloutRecord,
  ) => Promise<RolloutWrite>;
}

/** Dependencies of `Rollouts`. */
export interface RolloutsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly router: routers.Router;
  readonly directory: directories.Directory;
  readonly log: logs.Log;
  readonly servingHosts: () => readonly string[];
  readonly records: RolloutRecords;
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
  /** The state on record, as far as this host knows. */
  state: RolloutState;
  /** When the state became final on this host; 0 before that. */
  finalSinceMs: number;
  /** The final state that this host has decided on as the driver, until a final state is on record. */
  decision: RolloutState | undefined;
  /** The record as last read or written; undefined when it must be read before this host decides or writes. */
  record: RolloutRecord | undefined;
  nextReadMs: number;
  /** The latest term of a driver that this host knows: the position at which the driver wrote the record. */
  term: decisions.storeposition.StorePosition;
  /** True while `term` is this host's own. */
  isDriving: boolean;
  termBegunMs: number;
  /** When this host may claim the next term. */
  nextClaimMs: number;
  evidence: decisions.evidence.Evidence;
  comparison: decisions.versioncomparison.VersionComparison;
  /** The candidate's share of traffic, from 0 to 1, valid until `shareUntilMs`. */
  share: number;
  shareUntilMs: number;
  /** True from a restore of the store until the state is written again. */
  isForgotten: boolean;
  /** True during a call to the store about the record. */
  isSyncing: boolean;
  /** Samples and times that have not been sent to the driver. */
  unsent: decisions.evidence.Sample[];
  unsentTimings: decisions.versioncomparison.Timing[];
}

/**
 * This host's part in the rollouts. One serving host, the driver, selected per
 * service by rendezvous hashing, collects the samples of all hosts, sets the
 * candidate's share, and completes the rollout or rolls it back. The other
 * hosts apply that share until it expires.
 *
 * The record in the store orders the drivers, since two hosts may take
 * themselves for the driver. A driver begins its term with a write of the
 * record, and each write requires that the record is the one last read. So a
 * driver that was replaced, as while it was paused, can write nothing before it
 * has read what the others wrote; a final state on record is never replaced.
 */
export class Rollouts {
  private readonly rollouts = new Map<string, Rollout>();
  private readonly timers: NodeJS.Timeout[] = [];
  /** How often the store has come back from an older copy. */
  private restores = 0;
  private lastDriveMs = Infinity;

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
      finalSinceMs: 0,
      decision: undefined,
      record: undefined,
      nextReadMs: 0,
      term: decisions.storeposition.StorePosition.start,
      isDriving: false,
      termBegunMs: 0,
      nextClaimMs: 0,
      evidence: decisions.evidence.Evidence.none,
      comparison: decisions.versioncomparison.VersionComparison.none,
      share: 0,
      shareUntilMs: 0,
      isSyncing: false,
      unsent: [],
      unsentTimings: [],
    });
    this.logState(order, 'in-progress', 'ordered');
    this.updateCandidates();
    return true;
  }

  /** Reads all records again, and writes those that are missing, since the store came back from an older copy. */
  onStoreRestored(): void {
    this.restores++;
    for (const rollout of this.rollouts.values()) {
      this.forgetRecord(rollout);
      rollout.isForgotten = true;
      rollout.isDriving = false;
    }
  }

  /** True when the next attempt of a request to the service goes to the candidate; random in proportion to its share. */
  usesCandidate(service: string): boolean {
    const rollout = this.rollouts.get(service);
    if (!rollout || !this.options.directory.hasBaseAndCandidate(service))
      return false;
    if (rollout.state === 'completed') return true;
    if (rollout.state === 'reverted' || isHeldBack(rollout)) return false;
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

  /** Applies a share, or the final state on record, sent by the driver; those of a driver that was replaced are ignored. */
  onShare(body: peers.messages.MessageBodies['share']): void {
    const rollout = this.rollouts.get(body.service);
    if (!rollout?.ids.has(body.moveId)) return;
    const {StorePosition} = decisions.storeposition;
    const term = StorePosition.of(body.termEra, body.termRevision);
    if (rollout.term.isAfter(term)) return;
    if (rollout.isDriving && term.isAfter(rollout.term)) {
      this.endTerm(rollout);
      this.forgetRecord(rollout);
    }
    rollout.term = term;
    const finalState = FINAL_BY_FENCE.get(body.fence);
    if (finalState) {
      return this.onFinal(rollout, finalState, `told by ${body.driver}`);
    }
    rollout.share = body.share;
    rollout.shareUntilMs = this.nowMs + body.ttlMs;
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Advances the rollouts that this host drives and brings the records up to date; called on a timer. */
  drive(): void {
    const {nowMs} = this;
    const gapMs = nowMs - this.lastDriveMs;
    this.lastDriveMs = nowMs;
    for (const rollout of this.rollouts.values()) {
      if (gapMs > MAX_DRIVE_GAP_MS) this.forgetRecord(rollout);
      const driver = decisions.rendezvous.owner(
        rollout.order.service,
        this.options.servingHosts(),
      );
      const isDriver = driver === this.options.host;
      if (!isDriver && rollout.isDriving) this.endTerm(rollout);
      const isFinal = rollout.state !== 'in-progress';
      if (rollout.isDriving && rollout.record && !isFinal) {
        this.advance(rollout);
      }
      const isAnnouncing = isFinal
        ? isDriver && nowMs - rollout.finalSinceMs <= ANNOUNCE_MS
        : rollout.isDriving;
      if (isAnnouncing) this.sendShares(rollout);
      void this.sync(rollout, isDriver);
    }
  }

  private advance(rollout: Rollout): void {
    const {order, evidence, startedMs} = rollout;
    const fraction = (this.nowMs - startedMs) / order.durationMs;
    if (rollout.decision) return;
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
    if (fraction < DECISION_FRACTION) return;
    const isNewTerm = this.nowMs - rollout.termBegunMs < MIN_TERM_MS;
    if (isProven) this.decide(rollout, 'completed', `proved: ${figures}`);
    else if (!isNewTerm || fraction >= LAST_DECISION_FRACTION) {
      this.decide(rollout, 'reverted', `not proved in time: ${figures}`);
    }
  }

  /** Decides on a final state; hosts act on it once it is on record. */
  private decide(rollout: Rollout, state: RolloutState, reason: string): void {
    rollout.decision = state;
    this.logState(rollout.order, 'in-progress', `decided ${state}: ${reason}`);
  }

  /** Takes over a final state on record, also when this host has decided otherwise. */
  private onFinal(rollout: Rollout, state: RolloutState, reason: string): void {
    rollout.decision = undefined;
    if (rollout.state === state) return;
    rollout.state = state;
    rollout.finalSinceMs = this.nowMs;
    this.logState(rollout.order, state, reason);
    this.updateCandidates();
  }

  /** The state of a service's rollout on record, as far as this host knows. */
  stateOf(service: string): RolloutState | undefined {
    return this.rollouts.get(service)?.state;
  }

  /** Reads the record if it is not known or may have changed, then writes what this host has to add. */
  private async sync(rollout: Rollout, isDriver: boolean): Promise<void> {
    if (rollout.isSyncing) return;
    rollout.isSyncing = true;
    try {
      if (this.mustRead(rollout, isDriver)) await this.readRecord(rollout);
      await this.writeRecord(rollout, isDriver);
    } finally {
      rollout.isSyncing = false;
    }
  }

  private mustRead(rollout: Rollout, isDriver: boolean): boolean {
    const {nowMs} = this;
    if (nowMs < rollout.nextReadMs) return false;
    const isFinalOnRecord = isFinalState(rollout.record?.state);
    if (isFinalOnRecord) return false;
    const isRecent = nowMs - rollout.startedMs < 2 * rollout.order.durationMs;
    return isDriver || isRecent || rollout.decision !== undefined;
  }

  private async readRecord(rollout: Rollout): Promise<void> {
    const {restores} = this;
    rollout.nextReadMs = this.nowMs + RECORD_RETRY_MS;
    const record = await this.options.records.read(rollout.order);
    // What was read before a restore is not in the store any more.
    if (!record || restores !== this.restores) return;
    rollout.nextReadMs = this.nowMs + RECORD_POLL_MS;
    rollout.record = record;
    const {state, position} = record;
    if (isFinalState(state)) {
      rollout.term = rollout.term.latest(position);
      this.onFinal(rollout, state, 'on record');
    } else if (rollout.isDriving && !isSamePosition(position, rollout.term)) {
      this.endTerm(rollout);
    }
  }

  private async writeRecord(
    rollout: Rollout,
    isDriver: boolean,
  ): Promise<void> {
    const {order, record} = rollout;
    const state = stateToWrite(rollout, isDriver);
    if (!record || !state) return;
    if (this.rollouts.get(order.service) !== rollout) return;
    const isClaim = state === 'in-progress';
    if (isClaim && this.nowMs < rollout.nextClaimMs) return;
    const {restores} = this;
    const result = await this.options.records.write(order, state, record);
    // A write that a restore overtook may be lost.
    if (restores !== this.restores) return;
    if (result.kind !== 'written') {
      const reason = `${state} was not written: ${result.kind}`;
      this.logState(order, rollout.state, reason);
      this.forgetRecord(rollout);
      if (result.kind === 'unknown') {
        rollout.nextReadMs = this.nowMs + RECORD_RETRY_MS;
      }
      return;
    }
    rollout.record = result.record;
    rollout.term = result.record.position;
    if (isClaim) this.beginTerm(rollout);
    else this.onFinal(rollout, state, 'written');
    if (!rollout.isForgotten) return;
    rollout.isForgotten = false;
    this.options.onRewritten?.(order.service);
  }

  /** Begins a term as the driver. Samples sent to an earlier driver are missing here, so new ones are required. */
  private beginTerm(rollout: Rollout): void {
    rollout.isDriving = true;
    rollout.termBegunMs = this.nowMs;
    rollout.evidence = rollout.evidence.nextStep();
    this.logState(rollout.order, 'in-progress', 'term begun');
  }

  private endTerm(rollout: Rollout): void {
    this.logState(rollout.order, rollout.state, 'term ended');
    rollout.isDriving = false;
    rollout.nextClaimMs = this.nowMs + RECLAIM_AFTER_MS;
    // A decision to complete stands on samples of the term; one to roll back holds in any term.
    if (rollout.decision === 'completed') rollout.decision = undefined;
  }

  private forgetRecord(rollout: Rollout): void {
    rollout.record = undefined;
    rollout.nextReadMs = 0;
  }

  private sendShares(rollout: Rollout): void {
    const {host, router, servingHosts} = this.options;
    const {order, state, term} = rollout;
    const share = isHeldBack(rollout) ? 0 : rollout.share;
    rollout.shareUntilMs = this.nowMs + decisions.move.SHARE_TTL_MS;
    const {era: termEra, revision: termRevision} = term.encode();
    const body = {
      moveId: rolloutIdOf(order),
      service: order.service,
      to: order.to,
      fence: FENCE_BY_STATE[state],
      share,
      ttlMs: decisions.move.SHARE_TTL_MS,
      driver: host,
      ...{termEra, termRevision},
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

/** The state that a host has to write over the record that it knows; undefined if none. */
function stateToWrite(
  rollout: Rollout,
  isDriver: boolean,
): RolloutState | undefined {
  const {record, state, decision, isDriving} = rollout;
  if (isFinalState(record?.state)) return undefined;
  // A final state that this host knows has been on record: a restore took it away.
  if (isFinalState(state)) return isDriver ? state : undefined;
  if (decision === 'reverted' || (decision && isDriving)) return decision;
  return isDriver && !isDriving ? 'in-progress' : undefined;
}

/** True when this host knows enough against the candidate to send it nothing. */
function isHeldBack({evidence, decision}: Rollout): boolean {
  return evidence.regression !== undefined || decision === 'reverted';
}

function isFinalState(
  state: RolloutState | undefined,
): state is 'completed' | 'reverted' {
  return state === 'completed' || state === 'reverted';
}

function isSamePosition(
  a: decisions.storeposition.StorePosition,
  b: decisions.storeposition.StorePosition,
): boolean {
  return !a.isAfter(b) && !b.isAfter(a);
}

function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
  return (
    a.service === b.service && a.to === b.to && a.durationMs === b.durationMs
  );
}

/** Identifies a rollout in messages between hosts, as `moveId`; without the era, which older builds do not know. */
function rolloutIdOf({service, to, position}: RolloutOrder): string {
  return `${service}/${to}/${position.encode().revision}`;
}
