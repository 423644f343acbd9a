/*
 * One connection of a caller: what is read on it, for how long, and what it holds.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as decisions from '@banyanhall/decisions';
import type * as forwarding from '@banyanhall/forwarding';
import type * as routing from '@banyanhall/routing';

import * as callerbounds from './callerbounds.js';
import type * as callerclosures from './callerclosures.js';
import * as callergate from './callergate.js';
import * as requestbody from './requestbody.js';

/** What a header line costs besides its bytes, as the parser and the request keep it: 50 to 140 bytes on Node.js 20. */
const LINE_BYTES = 128;
/** What a request costs besides its head and body. */
const REQUEST_BYTES = 4096;
/** The least bytes of a request line and of the end of a head besides method and target. */
const REQUEST_LINE_BYTES = '  HTTP/1.1\r\n\r\n'.length;
/** The least bytes of a header line besides name and value. */
const SEPARATOR_BYTES = ':\r\n'.length;
/** The most requests of a connection that are handled at once; further ones are read later. */
const MAX_PIPELINED = 16;
/** The most bytes of a body in a row without content, besides those of trailers, which may have the size of a head; the parser takes as many bytes of chunk extensions. */
const MAX_EXTENSION_BYTES = 16_384;
/** Header lines of fewer than 16 bytes on average are parsed at the pace of small chunks; lines of ordinary callers have 30 and more. */
const LINES_PER_CHUNK = 8;
/** The most requests behind others on their connections that are dispatched at once; each may take a connection to a backend server. */
const MAX_DISPATCHED_BEHIND = 128;
const LINE_END = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const HEAD_END = '\r\n\r\n';
/** The most bytes of the end of a head that may have come before the others. */
const TAIL_BYTES = HEAD_END.length - 1;
const NO_BYTES = Buffer.alloc(0);

/** How far a request has come. */
export type RequestStage = 'reading' | 'dispatching' | 'answering';

/** A request whose answer has not been flushed to its connection. */
export interface OpenRequest {
  readonly id: string;
  /** On the monotonic clock. */
  readonly arrivedMs: number;
  stage: RequestStage;
}

/** A request as it begins to be read. */
export interface IncomingRequest {
  readonly tracked: OpenRequest;
  readonly holding: forwarding.buffers.Holding;
  readonly body: requestbody.RequestBody;
}

/** The requests of all connections that are dispatched behind another one of their connection. */
export interface DispatchedBehind {
  count: number;
}

/** Dependencies of `CallerConnection`. */
export interface CallerConnectionOptions {
  readonly behind: DispatchedBehind;
  readonly account: forwarding.buffers.BufferAccount;
  readonly turns: callergate.Turns;
  /** Undefined before the first configuration. */
  readonly limits: () => routing.configuration.CallerLimits | undefined;
  /** The time in which this host looked after its connections; leaves out what it missed as its event loop was late. */
  readonly watchedMs: () => number;
  readonly onClosure: (cause: callerclosures.ClosureCause) => void;
}

/** The request that the parser reads. */
interface Reading {
  readonly request: http.IncomingMessage;
  readonly holding: forwarding.buffers.Holding;
  readonly body: requestbody.RequestBody;
}

/** The state of an open connection. */
export class CallerConnection {
  readonly requests = new Set<OpenRequest>();
  readonly holding: forwarding.buffers.Holding;
  /** The bytes read when its last response was flushed; more of them are the start of a request. */
  private idleBytes = 0;
  /** The responses that have not been flushed, and what is called if the caller ends the connection. */
  private readonly responses = new Map<http.ServerResponse, () => void>();
  private readonly gate: callergate.Gate;
  private reading: Reading | undefined;
  /** The body of the last request that has begun. */
  private lastBody: requestbody.RequestBody | undefined;
  private readonly dispatched = new Set<OpenRequest>();
  /** Called when a request was answered. */
  private readonly waiting: (() => void)[] = [];
  private headBytes = 0;
  private headLines = 0;
  /** The last bytes of the head that is awaited. */
  private headTail: Buffer = NO_BYTES;
  /** The bytes of the body since its last content. */
  private framingBytes = 0;
  private framingLines = 0;
  private isUsed = false;
  private isRefused = false;
  private isClosing = false;
  /** When the head that is awaited began, by `watchedMs`. */
  private headStartMs: number;
  /** When something was read, by `watchedMs`. */
  private readMs: number;

