import type * as operators from '@banyanhall/operators';

const US_PER_MS = 1000;

/** One event of the Chrome trace-event format. */
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

/** A trace file. */
export interface Trace {
  readonly traceEvents: readonly TraceEvent[];
}

const REQUEST_PHASES: Readonly<Record<string, 'b' | 'e'>> = {
  received: 'b',
  answered: 'e',
};

/** Turns time line events into a trace: a process for each host, an async span for each request. */
export function toTrace(events: readonly operators.api.TimelineEvent[]): Trace {
  const hosts = [...new Set(events.map(event => event.host))].sort();
  const names = hosts.map((host, index): TraceEvent => ({
    name: 'process_name',
    ph: 'M',
    ts: 0,
    pid: index + 1,
    tid: 0,
    args: {name: host},
  }));
  const traced = events.map((event): TraceEvent => {
    const {atMs, host, kind, requestId, detail} = event;
    const common = {
      ts: atMs * US_PER_MS,
      pid: hosts.indexOf(host) + 1,
      tid: 0,
      args: detail,
    };
    if (requestId === '') return {name: kind, ph: 'i', s: 'p', ...common};
    const phase = REQUEST_PHASES[kind];
    const name = phase ? 'request' : kind;
    const ph = phase ?? 'n';
    return {name, ph, cat: 'request', id: requestId, ...common};
  });
  return {traceEvents: [...names, ...traced]};
}
