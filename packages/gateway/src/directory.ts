/*
 * Holds the configuration in force and the backend servers listed in the
 * store, and builds from them the pools that keepers schedule on.
 */
import * as decisions from '@banyanhall/decisions';
import type * as routing from '@banyanhall/routing';

import type * as logs from './logs.js';

/** How long an entry is kept that disappears during a store outage or within this time after one, in milliseconds; prolonged by the same time while the outage lasts. */
const OUTAGE_GRACE_MS = 2200;

/** How long the last backend server of a service is used after its entry disappeared, in milliseconds; backend servers go on serving for a specified time after their entry is gone. */
const LAST_SERVER_GRACE_MS = 1500;

/** After so many heartbeat intervals without one the store removes an entry. */
const EXPIRY_HEARTBEATS = 3;
/** How much later than that a host may learn of it, in milliseconds. */
const EXPIRY_SLACK_MS = 2000;

/** The most starts of backend servers that left and are remembered, and the most ids whose entries are not used yet. */
const MAX_DEPARTURES = 4096;

/** The least number of slots of a backend server; also used when neither its entry nor the configuration states a number. */
const MIN_CAPACITY = 1;

/** Appended to a service's name to name the pool of its candidate. */
const CANDIDATE_SUFFIX = '~';

/** A backend server's own entry in the store. */
export interface ServerEntry {
  /** Identifies one start of the backend server. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly version: string;
  /** The number of slots; 0 when the entry does not state it. */
  readonly capacity: number;
  readonly isDraining: boolean;
  /** When the backend server started; 0 when the entry does not state it. */
  readonly startedAtMs: number;
}

/** What is known of a start of a backend server that left. */
interface Departure {
  /** True if it does not come back: it said itself that it leaves, or another one has its address. */
  readonly isFinal: boolean;
  /** True if it said so in an answer. */
  readonly isStated: boolean;
}

/** The paces assumed before any measurement; below typical values, so that measurements correct them upwards. */
const DEFAULT_PACES: Readonly<
  Record<'pace' | 'plainPace', decisions.pace.Pace>
> = {
  // An inference engine that runs a full batch.
  pace: {prefillTokensPerS: 20_000, decodeTokensPerS: 150},
  // 50 ms per request of `PLAIN_REQUEST_TOKENS` tokens.
  plainPace: {prefillTokensPerS: 1_000_000, decodeTokensPerS: 200},
};

/** Output tokens assigned to a request to a plain service, one without an inference engine, so that its duration can be learned as a pace. */
export const PLAIN_REQUEST_TOKENS = 10;

/** Dependencies of `Directory`. */
export interface DirectoryOptions {
  readonly clock: decisions.clock.Clock;
  readonly log: logs.Log;
  readonly regionByZone: ReadonlyMap<string, string>;
  /** The interval at which backend servers write their entries. */
  readonly heartbeatMs: number;
  /** Returns true if nothing may be sent to the backend servers of an availability zone; without this function, all may be used. */
  readonly isEvacuated?: (zone: string) => boolean;
  readonly onChange: () => void;
}

/**
 * The configuration in force and the backend servers that may be used.
 *
 * Invariants: the configuration version never decreases; a server whose entry
 * is gone or draining is not used. Two exceptions, since an entry that is gone
 * may only have expired: one that disappears during or shortly after a store
 * outage is kept for `OUTAGE_GRACE_MS`, and the last one of a service for
 * `LAST_SERVER_GRACE_MS`. Servers in evacuated zones stay listed, and are in no pool.
 * Neither are those at whose address a later start is listed: an address belongs to
 * one process, and the entry of the one before stays until it expires.
 *
 * A store that comes back from an older copy may list servers again that left.
 * A start that was draining stays out. One that was gone is used again once its
 * entry shows a later heartbeat, is written again, or is still listed when it
 * would have expired.
 */
