import * as decisions from '@banyanhall/decisions';
import type * as routers from '@banyanhall/fleet/router.js';
import type * as peers from '@banyanhall/peers';

import type * as directories from './directory.js';
import type * as logs from './logs.js';

const DRIVE_MS = 250;
const FLUSH_MS = 200;

/** Where a roll-out stands, as operators see it. */
export type RolloutState = 'in-progress' | 'completed' | 'reverted';

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly to: string;
  readonly durationMs: number;
  /** Grows with every order of the service. */
  readonly revision: number;
}

/** One step of a roll-out: the share of the candidate from a part of the time on. */
interface Step {
  readonly fromPart: number;
  readonly share: number;
}

/** The first step is inside what an unproved version may get; the last one empties the old version before it is stopped. */
const STEPS: readonly Step[] = [
  {fromPart: 0, share: 0.08},
  {fromPart: 0.55, share: 0.35},
  {fromPart: 0.68, share: 1},
];
const COMPLETE_PART = 0.86;
/** Samples of the candidate without which it is not trusted further. */
const MIN_SAMPLES = 6;
/** How long the other hosts go on getting the final share after the decision. */
const ANNOUNCE_MS = 20_000;

/** What `Rollouts` needs from the rest of the host. */
export interface RolloutsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly router: routers.Router;
  readonly directory: directories.Directory;
  readonly log: logs.Log;
  readonly servingHosts: () => readonly string[];
  /** Writes the state of a roll-out for operators; resolves to false when the store did not take it. */
  readonly publishState: (
    order: RolloutOrder,
    state: RolloutState,
  ) => Promise<boolean>;
}

interface Rollout {
  readonly order: RolloutOrder;
  readonly startedMs: number;
  state: RolloutState;
  /** When the state became final here. */
  decidedMs: number;
  evidence: decisions.evidence.Evidence;
  share: number;
  shareUntilMs: number;
  published: RolloutState | undefined;
  isPublishing: boolean;
  unsent: decisions.evidence.Sample[];
}

/**
 * Moves services to the versions that operators order. One host, the owner of
 * the service among those that serve, collects the evidence, sets the share
 * and decides; the others hold a share that ends by itself.
 */
