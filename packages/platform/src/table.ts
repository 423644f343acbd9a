/** A row of the table; `version` grows with every write of the key. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The version that a condition names for a key that must be absent. */
export const ABSENT_VERSION = 0;

/** A condition on the version of a key at the time of the commit. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** A write of a key; `value` undefined deletes it. */
export interface Write {
  readonly key: string;
  readonly value?: unknown;
}

/** Writes that take effect together, and only if every condition holds. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** How a commit ended; `unknown` means that it may have taken effect. */
export type CommitResult =
  | {readonly kind: 'committed'; readonly version: number}
  | {readonly kind: 'conflict'; readonly keys: readonly string[]}
  | {readonly kind: 'not-committed'; readonly message: string}
  | {readonly kind: 'unknown'; readonly message: string};

/** The store did not answer a read. */
export class StoreError extends Error {}

/** The platform's transactional table service. Reads throw StoreError when it does not answer. */
export interface Table {
  /** The rows of those keys that exist. */
  read(keys: readonly string[]): Promise<ReadonlyMap<string, Row>>;
  /** Rows whose key starts with `prefix` and comes after `afterKey`, in order of key. */
  scan(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Promise<readonly Row[]>;
  /** Commits a transaction; never throws. */
  commit(transaction: Transaction): Promise<CommitResult>;
}

/** The platform's object store. Both calls throw StoreError when it does not answer. */
export interface ObjectStore {
  put(key: string, body: string): Promise<void>;
  get(key: string): Promise<string | undefined>;
}

/** What the platform's lagging list says of one backend server. */
export interface HostListEntry {
  readonly name: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's lagging list of live and leaving hosts. Throws StoreError when it does not answer. */
export interface HostList {
  list(): Promise<readonly HostListEntry[]>;
}

/** Everything that the platform gives. */
export interface Platform {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly hosts: HostList;
}
