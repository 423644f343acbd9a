import type * as http from 'node:http';

/** The largest number that is told apart from a larger one, in requests per second. */
const MAX_LIMIT_PER_S = 1_000_000;
/** The limit of a backend server that states one which can't be read, as long as it has stated no other. */
const UNREADABLE_LIMIT_PER_S = 1;
/** The values by which a backend server states that it leaves, and those by which it does not. */
const LEAVING_VALUES: ReadonlyMap<string, boolean> = new Map([
  ...(['1', 'true'] as const).map(value => [value, true] as const),
  ...(['0', 'false', ''] as const).map(value => [value, false] as const),
]);
/** How many rejections a second a brittle backend server survives if it states a number that can't be read: none. */
const UNREADABLE_REJECTIONS = 0;
/**
 * The longest time that a backend server can ask for. Servers that are short of
 * room ask for seconds, so a longer time is likely wrong (a point in time, or a
 * wrong unit) and must not cost the server for long. One request after each ten minutes
 * is within what a server tolerates (two) for times of up to half an hour.
 */
export const MAX_RETRY_AFTER_MS = 600_000;
const MS_PER_S = 1000;
const SERVICE_UNAVAILABLE = 503;
const DECIMAL = /^\d{1,20}(\.\d{1,20})?$/;
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} [\d:]{8} GMT$/;

/** The names of the headers by which backend servers state something about themselves, in lower case. */
export interface StatementHeaders {
  /** The requests a second that the backend server takes from all hosts together. */
  readonly limit: string;
  /** That the backend server leaves. */
  readonly leaving: string;
  /** That the backend server fails if it has to reject more than this number of requests in a second. */
  readonly brittle: string;
  /** In a response with status 503: for how long the backend server accepts nothing from this host. */
  readonly retryAfter: string;
}

/** What one answer states about its backend server; undefined where it states nothing. */
export interface Statements {
  readonly limit: number | undefined;
  /** 1 if the backend server leaves. */
  readonly leaving: number | undefined;
  /** The rejections a second above which the backend server fails. */
  readonly brittle: number | undefined;
  /** For how long the backend server accepts nothing from this host, in milliseconds. */
  readonly retryAfter: number | undefined;
  /** The headers that could not be read, that of the load report included. */
  readonly unreadable: readonly Unreadable[];
}

/** A header whose value could not be read, or only in part. */
export interface Unreadable {
  /** The name of the header. */
  readonly header: string;
  readonly text: string;
}

/** What is known of a backend server before its answer; used for a header that can't be read. */
export type KnownStatements = Readonly<
  Partial<Record<keyof StatementHeaders, number>>
>;

/** A header's value; `isReadable` is false if a part of it was ignored. */
interface Reading {
  readonly value: number | undefined;
  readonly isReadable: boolean;
}

const READERS: Readonly<
  Record<
    keyof StatementHeaders,
    (text: string, known: number | undefined) => Reading
  >
> = {
  limit: readLimit,
  leaving: readLeaving,
  brittle: readBrittle,
  retryAfter: readRetryAfter,
};

/** The status of the only responses in which a header is a statement; it has other meanings elsewhere. */
const ONLY_WITH_STATUS: Readonly<
  Partial<Record<keyof StatementHeaders, number>>
> = {retryAfter: SERVICE_UNAVAILABLE};

/** Reads what an answer with this status states about its backend server. */
export function read(
  headers: http.IncomingHttpHeaders,
  names: StatementHeaders,
  known: KnownStatements = {},
  status = 200,
): Statements {
  const unreadable: Unreadable[] = [];
  const valueOf = (kind: keyof StatementHeaders) => {
    const header = headers[names[kind]];
    const onlyStatus = ONLY_WITH_STATUS[kind] ?? status;
    if (header === undefined || status !== onlyStatus) return undefined;
    const text = String(header);
    const {value, isReadable} = READERS[kind](text, known[kind]);
    if (!isReadable) unreadable.push({header: names[kind], text});
    return value;
  };
  const values = {limit: valueOf('limit'), leaving: valueOf('leaving')};
  const brittle = valueOf('brittle');
  const retryAfter = valueOf('retryAfter');
  return {...values, brittle, retryAfter, unreadable};
}

/** Returns the lowest of the values that can be read: Node.js joins repeated headers with commas. Zero is a limit. */
function readLimit(text: string, known: number | undefined): Reading {
  return readLowest(text, known ?? UNREADABLE_LIMIT_PER_S);
}

/** Reads the number of rejections like a limit; one that can't be read does not say that the backend server is not brittle. */
function readBrittle(text: string, known: number | undefined): Reading {
  return readLowest(text, known ?? UNREADABLE_REJECTIONS);
}

function readLowest(text: string, unreadableValue: number): Reading {
  const parts = text.split(',').map(part => part.trim());
  const values = parts.filter(part => DECIMAL.test(part)).map(Number);
  const isReadable = values.length === 1 && parts.length === 1;
  if (values.length === 0) return {value: unreadableValue, isReadable};
  return {value: Math.min(...values, MAX_LIMIT_PER_S), isReadable};
}

/** Reads seconds, fractions included, or an HTTP date, by this host's clock; one that has passed asks for no time. */
function readRetryAfter(text: string): Reading {
  const trimmed = text.trim();
  const ms = DECIMAL.test(trimmed)
    ? Number(trimmed) * MS_PER_S
    : HTTP_DATE.test(trimmed)
      ? Math.max(0, Date.parse(trimmed) - Date.now())
      : NaN;
  if (Number.isNaN(ms)) return {value: undefined, isReadable: false};
  return {value: Math.min(ms, MAX_RETRY_AFTER_MS), isReadable: true};
}

/** Returns 1 if any of the values says that the backend server leaves; one that can't be read does not. */
function readLeaving(text: string): Reading {
  const values = text
    .split(',')
    .map(part => LEAVING_VALUES.get(part.trim().toLowerCase()));
  return {
    value: values.includes(true) ? 1 : undefined,
    isReadable: !values.includes(undefined),
  };
}
