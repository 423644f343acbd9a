import * as http from 'node:http';

import * as forwarding from '@banyanhall/forwarding';

import type * as requests from './request.js';

/** The characters that Node.js sends in a status line. */
const REASON_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Rejections of what is over a limit close the connection. */
const CLOSING_STATUSES: ReadonlySet<number> = new Set([408, 413, 431]);

/** How long the rest of a rejected request's body is awaited. */
const UNREAD_TIMEOUT_MS = 2000;

/**
 * The HTTP response to one caller. Invariant: a response is either completed
 * or its connection is closed, so a partial response never looks complete.
 */
export class CallerResponse {
  private readonly disconnectController = new AbortController();
  private hasDisconnected = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly requestIdHeader: string,
    private readonly requestId: string,
    /** True when the connection is to be closed after the response. */
    private readonly isClosing: () => boolean,
  ) {
    response.on('close', () => {
      if (!response.writableFinished) this.disconnect();
    });
    response.on('error', () => undefined);
  }

  /** Marks that the caller has closed its connection, which closes some turns of the event loop later. */
  onCallerEnd(): void {
    if (!this.response.writableEnded) this.disconnect();
  }

  /** Aborted when the caller disconnects. */
  get disconnectSignal(): AbortSignal {
    return this.disconnectController.signal;
  }

  /** True when the caller closed the connection before the response was complete. */
  get isDisconnected(): boolean {
    return this.hasDisconnected;
  }

  /** True when the response head has been sent. */
  get isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Sends a backend server's response with its complete body. */
  sendWhole(from: http.IncomingMessage, body: Buffer): void {
    const headers = responseHeaders(from);
    headers.push('Content-Length', String(body.length));
    this.writeHead(from.statusCode ?? 502, headers, from.statusMessage);
    this.response.end(body);
  }

  /** Sends the head of a streamed response; the body follows through `write`. */
  start(from: http.IncomingMessage): void {
    this.writeHead(
      from.statusCode ?? 502,
      responseHeaders(from),
      from.statusMessage,
    );
    this.response.flushHeaders();
  }

  /** Writes a chunk of a streamed body; false when the write buffer is full. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Resolves when the write buffer has drained or the connection has closed. */
  waitForDrain(): Promise<void> {
    const {response} = this;
    return new Promise(resolve => {
      const onEnd = () => {
        response.removeListener('drain', onEnd);
        response.removeListener('close', onEnd);
        resolve();
      };
      response.once('drain', onEnd);
      response.once('close', onEnd);
    });
  }

  /** Ends a streamed response. */
  end(): void {
    this.response.end();
  }

  /** Closes the connection, so that the caller sees an incomplete response. */
  abort(): void {
    this.response.destroy();
  }

  /** Sends a rejection by this host as a JSON error response. */
  sendRejection(rejection: requests.Rejection): void {
    const {status, reason, retryAfterMs} = rejection;
    const body = Buffer.from(JSON.stringify({error: {type: reason}}));
    const headers = ['Content-Type', 'application/json'];
    headers.push('Content-Length', String(body.length));
    headers.push(this.requestIdHeader, this.requestId);
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    }
    const {req: request} = this.response;
    if (!request.complete || CLOSING_STATUSES.has(status)) {
      this.response.shouldKeepAlive = false;
    }
    this.writeHead(status, headers);
    this.response.write(body);
    if (request.complete) return void this.response.end();
    // Closing a connection while its caller still sends may discard the response.
    const timer = setTimeout(() => this.response.end(), UNREAD_TIMEOUT_MS);
    request.once('end', () => this.response.end());
    this.response.once('close', () => clearTimeout(timer));
  }

  private disconnect(): void {
    this.hasDisconnected = true;
    this.disconnectController.abort(new Error('caller disconnected'));
  }

  private writeHead(status: number, headers: string[], message?: string): void {
    if (this.isClosing()) this.response.shouldKeepAlive = false;
    this.response.sendDate = false;
    // The response keeps a text that it once refused, so that it is always set anew.
    const reason =
      message !== undefined && REASON_PATTERN.test(message)
        ? message
        : (http.STATUS_CODES[status] ?? '');
    this.response.writeHead(status, reason, headers);
  }
}

/** The end-to-end headers of a response, without those that can't be sent. */
function responseHeaders(from: http.IncomingMessage): string[] {
  const dropped = new Set(['content-length']);
  const raw = forwarding.headers.endToEnd(
    from.rawHeaders,
    from.headers,
    dropped,
  );
  return forwarding.headers.sendable(raw);
}
