// Connections to backend servers through other hosts, which are tried one after another.
import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

/** The time after which the next host is tried beside one that has not connected yet. */
const STAGGER_MS = 50;
/** The most hosts that are asked to connect, and the most of all that are tried, as some may have no way either. */
const MAX_CONNECTING = 3;
const MAX_TRIED = 6;
/** After this time no more hosts are tried once one has found the backend server unreachable. */
const MIN_SEARCH_MS = 200;
/** A host whose link hangs neither connects nor fails. */
const SEARCH_TIMEOUT_MS = 600;

/** What the failure of another host to connect tells: the backend server is unreachable from there, the host has lost its links too, or nothing. */
export type CarrierFailure = 'unreachable' | 'cut-off' | 'unknown';

/** A connection through another host; emits `connect` once it stands, and `error`. */
export interface CarriedConnection {
  readonly host: string;
  readonly connection: stream.Duplex;
}

/** The hosts through which a backend server may be reached. */
export interface Carriers {
  /** Starts a connection through the best host that has not been tried, in a region that is allowed; undefined if none is left. */
  readonly open: (
    address: string,
    tried: ReadonlySet<string>,
    allowedRegions?: readonly string[],
  ) => CarriedConnection | undefined;
  /** Tells why a connection failed. */
  readonly failureOf: (error: Error) => CarrierFailure;
}

/** Of several failures, the one that tells most about the backend server. */
const WEIGHT: Readonly<Record<CarrierFailure, number>> = {
  unreachable: 2,
  unknown: 1,
  'cut-off': 0,
};

/** How a search ended: with a connection that is in use from now on, or without. */
export type CarrierResult =
  | {readonly kind: 'connected'; readonly connection: stream.Duplex}
  | {readonly kind: 'failed'; readonly failure: CarrierFailure};

/** Dependencies of `CarrierSearch`. */
export interface CarrierSearchOptions {
  readonly carriers: Carriers;
  readonly address: string;
  /** The regions of the hosts that may be tried; undefined means all. */
  readonly allowedRegions?: readonly string[];
  /** Resolves to whether a connection that stands will do. */
  readonly accept: (connection: stream.Duplex) => Promise<boolean>;
  readonly onEnd: (result: CarrierResult) => void;
}

/** Searches for a host through which a backend server can be reached. */
export class CarrierSearch {
  private readonly tried = new Set<string>();
  private readonly pending = new Set<stream.Duplex>();
  private readonly startMs = performance.now();
  private failure: CarrierFailure | undefined;
  private timer: NodeJS.Timeout | undefined;
  private timeout: decisions.reads.ReadTimeout | undefined;
  private hasEnded = false;

  constructor(private readonly options: CarrierSearchOptions) {}

  /** Tries the first host. */
  start(): void {
    this.timeout = decisions.reads.setReadTimeout(
      () => this.fail('unknown'),
      SEARCH_TIMEOUT_MS,
    );
    this.tryNext();
  }

  /** Ends the search without a result. */
  cancel(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.timeout?.clear();
    for (const connection of this.pending) connection.destroy();
  }

  private tryNext(): void {
    clearTimeout(this.timer);
    const {carriers, address, allowedRegions} = this.options;
    const isCertain =
      this.failure === 'unreachable' &&
      performance.now() - this.startMs >= MIN_SEARCH_MS;
    const mayTry =
      !isCertain &&
      this.pending.size < MAX_CONNECTING &&
      this.tried.size < MAX_TRIED;
    const next = mayTry
      ? carriers.open(address, this.tried, allowedRegions)
      : undefined;
    if (!next) {
      // Without another host its own view is all that a host has, unless there are some that it may not use.
      const byDefault = allowedRegions ? 'unknown' : 'unreachable';
      if (this.pending.size === 0) this.fail(byDefault);
      return;
    }
    this.tried.add(next.host);
    this.follow(next.connection);
    this.timer = setTimeout(() => this.tryNext(), STAGGER_MS);
  }

  private follow(connection: stream.Duplex): void {
    const {carriers, accept} = this.options;
    this.pending.add(connection);
    const onFailure = (failure: CarrierFailure) => {
      if (this.hasEnded || !this.pending.delete(connection)) return;
      const known = this.failure;
      if (!known || WEIGHT[failure] > WEIGHT[known]) this.failure = failure;
      this.tryNext();
    };
    // The listener stays: an error of a connection that lost the race concerns nobody.
    connection.on('error', error => onFailure(carriers.failureOf(error)));
    connection.once('connect', () => {
      void accept(connection).then(isAccepted => {
        if (!isAccepted) {
          connection.destroy();
          return onFailure('unreachable');
        }
        if (this.hasEnded) return;
        this.pending.delete(connection);
        this.cancel();
        this.options.onEnd({kind: 'connected', connection});
      });
    });
  }

  private fail(byDefault: CarrierFailure): void {
    if (this.hasEnded) return;
    this.cancel();
    const failure = this.failure ?? byDefault;
    this.options.onEnd({kind: 'failed', failure});
  }
}
