/*
 * The backend servers that are cold after a start, and what they may be sent
 * meanwhile.
 */
import * as decisions from '@banyanhall/decisions';

import type * as directories from './directory.js';
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';

/** How often ends of cold times are looked for; a time that ends late is safe. */
const CHECK_INTERVAL_MS = 100;
/** With entries older than this, a host that does not see the whole fleet can't tell which servers became cold. */
const MAX_ENTRIES_AGE_MS = 4000;
/** The most starts that are remembered; the oldest are dropped first. */
const MAX_STARTS = 8192;

/** The outcomes that show that a backend server is down. */
const DOWN_OUTCOMES: ReadonlySet<decisions.runner.Outcome['kind']> = new Set([
  ...(['unreachable', 'crashed'] as const),
]);

/** Applies to servers that state a time until a keeper has read the configuration. */
const WARMUP_BEFORE_CONFIGURATION: decisions.coldstart.WarmupSettings = {
  ...{durationMs: 3000, perS: 4},
};

/** Dependencies of `ColdServers`. */
export interface ColdServersOptions {
  readonly clock: decisions.clock.Clock;
  readonly directory: Pick<directories.Directory, 'entry' | 'configuration'>;
  readonly bounds: decisions.coldstart.WarmupBounds;
  /** The part of the fleet that this host sees. */
  readonly part: () => number;
  /** The age of the store's answer that this host goes by, in milliseconds. */
  readonly entriesAgeMs: () => number;
  readonly log: logs.Log;
  readonly metrics: Pick<
    metricsModule.Metrics,
    'coldSends' | 'coldReturns' | 'coldServers'
  >;
  /** Called when the limit of a backend server changed. */
  readonly onChange: (server: string) => void;
}

/** What is known of a backend server by its id. */
interface KnownServer {
  readonly start: decisions.coldstart.ColdStart;
  readonly gate: decisions.sendgate.SendGate;
  /** False once its entry is gone. */
  readonly isListed: boolean;
}

/** A limit that has been reported with `onChange`. */
interface ReportedLimit {
  readonly limitPerS: number;
  readonly sinceMs: number;
}

