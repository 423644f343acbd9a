// What a host does with the statements of backend servers about themselves.

import type * as decisions from '@banyanhall/decisions';
import type * as statementsModule from '@banyanhall/fleet/statements.js';

import * as directories from './directory.js';
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';
import * as serverlimits from './serverlimits.js';

type Change = statementsModule.StatementChange;

/** Dependencies of `ServerStatements`. */
export interface ServerStatementsOptions {
  readonly clock: decisions.clock.Clock;
  readonly log: logs.Log;
  readonly metrics: metricsModule.Metrics;
  readonly directory: directories.Directory;
  readonly statements: Pick<statementsModule.Statements, 'valueOf' | 'count'>;
  /** Applies and logs changes of stated limits. */
  readonly limits: Pick<serverlimits.ServerLimits, 'onStatement'>;
  /** Makes the keeper apply a change of whether a backend server is brittle. */
  readonly onBrittle: (server: string) => void;
}

/** Applies and logs changes of what backend servers state, by kind. */
export class ServerStatements {
  private readonly handlers: Readonly<
    Record<decisions.statement.StatementKind, (change: Change) => void>
  > = {
    limit: change => this.options.limits.onStatement(change),
    leaving: change => this.onLeaving(change),
    brittle: change => this.onBrittle(change),
    retryAfter: change => this.onRetryAfter(change),
  };

  constructor(private readonly options: ServerStatementsOptions) {}

  /** Handles a change of what is known of a start of a backend server. */
  onChange(change: Change): void {
    this.handlers[change.kind](change);
  }

  /** True if a backend server states that it is brittle. */
  isBrittle(server: string): boolean {
    const {directory, statements} = this.options;
    const entry = directory.entry(server);
    if (!entry) return false;
    const start = directories.startOf(entry);
    return statements.valueOf(start, 'brittle') !== undefined;
  }

  /** Sets the gauges of the backend servers that state something. */
  setGauges(): void {
    const {clock, metrics, statements} = this.options;
    const brittle = statements.count('brittle');
    const brittleHelp = 'Starts of backend servers that state to be brittle.';
    metrics.setGauge('brittle_servers', brittleHelp, brittle);
    const nowMs = clock.monotonicMs();
    const backingOff = statements.count('retryAfter', nowMs);
    const help =
      'Backend servers that accept nothing from this host for a time.';
    metrics.setGauge('server_backoffs', help, backingOff);
  }

  /** Stops using a backend server that leaves. */
  private onLeaving(change: Change): void {
    const {server: start, after, from, requestId} = change;
    if (after === undefined) return;
    const {log, metrics, directory} = this.options;
    const server = directories.idOfStart(start);
    log.event('server-leaving', requestId, {server, from: from || 'answer'});
    metrics.leavingServers.inc();
    directory.onLeaving(start);
  }

  /** Applies and logs that a backend server is brittle, or not any more. */
  private onBrittle(change: Change): void {
    const {server: start, before, after, from, requestId, ageMs} = change;
    const server = directories.idOfStart(start);
    this.options.log.event('server-brittle', requestId, {
      ...{server, rejectionsPerS: after, before},
      change: serverlimits.changeOf(before, after),
      from: from || 'answer',
      beforeAgeMs: Math.round(ageMs),
    });
    this.options.onBrittle(server);
  }

  /** Logs for how long a backend server accepts nothing from this host; whatever sends asks `Backoffs`. */
  private onRetryAfter({server: start, after, requestId}: Change): void {
    if (after === undefined) return;
    const {log, clock} = this.options;
    const server = directories.idOfStart(start);
    const forMs = Math.round(after - clock.monotonicMs());
    log.event('server-backoff', requestId, {server, forMs});
  }
}
