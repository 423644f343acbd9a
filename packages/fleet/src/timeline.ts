import type * as operators from '@banyanhall/operators';

/** The latest events that are always retained; up to twice as many are held between trims. */
const MIN_RETAINED_EVENTS = 5000;

/**
 * What an event reports. The kinds from `received` to `refused` are steps of
 * one request; `asked` means that a slot request was sent to a keeper, `alone`
 * that a slot was assigned without the keeper, `outside-regions` that a keeper
 * granted one in a region that the request may not use, and `broken` that a
 * response ended early. The other kinds are about the host.
 */
export type EventKind =
  | 'received'
  | 'asked'
  | 'alone'
  | 'outside-regions'
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
  | 'partition'
  | 'keeper'
  | 'config'
  | 'share'
  | 'move'
  | 'started'
  | 'stopping'
  | 'stopped';

/** Further fields of an event; names of quantities end with the unit. */
export type Detail = operators.api.TimelineEvent['detail'];

/** The recent events of this host, in order; the oldest are evicted when there are too many. */
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
