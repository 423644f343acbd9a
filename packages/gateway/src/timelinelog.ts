import * as timelines from '@banyanhall/fleet/timeline.js';

import type * as logs from './logs.js';

/** The log events written for the timeline's events; others are not logged. */
const TIMELINE_EVENTS: Readonly<
  Partial<Record<timelines.EventKind, logs.LogEvent>>
> = {
  member: 'host',
  partition: 'host',
  keeper: 'host',
  alone: 'host',
  'outside-regions': 'host',
  crash: 'suspect',
};

/** Creates a host's timeline, some of whose events are logged. */
export function loggedTimeline(
  host: string,
  log: logs.Log,
): timelines.Timeline {
  return new timelines.Timeline(host, event => {
    const logged = TIMELINE_EVENTS[event.kind as timelines.EventKind];
    if (logged) log.event(logged, event.requestId, {...event.detail});
  });
}