export class Directory {
  private current: routing.configuration.Configuration | undefined;
  private readonly entries = new Map<string, ServerEntry>();
  /** The latest start at each address, of the services in the configuration. */
  private latestByAddress: ReadonlyMap<string, ServerEntry> = new Map();
  private readonly removalTimers = new Map<string, NodeJS.Timeout>();
  /** The starts that left, by name from `startOf`, the latest last. */
  private readonly departures = new Map<string, Departure>();
  /** Timers of entries of a restored store that are not used yet, by id. */
  private readonly heldTimers = new Map<string, NodeJS.Timeout>();
  private candidates: ReadonlyMap<string, string> = new Map();
  private pools = decisions.config.Config.empty;
  private isBatching = false;
  /** True when the pools lack changes of the current batch. */
  private isStale = false;
  private isStoreDown = false;
  private storeRecoveredMs = -Infinity;
  private changedMs = -Infinity;

  constructor(private readonly options: DirectoryOptions) {}

  /** The configuration in force; undefined until one is known. */
  get configuration(): routing.configuration.Configuration | undefined {
    return this.current;
  }

  /** How long the current configuration has been in force on this host, in milliseconds. */
  get configurationAgeMs(): number {
    return this.options.clock.monotonicMs() - this.changedMs;
  }

  /** The pools of backend servers, as keepers use them. */
  get poolConfig(): decisions.config.Config {
    return this.pools;
  }

  /** The usable backend servers of a service, candidate included. */
  servers(service: string): readonly ServerEntry[] {
    return [...this.entries.values()].filter(
      entry => entry.service === service && this.isUsable(entry),
    );
  }

  /** The entry of a usable backend server by id. */
  entry(id: string): ServerEntry | undefined {
    const entry = this.entries.get(id);
    return entry && this.isUsable(entry) ? entry : undefined;
  }

  /** The entry of the listed backend server at `address` (ip:port), of several the one that started last; also in an evacuated zone, for requests that run there. */
  entryAt(address: string): ServerEntry | undefined {
    return (
      this.latestByAddress.get(address) ??
      [...this.entries.values()].find(each => each.address === address)
    );
  }

  /** The entry of a listed backend server by the name of its current start, from `startOf`; also in an evacuated zone. */
  entryOfStart(start: string): ServerEntry | undefined {
    const entry = this.entries.get(idOfStart(start));
    return entry && startOf(entry) === start ? entry : undefined;
  }

  /** The pool of a service's base version or of its candidate; either stands in for the other when that has no backend server. */
  pool(
    service: string,
    isCandidate: boolean,
  ): decisions.config.Service | undefined {
    const base = this.pools.get('service', service);
    const candidate = this.pools.get('service', service + CANDIDATE_SUFFIX);
    return isCandidate ? (candidate ?? base) : (base ?? candidate);
  }

  /**
   * Applies a configuration; returns false when its version is not newer than
   * the one in force. `from` is logged: the store, a watcher of it or a host.
   */
  onConfiguration(
    next: routing.configuration.Configuration,
    from: string,
  ): boolean {
    if (this.current && next.version <= this.current.version) return false;
    const isFirst = !this.current;
    this.current = next;
    this.changedMs = this.options.clock.monotonicMs();
    this.options.log.event('configuration', '', {
      ...{version: next.version, from},
      routes: next.fields.routes.length,
      accounts: next.fields.accounts
        .map(
          ({name, priority, tokensPerS}) => `${name}:${priority}:${tokensPerS}`,
        )
        .join(' '),
      isFirst,
    });
    this.rebuild();
    return true;
  }

