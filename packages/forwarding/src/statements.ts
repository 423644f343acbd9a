import type * as http from 'node:http';

/** The largest limit that is told apart from a larger one, in requests per second. */
const MAX_LIMIT_PER_S = 1_000_000;
/** The limit of a backend server that states one which can't be read, as long as it has stated no other. */
const UNREADABLE_LIMIT_PER_S = 1;
/** The values by which a backend server states that it leaves, and those by which it does not. */
const LEAVING_VALUES: ReadonlyMap<string, boolean> = new Map([
  ...(['1', 'true'] as const).map(value => [value, true] as const),
  ...(['0', 'false', ''] as const).map(value => [value, false] as const),
]);
const DECIMAL = /^\d{1,20}(\.\d{1,20})?$/;

/** The names of the headers by which backend servers state something about themselves, in lower case. */
export interface StatementHeaders {
  /** The requests a second that the backend server takes from all hosts together. */
  readonly limit: string;
  /** That the backend server leaves. */
  readonly leaving: string;
}

/** What one answer states about its backend server; undefined where it states nothing. */
export interface Statements {
  readonly limit: number | undefined;
  /** 1 if the backend server leaves. */
  readonly leaving: number | undefined;
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
};

/** Reads what an answer states about its backend server. */
export function read(
  headers: http.IncomingHttpHeaders,
  names: StatementHeaders,
  known: KnownStatements = {},
): Statements {
  const unreadable: Unreadable[] = [];
  const valueOf = (kind: keyof StatementHeaders) => {
    const header = headers[names[kind]];
    if (header === undefined) return undefined;
    const text = String(header);
    const {value, isReadable} = READERS[kind](text, known[kind]);
    if (!isReadable) unreadable.push({header: names[kind], text});
    return value;
  };
  const limit = valueOf('limit');
  return {limit, leaving: valueOf('leaving'), unreadable};
}

/** Returns the lowest of the values that can be read: Node.js joins repeated headers with commas. Zero is a limit. */
function readLimit(text: string, known: number | undefined): Reading {
  const parts = text.split(',').map(part => part.trim());
  const values = parts.filter(part => DECIMAL.test(part)).map(Number);
  const isReadable = values.length === 1 && parts.length === 1;
  if (values.length === 0) {
    return {value: known ?? UNREADABLE_LIMIT_PER_S, isReadable};
  }
  return {value: Math.min(...values, MAX_LIMIT_PER_S), isReadable};
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
