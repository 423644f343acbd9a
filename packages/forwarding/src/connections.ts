import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

import type * as paths from './paths.js';

/** A connection through another host, which has no timer of its own for idle times. */
interface Carried extends stream.Duplex {
  readonly carrier: string;
  /** The idle time that the base class has set for it, in milliseconds. */
  readonly timeout?: number;

  startIdle(timeoutMs: number): void;
  stopIdle(): void;
}

/** The options of a request over the paths to backend servers. */
export interface PathRequestArgs extends http.ClientRequestArgs {
  /** The regions of the hosts through which it may be sent; undefined means all. */
  readonly allowedRegions?: readonly string[];
}

/** Which request of which connection an attempt is. */
export interface ConnectionUse {
  /** Numbers the connections of this process. */
  readonly connection: number;
  /** The number of requests that the connection has carried, this one included. */
  readonly requests: number;
  /** The host through which the connection leads; undefined for one of this host. */
  readonly carrier: string | undefined;
}

/** Numbers connections and counts the requests that they carry. */
export class ConnectionUses {
  private readonly uses = new WeakMap<stream.Duplex, ConnectionUse>();
  private openedCount = 0;

  /** The number of connections that have carried a request. */
  get opened(): number {
    return this.openedCount;
  }

  /** Counts a request on a connection. */
  count(socket: stream.Duplex): ConnectionUse {
    const known = this.uses.get(socket);
    const use: ConnectionUse = {
      connection: known?.connection ?? ++this.openedCount,
      requests: (known?.requests ?? 0) + 1,
      carrier: isCarried(socket) ? socket.carrier : undefined,
    };
    this.uses.set(socket, use);
    return use;
  }
}

/** Opens connections over the paths to backend servers; without paths, directly. */
class PathAgent extends http.Agent {
  /**
   * The backend servers, as ip:port, that connections lead to. A socket is not
   * asked for it: one that was would name its peer also after a reset.
   */
  private readonly addresses = new WeakMap<stream.Duplex, string>();

  constructor(
    options: http.AgentOptions,
    protected readonly paths?: paths.Paths,
  ) {
    super(options);
  }

  override createConnection(
    options: PathRequestArgs,
    callback?: (error: Error | null, connection: stream.Duplex) => void,
  ): stream.Duplex | null | undefined {
    if (!this.paths || !callback) {
      return super.createConnection(options, callback);
    }
    const {host, port, allowedRegions} = options;
    const target = options as net.TcpNetConnectOpts;
    const address = `${host}:${port}`;
    const onDone: paths.DialCallback = (error, connection) => {
      if (connection) this.addresses.set(connection, address);
      callback(error, connection as stream.Duplex);
    };
    this.paths.dial(address, target, onDone, allowedRegions);
    return undefined;
  }

  /** Keeps connections apart by the regions that requests may use, as a kept one may lead through a host that others must not use. */
  override getName(options?: PathRequestArgs): string {
    const name = super.getName(options as Parameters<http.Agent['getName']>[0]);
    const allowedRegions = options?.allowedRegions;
    return allowedRegions === undefined
      ? name
      : `${name}${decisions.regions.keyOf(allowedRegions)}`;
  }

  /** The backend server that a connection leads to; empty without paths. */
  protected addressOf(connection: stream.Duplex): string {
    return this.addresses.get(connection) ?? '';
  }
}

/** The connections that have carried one request, over all of its attempts. */
export type CarriedBy = WeakSet<stream.Duplex>;

/**
 * Keeps idle connections for further requests. One on which anything arrives
 * while it is idle is closed: a backend server that writes an answer twice
 * would have it taken for the answer to the next request.
 *
 * Invariant: no connection carries a request twice. An answer names its request,
 * not the attempt, so that a late copy of the answer to one attempt would be
 * taken for the answer to the next. The caller of this class keeps to it by
 * `mayCarryTwice`, and by recording in `CarriedBy` what it sends.
 */
export class Connections extends PathAgent {
  /** The backend servers of the connections that are kept idle. */
  private readonly idle = new Map<stream.Duplex, string>();
  private readonly followed = new WeakSet<stream.Duplex>();

  constructor(
    private readonly idleTimeoutMs: number,
    options: http.AgentOptions,
    ways?: paths.Paths,
  ) {
    super({...options, keepAlive: true, timeout: idleTimeoutMs}, ways);
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    const address = this.addressOf(socket);
    if (this.paths && this.paths.isCut(address) !== isCarried(socket)) {
      return false;
    }
    // The base class returns whether to keep the connection, unlike its declaration.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    socket.on('data', destroyConnection);
    this.idle.set(socket, address);
    if (!this.followed.has(socket)) {
      this.followed.add(socket);
      socket.once('close', () => this.idle.delete(socket));
    }
    if (isCarried(socket)) {
      socket.startIdle(socket.timeout ?? this.idleTimeoutMs);
    }
    return true;
  }

  override reuseSocket(
    socket: stream.Duplex,
    request: http.ClientRequest,
  ): void {
    this.idle.delete(socket);
    if (isCarried(socket)) socket.stopIdle();
    socket.removeListener('data', destroyConnection);
    super.reuseSocket(socket, request);
  }

  /** Forgets idle connections that have ended and emit their `close` later; the base class would give out the last one. */
  forgetEnded(options: PathRequestArgs): void {
    const idle = this.freeSockets[this.getName(options)];
    idle?.splice(0, idle.length, ...idle.filter(({writable}) => writable));
  }

  /** True if a request with these options may get an idle connection that has carried it. */
  mayCarryTwice(options: PathRequestArgs, carriedBy: CarriedBy): boolean {
    const idle = this.freeSockets[this.getName(options)] ?? [];
    return idle.some(socket => carriedBy.has(socket));
  }

  /** Closes the idle connections for which `isMeant` holds, by the backend server that they lead to. */
  closeIdle(
    isMeant: (socket: stream.Duplex, address: string) => boolean,
  ): void {
    for (const [socket, address] of this.idle) {
      if (isMeant(socket, address)) socket.destroy();
    }
  }
}

/** Opens a connection for each request and closes it afterwards. */
export class SingleUseConnections extends PathAgent {
  override keepSocketAlive(): void {
    return false as unknown as void;
  }
}

/** True if a connection is one of another host. */
export function isCarried(socket: stream.Duplex): socket is Carried {
  return 'startIdle' in socket;
}

function destroyConnection(this: stream.Duplex): void {
  this.destroy();
}