  constructor(
    readonly socket: net.Socket,
    private readonly options: CallerConnectionOptions,
  ) {
    const {account, turns} = options;
    this.holding = account.open({
      stage: 'reading',
      close: () => socket.destroy(),
    });
    this.headStartMs = options.watchedMs();
    this.readMs = this.headStartMs;
    this.gate = new callergate.Gate(socket, {
      turns,
      isPipelined: () => this.requests.size > 0 && !this.reading,
      bodyBytesAhead: () => this.reading?.body.bytesAhead ?? 0,
      onParsed: (slice, chunks) => this.onParsed(slice, chunks),
      onWaiting: bytes => this.holding.setPart('waiting', bytes, 'bodies'),
      onTooManyChunks: () => this.close('small-chunks'),
    });
    socket.once('close', () => {
      this.gate.discard();
      this.holding.release();
      // Node.js closes only the response that it writes, not those behind it.
      for (const response of this.responses.keys()) {
        if (!response.socket) response.emit('close');
      }
    });
    const onCallerEnd = () => {
      for (const onEnd of this.responses.values()) onEnd();
    };
    socket.once('end', onCallerEnd);
    socket.once('error', onCallerEnd);
    this.holding.signal.addEventListener('abort', () => this.close('no-room'));
    const {CONNECTION_BYTES: ownBytes} = callerbounds;
    this.holding.setPart('own', ownBytes, 'connections');
  }

  /** Begins to read a request, which is tracked until the last byte of its response has been flushed or the connection has closed; undefined if the response to an earlier one closes the connection. */
  begin(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    id: string,
    arrivedMs: number,
    onCallerEnd: () => void,
  ): IncomingRequest | undefined {
    const {gate, socket} = this;
    if (this.lastBody?.isRefused) return void gate.discard();
    const tracked: OpenRequest = {id, arrivedMs, stage: 'reading'};
    this.requests.add(tracked);
    this.isUsed = true;
    const isFirst = this.requests.size === 1;
    const holding = this.options.account.open({
      stage: isFirst ? 'reading' : 'queued',
      close: () => socket.destroy(),
    });
    const {maxBodyBytes = Infinity, maxHeaderBytes = Infinity} =
      this.options.limits() ?? {};
    const wireBytes = this.headSize(request, maxHeaderBytes);
    this.setHead(0, 0);
    this.headTail = NO_BYTES;
    gate.countRequest();
    const lineCount = request.rawHeaders.length / 2;
    const heldBytes = wireBytes + lineCount * LINE_BYTES + REQUEST_BYTES;
    holding.setPart('head', heldBytes, 'heads');
    const body = new requestbody.RequestBody(
      ...([{request, gate, holding, maxBytes: maxBodyBytes}] as const),
    );
    if (wireBytes > maxHeaderBytes) body.end('head-too-large');
    this.reading = {request, holding, body};
    this.lastBody = body;
    if (this.requests.size >= this.maxPipelined) gate.hold('pipelined');
    this.responses.set(response, onCallerEnd);
    response.once('close', () => {
      this.responses.delete(response);
      holding.release();
      this.onAnswered(tracked);
      this.idleBytes = socket.bytesRead;
      this.headStartMs = this.options.watchedMs();
      if (this.requests.size < this.maxPipelined) gate.release('pipelined');
    });
    return {tracked, holding, body};
  }

  /** Marks that a request is refused before it was read; it is the first to be closed for room. */
  onRefused(
    {holding}: IncomingRequest,
    cause: callerclosures.ClosureCause,
  ): void {
    this.isRefused = true;
    holding.setStage('refused');
    this.holding.setStage('refused');
    this.options.onClosure(cause);
  }

  /** Marks that the body of a request was read; it is not ended for what its caller sends any more. */
  onRead({tracked, holding}: IncomingRequest): void {
    tracked.stage = 'dispatching';
    if (this.dispatched.size === 0) holding.setStage('running');
  }

