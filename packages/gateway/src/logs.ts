import pino from 'pino';

/** Values of the `event` field that names each log line; docs/LOGS.md describes them. */
export type LogEvent =
  | 'start'
  | 'listen-failed'
  | 'ready'
  | 'stop'
  | 'stopped'
  | 'reload'
  | 'dependency-lost'
  | 'dependency-back'
  | 'store-restored'
  | 'store-rewritten'
  | 'bad-input'
  | 'configuration'
  | 'server-listed'
  | 'server-left'
  | 'server-health'
  | 'server-limit'
  | 'server-cold'
  | 'evacuation'
  | 'server-leaving'
  | 'server-brittle'
  | 'server-backoff'
  | 'link-cut'
  | 'link-restored'
  | 'host'
  | 'hosts-lost'
  | 'rollout'
  | 'refused'
  | 'sent'
  | 'send-failed'
  | 'silent'
  | 'resumed'
  | 'answered'
  | 'broken'
  | 'cut'
  | 'failed'
  | 'caller-left'
  | 'caller-closed'
  | 'suspect'
  | 'suppressed'
  | 'error';

/** The fields of a log line besides the event and the request id; names carry their unit as a suffix. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** The maximum number of lines per second for each event; lines beyond that are counted but not written. Routine events have the lowest limits. */
const LINES_PER_S: Readonly<Partial<Record<LogEvent, number>>> = {
  sent: 40,
  answered: 40,
  'caller-left': 40,
};
const DEFAULT_LINES_PER_S = 100;
const SECOND_MS = 1000;
/** Bytes buffered while the log reader stalls; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_000_000;

/** The structured log of a host. */
export interface Log {
  event(event: LogEvent, requestId: string, fields?: Fields): void;
}

/** A log that discards every line; for tests. */
export const NO_LOG: Log = {event: () => undefined};

/**
 * Writes one JSON line per event, rate limited for each kind of event. Writing
 * never blocks: lines beyond the buffer of a slow reader are dropped.
 */
export class JsonLog implements Log {
  private readonly logger: pino.Logger;
  private readonly written = new Map<LogEvent, number>();
  private readonly suppressed = new Map<LogEvent, number>();
  private secondStartMs = -Infinity;

  constructor(
    host: string,
    private readonly nowMs: () => number,
    destination: pino.DestinationStream = stdout(),
  ) {
    const options = {
      base: {host},
      timestamp: pino.stdTimeFunctions.epochTime,
      formatters: {level: (level: string) => ({level})},
    };
    this.logger = pino(options, destination);
  }

  event(event: LogEvent, requestId: string, fields: Fields = {}): void {
    const nowMs = this.nowMs();
    if (nowMs - this.secondStartMs >= SECOND_MS) this.startSecond(nowMs);
    const count = this.written.get(event) ?? 0;
    if (count >= (LINES_PER_S[event] ?? DEFAULT_LINES_PER_S)) {
      this.suppressed.set(event, (this.suppressed.get(event) ?? 0) + 1);
      return;
    }
    this.written.set(event, count + 1);
    const line = requestId === '' ? fields : {requestId, ...fields};
    this.logger.info({event, ...line});
  }

  private startSecond(nowMs: number): void {
    this.secondStartMs = nowMs;
    this.written.clear();
    for (const [event, lines] of this.suppressed) {
      this.logger.info({event: 'suppressed', of: event, lines});
    }
    this.suppressed.clear();
  }
}

function stdout(): pino.DestinationStream {
  return pino.destination({
    dest: 1,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
}
