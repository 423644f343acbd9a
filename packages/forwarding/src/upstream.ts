import * as http from 'node:http';
import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

import type * as buffers from './buffers.js';
import * as clientrequest from './clientrequest.js';
import * as connections from './connections.js';
import * as headerNames from './headers.js';
import * as loadreports from './loadreport.js';
import type * as paths from './paths.js';
import * as statementReaders from './statements.js';

/** Far above the network delay to a backend server, which is a few milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Idle connections are closed before a backend server is likely to close them. */
const IDLE_TIMEOUT_MS = 4000;
/** Idle connections kept per backend server. */
const MAX_IDLE_CONNECTIONS = 24;
/** Responses that are not streams are buffered until they are complete; a larger one, framing included, counts as cut off. */
export const MAX_BUFFERED_BYTES = 4_194_304;
/** Buffered chunks are joined when there are more, since each costs memory of its own. */
const MAX_BUFFERED_CHUNKS = 1024;
/** The most interim (1xx) responses to a request. */
const MAX_INTERIM_RESPONSES = 16;
/** Limits on reading the rest of a rejected response, which keeps its connection usable. */
const MAX_DRAINED_BYTES = 65_536;
const DRAIN_TIMEOUT_MS = 1000;

/** Towards a caller these statuses state that its request did not run; a backend server states that by a header. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * The ways in which a request object can end. `close` comes last, and alone
 * where Node.js closes a connection by itself, as for an upgrade that nobody
 * listens for.
 */
interface Endings {
  readonly response: (response: http.IncomingMessage) => void;
  readonly upgrade: SwitchListener;
  readonly connect: SwitchListener;
  readonly error: (error: Error) => void;
  readonly close: () => void;
}

type SwitchListener = (
  response: http.IncomingMessage,
  socket: stream.Duplex,
) => void;

/** One attempt of a request, as it is sent to the backend server at `address` (ip:port). */
export interface OutboundRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: headerNames.RawHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  /** The connections that carried earlier attempts of the request; that of this attempt is added. */
  readonly carriedBy: connections.CarriedBy;
  /** The regions of the hosts through which it may be sent; undefined means all. */
  readonly allowedRegions?: readonly string[];
  /** What the backend server is known to state; holds if its answer can't be read. */
  readonly known?: statementReaders.KnownStatements;
  /** Called just before the request would be written; a reason that it returns keeps it from that. */
  readonly reasonNotToWrite?: () => string | undefined;
  /** Called when the request is written: from then on the backend server may run it. */
  readonly onWritten?: (use: connections.ConnectionUse) => void;
  /** Called while the request is in flight if this host's own link, over which it was sent, is found to be cut. */
  readonly onCut?: () => void;
}

/** Why an attempt yielded no usable response. */
export type FailureCause =
  | 'invalid-request'
  | 'connect-failed'
  | 'reset'
  | 'cancelled'
  | 'withdrawn'
  | 'timed-out'
  | 'foreign-answer'
  | 'broken-answer'
  | 'refused'
  | 'unproven-refusal'
  | 'wrong-server';

/** An attempt without a usable response; `status` is 0 when no response arrived. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly cause: FailureCause;
  /** Whether the backend server may have run the request. */
  readonly verdict: Extract<
    decisions.verdict.Verdict,
    'not-run' | 'may-have-run'
  >;
  readonly status: number;
  readonly load: loadreports.LoadReport | undefined;
  /** What the backend server stated about itself; undefined without a response of its own. */
  readonly statements: statementReaders.Statements | undefined;
  readonly detail: string;
}

/** The head of a response that belongs to the request; its body is not yet read. */
export interface ResponseHead {
  readonly kind: 'answer';
  readonly response: http.IncomingMessage;
  readonly load: loadreports.LoadReport | undefined;
  readonly statements: statementReaders.Statements;
  /** Whether the whole body has arrived; false when the connection was reset at its end. */
  readonly isWhole: () => boolean;
  /** True when the end of the body is that of its connection, which does not tell a whole body from one that was cut. */
  readonly endsWithConnection: boolean;
  /** Cancels the attempt by closing the connection, which the backend server notices. */
  readonly cancel: () => void;
}

/** The result of one attempt. */
export type AttemptResult = ResponseHead | AttemptFailure;

/**
 * Pool of HTTP connections to backend servers. `send` writes a request once, on
 * one connection, after all that had arrived at this process by then was read,
 * such as the close of its caller. A failed attempt has the verdict `not-run`
 * only if it was not written or if the backend server's own response says so.
 */
export class Upstream {
  private readonly kept: connections.Connections;
  /** For requests that an idle connection has carried before. */
  private readonly singleUse: connections.SingleUseConnections;
  private readonly uses = new connections.ConnectionUses();

  /** Without `ways`, connections are those of this host only. */
  constructor(
    private readonly names: headerNames.HeaderNames,
    private readonly ways?: paths.Paths,
  ) {
    const keptOptions: http.AgentOptions = {
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
    };
    this.kept = new connections.Connections(
      ...([IDLE_TIMEOUT_MS, keptOptions, ways] as const),
    );
    this.singleUse = new connections.SingleUseConnections(
      ...([{keepAlive: true}, ways] as const),
    );
  }