  /** True without a response in progress, if no further request has begun to arrive. */
  get isIdle(): boolean {
    return this.requests.size === 0 && this.socket.bytesRead === this.idleBytes;
  }

  /** Resolves when a request that was read may be dispatched: at once, unless many are that came behind another one of their connection. */
  async mayDispatch({tracked, holding}: IncomingRequest): Promise<void> {
    const {behind} = this.options;
    const mustWait = () =>
      this.dispatched.size > 0 &&
      behind.count >= MAX_DISPATCHED_BEHIND &&
      this.requests.has(tracked) &&
      !holding.signal.aborted;
    if (mustWait()) {
      holding.signal.addEventListener('abort', () => this.wake());
      while (mustWait()) {
        await new Promise<void>(resolve => this.waiting.push(resolve));
      }
    }
    if (!this.requests.has(tracked)) return;
    if (this.dispatched.size > 0) behind.count++;
    this.dispatched.add(tracked);
    holding.setStage('running');
  }

  private onAnswered(tracked: OpenRequest): void {
    this.requests.delete(tracked);
    if (this.dispatched.delete(tracked) && this.dispatched.size > 0) {
      this.options.behind.count--;
    }
    this.wake();
  }

  private wake(): void {
    for (const resolve of this.waiting.splice(0)) resolve();
  }

  /** How far its caller is; undefined for an idle one. */
  get stage(): decisions.closingorder.Stage | undefined {
    if (this.isRefused || this.isClosing) return 'refused';
    for (const {stage} of this.requests) {
      if (stage !== 'reading') return 'running';
    }
    const isReading =
      !this.isUsed || this.headBytes > 0 || this.requests.size > 0;
    return isReading ? 'reading' : undefined;
  }

  /** What decides whether it is closed for another one, by `watchedMs`; undefined for an idle one. */
  get candidate(): decisions.closingorder.ConnectionCandidate | undefined {
    const {stage, socket} = this;
    if (stage === undefined || socket.destroyed) return undefined;
    return {
      stage,
      progressMs: this.gate.isHeld ? this.options.watchedMs() : this.readMs,
      startMs: this.headStartMs,
      readBytes: socket.bytesRead - this.idleBytes,
    };
  }

  /** Ends it if it makes no progress; `slackMs` is the interval of these checks. */
  check(slackMs: number): void {
    const limits = this.options.limits();
    if (!limits || this.isClosing) return;
    const nowMs = this.options.watchedMs();
    if (this.gate.isHeld) {
      this.readMs = nowMs;
      this.headStartMs = nowMs;
      return;
    }
    const {reading} = this;
    if (reading && !reading.request.complete) {
      if (nowMs - this.readMs <= limits.idleTimeoutMs + slackMs) return;
      if (reading.body.hasEnded) this.close('body-timeout');
      else reading.body.end('body-timeout');
    } else if (
      this.requests.size === 0 &&
      (!this.isUsed || this.headBytes > 0) &&
      nowMs - this.headStartMs > limits.headerTimeoutMs + slackMs
    ) {
      this.close('head-timeout', this.headBytes > 0 ? 408 : undefined);
    }
  }

