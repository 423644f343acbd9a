// What the answers to this host's requests tell of backend servers: their load
// reports and their statements.

import * as decisions from '@banyanhall/decisions';
import type * as statementsModule from '@banyanhall/fleet/statements.js';
import type * as forwarding from '@banyanhall/forwarding';

import * as backoffs from './backoffs.js';
import * as directories from './directory.js';
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';
import type * as requests from './request.js';

/** The most headers of starts of backend servers of which it is remembered that an unreadable value was logged. */
const MAX_UNREADABLE = 1024;
const MAX_LOGGED_CHARS = 200;
/** The most starts of backend servers whose last load report is kept, for the log. */
const MAX_REPORTS = 4096;
/** The most load reports in the line of a refusal. */
const MAX_LOGGED_LOADS = 8;
/** From this figure on a backend server counts as slowed in metrics; scheduling has no such bound. */
const SLOWED_PERCENT = 200;

/** Logs what backend servers state that can't be read. */
export class UnreadableLog {
  private readonly logged = new Set<string>();

  constructor(private readonly log: logs.Log) {}

  /** Logs each header that could not be read, once for a start of a backend server. */
  report(
    entry: directories.ServerEntry,
    unreadable: readonly forwarding.statements.Unreadable[],
  ): void {
    for (const {header, text} of unreadable) {
      const key = `${directories.startOf(entry)} ${header}`;
      if (this.logged.has(key)) continue;
      if (this.logged.size >= MAX_UNREADABLE) this.logged.clear();
      this.logged.add(key);
      this.log.event('bad-input', '', {
        ...{what: 'statement of a backend server', key: entry.id},
        detail: `${header}: ${text}`.slice(0, MAX_LOGGED_CHARS),
      });
    }
  }
}

/** Dependencies of `ServerReports`. */
export interface ServerReportsOptions {
  readonly clock: decisions.clock.Clock;
  readonly log: logs.Log;
  readonly metrics: metricsModule.Metrics;
  readonly directory: Pick<directories.Directory, 'entry'>;
  readonly statements: statementsModule.Statements;
}

/** What was known of a backend server when a request was sent to it. */
export interface KnownServer {
  readonly start: string;
  readonly sentRevisions: statementsModule.SentRevisions;
  /** Used for headers of the answer that can't be read. */
  readonly statements: forwarding.statements.KnownStatements;
  /** The same for the line of the attempt. */
  readonly logFields: logs.Fields;
}

interface DatedReport {
  readonly load: forwarding.loadreport.LoadReport;
  readonly atMs: number;
}

/** Keeps what answers tell of backend servers, and passes it on. */
export class ServerReports {
  /** Tells to which backend servers nothing may be sent now. */
  readonly backoffs: backoffs.Backoffs;
  private readonly unreadable: UnreadableLog;
  /** The last load report by start of a backend server, the oldest first. */
  private readonly reports = new Map<string, DatedReport>();

  constructor(private readonly options: ServerReportsOptions) {
    this.backoffs = new backoffs.Backoffs(options);
    this.unreadable = new UnreadableLog(options.log);
  }

  /** Returns what is known of a backend server to which a request is sent now, and counts the request if the server states a limit. */
  beforeSend(entry: directories.ServerEntry): KnownServer {
    const {statements, metrics} = this.options;
    const start = directories.startOf(entry);
    const limitPerS = statements.valueOf(start, 'limit');
    const brittle = statements.valueOf(start, 'brittle');
    if (limitPerS !== undefined) metrics.limitedSends.inc({server: entry.id});
    return {
      start,
      sentRevisions: statements.revisionsOf(start),
      statements: {limit: limitPerS, brittle},
      logFields: {limitPerS, brittle, ...this.reportFields(start)},
    };
  }

  /** Handles the answer to a request that was sent when `known` was known; a failure without an answer tells nothing. */
  afterSend(
    entry: directories.ServerEntry,
    requestId: string,
    known: KnownServer,
    {load, statements: stated}: forwarding.upstream.AttemptResult,
  ): void {
    if (!stated) return;
    const {statements, clock} = this.options;
    const nowMs = clock.monotonicMs();
    this.unreadable.report(entry, stated.unreadable);
    if (load) this.keep(known.start, {load, atMs: nowMs});
    const {retryAfter: forMs} = stated;
    const retryAfter = forMs === undefined ? undefined : nowMs + forMs;
    const values = {...stated, retryAfter};
    const {start, sentRevisions} = known;
    statements.onAnswer(requestId, start, sentRevisions, values);
  }

  /** Describes what the backend servers of a pool state besides limits, for the line of a refusal; empty if they state nothing. */
  describe(
    {backendServers}: decisions.config.Service,
    request: Pick<requests.AcceptedRequest, 'allowedRegions'>,
  ): string {
    const {directory, statements} = this.options;
    const starts = backendServers.flatMap(({name}) => {
      const entry = directory.entry(name);
      return entry ? [directories.startOf(entry)] : [];
    });
    const brittle = starts.filter(
      start => statements.valueOf(start, 'brittle') !== undefined,
    ).length;
    const {excluded, firstMs} = this.backoffs.in({backendServers}, request);
    const loads = starts.flatMap(start => {
      const {load, loadAgeMs} = this.reportFields(start);
      return load === undefined ? [] : [`${load} (${loadAgeMs} ms)`];
    });
    const parts = [
      brittle > 0 && `${brittle} brittle`,
      excluded.length > 0 &&
        `${excluded.length} accept nothing from this host, the first again in ${firstMs} ms`,
      loads.length > 0 && `loads ${loads.slice(0, MAX_LOGGED_LOADS).join(' ')}`,
    ];
    return parts.flatMap(part => (part ? [`, ${part}`] : [])).join('');
  }

  /** Sets the gauge of the backend servers that are slowed, by recent reports to this host. */
  setGauges(): void {
    const {clock, metrics} = this.options;
    const sinceMs = clock.monotonicMs() - decisions.slowdown.MAX_AGE_MS;
    const slowed = [...this.reports.values()].filter(
      ({load: {slowdownPercent = 0}, atMs}) =>
        slowdownPercent >= SLOWED_PERCENT && atMs >= sinceMs,
    );
    const help = 'Backend servers on which work takes twice the usual time.';
    metrics.setGauge('slowed_servers', help, slowed.length);
  }

  private reportFields(start: string): {
    readonly load?: string;
    readonly loadAgeMs?: number;
  } {
    const report = this.reports.get(start);
    if (!report) return {};
    const {running, waiting, slots, slowdownPercent} = report.load;
    const figures = [running, waiting, slots, slowdownPercent ?? []].flat();
    const ageMs = this.options.clock.monotonicMs() - report.atMs;
    return {load: figures.join(','), loadAgeMs: Math.round(ageMs)};
  }

  private keep(start: string, report: DatedReport): void {
    this.reports.delete(start);
    this.reports.set(start, report);
    if (this.reports.size <= MAX_REPORTS) return;
    for (const oldest of this.reports.keys()) {
      this.reports.delete(oldest);
      return;
    }
  }
}