  /** The number of connections opened since the start. */
  get connectionsOpened(): number {
    return this.uses.opened;
  }

  /** Sends a request; resolves when the response head arrives or the attempt fails. */
  send(outbound: OutboundRequest, signal: AbortSignal): Promise<AttemptResult> {
    return new Promise(resolve => {
      if (signal.aborted) {
        resolve(
          this.failure('cancelled', 'not-run', 'cancelled before it was sent'),
        );
        return;
      }
      let request: http.ClientRequest;
      try {
        request = this.open(outbound);
      } catch (error) {
        // Node.js throws for an address or a header that can't be sent.
        const detail = error instanceof Error ? error.message : String(error);
        resolve(this.failure('invalid-request', 'not-run', detail));
        return;
      }
      let isConnected = false;
      let isWritten = false;
      let isTimedOut = false;
      let isReset = false;
      let isSettled = false;
      // The HTTP parser treats a reset as the end of a body without a length.
      const onSocketError = () => {
        isReset = true;
      };
      let hasResponse = false;
      const cancel = () => {
        const {socket} = request;
        // A reset discards what is not sent yet; a link that was cut would deliver it when it is restored.
        if (!hasResponse && isWritten && socket && 'resetAndDestroy' in socket)
          socket.resetAndDestroy();
        request.destroy();
      };
      const timer = setTimeout(() => {
        if (isConnected) return;
        isTimedOut = true;
        request.destroy();
      }, CONNECT_TIMEOUT_MS);
      signal.addEventListener('abort', cancel, {once: true});
      const settle = (result: AttemptResult) => {
        if (isSettled) return;
        isSettled = true;
        clearTimeout(timer);
        if (result.kind === 'failed')
          signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      const fail = (cause: FailureCause, detail: string) => {
        const endCause = isConnected ? cause : 'connect-failed';
        const verdict = isWritten ? 'may-have-run' : 'not-run';
        settle(
          this.failure(
            signal.aborted ? 'cancelled' : endCause,
            verdict,
            isTimedOut ? 'connect timed out' : detail,
          ),
        );
      };
      request.on('socket', socket => {
        outbound.carriedBy.add(socket);
        socket.setNoDelay(true);
        const onSocketEnd = () => {
          if (clientrequest.wasReset(socket)) isReset = true;
        };
        socket.once('error', onSocketError);
        socket.prependOnceListener('end', onSocketEnd);
        request.once('close', () => {
          socket.removeListener('error', onSocketError);
          socket.removeListener('end', onSocketEnd);
        });
        const use = this.uses.count(socket);
        const write = () => {
          if (isSettled || request.destroyed) return;
          const reason = outbound.reasonNotToWrite?.();
          if (reason !== undefined) {
            fail('withdrawn', reason);
            request.destroy();
            return;
          }
          isWritten = true;
          outbound.onWritten?.(use);
          request.end(outbound.body.length > 0 ? outbound.body : undefined);
          if (!this.ways || use.carrier !== undefined) return;
          const onCut = () => outbound.onCut?.();
          const unwatch = this.ways.watch(outbound.address, socket, onCut);
          request.once('close', unwatch);
        };
        const onConnected = () => {
          isConnected = true;
          decisions.reads.afterReads(write);
        };
        if (!socket.connecting) return onConnected();
        socket.once('connect', onConnected);
      });
      let interimResponses = 0;
      request.on('information', () => {
        if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
        request.destroy(new Error('too many interim responses'));
      });
      const onSwitch = (
        response: http.IncomingMessage,
        socket: stream.Duplex,
      ) => {
        socket.destroy();
        const {statusCode} = response;
        fail('broken-answer', `response ${statusCode} switches the protocol`);
      };
      const endings: Endings = {
        response: response => {
          if (!isWritten) {
            request.destroy();
            return fail('foreign-answer', 'response before the request');
          }
          hasResponse = true;
          response.on('close', () =>
            signal.removeEventListener('abort', cancel),
          );
          const isWhole = () => response.complete && !isReset;
          try {
            const head = this.classify(outbound, request, response, isWhole);
            if (head.kind === 'failed') drain(response);
            settle(head);
          } catch (error) {
            fail('broken-answer', String(error));
            request.destroy();
          }
        },
        upgrade: onSwitch,
        connect: onSwitch,
        error: error => fail('reset', error.message),
        close: () => fail('reset', 'connection closed without a response'),
      };
      for (const [event, onEnding] of Object.entries(endings)) {
        request.on(event, onEnding);
      }
    });
  }

  private open(outbound: OutboundRequest): http.ClientRequest {
    const [host, port] = outbound.address.split(':');
    const options: connections.PathRequestArgs = {
      host,
      port: Number(port),
      method: outbound.method,
      path: outbound.path,
      headers: outbound.headers as string[],
      setHost: false,
      allowedRegions: outbound.allowedRegions,
    };
    this.kept.forgetEnded(options);
    const mayCarryTwice = this.kept.mayCarryTwice(options, outbound.carriedBy);
    const agent = mayCarryTwice ? this.singleUse : this.kept;
    return http.request({...options, agent});
  }

  /** Closes the idle connections to a backend server, whose path has changed. */
  closeIdle(address: string): void {
    this.kept.closeIdle((_, idleAddress) => idleAddress === address);
  }

  /** Closes the idle connections by way of other hosts, except through those of `carriers`. */
  closeIdleExcept(carriers: ReadonlySet<string>): void {
    this.kept.closeIdle(
      socket => connections.isCarried(socket) && !carriers.has(socket.carrier),
    );
  }

  /** Closes the connection pool. */
  close(): void {
    this.kept.destroy();
    this.singleUse.destroy();
  }

  /** Returns the response head if the response belongs to the request and can be relayed, otherwise the failure with its verdict. */
  private classify(
    outbound: OutboundRequest,
    request: http.ClientRequest,
    response: http.IncomingMessage,
    isWhole: () => boolean,
  ): AttemptResult {
    const {names} = this;
    const id = headerNames.value(response.headers, names.requestId);
    const isNewConnection = !request.reusedSocket;
    const isOwnResponse =
      id === outbound.requestId || (id === undefined && isNewConnection);
    if (!isOwnResponse) {
      request.destroy();
      const detail = `response has request id ${id ?? '(none)'}, not that of the request`;
      return this.failure('foreign-answer', 'may-have-run', detail);
    }
    const loadText = headerNames.value(response.headers, names.load);
    const {load, isReadable} = loadreports.read(loadText);
    const status = response.statusCode ?? 0;
    // 101 ends a request as well, but no request asks for it.
    if (!clientrequest.isFinalStatus(status)) {
      request.destroy();
      const detail = `response has status ${status}, expected a final one`;
      return this.failure('broken-answer', 'may-have-run', detail);
    }
    if (status === 421) {
      const found = headerNames.value(response.headers, names.serverId);
      const detail = `address belongs to backend server ${found ?? '(not stated)'}, not to the expected one`;
      return {...this.failure('wrong-server', 'not-run', detail), status, load};
    }
    const stated = statementReaders.read(
      ...([response.headers, names.statements] as const),
      ...([outbound.known, status] as const),
    );
    const unreadableLoad = {header: names.load, text: loadText ?? ''};
    const statements = isReadable
      ? stated
      : {...stated, unreadable: [...stated.unreadable, unreadableLoad]};
    if (response.headers[names.notRun] !== undefined) {
      const detail = `backend server answered ${status} and did not run the request`;
      const failure = this.failure('refused', 'not-run', detail);
      return {...failure, status, load, statements};
    }
    if (NOT_RUN_STATUSES.has(status)) {
      const detail = `backend server answered ${status}, which does not say whether it ran the request`;
      const failure = this.failure('unproven-refusal', 'may-have-run', detail);
      return {...failure, status, load, statements};
    }
    const encoding = response.headers['content-encoding'];
    if (encoding !== undefined && encoding !== 'identity') {
      request.destroy();
      const detail = `response has content encoding ${encoding}, expected identity`;
      const failure = this.failure('broken-answer', 'may-have-run', detail);
      return {...failure, statements};
    }
    const cancel = () => request.destroy();
    const {headers} = response;
    const endsWithConnection =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    const head = {response, load, isWhole, endsWithConnection, cancel};
    return {kind: 'answer', ...head, statements};
  }

  private failure(
    cause: FailureCause,
    verdict: AttemptFailure['verdict'],
    detail: string,
  ): AttemptFailure {
    return {
      ...{kind: 'failed', cause, verdict, status: 0, detail},
      ...{load: undefined, statements: undefined},
    };
  }
}

/** Discards the rest of a response, and closes its connection if that takes too many bytes or too long. */
function drain(response: http.IncomingMessage): void {
  const timer = setTimeout(() => response.destroy(), DRAIN_TIMEOUT_MS);
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DRAINED_BYTES) response.destroy();
  });
  // The verdict is known; what happens to the rest does not change it.
  response.on('error', () => undefined);
  response.on('close', () => clearTimeout(timer));
}

/** Reads a response body; undefined when it is cut off or exceeds MAX_BUFFERED_BYTES. */
export function readBody(
  {response, isWhole}: ResponseHead,
  holding?: buffers.Holding,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    // A response that was cut before it is read emits nothing any more.
    if (response.destroyed) return resolve(undefined);
    let chunks: Buffer[] = [];
    const {socket} = response;
    const startBytes = socket.bytesRead;
    response.on('data', (chunk: Buffer) => {
      if (socket.bytesRead - startBytes > MAX_BUFFERED_BYTES) {
        response.destroy();
        return;
      }
      chunks.push(chunk);
      holding?.addChunk(chunk.length, response);
      if (chunks.length > MAX_BUFFERED_CHUNKS) chunks = [Buffer.concat(chunks)];
    });
    response.on('end', () =>
      resolve(isWhole() ? Buffer.concat(chunks) : undefined),
    );
    response.on('error', () => resolve(undefined));
    response.on('close', () => resolve(undefined));
  });
}
