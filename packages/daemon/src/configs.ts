import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';
import * as platform from '@banyanhall/platform';

import type * as membersModule from '@banyanhall/fleet/members.js';
import type * as routers from '@banyanhall/fleet/router.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

const HEAD_KEY = 'config/head';
const SNAPSHOT_KEY = 'config/snapshot';
const CHANGE_PREFIX = 'config/change/';
const CHANGE_ID_PREFIX = 'config/id/';
const NUMBER_DIGITS = 10;
const POLL_MS = 1000;
const FETCH_LIMIT = 200;
const SNAPSHOT_EVERY = 100;
const MAX_TRIES = 8;
/** Hosts hear of each other every second or so, which adds to the age. */
const PEER_BOUND_MS = 8000;
const RETRY_MS = 150;

/** A host whose number was not confirmed for this long stops taking new work, in milliseconds. */
export const CONFIRM_BOUND_MS = 2500;

interface Head {
  readonly number: number;
}

interface Snapshot {
  readonly number: number;
  readonly edits: readonly decisions.config.Edit[];
}

interface PeerNews {
  readonly number: number;
  readonly confirmedMs: number;
}

/** What `Configs` needs from the rest of the host. */
export interface ConfigsOptions {
  readonly table: platform.table.Table;
  readonly objects: platform.table.ObjectStore;
  readonly clock: decisions.clock.Clock;
  readonly timeline: timelines.Timeline;
  readonly router: routers.Router;
  /** Other hosts that are told at once when a change came. */
  readonly targets: () => readonly string[];
  readonly reachesMost: () => boolean;
  readonly onChange: (config: decisions.config.Config) => void;
}

/** Writes that have to commit together with the change of that number. */
export type ExtraWrites = (number: number) => platform.table.Transaction;

/** The key of a change in the table. */
export function changeKey(number: number): string {
  return CHANGE_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');
}

/**
 * The configuration of this host: a fold over the numbered changes in the
 * table, which come by polling or from other hosts. The number never goes
 * back. `isFresh` says whether it is known to be the current one.
 */
export class Configs {
  private config = decisions.config.Config.empty;
  private confirmedMs = -Infinity;
  private recent: readonly decisions.config.Change[] = [];
  private readonly peers = new Map<string, PeerNews>();
  private timer: NodeJS.Timeout | undefined;
  private syncing: Promise<void> | undefined;

  constructor(private readonly options: ConfigsOptions) {}

  get current(): decisions.config.Config {
    return this.config;
  }

  /** How old the last confirmation is, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.confirmedMs;
  }

  /**
   * True while this host may act on its configuration: its number was
   * confirmed lately, or the hosts around it, most of which answer, can't
   * confirm theirs either, so that no change can have been accepted.
   */
  get isFresh(): boolean {
    if (this.ageMs < CONFIRM_BOUND_MS) return true;
    if (this.confirmedMs === -Infinity || !this.options.reachesMost()) {
      return false;
    }
    const nowMs = this.options.clock.monotonicMs();
    return [...this.peers.values()].every(
      peer => nowMs - peer.confirmedMs >= CONFIRM_BOUND_MS,
    );
  }

  /** What is told to other hosts with every probe. */
  get news(): membersModule.ConfigState {
    const ageMs = Math.min(this.ageMs, 0xffffffff);
    return {configNumber: this.config.number, configAgeMs: Math.floor(ageMs)};
  }

  /** The number that a host last said it has. */
  numberOf(host: string): number {
    return this.peers.get(host)?.number ?? 0;
  }

  /** False when a host could not confirm its number for long, while this one can. */
  isPeerFresh(host: string): boolean {
    const peer = this.peers.get(host);
    if (!peer || this.ageMs >= CONFIRM_BOUND_MS) return true;
    const ageMs = this.options.clock.monotonicMs() - peer.confirmedMs;
    return ageMs < PEER_BOUND_MS;
  }

