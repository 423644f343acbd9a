import type * as http from 'node:http';

/** The names of the headers that carry meaning for the scheduler, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  readonly key: string;
  readonly account: string;
  readonly remainingMs: string;
  /** Names the backend server that is meant; any other one refuses. */
  readonly expectedServer: string;
  readonly serverId: string;
  readonly signature: string;
  /** On an answer: the backend server did not run the request. */
  readonly notRun: string;
  /** On an answer: running, waiting and slots, as three numbers. */
  readonly load: string;
  readonly lastEventId: string;
  /** Headers that only the scheduler may set; dropped when a caller sends them. */
  readonly reserved: readonly string[];
}

/** Header names and values in turn, as they stood on the wire. */
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

/** The value of a header that is given once; the first one when it is given more often. */
export function value(
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined {
  const found = headers[name];
  return Array.isArray(found) ? found[0] : found;
}

/** The headers that concern more than one connection, without those in `dropped`. */
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