  /** Applies a backend server's entry; undefined when the entry is gone. */
  onServerEntry(id: string, entry: ServerEntry | undefined): void {
    clearTimeout(this.heldTimers.get(id));
    this.heldTimers.delete(id);
    if (!entry) this.forgetStated(id);
    if (entry?.isDraining) this.recordDeparture(entry);
    else if (entry && this.hasDeparted(entry)) return;
    clearTimeout(this.removalTimers.get(id));
    this.removalTimers.delete(id);
    const known = this.entries.get(id);
    if (!entry && known && this.mayHaveExpired()) {
      return this.scheduleRemoval(id, OUTAGE_GRACE_MS);
    }
    if (!entry && known && this.isLast(known)) {
      return this.scheduleRemoval(id, LAST_SERVER_GRACE_MS);
    }
    if (!entry || entry.isDraining) {
      if (!known) return;
      this.entries.delete(id);
      if (!entry) this.recordDeparture(known);
      const reason = entry ? 'draining' : 'entry gone';
      this.options.log.event('server-left', '', {server: id, reason});
      return this.rebuild();
    }
    if (known && startOf(known) !== startOf(entry)) this.recordDeparture(known);
    this.departures.delete(startOf(entry));
    if (known && areEqual(known, entry)) return;
    this.entries.set(id, entry);
    const {service, address, version, zone} = entry;
    const fields = {server: id, service, address, version, zone};
    this.options.log.event('server-listed', '', fields);
    this.rebuild();
  }

  /** Stops using a start of a backend server that has stated in an answer that it leaves, whatever its entry says. */
  onLeaving(start: string): void {
    this.addDeparture(start, {isFinal: true, isStated: true});
    this.drop(start, 'stated that it leaves');
  }

  /** Stops using a start of a backend server at whose address another one has answered. */
  onMisdirected(entry: ServerEntry): void {
    const start = startOf(entry);
    // Without the time of the start, a later one has the same name.
    const isFinal = entry.startedAtMs > 0;
    this.addDeparture(start, {isFinal, isStated: false});
    const known = this.entryOfStart(start);
    if (!known || !this.isLast(known) || this.hasOtherAt(known)) {
      return this.drop(start, 'another server at its address');
    }
    if (this.removalTimers.has(known.id)) return;
    this.scheduleRemoval(known.id, LAST_SERVER_GRACE_MS);
  }

  /** Applies several entries and rebuilds the pools once. */
  onServerEntries(changes: ReadonlyMap<string, ServerEntry | undefined>): void {
    this.isBatching = true;
    for (const [id, entry] of changes) this.onServerEntry(id, entry);
    this.isBatching = false;
    if (this.isStale) this.rebuild();
  }

  /** Replaces all entries; known ones missing from `all` are treated as gone. `isRestored` if the store came back from an older copy: they may then be written again, and some of `all` may be of servers that left. */
  replaceServerEntries(
    all: ReadonlyMap<string, ServerEntry | undefined>,
    isRestored = false,
  ): void {
    if (isRestored) {
      this.storeRecoveredMs = this.options.clock.monotonicMs();
    }
    const known = [...this.entries.keys(), ...this.heldTimers.keys()];
    const missing = known.filter(id => !all.has(id));
    const changes = new Map<string, ServerEntry | undefined>(
      missing.map(id => [id, undefined]),
    );
    for (const [id, entry] of all) {
      const mayHaveLeft = isRestored || this.heldTimers.has(id);
      if (entry && mayHaveLeft && this.isCopyOfDeparted(entry)) {
        this.hold(id, entry, isRestored);
      } else {
        changes.set(id, entry);
      }
    }
    this.onServerEntries(changes);
  }

  /** Ends the delays after which entries are removed or used. */
  stop(): void {
    for (const timers of [this.removalTimers, this.heldTimers]) {
      for (const timer of timers.values()) clearTimeout(timer);
      timers.clear();
    }
  }

  /** Records whether the store answers. */
  onStoreStatus(isAnswering: boolean): void {
    if (this.isStoreDown === !isAnswering) return;
    this.isStoreDown = !isAnswering;
    if (isAnswering) this.storeRecoveredMs = this.options.clock.monotonicMs();
  }

  /** Builds the pools again after a change of the evacuated zones. */
  onEvacuations(): void {
    this.rebuild();
  }

  /** Sets the candidate versions by service. */
  setCandidates(candidates: ReadonlyMap<string, string>): void {
    this.candidates = candidates;
    this.rebuild();
  }

  /** True when the service has backend servers of both its base version and its candidate. */
  hasBaseAndCandidate(service: string): boolean {
    return this.pool(service, false) !== this.pool(service, true);
  }

