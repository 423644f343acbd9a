import * as decisions from '@banyanhall/decisions';
import type * as routing from '@banyanhall/routing';

import type * as logs from './logs.js';

/** How long an entry that vanished while the store was away may take to come back, in milliseconds. */
const LAPSED_RETURN_MS = 2200;

/** How long the last server of a service is used after its entry vanished; it serves on for a stated time, in milliseconds. */
const LAST_KEPT_MS = 1500;

/** Requests at once that a backend server is given when nothing says how many. */
const MIN_CAPACITY = 1;

/** Separates a service from the version that is being tried, in the name of a pool. */
const CANDIDATE_MARK = '~';

/** A backend server as its own entry in the list describes it. */
export interface ServerEntry {
  /** Names this start of the backend server. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly version: string;
  readonly capacity: number;
  readonly isDraining: boolean;
  /** When this start of the backend server began; 0 when it does not say. */
  readonly startedAtMs: number;
}

/** The speeds that are assumed before anything was measured; lower than typical ones, so that learning corrects upwards. */
const DEFAULTS: Readonly<Record<'pace' | 'plainPace', decisions.pace.Pace>> = {
  // An engine in a full batch.
  pace: {prefillTokensPerS: 20_000, decodeTokensPerS: 150},
  // 50 ms a request of `PLAIN_OUTPUT_TOKENS` tokens.
  plainPace: {prefillTokensPerS: 1_000_000, decodeTokensPerS: 200},
};

/** Tokens that a request to a plain service counts as, so that its duration can be learned like a pace. */
export const PLAIN_REQUEST_TOKENS = 10;

/** What the directory needs from the rest of the host. */
export interface DirectoryOptions {
  readonly clock: decisions.clock.Clock;
  readonly log: logs.Log;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly onChange: () => void;
}

/**
 * The configuration in force and the backend servers that may be used.
 *
 * Invariants: the configuration never goes back; an entry that is gone or
 * drains is used no more, but one that vanished while the store was away
 * stays until `LAPSED_RETURN_MS` after the store's return, and the last one
 * of a service for `LAST_KEPT_MS`, since its entry may only have lapsed.
 */
export class Directory {
  private current: routing.configuration.Configuration | undefined;
  private readonly entries = new Map<string, ServerEntry>();
  private readonly lapsing = new Map<string, NodeJS.Timeout>();
  private candidates: ReadonlyMap<string, string> = new Map();
  private pools = decisions.config.Config.empty;
  private isBatching = false;
  /** True when changes of a batch are not in the pools yet. */
  private isStale = false;
  private isStoreAway = false;
  private storeBackMs = -Infinity;
  private changedMs = -Infinity;

  constructor(private readonly options: DirectoryOptions) {}

  /** The configuration in force; undefined until one is known. */
  get configuration(): routing.configuration.Configuration | undefined {
    return this.current;
  }

  /** How long the present configuration has been in force here. */
  get configurationAgeMs(): number {
    return this.options.clock.monotonicMs() - this.changedMs;
  }

  /** The pools of backend servers, as the keepers of slots see them. */
  get config(): decisions.config.Config {
    return this.pools;
  }

  /** The backend servers of a service that may be used, by id. */
  servers(service: string): readonly ServerEntry[] {
    return [...this.entries.values()].filter(e => e.service === service);
  }

  /** The entry of a backend server that may be used. */
  entry(id: string): ServerEntry | undefined {
    return this.entries.get(id);
  }

  /** The pool to draw from for a service, or for the version that is tried on it. */
  pool(
    service: string,
    isCandidate: boolean,
  ): decisions.config.Service | undefined {
    const name = isCandidate ? service + CANDIDATE_MARK : service;
    return this.pools.get('service', name);
  }

