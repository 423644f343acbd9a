const LF = 10;
const CR = 13;
/** Lines end with LF, CR or both. */
const BLANK_LINE = /(?:\r\n|\n|\r(?!\n)){2}/;
const BETWEEN_EVENTS = /^(?:(?::[^\r\n]*)?(?:\r\n|\n|\r(?!\n)))*$/;
const NUMBER = /^\d+$/;

/** The most bytes of one event. */
export const MAX_EVENT_BYTES = 1_048_576;

/** The most bytes before the end of an event that tell that it ends there, without the last one. */
const TAIL_BYTES = 3;
/** Chunks of an event are joined when there are more, since each costs memory of its own. */
const MAX_PENDING_CHUNKS = 1024;

/** Consecutive complete events of a stream. */
export interface EventBatch {
  readonly bytes: Buffer;
  /** The value of the last `id` line; undefined when there is none. */
  readonly lastId: string | undefined;
  /** The number of `id` lines. */
  readonly count: number;
}

const EMPTY_BATCH: EventBatch = {
  bytes: Buffer.alloc(0),
  lastId: undefined,
  count: 0,
};

/**
 * Splits the bytes of a server-sent event stream at event boundaries, so that
 * the part passed to the caller always ends with a complete event. Bytes are
 * never changed.
 */
export class EventFramer {
  /** The start of an event that is not complete. */
  private chunks: Buffer[] = [];
  private length = 0;
  /** Its last bytes. */
  private tail: Buffer = Buffer.alloc(0);
  private hasFirst = false;
  private first: string | undefined;

  /** Adds `chunk` and returns the events that are complete by now; throws when one exceeds `MAX_EVENT_BYTES`. */
  push(chunk: Buffer): EventBatch {
    if (this.length + chunk.length > MAX_EVENT_BYTES) {
      throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    // What came before ends no event, so that it is not looked at again.
    const probe = Buffer.concat([this.tail, chunk]);
    const probeEnd = lastEventEnd(probe);
    if (probeEnd <= this.tail.length) {
      this.keep(chunk);
      return EMPTY_BATCH;
    }
    const end = this.length - this.tail.length + probeEnd;
    const bytes =
      this.length === 0 ? chunk : Buffer.concat([...this.chunks, chunk]);
    this.chunks = [];
    this.length = 0;
    this.tail = EMPTY_BATCH.bytes;
    if (end < bytes.length) this.keep(bytes.subarray(end));
    const complete = bytes.subarray(0, end);
    if (!this.hasFirst) {
      this.hasFirst = true;
      const event = complete.toString('latin1').split(BLANK_LINE, 1)[0];
      this.first = /^id:[ ]?(.*?)\r?$/m.exec(event)?.[1];
    }
    const ids = [
      ...complete.toString('latin1').matchAll(/^id:[ ]?(.*?)\r?$/gm),
    ];
    const lastId = ids[ids.length - 1]?.[1];
    return {bytes: complete, lastId, count: ids.length};
  }

  /** The id of the first event; undefined if it has none, or is not complete yet. */
  get firstId(): string | undefined {
    return this.first;
  }

  /** True when nothing but whole comments and line ends was received after the last complete event. */
  get isBetweenEvents(): boolean {
    return BETWEEN_EVENTS.test(this.remainder.toString('latin1'));
  }

  /** The number of bytes that are kept until their event is complete. */
  get pendingBytes(): number {
    return this.length;
  }

  /** The bytes received after the last complete event. */
  get remainder(): Buffer {
    return Buffer.concat(this.chunks);
  }

  private keep(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.length += chunk.length;
    if (this.chunks.length > MAX_PENDING_CHUNKS) {
      this.chunks = [Buffer.concat(this.chunks)];
    }
    const last = Buffer.concat([this.tail, chunk.subarray(-TAIL_BYTES)]);
    this.tail = last.subarray(-TAIL_BYTES);
  }
}

/** Returns true if an event may follow the one with id `after`: ids increase where they are numbers, and never repeat. */
export function mayFollow(id: string | undefined, after: string): boolean {
  if (id === undefined || id === after) return false;
  const isNumeric = NUMBER.test(id) && NUMBER.test(after);
  return !isNumeric || Number(id) > Number(after);
}

/** Returns the offset just after the last blank line, or 0 when no event is complete. */
function lastEventEnd(bytes: Buffer): number {
  for (let end = bytes.length; end > 1; end--) {
    const lineStart = startOfLineEnd(bytes, end);
    if (lineStart < end && startOfLineEnd(bytes, lineStart) < lineStart) {
      return end;
    }
  }
  return 0;
}

/** Returns where the line end starts that ends before `end`; `end` if there is none. */
function startOfLineEnd(bytes: Buffer, end: number): number {
  if (end === 0) return end;
  const last = bytes[end - 1];
  if (last === LF) return bytes[end - 2] === CR ? end - 2 : end - 1;
  // A CR before a LF ends no line by itself.
  return last === CR && bytes[end] !== LF ? end - 1 : end;
}