export class Rollouts {
  private readonly rollouts = new Map<string, Rollout>();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: RolloutsOptions) {}

  /** Starts driving and sending samples. */
  start(): void {
    this.timers.push(
      setInterval(() => this.drive(), DRIVE_MS),
      setInterval(() => this.flush(), FLUSH_MS),
    );
  }

  /** Stops; another host becomes the owner. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Takes in an order; one that is known already changes nothing. */
  onOrder(order: RolloutOrder): void {
    const known = this.rollouts.get(order.service);
    if (known && known.order.revision >= order.revision) return;
    this.rollouts.set(order.service, {
      order,
      startedMs: this.nowMs,
      state: 'in-progress',
      decidedMs: 0,
      evidence: decisions.evidence.Evidence.none,
      share: 0,
      shareUntilMs: 0,
      published: undefined,
      isPublishing: false,
      unsent: [],
    });
    this.note(order, 'in-progress', 'ordered');
    this.candidatesChanged();
  }

  /** Takes in the state that is on record for operators; a final one holds. */
  onRecordedState(service: string, to: string, state: RolloutState): void {
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.order.to !== to || state === 'in-progress') return;
    if (rollout.state !== 'in-progress') return;
    rollout.published = state;
    this.decide(rollout, state, 'on record');
  }

  /** True when the next request to the service is to go to the candidate. */
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

  /** Takes in what a request showed of the version that it ran on. */
  addSample(service: string, sample: decisions.evidence.Sample): void {
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.state !== 'in-progress') return;
    rollout.evidence = rollout.evidence.add(sample, this.nowMs);
    rollout.unsent.push(sample);
    if (sample.isCandidate && sample.isFailure) this.flush();
  }

  /** Takes in samples of another host. */
  onEvidence(body: peers.messages.MessageBodies['evidence']): void {
    const rollout = [...this.rollouts.values()].find(
      ({order}) => idOf(order) === body.moveId,
    );
    if (!rollout) return;
    for (const sample of body.samples) {
      rollout.evidence = rollout.evidence.add(sample, this.nowMs);
    }
  }

  /** Takes in the share that the owner sets. */
  onShare(body: peers.messages.MessageBodies['share']): void {
    const rollout = this.rollouts.get(body.service);
    if (!rollout || idOf(rollout.order) !== body.moveId) return;
    const final = FINAL_BY_FENCE.get(body.fence);
    if (final) return this.decide(rollout, final, `told by ${body.driver}`);
    rollout.share = body.share;
    rollout.shareUntilMs = this.nowMs + body.ttlMs;
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Drives the roll-outs of the services that this host owns; called on a timer. */
  drive(): void {
    for (const rollout of this.rollouts.values()) {
      const owner = decisions.rendezvous.owner(
        rollout.order.service,
        this.options.servingHosts(),
      );
      if (owner !== this.options.host) continue;
      if (rollout.state === 'in-progress') this.advance(rollout);
      const sinceMs = this.nowMs - rollout.decidedMs;
      const isOld = rollout.decidedMs > 0 && sinceMs > ANNOUNCE_MS;
      if (!isOld) this.sendShares(rollout);
      void this.publish(rollout);
    }
  }

  private advance(rollout: Rollout): void {
    const {order, evidence, startedMs} = rollout;
    const part = (this.nowMs - startedMs) / order.durationMs;
    if (evidence.regression) {
      const {metric: sign, route} = evidence.regression;
      return this.decide(rollout, 'reverted', `bad: ${sign} on ${route}`);
    }
    const step = STEPS.filter(({fromPart}) => part >= fromPart).pop();
    const isProved = evidence.stepSamples >= MIN_SAMPLES;
    rollout.share = isProved ? (step?.share ?? 0) : STEPS[0].share;
    rollout.shareUntilMs = this.nowMs + decisions.move.SHARE_TTL_MS;
    if (part < COMPLETE_PART) return;
    if (isProved) this.decide(rollout, 'completed', 'proved');
    else this.decide(rollout, 'reverted', 'not proved in time');
  }

  private decide(rollout: Rollout, state: RolloutState, reason: string): void {
    if (rollout.state !== 'in-progress') return;
    rollout.state = state;
    rollout.decidedMs = this.nowMs;
    this.note(rollout.order, state, reason);
    this.candidatesChanged();
  }

  private async publish(rollout: Rollout): Promise<void> {
    if (rollout.isPublishing || rollout.published === rollout.state) return;
    rollout.isPublishing = true;
    const {state} = rollout;
    if (await this.options.publishState(rollout.order, state)) {
      rollout.published = state;
    }
    rollout.isPublishing = false;
  }

  private sendShares(rollout: Rollout): void {
    const {host, router, servingHosts} = this.options;
    const {order, share, state} = rollout;
    const body = {
      moveId: idOf(order),
      service: order.service,
      to: order.to,
      fence: FENCES[state],
      share,
      ttlMs: decisions.move.SHARE_TTL_MS,
      driver: host,
    };
    for (const other of servingHosts()) {
      if (other !== host) router.send(other, {kind: 'share', body});
    }
  }

  private flush(): void {
    for (const {order, unsent} of this.rollouts.values()) {
      if (unsent.length === 0) continue;
      const samples = unsent.splice(0);
      const {host, servingHosts, router} = this.options;
      const owner = decisions.rendezvous.owner(order.service, servingHosts());
      if (!owner || owner === host) continue;
      const body = {moveId: idOf(order), samples};
      router.send(owner, {kind: 'evidence', body});
    }
  }

  private candidatesChanged(): void {
    const candidates = new Map<string, string>();
    for (const {order} of this.rollouts.values()) {
      candidates.set(order.service, order.to);
    }
    this.options.directory.setCandidates(candidates);
  }

  private note(order: RolloutOrder, state: RolloutState, reason: string): void {
    const {service, to, durationMs} = order;
    const fields = {service, to, state, reason, durationMs};
    this.options.log.event('rollout', '', fields);
  }
}

/** What the fence of a share says of the roll-out's state. */
const FENCES: Readonly<Record<RolloutState, number>> = {
  'in-progress': 0,
  completed: 1,
  reverted: 2,
};
const FINAL_BY_FENCE: ReadonlyMap<number, RolloutState> = new Map([
  [FENCES.completed, 'completed'],
  [FENCES.reverted, 'reverted'],
]);

function idOf(order: RolloutOrder): string {
  return `${order.service}/${order.to}/${order.revision}`;
}
