// The platform's services as the hosts use them: a transactional table, an
// object store and a list of backend servers. http.ts implements them over HTTP, fake.ts
// in memory for tests.

/** A row of the table; `version` increases with every write of the key. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The version to require in a condition when the key must not exist. */
export const ABSENT_VERSION = 0;

/** Requires that a key has this version at the time of the commit. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Sets a key to a value, or deletes it when `value` is undefined. */
export interface Write {
  readonly key: string;
  readonly value?: unknown;
}

/** Writes that are applied atomically if every condition holds, and otherwise not at all. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** The outcome of a commit. */
export type CommitResult =
  /** The writes were applied; `version` is the new version of every written key. */
  | {readonly kind: 'committed'; readonly version: number}
  /** The conditions on `keys` did not hold, so nothing was written. */
  | {readonly kind: 'conflict'; readonly keys: readonly string[]}
  /** The commit failed, and nothing was written. */
  | {readonly kind: 'not-committed'; readonly message: string}
  /** The commit failed, and the writes may have been applied. */
  | {readonly kind: 'unknown'; readonly message: string};

/** A call to the platform, other than a commit, that failed. */
export class StoreError extends Error {}

/** The platform's transactional table. Reads reject with StoreError when they fail. */
export interface Table {
  /** Reads the rows of `keys`, by key; keys without a row are left out. */
  read(keys: readonly string[]): Promise<ReadonlyMap<string, Row>>;
  /** Reads up to `limit` rows whose key starts with `prefix` and is greater than `afterKey`, in order of key. */
  scan(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Promise<readonly Row[]>;
  /** Commits a transaction; failures are results, never exceptions. */
  commit(transaction: Transaction): Promise<CommitResult>;
}

/** The platform's object store. Calls reject with StoreError when they fail. */
export interface ObjectStore {
  put(key: string, body: string): Promise<void>;
  /** Resolves to undefined when there is no such object. */
  get(key: string): Promise<string | undefined>;
}

/** An entry of the host list; `name` is the name of a backend server. */
export interface ServerListEntry {
  readonly name: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of live and leaving backend servers, which may be stale. Calls reject with StoreError when they fail. */
export interface ServerList {
  list(): Promise<readonly ServerListEntry[]>;
}

/** The services of the platform. */
export interface Platform {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly serverList: ServerList;
}
