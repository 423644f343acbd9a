// What backend servers state about themselves in their answers, merged from
// the answers that different hosts receive.

/** What a backend server can state about itself. */
export type StatementKind = 'limit' | 'leaving' | 'brittle' | 'retryAfter';

/** A stated value; undefined when the backend server states nothing of that kind. */
export type StatedValue = number | undefined;

/** The latest statement of one kind that is known of a backend server. */
export interface Statement {
  readonly value: StatedValue;
  /** Increases with each change; orders the statements that different hosts know. */
  readonly revision: number;
}

/** A backend server about which nothing is known. */
export const NO_STATEMENT: Statement = {value: undefined, revision: 0};

/** Compares values by how much they restrict: negative if `a` restricts more. */
const COMPARE: Readonly<
  Record<StatementKind, (a: StatedValue, b: StatedValue) => number>
> = {
  limit: (a = Infinity, b = Infinity) => (a === b ? 0 : a - b),
  // States that it leaves, or nothing.
  leaving: (a, b) => Number(a === undefined) - Number(b === undefined),
  brittle: (a = Infinity, b = Infinity) => (a === b ? 0 : a - b),
  // The time until which the backend server accepts nothing.
  retryAfter: (a = -Infinity, b = -Infinity) => (a === b ? 0 : b - a),
};

/** Whether a statement can be lifted or weakened by a later one. */
const IS_REVOCABLE: Readonly<Record<StatementKind, boolean>> = {
  limit: true,
  // A backend server that leaves does not come back before it starts again.
  leaving: false,
  brittle: true,
  // It ends with its time. An answer that asks for nothing may be to a request that was sent before.
  retryAfter: false,
};

/** Whether a statement concerns all hosts, so that they tell each other of it, or only the host that received it. */
export const IS_SHARED: Readonly<Record<StatementKind, boolean>> = {
  limit: true,
  leaving: true,
  brittle: true,
  retryAfter: false,
};

/**
 * Returns the statement after an answer with `value` to a request that was sent
 * when `sentRevision` was known. If the statement has changed since, the answer
 * may be older than that change, so it can only restrict further.
 */
export function afterAnswer(
  kind: StatementKind,
  known: Statement,
  value: StatedValue,
  sentRevision: number,
): Statement {
  const order = COMPARE[kind](value, known.value);
  if (order === 0) return known;
  const mayBeOlder = known.revision !== sentRevision;
  if (order > 0 && (mayBeOlder || !IS_REVOCABLE[kind])) return known;
  return {value, revision: known.revision + 1};
}

/** Merges a statement that another host knows; of two with the same revision, the one that restricts more holds. */
export function merge(
  kind: StatementKind,
  known: Statement,
  received: Statement,
): Statement {
  if (!IS_REVOCABLE[kind]) {
    const order = COMPARE[kind](received.value, known.value);
    if (order !== 0) return order < 0 ? received : known;
  }
  if (received.revision !== known.revision) {
    return received.revision > known.revision ? received : known;
  }
  return COMPARE[kind](received.value, known.value) < 0 ? received : known;
}