/** The cold backend servers, from the entries that this host has read. */
export class ColdServers {
  private readonly known = new Map<string, KnownServer>();
  private readonly reported = new Map<string, ReportedLimit>();
  private hasList = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ColdServersOptions) {}

  start(): void {
    this.timer = setInterval(() => this.update(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Notes what entries say; undefined for one that is gone. Call `update` once the directory has them too. */
  onEntries(
    entries: ReadonlyMap<string, decisions.coldstart.WarmupEntry | undefined>,
  ): void {
    for (const [id, entry] of entries) this.onEntry(id, entry);
    for (const id of this.known.keys()) {
      if (this.known.size <= MAX_STARTS) break;
      this.known.delete(id);
    }
  }

  /** Notes a full list of entries. */
  onList(
    entries: ReadonlyMap<string, decisions.coldstart.WarmupEntry | undefined>,
  ): void {
    for (const id of this.known.keys()) {
      if (!entries.has(id)) this.onEntry(id, undefined);
    }
    this.onEntries(entries);
    this.hasList = true;
  }

  /** Notes the outcome of an attempt. A backend server that refused connections of all hosts may start again under its id before its entry shows it. */
  onOutcome(server: string, {kind}: decisions.runner.Outcome): void {
    const known = this.known.get(server);
    if (!known || !DOWN_OUTCOMES.has(kind)) return;
    const start = known.start.withDown(this.nowMs);
    this.known.set(server, {...known, start});
    this.update();
  }

  /** The requests per second that a backend server may be sent over all hosts; undefined unless it is cold or may be. */
  limitPerSOf(server: string): number | undefined {
    const warmup = this.warmupOf(server);
    if (!warmup) return undefined;
    const {bounds} = this.options;
    const untilMs = this.known.get(server)?.start.untilMs(warmup) ?? -Infinity;
    return this.nowMs < untilMs || this.isBlind
      ? decisions.coldstart.pacedPerS(warmup, bounds)
      : undefined;
  }

  /** Returns true, and counts the request, if this host may send one to a backend server now. */
  trySend(server: string): boolean {
    const {metrics} = this.options;
    const limitPerS = this.limitPerSOf(server);
    if (limitPerS === undefined) return true;
    const gate = this.known.get(server)?.gate;
    if (gate && !gate.tryPass(limitPerS, this.nowMs)) {
      metrics.coldReturns.inc();
      return false;
    }
    metrics.coldSends.inc();
    return true;
  }

  /** Reports the limits that changed, with an entry, the configuration or time. */
  update(): void {
    const {log, metrics, onChange} = this.options;
    if (!this.isNeeded) return;
    for (const id of new Set([...this.known.keys(), ...this.reported.keys()])) {
      const before = this.reported.get(id);
      const limitPerS = this.limitPerSOf(id);
      if (limitPerS === before?.limitPerS) continue;
      if (limitPerS === undefined) this.reported.delete(id);
      else {
        const sinceMs = before?.sinceMs ?? this.nowMs;
        this.reported.set(id, {limitPerS, sinceMs});
      }
      log.event('server-cold', '', {
        server: id,
        isCold: limitPerS !== undefined,
        limitPerS,
        leftMs: this.leftMs(id),
        coldMs: before && Math.round(this.nowMs - before.sinceMs),
        reason: this.isBlind ? 'entries too old' : 'entry',
      });
      onChange(id);
    }
    metrics.coldServers.set(this.reported.size);
    for (const [id, {isListed}] of this.known) {
      if (!isListed && !this.reported.has(id) && !this.isUsed(id)) {
        this.known.delete(id);
      }
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** True if servers may have become cold without this host or the others that it sees knowing. */
  private get isBlind(): boolean {
    const {part, entriesAgeMs} = this.options;
    return part() < 1 && entriesAgeMs() > MAX_ENTRIES_AGE_MS;
  }

  /** False if no service has cold servers. */
  private get isNeeded(): boolean {
    const {configuration} = this.options.directory;
    if (!configuration || this.reported.size > 0) return true;
    return configuration.fields.services.some(({warmup}) => warmup);
  }

  private isUsed(server: string): boolean {
    return this.options.directory.entry(server) !== undefined;
  }

  /** How a usable backend server warms up; undefined if it needs not. */
  private warmupOf(
    server: string,
  ): decisions.coldstart.WarmupSettings | undefined {
    const {directory} = this.options;
    const entry = directory.entry(server);
    if (!entry) return undefined;
    const {configuration} = directory;
    if (configuration) return configuration.service(entry.service)?.warmup;
    const isStated = this.known.get(server)?.start.isStated;
    return isStated ? WARMUP_BEFORE_CONFIGURATION : undefined;
  }

  private leftMs(server: string): number | undefined {
    const warmup = this.warmupOf(server);
    const start = this.known.get(server)?.start;
    const leftMs = warmup && start && start.untilMs(warmup) - this.nowMs;
    return leftMs !== undefined && leftMs > 0 ? Math.round(leftMs) : undefined;
  }

  private onEntry(
    id: string,
    entry: decisions.coldstart.WarmupEntry | undefined,
  ): void {
    const known = this.known.get(id);
    if (!entry) {
      if (known) this.known.set(id, {...known, isListed: false});
      return;
    }
    const {clock} = this.options;
    const now = {monotonicMs: clock.monotonicMs(), wallMs: clock.nowMs()};
    const start =
      known?.start.withEntry(entry, now) ??
      decisions.coldstart.ColdStart.of(entry, now, !this.hasList);
    const gate = known?.gate ?? new decisions.sendgate.SendGate();
    this.known.set(id, {start, gate, isListed: true});
  }
}