  /** Closes it for what its caller sends; with a status, a caller that waits for no other response is told. */
  close(cause: callerclosures.ClosureCause, status?: number): void {
    const {socket} = this;
    if (socket.destroyed) return;
    if (this.isClosing) return void socket.destroy();
    const isTold =
      status !== undefined &&
      this.stage === 'reading' &&
      !this.owesResponse &&
      socket.writable;
    this.isClosing = true;
    this.options.onClosure(cause);
    this.gate.discard();
    if (!isTold) return void socket.destroy();
    const reason = STATUS_LINES[status] ?? STATUS_LINES[400];
    socket.end(
      `HTTP/1.1 ${reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
    this.holding.setStage('refused');
    // Closing a connection while its caller still sends may discard the response.
    socket.once('end', () => socket.destroy());
    setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS);
  }

  /** True if a request has arrived whole and is not answered: its caller takes the next response for its own. */
  private get owesResponse(): boolean {
    const {reading} = this;
    const partial = reading && !reading.request.complete ? 1 : 0;
    return this.requests.size > partial;
  }

  /** The bytes of a head; fewer than it had, as blanks are not known, if that makes no difference or it came behind another request. */
  private headSize(
    request: http.IncomingMessage,
    maxHeaderBytes: number,
  ): number {
    const leastBytes = wireBytesOf(request);
    const slice = this.gate.firstSlice;
    const mostBytes = this.headBytes + (slice?.length ?? 0);
    if (!slice || leastBytes > maxHeaderBytes || mostBytes <= maxHeaderBytes) {
      return leastBytes;
    }
    // Empty lines may precede a head.
    let start = 0;
    if (this.headBytes === 0) {
      while (slice[start] === LINE_END || slice[start] === CARRIAGE_RETURN) {
        start++;
      }
    }
    const bytes = Buffer.concat([this.headTail, slice.subarray(start)]);
    const end = bytes.indexOf(HEAD_END);
    if (end < 0) return leastBytes;
    const newBytes = end + HEAD_END.length - this.headTail.length;
    return this.headBytes + newBytes;
  }

  private get maxPipelined(): number {
    const isCrowded = this.options.behind.count >= MAX_DISPATCHED_BEHIND;
    return isCrowded ? 2 : MAX_PIPELINED;
  }

  /** Returns the work of what is no chunk, as a number of chunks. */
  private onParsed(slice: Buffer, chunks: number): number {
    this.readMs = this.options.watchedMs();
    this.holding.markProgress();
    const {reading} = this;
    this.holding.setStage(this.stage ?? 'running');
    if (reading?.request.complete) {
      this.reading = undefined;
      this.framingBytes = 0;
      this.framingLines = 0;
    } else if (reading) {
      this.onBody(reading, slice, chunks);
    } else if (!this.isClosing) {
      return this.onHead(slice) / LINES_PER_CHUNK;
    }
    return 0;
  }

  private onBody({holding}: Reading, slice: Buffer, chunks: number): void {
    if (chunks > 0) {
      this.framingBytes = 0;
      this.framingLines = 0;
      holding.markProgress();
    } else {
      const {maxHeaderBytes = Infinity} = this.options.limits() ?? {};
      this.framingBytes += slice.length;
      this.framingLines += linesOf(slice);
      const isEndless =
        this.framingBytes > maxHeaderBytes + MAX_EXTENSION_BYTES;
      if (isEndless) this.close('endless-framing');
    }
    const bytes = this.framingBytes + this.framingLines * LINE_BYTES;
    holding.setPart('framing', bytes, 'heads');
  }

  /** Returns the number of lines. */
  private onHead(slice: Buffer): number {
    const {maxHeaderBytes = Infinity} = this.options.limits() ?? {};
    if (this.headBytes === 0 && this.isUsed) this.headStartMs = this.readMs;
    const lines = linesOf(slice);
    this.setHead(this.headBytes + slice.length, this.headLines + lines);
    const tail = Buffer.concat([this.headTail, slice.subarray(-TAIL_BYTES)]);
    this.headTail = tail.subarray(-TAIL_BYTES);
    if (this.headBytes > maxHeaderBytes) this.close('head-too-large', 431);
    return lines;
  }

  private setHead(bytes: number, lines: number): void {
    this.headBytes = bytes;
    this.headLines = lines;
    this.holding.setPart('head', bytes + lines * LINE_BYTES, 'heads');
  }
}

/** How long a caller that was told why its connection closes may go on sending. */
const CLOSE_TIMEOUT_MS = 500;

const STATUS_LINES: Readonly<Record<number, string>> = {
  400: '400 Bad Request',
  408: '408 Request Timeout',
  413: '413 Payload Too Large',
  431: '431 Request Header Fields Too Large',
};

function linesOf(slice: Buffer): number {
  let lines = 0;
  for (const byte of slice) if (byte === LINE_END) lines++;
  return lines;
}

/** The least bytes that the head of a request had; spaces and tabs around values are not known. */
function wireBytesOf({method, url, rawHeaders}: http.IncomingMessage): number {
  let bytes = REQUEST_LINE_BYTES + (method ?? '').length + (url ?? '').length;
  for (const text of rawHeaders) bytes += text.length;
  return bytes + (rawHeaders.length / 2) * SEPARATOR_BYTES;
}
