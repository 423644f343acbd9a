// Numbered configuration changes in the table, their distribution between hosts, and the check that this host is up to date.

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
const POLL_INTERVAL_MS = 1000;
/** Most changes that one read returns, and that are kept in memory. */
const MAX_CHANGES = 200;
const SNAPSHOT_EVERY_CHANGES = 100;
const MAX_APPEND_ATTEMPTS = 8;
/**
 * Age at which other hosts regard a host's number as stale. Longer than
 * CONFIRM_TIMEOUT_MS, because hosts hear from each other only about once a
 * second, which adds to the age.
 */
const PEER_CONFIRM_TIMEOUT_MS = 8000;
const APPEND_RETRY_MS = 150;

/** A host whose configuration number has not been confirmed for this long accepts no new requests. */
export const CONFIRM_TIMEOUT_MS = 2500;

interface Head {
  readonly number: number;
}

interface Snapshot {
  readonly number: number;
  readonly edits: readonly decisions.config.Edit[];
}

/** The configuration number that another host last reported, and when it was confirmed (monotonic clock of this host). */
interface PeerConfig {
  readonly number: number;
  readonly confirmedMs: number;
}

/** Dependencies of `Configs`. */
export interface ConfigsOptions {
  readonly table: platform.table.Table;
  readonly objects: platform.table.ObjectStore;
  readonly clock: decisions.clock.Clock;
  readonly timeline: timelines.Timeline;
  readonly router: routers.Router;
  /** Hosts to which a new change is pushed at once. */
  readonly targets: () => readonly string[];
  /** True while most hosts answer this one. */
  readonly reachesMost: () => boolean;
  readonly onChange: (config: decisions.config.Config) => void;
}

/** Returns further conditions and writes for the transaction that appends the change with this number. */
export type ExtraWrites = (number: number) => platform.table.Transaction;

/** Table key of a change; padded, so that keys sort by number. */
export function changeKey(number: number): string {
  return CHANGE_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');
}

/**
 * The configuration of this host, built by applying the numbered changes in
 * the table in order. Changes arrive by polling or are pushed by other hosts.
 * The number never decreases. `isFresh` tells whether this host may act on it.
 */
export class Configs {
  private config = decisions.config.Config.empty;
  private confirmedMs = -Infinity;
  private recent: readonly decisions.config.Change[] = [];
  private readonly peers = new Map<string, PeerConfig>();
  private timer: NodeJS.Timeout | undefined;
  private syncing: Promise<void> | undefined;

  constructor(private readonly options: ConfigsOptions) {}

  /** The configuration that this host has applied. */
  get current(): decisions.config.Config {
    return this.config;
  }

  /** Time since the configuration number was last confirmed as current. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.confirmedMs;
  }

  /**
   * True while this host may act on its configuration. Either its number was
   * confirmed within CONFIRM_TIMEOUT_MS; or it was confirmed once, most hosts
   * answer, and no host that reported has confirmed its own number within
   * that time either, so that no change can have been accepted.
   */
  get isFresh(): boolean {
    if (this.ageMs < CONFIRM_TIMEOUT_MS) return true;
    if (this.confirmedMs === -Infinity || !this.options.reachesMost()) {
      return false;
    }
    const nowMs = this.options.clock.monotonicMs();
    return [...this.peers.values()].every(
      peer => nowMs - peer.confirmedMs >= CONFIRM_TIMEOUT_MS,
    );
  }

  /** Configuration number and age, sent to other hosts with every probe; the age is a uint32 there. */
  get configState(): membersModule.ConfigState {
    const ageMs = Math.min(this.ageMs, 0xffffffff);
    return {configNumber: this.config.number, configAgeMs: Math.floor(ageMs)};
  }

  /** Configuration number last reported by a host; 0 when unknown. */
  numberOf(host: string): number {
    return this.peers.get(host)?.number ?? 0;
  }

  /** False when this host's number is confirmed, but that of the other host has been stale for PEER_CONFIRM_TIMEOUT_MS. */
  isPeerFresh(host: string): boolean {
    const peer = this.peers.get(host);
    if (!peer || this.ageMs >= CONFIRM_TIMEOUT_MS) return true;
    const ageMs = this.options.clock.monotonicMs() - peer.confirmedMs;
    return ageMs < PEER_CONFIRM_TIMEOUT_MS;
  }