  /** Removes the entry of a start; one of a later start of the server stays. */
  private drop(start: string, reason: string): void {
    const entry = this.entryOfStart(start);
    if (!entry) return;
    const {id} = entry;
    clearTimeout(this.removalTimers.get(id));
    this.removalTimers.delete(id);
    this.entries.delete(id);
    this.options.log.event('server-left', '', {server: id, reason});
    this.rebuild();
  }

  private recordDeparture(entry: ServerEntry): void {
    this.addDeparture(startOf(entry), {
      // Without the time of the start, a later one has the same name.
      isFinal: entry.isDraining && entry.startedAtMs > 0,
      isStated: false,
    });
  }

  /** Allows a later start to have the same name, as it has if entries don't state the time of the start. */
  private forgetStated(id: string): void {
    const start = startOf({id, startedAtMs: 0});
    if (!this.departures.get(start)?.isStated) return;
    this.departures.set(start, {isFinal: false, isStated: false});
  }

  private addDeparture(start: string, departure: Departure): void {
    const known = this.departures.get(start);
    this.departures.delete(start);
    this.departures.set(start, {
      isFinal: departure.isFinal || (known?.isFinal ?? false),
      isStated: departure.isStated || (known?.isStated ?? false),
    });
    for (const oldest of this.departures.keys()) {
      if (this.departures.size <= MAX_DEPARTURES) break;
      this.departures.delete(oldest);
    }
  }

  /** True if the start that an entry is about said that it leaves. */
  private hasDeparted(entry: ServerEntry): boolean {
    return this.departures.get(startOf(entry))?.isFinal === true;
  }

  /** True if a start left and its entry in a restored store may be from before that. */
  private isCopyOfDeparted(entry: ServerEntry): boolean {
    return !entry.isDraining && this.departures.has(startOf(entry));
  }

  /** Uses an entry only if it is still listed when it would have expired; a restore of the store may prolong that. */
  private hold(id: string, entry: ServerEntry, isRestored: boolean): void {
    if (this.heldTimers.has(id) && !isRestored) return;
    clearTimeout(this.heldTimers.get(id));
    this.heldTimers.delete(id);
    if (this.hasDeparted(entry)) return;
    this.options.log.event('server-left', '', {
      server: id,
      reason: 'left before the restore',
    });
    this.scheduleUse(id, entry);
  }

  /** Uses a held entry once the store has answered for as long as it takes the entry to expire. */
  private scheduleUse(id: string, entry: ServerEntry): void {
    const {heartbeatMs, clock} = this.options;
    const forMs = EXPIRY_HEARTBEATS * heartbeatMs + EXPIRY_SLACK_MS;
    const fromMs = clock.monotonicMs();
    const timer = setTimeout(() => {
      if (this.isStoreDown || this.storeRecoveredMs > fromMs) {
        return this.scheduleUse(id, entry);
      }
      this.onServerEntry(id, entry);
    }, forMs);
    this.heldTimers.set(id, timer);
  }

  /** True when an entry may be gone only because the store was down when it had to be renewed. */
  private mayHaveExpired(): boolean {
    const sinceMs = this.options.clock.monotonicMs() - this.storeRecoveredMs;
    return this.isStoreDown || sinceMs < OUTAGE_GRACE_MS;
  }

  /** True if no other backend server of its service may be used. */
  private isLast(entry: ServerEntry): boolean {
    const [first, ...others] = this.servers(entry.service);
    return first === entry && others.length === 0;
  }

  /** True if another backend server of the service is listed at the address of an entry. */
  private hasOtherAt({id, service, address}: ServerEntry): boolean {
    return [...this.entries.values()].some(
      other =>
        other.id !== id &&
        other.service === service &&
        other.address === address,
    );
  }

