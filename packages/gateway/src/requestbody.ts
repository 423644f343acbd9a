/*
 * Reads the body of a caller's request into memory.
 */
import type * as http from 'node:http';

import * as forwarding from '@banyanhall/forwarding';

import type * as callergate from './callergate.js';

/** Why a request was not read to its end. */
export type UnreadReason =
  'cut' | 'no-room' | 'head-too-large' | 'body-too-large' | 'body-timeout';

/** A smaller chunk is copied into a block, since each buffer costs memory of its own. */
const MIN_OWN_CHUNK_BYTES = 1024;
/** Bodies of fewer chunks keep them as they are. */
const MAX_OWN_SMALL_CHUNKS = 8;
const MIN_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 65_536;

/** Chunks in few buffers. */
export class JoinedChunks {
  private parts: Buffer[] = [];
  private block: Buffer | undefined;
  private usedBytes = 0;
  private sizeBytes = 0;
  private allocated = 0;
  private smallChunks = 0;

  /** The bytes of the chunks. */
  get bytes(): number {
    return this.sizeBytes;
  }

  /** The bytes of the buffers, with what each costs. */
  get heldBytes(): number {
    return (
      this.allocated +
      this.parts.length * forwarding.buffers.CHUNK_OVERHEAD_BYTES
    );
  }

  add(chunk: Buffer): void {
    this.sizeBytes += chunk.length;
    const isSmall = chunk.length < MIN_OWN_CHUNK_BYTES;
    if (isSmall && ++this.smallChunks > MAX_OWN_SMALL_CHUNKS) {
      this.copy(chunk);
      return;
    }
    this.endBlock();
    this.parts.push(chunk);
    this.allocated += chunk.length;
  }

  /** Returns all chunks as one buffer. */
  concat(): Buffer {
    this.endBlock();
    return this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
  }

  /** Drops all chunks. */
  clear(): void {
    this.parts = [];
    this.block = undefined;
  }

  private copy(chunk: Buffer): void {
    if (!this.block || this.usedBytes + chunk.length > this.block.length) {
      this.endBlock();
      const size = Math.max(MIN_BLOCK_BYTES, this.sizeBytes);
      this.block = Buffer.allocUnsafeSlow(Math.min(size, MAX_BLOCK_BYTES));
      this.parts.push(this.block);
      this.allocated += this.block.length;
      this.usedBytes = 0;
    }
    chunk.copy(this.block, this.usedBytes);
    this.usedBytes += chunk.length;
  }

  /** Ends the block that small chunks are copied into, whose rest stays unused. */
  private endBlock(): void {
    if (!this.block) return;
    this.parts[this.parts.length - 1] = this.block.subarray(0, this.usedBytes);
    this.block = undefined;
  }
}

/** Dependencies of `RequestBody`. */
export interface RequestBodyOptions {
  readonly request: http.IncomingMessage;
  readonly gate: callergate.Gate;
  readonly holding: forwarding.buffers.Holding;
  readonly maxBytes: number;
}

/** The body of one request while it is read. */
export class RequestBody {
  /** The body; why it was not read to its end; or undefined when the caller disconnected first. */
  readonly result: Promise<Buffer | UnreadReason | undefined>;
  private readonly chunks = new JoinedChunks();
  private readonly statedBytes: number | undefined;
  private settle: (result: Buffer | UnreadReason | undefined) => void = () =>
    undefined;
  private endReason: UnreadReason | undefined;
  private isRead = false;
  private discardedBytes = 0;

  constructor(private readonly options: RequestBodyOptions) {
    const {request, gate, holding, maxBytes} = options;
    this.result = new Promise(resolve => {
      this.settle = resolve;
    });
    const {'content-length': length} = request.headers;
    this.statedBytes = length === undefined ? undefined : Number(length);
    request.on('data', (chunk: Buffer) => {
      gate.countChunk();
      if (!this.hasEnded) return this.add(chunk);
      this.discardedBytes += chunk.length;
      if (this.discardedBytes > maxBytes) request.destroy();
    });
    // From now on chunks are passed on as they are parsed, so that the gate counts them in time.
    request.read(0);
    request.on('end', () => {
      if (this.hasEnded) return;
      this.isRead = true;
      this.settle(this.chunks.concat());
    });
    request.on('error', () => this.settle(undefined));
    request.on('close', () => this.settle(undefined));
    const onNoRoom = () => this.end('no-room');
    holding.signal.addEventListener('abort', onNoRoom, {once: true});
    if (holding.signal.aborted) onNoRoom();
    if ((this.statedBytes ?? 0) > maxBytes) this.end('body-too-large');
  }

  /** The bytes that are certainly still to come. */
  get bytesAhead(): number {
    if (this.statedBytes === undefined || this.hasEnded) return 0;
    return this.statedBytes - this.chunks.bytes;
  }

  /** True once it is not read any more. */
  get hasEnded(): boolean {
    return this.endReason !== undefined;
  }

  /** True if the request is refused for what its caller sends, or for room before it was read; the response closes the connection. */
  get isRefused(): boolean {
    return this.hasEnded && !this.isRead && this.endReason !== 'cut';
  }

  /** Ends the reading; the rest is discarded as it comes. */
  end(reason: UnreadReason): void {
    if (this.hasEnded) return;
    this.endReason = reason;
    this.chunks.clear();
    this.options.holding.setPart('body', 0, 'bodies');
    this.settle(reason);
  }

  private add(chunk: Buffer): void {
    const {chunks} = this;
    const {gate, holding, maxBytes} = this.options;
    chunks.add(chunk);
    if (chunks.bytes > maxBytes) return this.end('body-too-large');
    holding.setPart('body', chunks.heldBytes, 'bodies');
    if (holding.isSlowed(chunk.length)) {
      gate.pauseFor(forwarding.buffers.PAUSE_MS);
    }
  }
}
