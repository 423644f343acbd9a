/** Converts timeline events to the Chrome trace-event format. */
import type * as operators from '@banyanhall/operators';

const US_PER_MS = 1000;

/**
 * An event of the Chrome trace-event format. `ph` is its phase: `b`, `n` and
 * `e` begin, mark and end an async span, `i` is an instant event and `M` is
 * metadata. `ts` is in microseconds; `s: 'p'` gives an instant event the scope
 * of its process.
 */
export interface TraceEvent {
  readonly name: string;
  readonly ph: 'b' | 'e' | 'n' | 'i' | 'M';
  readonly ts: number;
  readonly pid: number;
  readonly tid: number;
  readonly cat?: string;
  readonly id?: string;
  readonly s?: 'p';
  readonly args: Readonly<Record<string, unknown>>;
}

/** The contents of a trace file. */
export interface Trace {
  readonly traceEvents: readonly TraceEvent[];
}

/** Event kinds that begin or end the span of a request. */
const SPAN_PHASES: Readonly<Record<string, 'b' | 'e'>> = {
  received: 'b',
  answered: 'e',
};

/** Converts timeline events to a trace with one process per host and one async span per request. */
export function toTrace(events: readonly operators.api.TimelineEvent[]): Trace {
  const hosts = [...new Set(events.map(event => event.host))].sort();
  const processNames = hosts.map((host, index): TraceEvent => ({
    name: 'process_name',
    ph: 'M',
    ts: 0,
    pid: index + 1,
    tid: 0,
    args: {name: host},
  }));
  const convertedEvents = events.map((event): TraceEvent => {
    const {atMs, host, kind, requestId, detail} = event;
    const common = {
      ts: atMs * US_PER_MS,
      pid: hosts.indexOf(host) + 1,
      tid: 0,
      args: detail,
    };
    if (requestId === '') return {name: kind, ph: 'i', s: 'p', ...common};
    const phase = SPAN_PHASES[kind];
    const name = phase ? 'request' : kind;
    const ph = phase ?? 'n';
    return {name, ph, cat: 'request', id: requestId, ...common};
  });
  return {traceEvents: [...processNames, ...convertedEvents]};
}
