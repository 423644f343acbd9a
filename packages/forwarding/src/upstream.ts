import * as http from 'node:http';

import type * as decisions from '@banyanhall/decisions';

import * as headerNames from './headers.js';

/** How long a new connection may take to stand; a backend server is some milliseconds away. */
const CONNECT_TIMEOUT_MS = 600;
/** Idle connections are dropped before a backend server is likely to drop them. */
const IDLE_TIMEOUT_MS = 4000;
const MAX_IDLE_CONNECTIONS = 24;
/** Answers that are no streams are held back until they are whole, up to this size. */
export const MAX_BUFFERED_BYTES = 4_194_304;

/** A request as it leaves for a backend server. */
export interface OutboundRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: headerNames.RawHeaders;
  readonly body: Buffer;
  readonly requestId: string;
}

/** What the running, waiting and slot counts on an answer say. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Why a send brought no answer that can be used. */
export type FailureCause =
  | 'connect-failed'
  | 'reset'
  | 'cancelled'
  | 'timed-out'
  | 'foreign-answer'
  | 'broken-answer'
  | 'refused'
  | 'wrong-server';

/** A send that brought no answer: whether the request may have run, and why. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly cause: FailureCause;
  readonly verdict: Extract<
    decisions.verdict.Verdict,
    'not-run' | 'may-have-run'
  >;
  readonly status: number;
  readonly load: LoadReport | undefined;
  readonly detail: string;
}

/** The head of an answer that belongs to the request; its body is still to come. */
export interface ResponseHead {
  readonly kind: 'answer';
  readonly response: http.IncomingMessage;
  readonly load: LoadReport | undefined;
  /** True once the body has ended whole; one that ends with a reset connection has not. */
  readonly isWhole: () => boolean;
  /** Ends the send; the backend server sees the connection close. */
  readonly cancel: () => void;
}

/** How a send turned out. */
export type AttemptResult = ResponseHead | AttemptFailure;

/**
 * Connections to backend servers. A request is written once, on one
 * connection; what proves that it did not run is a connection that never
 * stood, or an answer of the backend server itself that says so.
 */
export class Upstream {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    timeout: IDLE_TIMEOUT_MS,
    scheduling: 'lifo',
  });
  private opened = 0;

  constructor(private readonly names: headerNames.HeaderNames) {}

  /** Connections opened since the start. */
  get connectionsOpened(): number {
    return this.opened;
  }

  /** Sends a request; resolves when the head of the answer is there or the send has failed. */
  send(outbound: OutboundRequest, signal: AbortSignal): Promise<AttemptResult> {
    return new Promise(resolve => {
      if (signal.aborted) {
        resolve(this.failure('cancelled', 'not-run', 'cancelled before sent'));
        return;
      }
      const [host, port] = outbound.address.split(':');
      const request = http.request({
        agent: this.agent,
        host,
        port: Number(port),
        method: outbound.method,
        path: outbound.path,
        headers: outbound.headers as string[],
        setHost: false,
      });
      let isConnected = false;
      let isTimedOut = false;
      let isReset = false;
      // The HTTP parser takes a reset for the end of a body without a length.
      const onSocketError = () => {
        isReset = true;
      };
      const cancel = () => request.destroy();
      const timer = setTimeout(() => {
        if (isConnected) return;
        isTimedOut = true;
        request.destroy();
      }, CONNECT_TIMEOUT_MS);
      signal.addEventListener('abort', cancel, {once: true});
      const settle = (sent: AttemptResult) => {
        clearTimeout(timer);
        if (sent.kind === 'failed') signal.removeEventListener('abort', cancel);
        resolve(sent);
      };
      request.on('socket', socket => {
        socket.setNoDelay(true);
        // A reset that comes with the last bytes is reported as an end; it
        // shows only in that the connection has no peer any more.
        const onSocketEnd = () => {
          if (socket.remoteAddress === undefined) isReset = true;
        };
        socket.once('error', onSocketError);
        socket.prependOnceListener('end', onSocketEnd);
        request.once('close', () => {
          socket.removeListener('error', onSocketError);
          socket.removeListener('end', onSocketEnd);
        });
        if (!socket.connecting) {
          isConnected = true;
          return;
        }
        this.opened++;
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      request.on('response', response => {
        response.on('close', () => signal.removeEventListener('abort', cancel));
        const isWhole = () => response.complete && !isReset;
        const head = this.judged(outbound, request, response, isWhole);
        if (head.kind === 'failed') response.resume();
        settle(head);
      });
      request.on('error', error => {
        if (!isConnected) {
          const cause = signal.aborted ? 'cancelled' : 'connect-failed';
          const detail = isTimedOut ? 'connect timed out' : error.message;
          settle(this.failure(cause, 'not-run', detail));
          return;
        }
        const cause = signal.aborted ? 'cancelled' : 'reset';
        settle(this.failure(cause, 'may-have-run', error.message));
      });
      request.end(outbound.body.length > 0 ? outbound.body : undefined);
    });
  }

  /** Drops idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Decides whether an answer belongs to the request and what it proves. */
  private judged(
    outbound: OutboundRequest,
    request: http.ClientRequest,
    response: http.IncomingMessage,
    isWhole: () => boolean,
  ): AttemptResult {
    const {names} = this;
    const id = headerNames.value(response.headers, names.requestId);
    const isFresh = !request.reusedSocket;
    const isOurs = id === outbound.requestId || (id === undefined && isFresh);
    if (!isOurs) {
      request.destroy();
      const detail = `answer to request ${id ?? '(none)'}`;
      return this.failure('foreign-answer', 'may-have-run', detail);
    }
    const load = loadOf(headerNames.value(response.headers, names.load));
    const status = response.statusCode ?? 0;
    if (status === 421) {
      const found = headerNames.value(response.headers, names.serverId);
      const detail = `address is now ${found ?? 'another server'}`;
      return {...this.failure('wrong-server', 'not-run', detail), status, load};
    }
    if (response.headers[names.notRun] !== undefined) {
      const detail = `backend server answered ${status}, not run`;
      return {...this.failure('refused', 'not-run', detail), status, load};
    }
    const encoding = response.headers['content-encoding'];
    if (encoding !== undefined && encoding !== 'identity') {
      request.destroy();
      const detail = `answer with content encoding ${encoding}`;
      return this.failure('broken-answer', 'may-have-run', detail);
    }
    const cancel = () => request.destroy();
    return {kind: 'answer', response, load, isWhole, cancel};
  }

  private failure(
    cause: FailureCause,
    verdict: AttemptFailure['verdict'],
    detail: string,
  ): AttemptFailure {
    return {kind: 'failed', cause, verdict, status: 0, load: undefined, detail};
  }
}

/** Reads the whole body of an answer; undefined when it broke off or is too long. */
export function readBody({
  response,
  isWhole,
}: ResponseHead): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_BUFFERED_BYTES) response.destroy();
      else chunks.push(chunk);
    });
    response.on('end', () =>
      resolve(isWhole() ? Buffer.concat(chunks) : undefined),
    );
    response.on('error', () => resolve(undefined));
    response.on('close', () => resolve(undefined));
  });
}

function loadOf(text: string | undefined): LoadReport | undefined {
  const parts = (text ?? '').split(',').map(Number);
  if (parts.length !== 3 || parts.some(n => !Number.isFinite(n))) {
    return undefined;
  }
  const [running, waiting, slots] = parts;
  return {running, waiting, slots};
}
