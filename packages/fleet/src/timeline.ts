import type * as operators from '@banyanhall/operators';

/** The latest events that are always retained; up to twice as many are held between trims. */
const MIN_RETAINED_EVENTS = 5000;

/** The kinds of events in a timeline. */
export type EventKind =
  | 'received'
  | 'asked'
  | 'alone'
  | 'granted'
  | 'claimed'
  | 'dispatched'
  | 'not-admitted'
  | 'first-token'
  | 'broken'
  | 'resumed'
  | 'answered'
  | 'refused'
  | 'crash'
  | 'member'
  | 'keeper'
  | 'config'
  | 'share'
  | 'move'
  | 'started'
  | 'stopping'
  | 'stopped';

/** Further fields of an event; their names end with the unit. */
export type Detail = operators.api.TimelineEvent['detail'];

/** The recent events of this host, in order; the oldest are evicted first. */
export class Timeline {
  private readonly events: operators.api.TimelineEvent[] = [];
  private seq = 0;

  constructor(
    private readonly host: string,
    private readonly sink?: (event: operators.api.TimelineEvent) => void,
  ) {}

  /** Records an event and passes it to the sink; `requestId` is empty for events without a request. */
  record(kind: EventKind, requestId = '', detail: Detail = {}): void {
    this.seq++;
    const atMs = Date.now();
    const event = {
      host: this.host,
      seq: this.seq,
      atMs,
      kind,
      requestId,
      detail,
    };
    this.events.push(event);
    if (this.events.length > 2 * MIN_RETAINED_EVENTS) {
      this.events.splice(0, this.events.length - MIN_RETAINED_EVENTS);
    }
    this.sink?.(event);
  }

  /** The retained events with a sequence number above `seq`. */
  after(seq: number): readonly operators.api.TimelineEvent[] {
    return this.events.filter(event => event.seq > seq);
  }
}
