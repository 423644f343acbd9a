import type * as operators from '@banyanhall/operators';

const KEPT_EVENTS = 5000;

/** The kinds of events on the time line. */
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

/** Details of an event; fields carry their unit as a suffix. */
export type Detail = operators.api.TimelineEvent['detail'];

/** The recent events of this host, in order; the oldest make room for new ones. */
export class Timeline {
  private readonly events: operators.api.TimelineEvent[] = [];
  private seq = 0;

  constructor(
    private readonly host: string,
    private readonly sink?: (event: operators.api.TimelineEvent) => void,
  ) {}

  /** Records an event; `requestId` is empty for events that belong to no request. */
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
    if (this.events.length > 2 * KEPT_EVENTS) {
      this.events.splice(0, this.events.length - KEPT_EVENTS);
    }
    this.sink?.(event);
  }

  /** The events after `seq` that are still kept. */
  after(seq: number): readonly operators.api.TimelineEvent[] {
    return this.events.filter(event => event.seq > seq);
  }
}