  /** Restores the snapshot and starts polling; resolves after the first poll, also when it fails. */
  async start(): Promise<void> {
    await this.restore().catch(() => undefined);
    await this.sync();
    this.timer = setInterval(() => void this.sync(), POLL_INTERVAL_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Forgets the number that a dead host reported. */
  forget(host: string): void {
    this.peers.delete(host);
  }

  /** Handles another host's configuration number: fetches changes if it is higher; if it is equal, its confirmation also counts for this host. */
  onConfigState(from: string, state: membersModule.ConfigState): void {
    const confirmedMs = this.options.clock.monotonicMs() - state.configAgeMs;
    this.peers.set(from, {number: state.configNumber, confirmedMs});
    if (state.configNumber > this.config.number) {
      const afterNumber = this.config.number;
      this.options.router.send(from, {
        kind: 'fetchChanges',
        body: {afterNumber},
      });
      return;
    }
    if (state.configNumber < this.config.number) return;
    this.confirmedMs = Math.max(this.confirmedMs, confirmedMs);
  }

  /** Polls the table for new changes. A failed poll changes nothing; concurrent calls share one poll. */
  sync(): Promise<void> {
    this.syncing ??= this.pollChanges()
      .catch(() => undefined)
      .finally(() => {
        this.syncing = undefined;
      });
    return this.syncing;
  }

  /** Applies the changes that are next in sequence and skips the others; pushes all of them to other hosts if any was applied. */
  applyChanges(changes: readonly decisions.config.Change[]): void {
    let next = this.config;
    for (const change of changes) {
      if (change.number !== next.number + 1) continue;
      next = next.apply(change);
      this.recent = [...this.recent, change].slice(-MAX_CHANGES);
    }
    if (next.number === this.config.number) return;
    this.config = next;
    this.options.timeline.record('config', '', {number: next.number});
    this.options.onChange(next);
    this.pushChanges(changes);
  }

  /** Returns the changes after a number, from memory if they are all there, else from the table. Rejects with StoreError. */
  async cachedChangesAfter(
    number: number,
  ): Promise<readonly decisions.config.Change[]> {
    const kept = this.recent.filter(change => change.number > number);
    if (kept[0]?.number === number + 1) return kept;
    return this.changesAfter(number);
  }

  /** Reads the changes after a number from the table. Rejects with StoreError. */
  async changesAfter(
    number: number,
  ): Promise<readonly decisions.config.Change[]> {
    const rows = await this.options.table.scan(
      CHANGE_PREFIX,
      changeKey(number),
      MAX_CHANGES,
    );
    return rows.map(row => row.value as decisions.config.Change);
  }

  /** Reads the change of that number. Rejects with StoreError. */
  async changeAt(number: number): Promise<decisions.config.Change | undefined> {
    const key = changeKey(number);
    const rows = await this.options.table.read([key]);
    return rows.get(key)?.value as decisions.config.Change | undefined;
  }

  /**
   * Appends a change. Retries are deduplicated by the change id, so that a
   * lost reply never makes a change take effect twice. What `extra` returns
   * is committed in the same transaction.
   */
  async append(
    request: operators.api.ChangeRequest,
    extra?: ExtraWrites,
  ): Promise<operators.api.ChangeResult> {
    try {
      for (let attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt++) {
        const result = await this.appendOnce(request, extra);
        if (result) return result;
        await timers.setTimeout(APPEND_RETRY_MS);
      }
    } catch (error) {
      return {kind: 'unavailable', message: (error as Error).message};
    }
    return {
      kind: 'unknown',
      message:
        'the outcome of the commit is unknown; send the same change id again',
    };
  }

  private async appendOnce(
    request: operators.api.ChangeRequest,
    extra?: ExtraWrites,
  ): Promise<operators.api.ChangeResult | undefined> {
    const idKey = CHANGE_ID_PREFIX + request.changeId;
    const rows = await this.options.table.read([HEAD_KEY, idKey]);
    const committedId = rows.get(idKey);
    if (committedId) {
      await this.sync();
      return {kind: 'committed', number: (committedId.value as Head).number};
    }
    const head = rows.get(HEAD_KEY);
    const headNumber = (head?.value as Head | undefined)?.number ?? 0;
    const {expectedNumber} = request;
    if (expectedNumber !== undefined && expectedNumber !== headNumber) {
      const since = await this.changesAfter(expectedNumber);
      return {kind: 'conflict', number: headNumber, since};
    }
    const number = headNumber + 1;
    const change: decisions.config.Change = {
      number,
      changeId: request.changeId,
      author: request.author,
      atMs: this.options.clock.nowMs(),
      edits: request.edits,
    };
    const extraTransaction = extra?.(number);
    const result = await this.options.table.commit({
      conditions: [
        {
          key: HEAD_KEY,
          version: head?.version ?? platform.table.ABSENT_VERSION,
        },
        {key: idKey, version: platform.table.ABSENT_VERSION},
        {key: changeKey(number), version: platform.table.ABSENT_VERSION},
        ...(extraTransaction?.conditions ?? []),
      ],
      writes: [
        {key: HEAD_KEY, value: {number}},
        {key: idKey, value: {number}},
        {key: changeKey(number), value: change},
        ...(extraTransaction?.writes ?? []),
      ],
    });
    if (result.kind === 'committed') {
      this.applyChanges([change]);
      await this.sync();
      return {kind: 'committed', number};
    }
    const extraKeys = new Set(extraTransaction?.conditions.map(c => c.key));
    if (result.kind === 'conflict' && result.keys.some(k => extraKeys.has(k))) {
      return {kind: 'conflict', number: headNumber, since: []};
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

  private async pollChanges(): Promise<void> {
    const {clock, table} = this.options;
    for (;;) {
      const readStartedMs = clock.monotonicMs();
      const rows = await table.read([HEAD_KEY]);
      const head = rows.get(HEAD_KEY)?.value as Head | undefined;
      if ((head?.number ?? 0) <= this.config.number) {
        this.confirmedMs = Math.max(this.confirmedMs, readStartedMs);
        return;
      }
      const changes = await this.changesAfter(this.config.number);
      if (changes.length === 0) return;
      this.applyChanges(changes);
      void this.saveSnapshot();
    }
  }

  private async saveSnapshot(): Promise<void> {
    const {number} = this.config;
    if (number === 0 || number % SNAPSHOT_EVERY_CHANGES !== 0) return;
    const snapshot: Snapshot = {number, edits: this.config.toEdits()};
    await this.options.objects
      .put(SNAPSHOT_KEY, JSON.stringify(snapshot))
      .catch(() => undefined);
  }

  private pushChanges(changes: readonly decisions.config.Change[]): void {
    const body = {changes: changes.map(change => JSON.stringify(change))};
    for (const host of this.options.targets()) {
      this.options.router.send(host, {kind: 'changes', body});
    }
  }
}
