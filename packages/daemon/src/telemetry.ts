import type * as decisions from '@banyanhall/decisions';
import * as consola from 'consola';
import * as hotShots from 'hot-shots';

import type * as settingsModule from './settings.js';

const METRIC_PREFIX = 'banyanhall.';

/** Sink for the metrics of a host. */
export interface Metrics {
  /** Counts a finished request; `failure` is undefined when it was answered. */
  ended(failure: decisions.verdict.Failure | undefined): void;
  /** Sets a gauge, such as the number of requests in flight. */
  gauge(name: string, value: number): void;
  /** Closes the connection to the server. */
  close(): void;
}

const NO_METRICS: Metrics = {
  ended: () => undefined,
  gauge: () => undefined,
  close: () => undefined,
};

/** Creates a StatsD client, or a sink that discards everything when no server is configured. */
export function createMetrics(settings: settingsModule.Settings): Metrics {
  if (settings.statsd === '') return NO_METRICS;
  const [host, port] = settings.statsd.split(':');
  const client = new hotShots.StatsD({
    host,
    port: Number(port),
    prefix: METRIC_PREFIX,
    globalTags: {host: settings.hostId, zone: settings.zone},
    errorHandler: () => undefined,
  });
  return {
    ended: failure => {
      const type = failure?.type ?? 'none';
      const verdict = failure?.verdict ?? 'ran';
      client.increment('requests', 1, {type, verdict});
    },
    gauge: (name, value) => client.gauge(name, value),
    close: () => client.close(),
  };
}

/** Creates the logger of a host, which writes to standard error. Callers must not log secrets or request contents. */
export function createLogger(
  settings: settingsModule.Settings,
): consola.ConsolaInstance {
  const jsonReporter: consola.ConsolaReporter = {
    log: entry => {
      const [message, fields] = entry.args as [string, object | undefined];
      const line = {
        time: entry.date.toISOString(),
        level: entry.type,
        host: settings.hostId,
        message,
        ...fields,
      };
      process.stderr.write(`${JSON.stringify(line)}\n`);
    },
  };
  return consola.createConsola({
    level: settings.logLevel,
    stdout: process.stderr,
    ...(settings.logFormat === 'json' && {reporters: [jsonReporter]}),
  });
}
