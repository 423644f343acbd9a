/*
 * The pace at which a host parses what callers send. Each chunk of a body costs
 * about a microsecond however small it is, so that one read of 64 KiB may hold
 * 11,000 chunks of one byte and occupy the event loop for 12 ms.
 */

/** The bytes that are parsed at once until the density of chunks is known. */
const MIN_SLICE_BYTES = 2048;
/** The most bytes that are parsed at once; 2,700 chunks at most. */
const MAX_SLICE_BYTES = 16_384;
/** A slice has small chunks if they have fewer bytes on average, framing included. */
const SMALL_CHUNK_BYTES = 128;
/** Fewer chunks in a slice are never too dense. */
const MIN_DENSE_CHUNKS = 8;
/** A request with more small chunks counts as one of many. */
const MANY_CHUNKS = 4096;

/** The longest time in which slices with small chunks are parsed without a pause. */
export const TURN_MS = 8;
/** The most connections that may send many small chunks at once. */
export const MAX_DENSE_CONNECTIONS = 32;
/** The pause after slices with small chunks, as a multiple of the time that they took. */
const PAUSE_FACTOR = 1;
/** The same if no other connection waits. */
const LONE_PAUSE_FACTOR = 0.3;

/** The pace of one connection. */
export class ReadPace {
  private nextSliceBytes = MIN_SLICE_BYTES;
  private denseChunks = 0;

  /** How many bytes may be parsed at once. */
  get sliceBytes(): number {
    return this.nextSliceBytes;
  }

  /** The small chunks of the request that is being read. */
  get smallChunks(): number {
    return this.denseChunks;
  }

  /** True if the request that is being read consists of many small chunks. */
  get isMany(): boolean {
    return this.denseChunks > MANY_CHUNKS;
  }

  /** Takes in how many chunks and beginnings of requests a parsed slice held; true if the chunks were small, so that the rest has to wait for its turn. */
  afterSlice(bytes: number, chunks: number, requests: number): boolean {
    const isDense =
      chunks >= MIN_DENSE_CHUNKS && bytes < chunks * SMALL_CHUNK_BYTES;
    if (requests > 0 && !isDense) this.denseChunks = 0;
    if (requests > 1) this.nextSliceBytes = MIN_SLICE_BYTES;
    else if (!isDense) {
      this.nextSliceBytes = Math.min(this.nextSliceBytes * 2, MAX_SLICE_BYTES);
    }
    if (!isDense) return false;
    this.nextSliceBytes = MIN_SLICE_BYTES;
    this.denseChunks += chunks;
    return true;
  }
}

/** The pause after parsing small chunks for `workMs`, if so many connections wait for the next turn. */
export function pauseMs(workMs: number, waiting: number): number {
  const factor = waiting > 1 ? PAUSE_FACTOR : LONE_PAUSE_FACTOR;
  return Math.max(1, Math.round(workMs * factor));
}

/** Chooses the connection to close if too many send small chunks at once: the one with the most. */
export function connectionToClose<C extends {readonly pace: ReadPace}>(
  waiting: Iterable<C>,
): C | undefined {
  let count = 0;
  let most: C | undefined;
  for (const each of waiting) {
    if (!each.pace.isMany) continue;
    count++;
    if (!most || each.pace.smallChunks > most.pace.smallChunks) most = each;
  }
  return count > MAX_DENSE_CONNECTIONS ? most : undefined;
}
