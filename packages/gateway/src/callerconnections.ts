import type * as http from 'node:http';
import * as net from 'node:net';

/** How far a request has come. */
export type RequestStage = 'reading' | 'dispatching' | 'answering';

/** A request whose answer has not been flushed to its connection. */
export interface OpenRequest {
  readonly id: string;
  /** On the monotonic clock. */
  readonly arrivedMs: number;
  stage: RequestStage;
}

/** The state of an open connection. */
interface Connection {
  readonly requests: Set<OpenRequest>;
  /** The bytes read when its last response was flushed; more of them are the start of a request. */
  idleBytes: number;
}

/** The open connections of callers, with the requests on them that are not answered yet. */
export class CallerConnections {
  private readonly open = new Map<net.Socket, Connection>();

  constructor(private readonly server: http.Server) {
    server.on('connection', (socket: net.Socket) => {
      this.open.set(socket, {requests: new Set(), idleBytes: 0});
      socket.once('close', () => this.open.delete(socket));
    });
  }

  /** Tracks a request until the last byte of its response has been flushed or its connection has closed. */
  track(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    id: string,
    arrivedMs: number,
  ): OpenRequest {
    const tracked: OpenRequest = {id, arrivedMs, stage: 'reading'};
    const {socket} = request;
    const connection = this.open.get(socket);
    connection?.requests.add(tracked);
    response.once('close', () => {
      if (!connection) return;
      connection.requests.delete(tracked);
      connection.idleBytes = socket.bytesRead;
    });
    return tracked;
  }

  /** True when no connection is open. */
  get isEmpty(): boolean {
    return this.open.size === 0;
  }

  /** The requests that are not answered yet. */
  get requests(): readonly OpenRequest[] {
    return [...this.open.values()].flatMap(({requests}) => [...requests]);
  }

  /** Accepts no more connections, and keeps the open ones. */
  stopListening(): void {
    // `http.Server.close` also closes connections whose last response is not flushed yet.
    net.Server.prototype.close.call(this.server);
  }

  /** Closes the connections without a response in progress on which no further request has begun to arrive. */
  closeIdle(): void {
    for (const [socket, {requests, idleBytes}] of this.open) {
      if (requests.size === 0 && socket.bytesRead === idleBytes) {
        socket.destroy();
      }
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of this.open.keys()) socket.destroy();
  }
}