  /** Starts polling; resolves after the first attempt. */
  async start(): Promise<void> {
    await this.restore().catch(() => undefined);
    await this.sync();
    this.timer = setInterval(() => void this.sync(), POLL_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Forgets what a host that is gone said. */
  forget(host: string): void {
    this.peers.delete(host);
  }

  /** Takes in what a host says of its configuration. */
  onNews(from: string, news: membersModule.ConfigState): void {
    const confirmedMs = this.options.clock.monotonicMs() - news.configAgeMs;
    this.peers.set(from, {number: news.configNumber, confirmedMs});
    if (news.configNumber > this.config.number) {
      const afterNumber = this.config.number;
      this.options.router.send(from, {
        kind: 'fetchChanges',
        body: {afterNumber},
      });
      return;
    }
    if (news.configNumber < this.config.number) return;
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Reads changes that came since from the table; failures leave everything as it is. */
  sync(): Promise<void> {
    this.syncing ??= this.readNew()
      .catch(() => undefined)
      .finally(() => {
        this.syncing = undefined;
      });
    return this.syncing;
  }

  /** Applies changes in order; those that do not come next are passed over. */
  offer(changes: readonly decisions.config.Change[]): void {
    let next = this.config;
    for (const change of changes) {
      if (change.number !== next.number + 1) continue;
      next = next.apply(change);
      this.recent = [...this.recent, change].slice(-FETCH_LIMIT);
    }
    if (next.number === this.config.number) return;
    this.config = next;
    this.options.timeline.record('config', '', {number: next.number});
    this.options.onChange(next);
    this.tellOthers(changes);
  }

  /** The changes after a number, for another host; from memory if they are recent enough. */
  async changesFor(
    number: number,
  ): Promise<readonly decisions.config.Change[]> {
    const kept = this.recent.filter(change => change.number > number);
    if (kept[0]?.number === number + 1) return kept;
    return this.changesAfter(number);
  }

  /** The changes after a number, read from the table. Rejects with StoreError. */
  async changesAfter(
    number: number,
  ): Promise<readonly decisions.config.Change[]> {
    const rows = await this.options.table.scan(
      CHANGE_PREFIX,
      changeKey(number),
      FETCH_LIMIT,
    );
    return rows.map(row => row.value as decisions.config.Change);
  }

  /** The change of that number. */
  async changeAt(number: number): Promise<decisions.config.Change | undefined> {
    const key = changeKey(number);
    const rows = await this.options.table.read([key]);
    return rows.get(key)?.value as decisions.config.Change | undefined;
  }

  /**
   * Appends a change. A lost reply is settled by the change id, so that the
   * same request never takes effect twice. `extra` commits with the change.
   */
  async append(
    request: operators.api.ChangeRequest,
    extra?: ExtraWrites,
  ): Promise<operators.api.ChangeResult> {
    try {
      for (let tries = 0; tries < MAX_TRIES; tries++) {
        const result = await this.tryAppend(request, extra);
        if (result) return result;
        await timers.setTimeout(RETRY_MS);
      }
    } catch (error) {
      return {kind: 'unavailable', message: (error as Error).message};
    }
    return {kind: 'unknown', message: 'the store lost its replies'};
  }

  private async tryAppend(
    request: operators.api.ChangeRequest,
    extra?: ExtraWrites,
  ): Promise<operators.api.ChangeResult | undefined> {
    const idKey = CHANGE_ID_PREFIX + request.changeId;
    const rows = await this.options.table.read([HEAD_KEY, idKey]);
    const done = rows.get(idKey);
    if (done) {
      await this.sync();
      return {kind: 'committed', number: (done.value as Head).number};
    }
    const head = rows.get(HEAD_KEY);
    const before = (head?.value as Head | undefined)?.number ?? 0;
    const {expectedNumber} = request;
    if (expectedNumber !== undefined && expectedNumber !== before) {
      const since = await this.changesAfter(expectedNumber);
      return {kind: 'conflict', number: before, since};
    }
    const number = before + 1;
    const change: decisions.config.Change = {
      number,
      changeId: request.changeId,
      author: request.author,
      atMs: this.options.clock.nowMs(),
      edits: request.edits,
    };
    const more = extra?.(number);
    const result = await this.options.table.commit({
      conditions: [
        {
          key: HEAD_KEY,
          version: head?.version ?? platform.table.ABSENT_VERSION,
        },
        {key: idKey, version: platform.table.ABSENT_VERSION},
        {key: changeKey(number), version: platform.table.ABSENT_VERSION},
        ...(more?.conditions ?? []),
      ],
      writes: [
        {key: HEAD_KEY, value: {number}},
        {key: idKey, value: {number}},
        {key: changeKey(number), value: change},
        ...(more?.writes ?? []),
      ],
    });
    if (result.kind === 'committed') {
      this.offer([change]);
      await this.sync();
      return {kind: 'committed', number};
    }
    const extraKeys = new Set(more?.conditions.map(c => c.key));
    if (result.kind === 'conflict' && result.keys.some(k => extraKeys.has(k))) {
      return {kind: 'conflict', number: before, since: []};
    }
    return undefined;
  }

  private async restore(): Promise<void> {
    const body = await this.options.objects.get(SNAPSHOT_KEY);
    if (!body) return;
    const {number, edits} = JSON.parse(body) as Snapshot;
    if (number <= this.config.number) return;
    this.config = decisions.config.Config.restore(number, edits);
    this.options.onChange(this.config);
  }

  private async readNew(): Promise<void> {
    const {clock, table} = this.options;
    for (;;) {
      const askedMs = clock.monotonicMs();
      const rows = await table.read([HEAD_KEY]);
      const head = rows.get(HEAD_KEY)?.value as Head | undefined;
      if ((head?.number ?? 0) <= this.config.number) {
        this.confirmedMs = Math.max(this.confirmedMs, askedMs);
        return;
      }
      const changes = await this.changesAfter(this.config.number);
      if (changes.length === 0) return;
      this.offer(changes);
      void this.saveSnapshot();
    }
  }

  private async saveSnapshot(): Promise<void> {
    const {number} = this.config;
    if (number === 0 || number % SNAPSHOT_EVERY !== 0) return;
    const snapshot: Snapshot = {number, edits: this.config.toEdits()};
    await this.options.objects
      .put(SNAPSHOT_KEY, JSON.stringify(snapshot))
      .catch(() => undefined);
  }

  private tellOthers(changes: readonly decisions.config.Change[]): void {
    const body = {changes: changes.map(change => JSON.stringify(change))};
    for (const host of this.options.targets()) {
      this.options.router.send(host, {kind: 'changes', body});
    }
  }
}
