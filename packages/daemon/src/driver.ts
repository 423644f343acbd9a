// Driver side of a version move: advances its phases, leases canary shares to hosts, and reconciles backend servers.

import type * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as configsModule from './configs.js';
import type * as membersModule from '@banyanhall/fleet/members.js';
import type * as moves from './moves.js';
import type * as routers from '@banyanhall/fleet/router.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const DRIVE_INTERVAL_MS = 300;
const SCAN_INTERVAL_MS = 1500;
const SHARE_INTERVAL_MS = 700;

type Move = decisions.move.Move;

/** Dependencies of `Driver`. */
export interface DriverOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly store: moves.MoveStore;
  readonly configs: configsModule.Configs;
  readonly members: membersModule.Members;
  readonly backends: backends.client.BackendClient;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
}

/** A move that this host drives. */
interface DrivenMove {
  stored: moves.StoredMove;
  evidence: decisions.evidence.Evidence;
  /** When shares were last sent, on the monotonic clock. */
  sharesSentMs: number;
  /** True while `drive` runs, which is not started a second time. */
  isBusy: boolean;
}

/** Advances the version moves whose driver lease this host holds, and takes over those whose lease has expired. */
export class Driver {
  private readonly driven = new Map<string, DrivenMove>();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: DriverOptions) {}

  /** Starts scanning for moves and driving them. */
  start(): void {
    this.timers.push(
      setInterval(() => void this.scan(), SCAN_INTERVAL_MS),
      setInterval(() => this.driveAll(), DRIVE_INTERVAL_MS),
    );
  }

  /** Stops driving; another host takes over once the driver lease expires. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Handles samples from a host. If they show a regression, the canary share is set to 0 at once. */
  onEvidence(_: string, body: peers.messages.MessageBodies['evidence']): void {
    const driven = this.driven.get(body.moveId);
    if (!driven) return;
    const nowMs = this.options.clock.monotonicMs();
    driven.evidence = body.samples.reduce(
      (evidence, sample) => evidence.add(sample, nowMs),
      driven.evidence,
    );
    if (driven.evidence.regression) this.sendShares(driven, 0);
  }

  private get nowMs(): number {
    return this.options.clock.nowMs();
  }

  private async scan(): Promise<void> {
    const all = await this.options.store.latest().catch(() => []);
    for (const stored of all) {
      const {move} = stored;
      if (decisions.move.isFinal(move)) this.driven.delete(move.id);
      else if (!this.driven.has(move.id)) await this.tryTakeOver(stored);
    }
  }

  private async tryTakeOver(stored: moves.StoredMove): Promise<void> {
    const {host, members} = this.options;
    const hosts = members.serving.map(member => member.host);
    if (decisions.rendezvous.owner(stored.move.id, hosts) !== host) return;
    const next = decisions.move.takeOver(stored.move, host, this.nowMs);
    if (!next) return;
    const saved = await this.options.store.save(stored, next);
    if (saved.kind !== 'saved') return;
    this.recordMove(next);
    this.driven.set(next.id, {
      stored: saved.stored,
      evidence: decisions.evidence.Evidence.none,
      sharesSentMs: -Infinity,
      isBusy: false,
    });
  }

  private driveAll(): void {
    for (const driven of this.driven.values()) {
      this.refreshShares(driven);
      if (driven.isBusy) continue;
      driven.isBusy = true;
      void this.drive(driven)
        .catch(() => undefined)
        .finally(() => {
          driven.isBusy = false;
        });
    }
  }

  private async drive(driven: DrivenMove): Promise<void> {
    const {host} = this.options;
    const {move} = driven.stored;
    if (this.nowMs >= move.driverUntilMs) return this.stopDriving(driven);
    const observations = await this.observe(move);
    const next = decisions.move.advance(
      move,
      driven.evidence,
      observations,
      this.nowMs,
    );
    if (next?.phase === 'settle' && move.phase === 'ramp') {
      return this.settle(driven, next);
    }
    const toSave = next ?? decisions.move.renew(move, host, this.nowMs);
    if (toSave) await this.save(driven, toSave);
  }

  private async save(driven: DrivenMove, next: Move): Promise<void> {
    const {move} = driven.stored;
    const saved = await this.options.store.save(driven.stored, next);
    if (saved.kind === 'changed') return this.reread(driven);
    if (saved.kind !== 'saved') return;
    driven.stored = saved.stored;
    this.onAdvanced(driven, move, next);
  }

  /** Makes the candidate the configured version of the service, in one transaction with the move. */
  private async settle(driven: DrivenMove, next: Move): Promise<void> {
    const {configs, store} = this.options;
    const config = configs.current;
    const service = config.get('service', next.service);
    if (!service) return;
    const result = await configs.append(
      {
        changeId: `settle-${next.id}`,
        author: `move ${next.id}`,
        expectedNumber: config.number,
        edits: [
          {
            entry: 'service',
            name: service.name,
            value: {...service, version: next.to},
          },
        ],
      },
      number => ({
        conditions: [
          {key: store.latestKey(next.service), version: driven.stored.version},
        ],
        writes: store.writes({...next, settledNumber: number}),
      }),
    );
    if (result.kind === 'conflict') await configs.sync();
    await this.reread(driven);
  }

  private async reread(driven: DrivenMove): Promise<void> {
    const {id} = driven.stored.move;
    const all = await this.options.store.latest();
    const found = all.find(({move}) => move.id === id);
    if (!found || found.move.driver !== this.options.host) {
      return this.stopDriving(driven);
    }
    const before = driven.stored.move;
    driven.stored = found;
    this.onAdvanced(driven, before, found.move);
  }

  private stopDriving(driven: DrivenMove): void {
    this.driven.delete(driven.stored.move.id);
  }

  private onAdvanced(driven: DrivenMove, before: Move, next: Move): void {
    const isSame = before.phase === next.phase && before.step === next.step;
    if (isSame) return;
    driven.evidence = driven.evidence.nextStep();
    this.recordMove(next);
    this.sendShares(driven, decisions.move.candidateShare(next));
  }

  private recordMove(move: Move): void {
    const {id, phase, step, fence, reason} = move;
    this.options.timeline.record('move', '', {id, phase, step, fence, reason});
  }

  private refreshShares(driven: DrivenMove): void {
    const sinceMs = this.options.clock.monotonicMs() - driven.sharesSentMs;
    if (sinceMs < SHARE_INTERVAL_MS || driven.evidence.regression) return;
    this.sendShares(driven, decisions.move.candidateShare(driven.stored.move));
  }

  /** Leases a canary share to every host, for no longer than the driver's own lease. */
  private sendShares(driven: DrivenMove, share: number): void {
    const {host, members, router, clock} = this.options;
    const {id, service, to, fence, driverUntilMs} = driven.stored.move;
    const leftMs = driverUntilMs - this.nowMs;
    const ttlMs = Math.min(decisions.move.SHARE_TTL_MS, Math.floor(leftMs));
    if (ttlMs <= 0) return;
    driven.sharesSentMs = clock.monotonicMs();
    const body = {
      ...{moveId: id, service, to, fence, share, ttlMs, driver: host},
      // The fence orders the drivers of a move.
      ...{termEra: 0, termRevision: 0},
    };
    for (const member of members.view.members) {
      router.send(member.host, {kind: 'share', body});
    }
  }

  private async observe(move: Move): Promise<decisions.move.Observations> {
    const bothVersions = [move.from, move.to];
    const checks: Readonly<
      Record<decisions.move.Phase, () => Promise<boolean>>
    > = {
      prepare: () => this.ensureVersions(move, bothVersions),
      ramp: () => this.ensureVersions(move, bothVersions),
      settle: () => this.isSettled(move),
      'taking-back': () => this.ensureVersions(move, [move.from]),
      finished: () => Promise.resolve(true),
      'taken-back': () => Promise.resolve(true),
    };
    const isDone = await checks[move.phase]();
    return {
      serversReady: move.phase === 'prepare' && isDone,
      serversRestored: move.phase === 'taking-back' && isDone,
      isSettled: move.phase === 'settle' && isDone,
    };
  }

  private async isSettled(move: Move): Promise<boolean> {
    const {members, configs, host} = this.options;
    const others = members.view.members.filter(m => m.host !== host);
    const behind = others.filter(
      member => configs.numberOf(member.host) < move.settledNumber,
    );
    if (configs.current.number < move.settledNumber) return false;
    if (behind.length === 0) return this.ensureVersions(move, [move.to]);
    members.probeAll();
    return false;
  }

  /** Reconciles every backend server to exactly these versions; true when at least one answers and all that answer have them. */
  private async ensureVersions(
    move: Move,
    versions: readonly string[],
  ): Promise<boolean> {
    const service = this.options.configs.current.get('service', move.service);
    const servers = service?.backendServers ?? [];
    const states = await Promise.all(
      servers.map(server => this.reconcile(move, server.url, versions)),
    );
    const hasAny = states.includes('has');
    return hasAny && !states.includes('has-not');
  }

  /** Reads the versions of a backend server and orders a change only when they differ and the driver lease has not expired. */
  private async reconcile(
    move: Move,
    url: string,
    versions: readonly string[],
  ): Promise<'has' | 'has-not' | 'no-answer'> {
    const {backends: client} = this.options;
    try {
      const found = await client.readVersions(url);
      if (isSameSet(found.versions, versions)) return 'has';
      if (this.nowMs >= move.driverUntilMs) return 'has-not';
      const order = {fence: move.fence, versions};
      const after = await client.setVersions(url, order);
      return isSameSet(after.versions, versions) ? 'has' : 'has-not';
    } catch {
      return 'no-answer';
    }
  }
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every(version => b.includes(version));
}
