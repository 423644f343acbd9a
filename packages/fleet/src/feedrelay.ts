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

type StorePosition = decisions.storeposition.StorePosition;

/** A row of a watched table: its key within the table and its text; undefined when it was deleted. */
export interface FeedRow {
  readonly key: string;
  readonly text: string | undefined;
  readonly position: StorePosition;
}

/** The changes of a table after position `from`, up to and including `to`, both of one era of the store. */
export interface FeedBatch {
  readonly from: StorePosition;
  readonly to: StorePosition;
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

/** When the store last answered a watcher, on the monotonic clock of this host, and up to where it had read then. */
interface Confirmation {
  readonly atMs: number;
  readonly position: StorePosition;
}

/** What is known of one table. */
interface Table {
  /** Batches from watchers, in order of arrival. */
  batches: readonly FeedBatch[];
  /** The newest position that a watcher has announced. */
  newest: StorePosition;
  /** The last answer of the store to each watcher. */
  readonly confirmations: Map<string, Confirmation>;
  /** Wakes the reader of the table; undefined while it does not wait. */
  wake: (() => void) | undefined;
  /** The position up to which this host has read the store itself; undefined while the store does not answer. */
  readPosition: StorePosition | undefined;
  /** The newest position that this host has used or read. */
  usedPosition: StorePosition;
  /** True once this host has seen the store come back from an older copy. */
  hasSeenRestore: boolean;
  /** The newest position of which the reader has been told that it is of a later era. */
  announcedEra: StorePosition;
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
   * Waits for the changes of a table after `position` from a watcher. Resolves
   * to undefined when this host has to read them from the store: as a watcher,
   * when it missed a batch, when no watcher has had an answer from the store
   * for `maxAgeMs`, or when `signal` aborts the wait. Resolves to 'restored',
   * once for each era, when a watcher has read the store in a later era than
   * that of `position`: this host then has to list the table.
   */
  async next(
    name: string,
    position: StorePosition,
    maxAgeMs: number,
    signal?: AbortSignal,
  ): Promise<FeedBatch | 'restored' | undefined> {
    const table = this.table(name);
    usePosition(table, position);
    for (;;) {
      if (this.isWatcher || signal?.aborted) return undefined;
      const {newest} = table;
      if (position.isOfEarlierEraThan(newest)) {
        if (!table.announcedEra.isOfEarlierEraThan(newest)) return undefined;
        table.announcedEra = newest;
        return 'restored';
      }
      table.batches = table.batches.filter(({to}) => to.isAfter(position));
      const batch = table.batches.find(({from}) => !from.isAfter(position));
      if (batch) return batch;
      if (newest.isAfter(position)) return undefined;
      const leftMs = this.confirmedMs(table, position) + maxAgeMs - this.nowMs;
      if (leftMs <= 0) return undefined;
      await new Promise<void>(resolve => {
        const wake = () => {
          clearTimeout(timer);
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        signal?.addEventListener('abort', wake);
        table.wake = wake;
      });
      table.wake = undefined;
    }
  }

  /** Takes a batch of changes after `position` that a watcher has passed on, if there is one; for a host that the store does not answer. */
  take(name: string, position: StorePosition): FeedBatch | undefined {
    const table = this.table(name);
    table.batches = table.batches.filter(({to}) => to.isAfter(position));
    return table.batches.find(
      ({from}) => from.isOfSameEraAs(position) && !from.isAfter(position),
    );
  }

  /** Passes on a batch that this host has read from the store, if it is a watcher. */
  publish(name: string, batch: FeedBatch): void {
    const table = this.table(name);
    usePosition(table, batch.to);
    table.readPosition = batch.to;
    table.batches = table.batches.filter(({to}) => to.isAfter(batch.to));
    table.answeredMs = this.nowMs;
    if (this.isWatcher) this.sendToFollowers(name, batch, true);
  }

  /** Records that the store does not answer this host; followers then turn to it themselves. */
  publishFailure(name: string): void {
    const table = this.table(name);
    const wasAnswering = table.readPosition !== undefined;
    table.readPosition = undefined;
    if (!wasAnswering || !this.isWatcher) return;
    const {start} = decisions.storeposition.StorePosition;
    this.sendToFollowers(name, {from: start, to: start, rows: []}, false);
  }

  /** Stops confirming what was read before the store came back from an older copy. */
  onStoreRestored(): void {
    for (const table of this.tables.values()) table.readPosition = undefined;
  }

  /** Handles a batch or a heartbeat of a watcher. */
  onFeed(from: string, body: peers.messages.MessageBodies['feed']): void {
    const table = this.table(body.table);
    const era = eraOf(table, body);
    if (!body.isAnswering || era === undefined) {
      table.confirmations.delete(from);
      table.wake?.();
      return;
    }
    const at = (revision: number) =>
      decisions.storeposition.StorePosition.of(era, revision);
    const batch = {
      from: at(body.fromRevision),
      to: at(body.toRevision),
      rows: body.rows.map(({key, text, isDeleted, revision}) => {
        const position = at(revision);
        return {key, text: isDeleted ? undefined : text, position};
      }),
    };
    const atMs = this.nowMs - body.ageMs;
    table.confirmations.set(from, {atMs, position: batch.to});
    table.newest = table.newest.latest(batch.to);
    if (batch.to.isAfter(batch.from)) {
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
      if (wasFrozen) table.readPosition = undefined;
      if (table.readPosition === undefined || !this.isWatcher) continue;
      const position = table.readPosition;
      const heartbeat = {from: position, to: position, rows: []};
      this.sendToFollowers(name, heartbeat, true);
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private table(name: string): Table {
    const known = this.tables.get(name);
    if (known) return known;
    const {start} = decisions.storeposition.StorePosition;
    const table: Table = {
      ...{batches: [], newest: start, confirmations: new Map()},
      ...{wake: undefined, readPosition: undefined, answeredMs: this.nowMs},
      ...{usedPosition: start, hasSeenRestore: false, announcedEra: start},
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

  /** Returns when the store last answered a watcher of the table, of those that have read it in the era of `position` or a later one. */
  private confirmedMs(
    {confirmations}: Table,
    position = decisions.storeposition.StorePosition.start,
  ): number {
    const times = this.currentWatchers().map(host => {
      const found = confirmations.get(host);
      if (!found || found.position.isOfEarlierEraThan(position)) {
        return -Infinity;
      }
      return found.atMs;
    });
    return Math.max(...times);
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
    const {era, revision: toRevision} = to.encode();
    const hasEra = era !== decisions.storeposition.UNKNOWN_ERA;
    const body = {
      ...{table, isAnswering, ageMs, toRevision, hasEra},
      era: hasEra ? era : 0,
      fromRevision: (isRelayed ? from : to).encode().revision,
      rows: (isRelayed ? rows : []).map(({key, text, position}) => ({
        ...{key, text: text ?? '', isDeleted: text === undefined},
        revision: position.encode().revision,
      })),
    };
    const isSmall = serving().length <= SMALL_FLEET_HOSTS;
    const watchers = this.currentWatchers();
    for (const member of serving()) {
      if (!isSmall && member.zone !== zone) continue;
      // Other watchers read the store themselves. If it does not answer them they need all batches, as each one follows on another.
      const isHeartbeat = body.fromRevision === toRevision;
      if (watchers.includes(member.host) && isHeartbeat) continue;
      if (member.host === this.options.host) continue;
      send(member.host, {kind: 'feed', body});
    }
  }
}

/** Records a position of the store that this host goes by. */
function usePosition(table: Table, position: StorePosition): void {
  const {usedPosition} = table;
  const {start} = decisions.storeposition.StorePosition;
  const isFirst = usedPosition.isOfSameEraAs(start);
  const isLater = usedPosition.isOfEarlierEraThan(position);
  if (isLater && !isFirst) table.hasSeenRestore = true;
  table.usedPosition = usedPosition.latest(position);
}

/**
 * The era of the revisions in a message. An older build does not state it:
 * while this host has seen no restore, it is that of the host itself, since
 * both have read the same era; after one it is unknown (undefined).
 */
function eraOf(
  table: Table,
  body: peers.messages.MessageBodies['feed'],
): number | undefined {
  if (body.hasEra) return body.era;
  return table.hasSeenRestore ? undefined : table.usedPosition.encode().era;
}
