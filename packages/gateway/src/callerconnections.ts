import type * as http from 'node:http';
import * as net from 'node:net';

import * as decisions from '@banyanhall/decisions';
import type * as forwarding from '@banyanhall/forwarding';
import type * as routing from '@banyanhall/routing';

import type * as callerbounds from './callerbounds.js';
import * as callerclosures from './callerclosures.js';
import * as callerconnection from './callerconnection.js';
import * as callergate from './callergate.js';

/** The interval of the checks for connections without progress. */
const CHECK_INTERVAL_MS = 250;
/** The most time that counts as watched between two checks; what is beyond it was missed. */
const MAX_WATCHED_MS = 2 * CHECK_INTERVAL_MS;
/** The server counts closed connections for a moment, while their descriptors are free already; from this multiple of the bound on it accepts no more. */
const ACCEPTED_FACTOR = 4;
/** The most connections that are put in order at once. */
const MAX_ORDERED = 64;

/** The statuses of requests that can't be parsed; 400 for others. */
const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};
const CAUSE_BY_STATUS: Readonly<Record<number, callerclosures.ClosureCause>> = {
  431: 'head-too-large',
  413: 'endless-framing',
};

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsOptions {
  readonly server: http.Server;
  readonly clock: decisions.clock.Clock;
  readonly account: forwarding.buffers.BufferAccount;
  readonly bounds: callerbounds.CallerBounds;
  readonly closures: callerclosures.CallerClosures;
  /** Undefined before the first configuration. */
  readonly limits: () => routing.configuration.CallerLimits | undefined;
  /** While the host stops, the end of its grace period limits heads and bodies. */
  readonly isStopping: () => boolean;
}

/** The open connections of callers, with the requests on them that are not answered yet. */
export class CallerConnections {
  private readonly open = new Map<
    net.Socket,
    callerconnection.CallerConnection
  >();
  private readonly turns = new callergate.Turns();
  private readonly behind: callerconnection.DispatchedBehind = {count: 0};
  private order: callerconnection.CallerConnection[] = [];
  private watchedMs = 0;
  private checkedMs: number;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: CallerConnectionsOptions) {
    const {server, clock, bounds, closures} = options;
    this.checkedMs = clock.monotonicMs();
    if (Number.isFinite(bounds.connections)) {
      server.maxConnections = bounds.connections * ACCEPTED_FACTOR;
    }
    server.on('connection', (socket: net.Socket) => this.onConnection(socket));
    server.on('drop', () => closures.count('too-many-connections'));
    server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.onClientError(error, socket as net.Socket),
    );
    server.on('checkContinue', (request, response) => {
      continueInOrder(request, response);
      server.emit('request', request, response);
    });
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Begins to read a request; undefined if its connection has closed. `onCallerEnd` is called if its caller ends the connection. */
  begin(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    id: string,
    arrivedMs: number,
    onCallerEnd: () => void,
  ): callerconnection.IncomingRequest | undefined {
    const connection = this.open.get(request.socket);
    return connection?.begin(
      ...([request, response, id, arrivedMs, onCallerEnd] as const),
    );
  }

  /** Marks that the body of a request was read. */
  onRead(
    request: http.IncomingMessage,
    incoming: callerconnection.IncomingRequest,
  ): void {
    this.open.get(request.socket)?.onRead(incoming);
  }

  /** Resolves when a request that was read may be dispatched. */
  async mayDispatch(
    request: http.IncomingMessage,
    incoming: callerconnection.IncomingRequest,
  ): Promise<void> {
    await this.open.get(request.socket)?.mayDispatch(incoming);
  }

  /** Marks that a request is refused before it was read. */
  onRefused(
    request: http.IncomingMessage,
    incoming: callerconnection.IncomingRequest,
    cause: callerclosures.ClosureCause,
  ): void {
    this.open.get(request.socket)?.onRefused(incoming, cause);
  }

  /** The number of open connections. */
  get count(): number {
    return this.open.size;
  }

  /** True when no connection is open. */
  get isEmpty(): boolean {
    return this.open.size === 0;
  }

  /** The requests that are not answered yet. */
  get requests(): readonly callerconnection.OpenRequest[] {
    return [...this.open.values()].flatMap(({requests}) => [...requests]);
  }

  /** Accepts no more connections, and keeps the open ones. */
  stopListening(): void {
    // `http.Server.close` also closes connections whose last response is not flushed yet.
    net.Server.prototype.close.call(this.options.server);
  }

  /** Closes the connections without a response in progress on which no further request has begun to arrive. */
  closeIdle(): void {
    for (const [socket, connection] of this.open) {
      if (connection.isIdle) socket.destroy();
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    clearInterval(this.timer);
    for (const socket of this.open.keys()) socket.destroy();
  }

  private onConnection(socket: net.Socket): void {
    const {account, limits, closures, bounds} = this.options;
    const connection = new callerconnection.CallerConnection(socket, {
      ...{account, limits, turns: this.turns, behind: this.behind},
      watchedMs: () => this.watchedMs,
      onClosure: cause => closures.count(cause),
    });
    if (socket.destroyed) return;
    this.open.set(socket, connection);
    socket.once('close', () => this.open.delete(socket));
    if (this.open.size > bounds.connections) this.closeFirst(connection);
  }

  /** Closes the connection that is read most slowly, or else the newest. */
  private closeFirst(newest: callerconnection.CallerConnection): void {
    // The order is kept until the next check, since it takes a look at each connection.
    if (this.order.length === 0) {
      const candidates = [...this.open.values()].flatMap(connection => {
        const {candidate} = connection;
        return candidate ? [{connection, ...candidate}] : [];
      });
      const ordered = decisions.closingorder.connectionsToClose(
        ...([candidates, this.watchedMs] as const),
      );
      this.order = ordered
        .slice(0, MAX_ORDERED)
        .map(({connection}) => connection);
    }
    for (;;) {
      const first = this.order.shift();
      const stage = first ? first.candidate?.stage : 'reading';
      if (stage !== 'refused' && stage !== 'reading') continue;
      return (first ?? newest).close('too-many-connections');
    }
  }

  private check(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.watchedMs += Math.min(nowMs - this.checkedMs, MAX_WATCHED_MS);
    this.checkedMs = nowMs;
    this.order = [];
    if (this.options.isStopping()) return;
    for (const connection of this.open.values()) {
      connection.check(CHECK_INTERVAL_MS);
    }
  }

  private onClientError(error: NodeJS.ErrnoException, socket: net.Socket) {
    const connection = this.open.get(socket);
    const isParserError = error.code?.startsWith('HPE_') ?? false;
    if (!connection || !isParserError) return void socket.destroy(error);
    const status = STATUS_BY_ERROR[error.code ?? ''] ?? 400;
    const cause = CAUSE_BY_STATUS[status] ?? 'invalid-request';
    connection.close(cause, status);
  }
}

/** Asks for the body of a request. Node.js would put the interim response of one behind others into the body of its final response. */
function continueInOrder(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (response.socket) return response.writeContinue();
  response.once('socket', () => {
    if (!response.headersSent && !request.complete) response.writeContinue();
  });
}
