/*
 * Lets a few hosts watch the store's tables for the others. Watchers pass on
 * what they read and how long ago the store last answered; a host whose
 * watchers have had no answer for too long reads the store itself.
 */
import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

/** Interval at which a watcher confirms that its tables have not changed. */
const HEARTBEAT_MS = 500;
/** Watchers in each zone, or of the whole fleet while it is small; one of them may fail unnoticed. */
const WATCHERS_PER_ZONE = 2;
const WATCHERS_OF_SMALL_FLEET = 3;
const SMALL_FLEET_HOSTS = 48;
/** Rows with more text than this are announced but not passed on: each host reads them over its own link to the store. */
const MAX_RELAYED_BYTES = 16_384;
/** The most batches of changes kept for a table. */
const MAX_KEPT_BATCHES = 64;

/** A row of a watched table: its key within the table and its text; undefined when it was deleted. */
export interface FeedRow {
  readonly key: string;
  readonly text: string | undefined;
  readonly revision: number;
}

/** The changes of a table after revision `from`, up to and including `to`. */
export interface FeedBatch {
  readonly from: number;
  readonly to: number;
  readonly rows: readonly FeedRow[];
}

/** Dependencies of `FeedRelay`; `serving` returns all serving hosts, including this one. */
export interface FeedRelayOptions {
  readonly host: string;
  readonly zone: string;
  readonly clock: decisions.clock.Clock;
  readonly serving: () => readonly decisions.membership.Member[];
  readonly send: (host: string, item: peers.messages.Message) => void;
}

/** What is known of one table. */
interface Table {
  /** Batches from watchers, in order of arrival. */
  batches: readonly FeedBatch[];
  /** The newest revision that a watcher has announced. */
  newest: number;
  /** When the store last answered each watcher, on the monotonic clock of this host. */
  readonly confirmedMs: Map<string, number>;
  /** Wakes the reader of the table; undefined while it does not wait. */
  wake: (() => void) | undefined;
  /** The revision up to which this host has read the store itself; undefined while the store does not answer. */
  readRevision: number | undefined;
  /** When the store last answered this host itself, on the monotonic clock. */
  answeredMs: number;
}

/** When a heartbeat was sent. The monotonic clock stands still while a machine is suspended, the wall clock does not. */
interface Tick {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

function tickOf(clock: decisions.clock.Clock): Tick {
  return {monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs()};
}

/** Returns the hosts that watch the store for `zone`. */
export function watchersOf(
  zone: string,
  serving: readonly decisions.membership.Member[],
): readonly string[] {
  const isSmall = serving.length <= SMALL_FLEET_HOSTS;
  const near = serving.filter(member => member.zone === zone);
  const candidates = decisions.celltopology.largestHosts(
    isSmall ? serving : near,
  );
  const names = candidates.map(member => member.host);
  const count = isSmall ? WATCHERS_OF_SMALL_FLEET : WATCHERS_PER_ZONE;
  const key = isSmall ? 'watcher' : `watcher/${zone}`;
  return decisions.rendezvous.rankNodes(key, names).slice(0, count);
}

/** Tells which tables a host has to read from the store, and passes on what it has read. */
export class FeedRelay {
  private readonly tables = new Map<string, Table>();
  private timer: NodeJS.Timeout | undefined;
  private lastTick: Tick;
  private watchers: readonly string[] = [];
  private watchersFor: readonly decisions.membership.Member[] | undefined;

  constructor(private readonly options: FeedRelayOptions) {
    this.lastTick = tickOf(options.clock);
  }

  /** Starts the heartbeats of watchers. */
  start(): void {
    this.timer = setInterval(() => this.tick(), HEARTBEAT_MS);
  }

  /** Stops the heartbeats. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The age of the oldest answer of the store in use here, over all tables, in milliseconds. */
  get oldestAnswerAgeMs(): number {
    const {nowMs} = this;
    const ages = [...this.tables.values()].map(
      table => nowMs - Math.max(table.answeredMs, this.confirmedMs(table)),
    );
    return Math.max(0, ...ages);
  }

  /** True while this host reads the store for others. */
  get isWatcher(): boolean {
    return this.currentWatchers().includes(this.options.host);
  }

  /**
   * Waits for the changes of a table after `revision` from a watcher. Resolves
   * to undefined when this host has to read them from the store: as a watcher,
   * when it missed a batch, or when no watcher has had an answer from the store
   * for `maxAgeMs`.
   */
  async next(
    name: string,
    revision: number,
    maxAgeMs: number,
  ): Promise<FeedBatch | undefined> {
    const table = this.table(name);
    for (;;) {
      if (this.isWatcher) return undefined;
      table.batches = table.batches.filter(({to}) => to > revision);
      const batch = table.batches.find(({from}) => from <= revision);
      if (batch) return batch;
      if (table.newest > revision) return undefined;
      const leftMs = this.confirmedMs(table) + maxAgeMs - this.nowMs;
      if (leftMs <= 0) return undefined;
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, leftMs);
        table.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      table.wake = undefined;
    }
  }

