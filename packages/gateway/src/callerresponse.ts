import type * as http from 'node:http';

import * as forwarding from '@banyanhall/forwarding';

import type * as requests from './request.js';

/**
 * The answer to one caller. Invariant: an answer either ends whole or its
 * connection is closed, so that a part never looks like a whole.
 */
export class CallerResponse {
  private readonly controller = new AbortController();
  private hasLeft = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly requestIdHeader: string,
    private readonly requestId: string,
    private readonly isClosing: () => boolean,
  ) {
    response.on('close', () => {
      if (response.writableFinished) return;
      this.hasLeft = true;
      this.controller.abort(new Error('caller left'));
    });
    response.on('error', () => undefined);
  }

  /** Aborted when the caller has left. */
  get disconnectSignal(): AbortSignal {
    return this.controller.signal;
  }

  /** True when the caller closed the connection before its answer was whole. */
  get isDisconnected(): boolean {
    return this.hasLeft;
  }

  /** True when the head of an answer has gone out. */
  get isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Answers with a whole body of a backend server. */
  sendWhole(from: http.IncomingMessage, body: Buffer): void {
    const headers = answerHeaders(from);
    headers.push('Content-Length', String(body.length));
    this.head(from.statusCode ?? 502, headers, from.statusMessage);
    this.response.end(body);
  }

  /** Starts an answer whose body follows in parts. */
  start(from: http.IncomingMessage): void {
    this.head(from.statusCode ?? 502, answerHeaders(from), from.statusMessage);
    this.response.flushHeaders();
  }

  /** Passes a part on; false when the caller does not keep up. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Resolves when the caller has taken what was written, or has left. */
  waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      this.response.once('drain', resolve);
      this.response.once('close', resolve);
    });
  }

  /** Ends an answer that was passed on in parts. */
  end(): void {
    this.response.end();
  }

  /** Breaks an answer off; the caller sees that it is incomplete. */
  abort(): void {
    this.response.destroy();
  }

  /** Answers on behalf of this host. */
  sendRejection(refusal: requests.Rejection): void {
    const {status, reason, retryAfterMs} = refusal;
    const body = Buffer.from(JSON.stringify({error: {type: reason}}));
    const headers = ['Content-Type', 'application/json'];
    headers.push('Content-Length', String(body.length));
    headers.push(this.requestIdHeader, this.requestId);
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    }
    this.head(status, headers);
    this.response.end(body);
  }

  private head(status: number, headers: string[], message?: string): void {
    if (this.isClosing()) this.response.shouldKeepAlive = false;
    this.response.sendDate = false;
    this.response.writeHead(status, message, headers);
  }
}

function answerHeaders(from: http.IncomingMessage): string[] {
  const dropped = new Set(['content-length']);
  return forwarding.headers.endToEnd(from.rawHeaders, from.headers, dropped);
}
