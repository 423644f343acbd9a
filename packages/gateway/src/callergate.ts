/*
 * Passes what callers send on to the HTTP parser in slices, so that small
 * chunks of many connections don't occupy the event loop.
 */
import type * as net from 'node:net';

import * as decisions from '@banyanhall/decisions';

/** Why a connection is not read for now. */
type HoldReason = 'turn' | 'crowded' | 'pipelined';

/** The most bytes of pipelined requests that are parsed at once; a few requests. */
const PIPELINED_SLICE_BYTES = 512;

type Feed = (bytes: Buffer) => void;

/** Dependencies of `Gate`. */
export interface GateOptions {
  readonly turns: Turns;
  /** True while requests are read behind others that are not answered. */
  readonly isPipelined: () => boolean;
  /** The bytes that certainly belong to the body that is being read. */
  readonly bodyBytesAhead: () => number;
  /** Called after a slice was parsed, with the chunks of bodies in it; returns what else it held, as a number of chunks that cost as much. */
  readonly onParsed: (slice: Buffer, chunks: number) => number;
  /** Called when the bytes that wait to be parsed change. */
  readonly onWaiting: (bytes: number) => void;
  /** Closes the connection for the rate of its small chunks. */
  readonly onTooManyChunks: () => void;
}

/** The gate of one connection. */
export class Gate {
  readonly pace = new decisions.readpace.ReadPace();
  private readonly feed: Feed | undefined;
  private readonly holds = new Set<HoldReason>();
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private chunks = 0;
  private requests = 0;
  private isClosed = false;
  private parsed: Buffer | undefined;
  private isPaused = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: GateOptions,
  ) {
    // The HTTP server parses what its listener gets. A listener of another owner
    // makes it stop reading from the socket's handle, so that pauses take effect.
    const [feed] = socket.listeners('data') as unknown as readonly Feed[];
    if (!feed) return;
    this.feed = feed;
    socket.removeListener('data', feed);
    socket.on('data', bytes => this.take(bytes));
    socket.on('resume', () => {
      if (this.isHeld) socket.pause();
    });
  }

  /** True while the connection is not read, whatever its caller sends. */
  get isHeld(): boolean {
    return this.holds.size > 0;
  }

  /** The slice that is being parsed, unless another request began in it. */
  get firstSlice(): Buffer | undefined {
    return this.requests === 0 ? this.parsed : undefined;
  }

  /** Counts a chunk of a body. */
  countChunk(): void {
    this.chunks++;
  }

  /** Counts a request whose head was read. */
  countRequest(): void {
    this.requests++;
  }

  /** Reads no more until `release`. */
  hold(reason: HoldReason): void {
    if (this.isClosed) return;
    this.holds.add(reason);
    this.isPaused = true;
    this.socket.pause();
  }

  /** Reads on unless there is another reason not to. */
  release(reason: HoldReason): void {
    if (this.holds.delete(reason)) this.readOn();
  }

  /** Reads no more for a time. */
  pauseFor(ms: number): void {
    this.hold('crowded');
    setTimeout(() => this.release('crowded'), ms);
  }

  /** Discards all that the caller goes on to send. */
  discard(): void {
    this.isClosed = true;
    this.holds.clear();
    this.setWaiting([]);
    if (!this.socket.destroyed) this.socket.resume();
  }

  /** Parses one slice in its turn; true if it is to get another turn. */
  takeTurn(): boolean {
    const isOnlyHold = this.holds.size === 1;
    const hasSmallChunks =
      isOnlyHold && this.waiting.length > 0 && this.parseNext();
    if (hasSmallChunks && !this.isClosed) return true;
    this.release('turn');
    return false;
  }

  /** Closes the connection as it sends too many small chunks beside others. */
  closeForChunks(): void {
    this.options.onTooManyChunks();
  }

  private take(bytes: Buffer): void {
    if (this.isClosed) return;
    if (this.isHeld || bytes.length > this.sliceBytes) {
      this.setWaiting([...this.waiting, bytes]);
    } else if (this.parse(bytes)) {
      this.awaitTurn();
    }
    this.readOn();
  }

  private get sliceBytes(): number {
    const {sliceBytes} = this.pace;
    return this.options.isPipelined()
      ? Math.min(sliceBytes, PIPELINED_SLICE_BYTES)
      : sliceBytes;
  }

  /** Parses what waits, up to small chunks or a hold, and then reads on. */
  private readOn(): void {
    if (this.parsed) return;
    while (this.waiting.length > 0 && !this.isHeld && !this.isClosed) {
      if (this.parseNext()) this.awaitTurn();
    }
    if (this.isHeld || !this.isPaused || this.isClosed) return;
    this.isPaused = false;
    this.socket.resume();
  }

  /** Parses the next slice of what waits; true if it had small chunks. */
  private parseNext(): boolean {
    const [first, ...others] = this.waiting;
    const {bodyBytesAhead} = this.options;
    const size = Math.max(this.sliceBytes, bodyBytesAhead());
    const isWhole = first.length <= size;
    this.setWaiting(isWhole ? others : [first.subarray(size), ...others]);
    return this.parse(isWhole ? first : first.subarray(0, size));
  }

  /** Parses a slice; true if it had small chunks. */
  private parse(slice: Buffer): boolean {
    if (this.socket.destroyed) return false;
    this.parsed = slice;
    this.feed?.(slice);
    this.parsed = undefined;
    const {chunks, requests} = this;
    this.chunks = 0;
    this.requests = 0;
    const work = chunks + this.options.onParsed(slice, chunks);
    return this.pace.afterSlice(slice.length, work, requests);
  }

  private awaitTurn(): void {
    if (this.isClosed) return;
    this.hold('turn');
    this.options.turns.add(this);
  }

  private setWaiting(waiting: Buffer[]): void {
    this.waiting = waiting;
    let bytes = 0;
    for (const each of waiting) bytes += each.length;
    if (bytes === this.waitingBytes) return;
    this.waitingBytes = bytes;
    this.options.onWaiting(bytes);
  }
}

/** The connections that send small chunks; they are read in turn, with pauses for all others. */
export class Turns {
  private gates: Gate[] = [];
  private timer: NodeJS.Timeout | undefined;

  /** Adds a connection that waits for its turn. */
  add(gate: Gate): void {
    this.gates.push(gate);
    decisions.readpace.connectionToClose(this.gates)?.closeForChunks();
    this.timer ??= setTimeout(() => this.run(), 1);
  }

  private run(): void {
    const startMs = performance.now();
    let workMs = 0;
    while (this.gates.length > 0 && workMs < decisions.readpace.TURN_MS) {
      const gate = this.gates.shift() as Gate;
      if (gate.takeTurn()) this.gates.push(gate);
      workMs = performance.now() - startMs;
    }
    const waiting = this.gates.length;
    const pauseMs = decisions.readpace.pauseMs(workMs, waiting);
    this.timer =
      waiting > 0 ? setTimeout(() => this.run(), pauseMs) : undefined;
  }
}
