/*
 * The limits of backend servers in requests per second: what they state in
 * answers, and what they take while they are cold.
 */
import type * as decisions from '@banyanhall/decisions';
import type * as statementsModule from '@banyanhall/fleet/statements.js';

import type * as coldservers from './coldservers.js';
import * as directories from './directory.js';
import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';

/** Dependencies of `ServerLimits`. */
export interface ServerLimitsOptions {
  readonly directory: Pick<directories.Directory, 'entry'>;
  readonly statements: Pick<statementsModule.Statements, 'valueOf'>;
  readonly cold: Pick<coldservers.ColdServers, 'limitPerSOf'>;
  /** The part of the fleet that this host sees. */
  readonly part: () => number;
  readonly log: logs.Log;
  readonly metrics: Pick<
    metricsModule.Metrics,
    'limitedSends' | 'serverLimits'
  >;
  /** Called when the limit of a backend server changed. */
  readonly onChange: (server: string) => void;
}

/** The limits of backend servers, by id. */
export class ServerLimits {
  constructor(private readonly options: ServerLimitsOptions) {}

  /** The requests per second that a backend server takes: the lower one of what it states and what it takes while it is cold. */
  limitPerSOf(server: string): number | undefined {
    const limits = [
      this.statedPerSOf(server),
      this.options.cold.limitPerSOf(server),
    ].filter(limit => limit !== undefined);
    return limits.length === 0 ? undefined : Math.min(...limits);
  }

  /** The part of that limit which this side of a partition may use. */
  ownLimitPerSOf(server: string): number | undefined {
    const limitPerS = this.limitPerSOf(server);
    return limitPerS === undefined
      ? undefined
      : limitPerS * this.options.part();
  }

  /** Applies and logs a change of the limit that a backend server states. */
  onStatement(change: statementsModule.StatementChange): void {
    const {server: start, before, after, from, requestId, ageMs} = change;
    const {log, metrics, onChange} = this.options;
    const server = directories.idOfStart(start);
    log.event('server-limit', requestId, {
      ...{server, limitPerS: after, before},
      change: changeOf(before, after),
      from: from || 'answer',
      beforeAgeMs: Math.round(ageMs),
    });
    onChange(server);
    const limitPerS = this.statedPerSOf(server);
    if (limitPerS !== undefined) {
      metrics.serverLimits.set({server}, limitPerS);
      return;
    }
    metrics.serverLimits.remove({server});
    metrics.limitedSends.remove({server});
  }

  /** Describes the limits in a pool, for the log; empty if no backend server has one. */
  describe({backendServers}: decisions.config.Service): string {
    const limits = backendServers.flatMap(
      ({name}) => this.limitPerSOf(name) ?? [],
    );
    if (limits.length === 0) return '';
    const sumPerS = limits.reduce((sum, limit) => sum + limit, 0);
    return `, ${limits.length} of them limited to ${sumPerS.toFixed(1)} requests/s together`;
  }

  private statedPerSOf(server: string): number | undefined {
    const {directory, statements} = this.options;
    const entry = directory.entry(server);
    return entry && statements.valueOf(directories.startOf(entry), 'limit');
  }
}

/** Describes a change of a stated value, for the log. */
export function changeOf(
  before: number | undefined,
  after: number | undefined,
): 'stated' | 'changed' | 'lifted' {
  if (after === undefined) return 'lifted';
  return before === undefined ? 'stated' : 'changed';
}
