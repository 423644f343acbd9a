// The backend servers that accept nothing from this host for a time, by the
// Retry-After of their 503 responses.

import * as decisions from '@banyanhall/decisions';
import type * as statementsModule from '@banyanhall/fleet/statements.js';

import * as directories from './directory.js';
import type * as requests from './request.js';

/** The reason of a rejection while no backend server of a service accepts requests from this host. */
export const REASON = 'server-backoff';

/** The part of what a request may use of a pool that accepts nothing from this host now. */
export interface PoolBackoff {
  /** The ids of these backend servers. */
  readonly excluded: readonly string[];
  /** True if all backend servers of the pool that the request may use are among them. */
  readonly isTotal: boolean;
  /** The time until the first of them accepts requests again, in milliseconds; 0 if there are none. */
  readonly firstMs: number;
}

/** Dependencies of `Backoffs`. */
export interface BackoffsOptions {
  readonly clock: decisions.clock.Clock;
  readonly directory: Pick<directories.Directory, 'entry'>;
  readonly statements: Pick<statementsModule.Statements, 'valueOf'>;
}

/** Tells to which backend servers this host may send nothing now. */
export class Backoffs {
  constructor(private readonly options: BackoffsOptions) {}

  /** Returns how long a start of a backend server accepts nothing from this host, in milliseconds; 0 if it accepts requests. */
  remainingMs(entry: directories.ServerEntry): number {
    const {statements, clock} = this.options;
    const start = directories.startOf(entry);
    const untilMs = statements.valueOf(start, 'retryAfter') ?? -Infinity;
    return Math.max(0, untilMs - clock.monotonicMs());
  }

  /** Returns which backend servers of a pool, in the regions that a request may use, accept nothing from this host now. */
  in(
    pool: Pick<decisions.config.Service, 'backendServers'>,
    {allowedRegions}: Pick<requests.AcceptedRequest, 'allowedRegions'>,
  ): PoolBackoff {
    const backendServers = decisions.regions.only(
      ...([pool.backendServers, allowedRegions] as const),
    );
    const excluded: string[] = [];
    let firstMs = Infinity;
    for (const {name} of backendServers) {
      const entry = this.options.directory.entry(name);
      const leftMs = entry ? this.remainingMs(entry) : 0;
      if (leftMs === 0) continue;
      excluded.push(name);
      firstMs = Math.min(firstMs, leftMs);
    }
    const isTotal = excluded.length === backendServers.length;
    return {
      excluded,
      isTotal: isTotal && excluded.length > 0,
      firstMs: excluded.length > 0 ? Math.ceil(firstMs) : 0,
    };
  }
}