  /** Removes an entry after a delay, or later if the store is down by then. */
  private scheduleRemoval(id: string, forMs: number): void {
    const timer = setTimeout(() => {
      this.removalTimers.delete(id);
      if (this.isStoreDown) return this.scheduleRemoval(id, OUTAGE_GRACE_MS);
      const entry = this.entries.get(id);
      if (!entry) return;
      this.entries.delete(id);
      this.recordDeparture(entry);
      const reason = 'entry did not come back';
      this.options.log.event('server-left', '', {server: id, reason});
      this.rebuild();
    }, forMs);
    this.removalTimers.set(id, timer);
  }

  private isUsable(entry: ServerEntry): boolean {
    return !this.options.isEvacuated?.(entry.zone) && !this.isSuperseded(entry);
  }

  /** True if a later start is listed at the same address; unknown, and false, if either entry does not state its start. */
  private isSuperseded({address, startedAtMs}: ServerEntry): boolean {
    const latest = this.latestByAddress.get(address);
    return startedAtMs > 0 && !!latest && latest.startedAtMs > startedAtMs;
  }

  /** Returns the latest start at each address. An entry of an unknown service, as of another writer, takes no address. */
  private findLatest(): ReadonlyMap<string, ServerEntry> {
    const latest = new Map<string, ServerEntry>();
    for (const entry of this.entries.values()) {
      const {address, service, startedAtMs} = entry;
      if (!this.current?.service(service)) continue;
      const known = latest.get(address);
      if (known && known.startedAtMs >= startedAtMs) continue;
      latest.set(address, entry);
    }
    return latest;
  }

  private rebuild(): void {
    this.isStale = this.isBatching;
    if (this.isBatching) return;
    this.latestByAddress = this.findLatest();
    const services = new Set([...this.entries.values()].map(e => e.service));
    const edits: decisions.config.Edit[] = [];
    for (const service of services) {
      const all = this.servers(service);
      const candidateVersion = this.candidates.get(service);
      const candidates = all.filter(
        entry => entry.version === candidateVersion,
      );
      const base = all.filter(entry => entry.version !== candidateVersion);
      // Each backend server is in one pool, so that one keeper counts what runs there.
      const pools = [
        {name: service, entries: base},
        {name: service + CANDIDATE_SUFFIX, entries: candidates},
      ];
      for (const {name, entries} of pools) {
        if (entries.length === 0) continue;
        const value = this.poolOf(name, service, entries);
        edits.push({entry: 'service', name, value});
      }
    }
    const number = this.pools.number + 1;
    this.pools = decisions.config.Config.restore(number, edits);
    this.options.onChange();
  }

  private poolOf(
    name: string,
    service: string,
    entries: readonly ServerEntry[],
  ): decisions.config.Service {
    const serviceSettings = this.current?.service(service);
    const isEngine = (serviceSettings?.memoryTokens ?? 0) > 0;
    return {
      name,
      kind: isEngine ? 'model' : 'plain',
      version: entries[0].version,
      fencing: 'ignored',
      backendServers: entries.map(entry => ({
        name: entry.id,
        url: `http://${entry.address}`,
        region: this.options.regionByZone.get(entry.zone) ?? '',
        zone: entry.zone,
        slotTokens: isEngine ? (serviceSettings?.memoryTokens ?? 0) : Infinity,
        maxRunning: Math.max(
          MIN_CAPACITY,
          entry.capacity || serviceSettings?.capacity || MIN_CAPACITY,
        ),
        expectedPace: isEngine ? DEFAULT_PACES.pace : DEFAULT_PACES.plainPace,
      })),
    };
  }
}

/** Returns a name for the start of a backend server that the entry is about; a server may start again with the same id. */
export function startOf({
  id,
  startedAtMs,
}: Pick<ServerEntry, 'id' | 'startedAtMs'>): string {
  return `${id}@${startedAtMs}`;
}

/** Returns the id of the backend server in a name from `startOf`. */
export function idOfStart(start: string): string {
  return start.slice(0, start.lastIndexOf('@'));
}

function areEqual(a: ServerEntry, b: ServerEntry): boolean {
  const keys = Object.keys(a) as (keyof ServerEntry)[];
  return keys.every(key => a[key] === b[key]);
}
