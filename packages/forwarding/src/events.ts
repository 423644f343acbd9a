const LF = 10;
const CR = 13;

/** Whole events of a stream, with the id of the last one among them. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
  readonly count: number;
}

const NOTHING: EventBatch = {
  bytes: Buffer.alloc(0),
  lastId: undefined,
  count: 0,
};

/**
 * Cuts the bytes of an event stream at the ends of events, so that what goes
 * to the caller always ends with a whole event. Bytes are never changed.
 */
export class EventFramer {
  private pending: Buffer = Buffer.alloc(0);

  /** The whole events that `chunk` completes. */
  push(chunk: Buffer): EventBatch {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = lastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return NOTHING;
    const whole = bytes.subarray(0, end);
    const ids = [...whole.toString('latin1').matchAll(/^id:[ ]?(.*?)\r?$/gm)];
    const lastId = ids[ids.length - 1]?.[1];
    return {bytes: whole, lastId, count: ids.length};
  }

  /** The bytes after the last whole event. */
  get remainder(): Buffer {
    return this.pending;
  }
}

/** The offset behind the last blank line, or 0 when no event is whole. */
function lastEventEnd(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i--) {
    if (bytes[i] !== LF) continue;
    const before = bytes[i - 1] === CR ? i - 2 : i - 1;
    if (before >= 0 && bytes[before] === LF) return i + 1;
  }
  return 0;
}