  /** Passes on a batch that this host has read from the store, if it is a watcher. */
  publish(name: string, batch: FeedBatch): void {
    const table = this.table(name);
    table.readRevision = batch.to;
    table.answeredMs = this.nowMs;
    if (this.isWatcher) this.sendToFollowers(name, batch, true);
  }

  /** Records that the store does not answer this host; followers then turn to it themselves. */
  publishFailure(name: string): void {
    const table = this.table(name);
    const wasAnswering = table.readRevision !== undefined;
    table.readRevision = undefined;
    if (!wasAnswering || !this.isWatcher) return;
    this.sendToFollowers(name, {from: 0, to: 0, rows: []}, false);
  }

  /** Handles a batch or a heartbeat of a watcher. */
  onFeed(from: string, body: peers.messages.MessageBodies['feed']): void {
    const table = this.table(body.table);
    if (!body.isAnswering) {
      table.confirmedMs.delete(from);
      table.wake?.();
      return;
    }
    table.confirmedMs.set(from, this.nowMs - body.ageMs);
    const batch = {
      from: body.fromRevision,
      to: body.toRevision,
      rows: body.rows.map(({key, text, isDeleted, revision}) => {
        return {key, text: isDeleted ? undefined : text, revision};
      }),
    };
    table.newest = Math.max(table.newest, batch.to);
    if (batch.to > batch.from) {
      table.batches = [...table.batches, batch].slice(-MAX_KEPT_BATCHES);
    }
    table.wake?.();
  }

  /** Wakes the readers of all tables after a change of the members. */
  onMembers(): void {
    for (const table of this.tables.values()) table.wake?.();
  }

  /** Sends the heartbeats of a watcher; called on a timer. */
  tick(): void {
    const tick = tickOf(this.options.clock);
    const pausedMs = Math.max(
      tick.monotonicMs - this.lastTick.monotonicMs,
      tick.wallMs - this.lastTick.wallMs,
    );
    const wasFrozen = pausedMs > 2 * HEARTBEAT_MS;
    this.lastTick = tick;
    for (const [name, table] of this.tables) {
      // After a pause this host does not know what it missed until it reads the store again.
      if (wasFrozen) table.readRevision = undefined;
      if (table.readRevision === undefined || !this.isWatcher) continue;
      const revision = table.readRevision;
      const heartbeat = {from: revision, to: revision, rows: []};
      this.sendToFollowers(name, heartbeat, true);
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private table(name: string): Table {
    const known = this.tables.get(name);
    if (known) return known;
    const table: Table = {
      ...{batches: [], newest: 0, confirmedMs: new Map()},
      ...{wake: undefined, readRevision: undefined, answeredMs: this.nowMs},
    };
    this.tables.set(name, table);
    return table;
  }

  private currentWatchers(): readonly string[] {
    const serving = this.options.serving();
    if (serving !== this.watchersFor) {
      this.watchersFor = serving;
      this.watchers = watchersOf(this.options.zone, serving);
    }
    return this.watchers;
  }

  /** Returns when the store last answered a watcher of the table. */
  private confirmedMs({confirmedMs}: Table): number {
    const times = this.currentWatchers().map(host => confirmedMs.get(host));
    return Math.max(...times.map(ms => ms ?? -Infinity));
  }

  private sendToFollowers(
    table: string,
    {from, to, rows}: FeedBatch,
    isAnswering: boolean,
  ): void {
    const {zone, serving, send} = this.options;
    const ageMs = Math.round(this.nowMs - this.table(table).answeredMs);
    const bytes = rows.reduce((sum, {text}) => sum + (text?.length ?? 0), 0);
    const isRelayed = bytes <= MAX_RELAYED_BYTES;
    const body = {
      ...{table, isAnswering, ageMs, toRevision: to},
      fromRevision: isRelayed ? from : to,
      rows: (isRelayed ? rows : []).map(({key, text, revision}) => ({
        ...{key, text: text ?? '', isDeleted: text === undefined, revision},
      })),
    };
    const isSmall = serving().length <= SMALL_FLEET_HOSTS;
    const watchers = this.currentWatchers();
    for (const member of serving()) {
      if (!isSmall && member.zone !== zone) continue;
      if (watchers.includes(member.host)) continue;
      send(member.host, {kind: 'feed', body});
    }
  }
}