  /** Takes in a configuration; an older one than that in force changes nothing. */
  onConfiguration(next: routing.configuration.Configuration): boolean {
    if (this.current && next.version <= this.current.version) return false;
    const isFirst = !this.current;
    this.current = next;
    this.changedMs = this.options.clock.monotonicMs();
    this.options.log.event('configuration', '', {
      version: next.version,
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

  /** Takes in what the list says of a backend server; undefined when its entry is gone. */
  onServerEntry(id: string, entry: ServerEntry | undefined): void {
    clearTimeout(this.lapsing.get(id));
    this.lapsing.delete(id);
    const known = this.entries.get(id);
    if (!entry && known && this.mayHaveLapsed()) {
      return this.hold(id, LAPSED_RETURN_MS);
    }
    const isLast = known && this.servers(known.service).length === 1;
    if (!entry && isLast) return this.hold(id, LAST_KEPT_MS);
    if (!entry || entry.isDraining) {
      if (!known) return;
      this.entries.delete(id);
      const reason = entry ? 'draining' : 'entry gone';
      this.options.log.event('server-left', '', {server: id, reason});
      return this.rebuild();
    }
    if (known && isSame(known, entry)) return;
    this.entries.set(id, entry);
    const {service, address, version, zone} = entry;
    const fields = {server: id, service, address, version, zone};
    this.options.log.event('server-listed', '', fields);
    this.rebuild();
  }

  /** Takes in several changes of the list; the pools are rebuilt once. */
  onServerEntries(changes: ReadonlyMap<string, ServerEntry | undefined>): void {
    this.isBatching = true;
    for (const [id, entry] of changes) this.onServerEntry(id, entry);
    this.isBatching = false;
    if (this.isStale) this.rebuild();
  }

  /** Replaces the whole list: what is missing from it is gone. */
  replaceServerEntries(
    all: ReadonlyMap<string, ServerEntry | undefined>,
  ): void {
    const missing = [...this.entries.keys()].filter(id => !all.has(id));
    const gone = missing.map(id => [id, undefined] as const);
    this.onServerEntries(new Map([...gone, ...all]));
  }

  /** Notes whether the store answers. */
  onStoreStatus(isAnswering: boolean): void {
    if (this.isStoreAway === !isAnswering) return;
    this.isStoreAway = !isAnswering;
    if (isAnswering) this.storeBackMs = this.options.clock.monotonicMs();
  }

  /** Sets the versions that are being tried, by service. */
  setCandidates(candidates: ReadonlyMap<string, string>): void {
    this.candidates = candidates;
    this.rebuild();
  }

  /** True when the service has both a version in use and the version that is tried. */
  hasBaseAndCandidate(service: string): boolean {
    const base = this.pool(service, false)?.backendServers ?? [];
    const tried = this.pool(service, true)?.backendServers ?? [];
    return base.length > 0 && tried.length > 0;
  }

  private mayHaveLapsed(): boolean {
    const sinceMs = this.options.clock.monotonicMs() - this.storeBackMs;
    return this.isStoreAway || sinceMs < LAPSED_RETURN_MS;
  }

  private hold(id: string, forMs: number): void {
    const timer = setTimeout(() => {
      this.lapsing.delete(id);
      if (this.isStoreAway) return this.hold(id, LAPSED_RETURN_MS);
      if (!this.entries.delete(id)) return;
      const reason = 'entry did not come back';
      this.options.log.event('server-left', '', {server: id, reason});
      this.rebuild();
    }, forMs);
    this.lapsing.set(id, timer);
  }

  private rebuild(): void {
    this.isStale = this.isBatching;
    if (this.isBatching) return;
    const services = new Set([...this.entries.values()].map(e => e.service));
    const edits: decisions.config.Edit[] = [];
    for (const service of services) {
      const all = this.servers(service);
      const tried = this.candidates.get(service);
      const candidates = all.filter(entry => entry.version === tried);
      const base = all.filter(entry => entry.version !== tried);
      const pools = [
        // When only the tried version is left, it is the one in use.
        {name: service, entries: base.length > 0 ? base : candidates},
        {name: service + CANDIDATE_MARK, entries: candidates},
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
    const terms = this.current?.service(service);
    const isEngine = (terms?.memoryTokens ?? 0) > 0;
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
        slotTokens: isEngine ? (terms?.memoryTokens ?? 0) : Infinity,
        maxRunning: Math.max(
          MIN_CAPACITY,
          entry.capacity || terms?.capacity || MIN_CAPACITY,
        ),
        expectedPace: isEngine ? DEFAULTS.pace : DEFAULTS.plainPace,
      })),
    };
  }
}

function isSame(a: ServerEntry, b: ServerEntry): boolean {
  const keys = Object.keys(a) as (keyof ServerEntry)[];
  return keys.every(key => a[key] === b[key]);
}
