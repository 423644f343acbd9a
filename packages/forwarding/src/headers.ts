import * as http from 'node:http';

import type * as statements from './statements.js';

/** The names of the headers that a host reads or sets, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** On a caller's request: the API key. */
  readonly key: string;
  /** On a request to a backend server: the name of the client account. */
  readonly account: string;
  /** On a request: the time that its sender waits for the response, in milliseconds. */
  readonly remainingMs: string;
  /** On a request: the id of the intended backend server; any other server rejects it. */
  readonly expectedServer: string;
  /** On a response: the id of the backend server that sent it. */
  readonly serverId: string;
  /** On a response: proves by its presence that a backend server sent it. */
  readonly signature: string;
  /** On a response: the backend server did not run the request. */
  readonly notRun: string;
  /** On a response: running requests, waiting requests, slots and how long work takes in percent, separated by commas; read by `loadreport`. */
  readonly load: string;
  /** On a response: what the backend server states about itself. */
  readonly statements: statements.StatementHeaders;
  /** On a request: the id of the event after which a stream is resumed. */
  readonly lastEventId: string;
  /** Headers that only a host may set; removed from the requests of callers. */
  readonly reserved: readonly string[];
}

/** Alternating header names and values as received, like `rawHeaders` of `node:http`. */
export type RawHeaders = readonly string[];

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Returns the value of a header, or the first value when it occurs more than once. */
export function value(
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined {
  const found = headers[name];
  return Array.isArray(found) ? found[0] : found;
}

/**
 * Returns the end-to-end headers: without the hop-by-hop ones, those that the
 * Connection header names, and those in `dropped` (lower case).
 */
export function endToEnd(
  raw: RawHeaders,
  headers: http.IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): string[] {
  const named = new Set(
    (value(headers, 'connection') ?? '')
      .split(',')
      .map(token => token.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || named.has(name) || dropped.has(name)) continue;
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

/** Returns the headers that Node.js sends, without those whose name or value it refuses. */
export function sendable(raw: RawHeaders): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (isSendable(raw[i], raw[i + 1])) kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

function isSendable(name: string, headerValue: string): boolean {
  try {
    http.validateHeaderName(name);
    http.validateHeaderValue(name, headerValue);
    return true;
  } catch {
    return false;
  }
}
