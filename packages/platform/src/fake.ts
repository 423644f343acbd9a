import * as table from './table.js';

/** A fault to inject into one commit. */
export type CommitFault =
  /** The transaction is processed, but the result is unknown. */
  | 'lost-reply'
  /** Nothing is written, and the result says so. */
  | 'not-committed'
  /** Nothing is written, and the result is unknown. */
  | 'lost-request';

/**
 * A platform in memory, for tests. Each commit takes the first of `faults`, if
 * there is one. While `isDown` is set, every call fails.
 */
export class FakePlatform implements table.Platform {
  readonly rows = new Map<string, table.Row>();
  /** The bodies of the objects, by key. */
  readonly objectBodies = new Map<string, string>();
  /** What the host list returns. */
  readonly serverEntries: table.ServerListEntry[] = [];
  readonly faults: CommitFault[] = [];
  isDown = false;
  /** Transactions that were applied. */
  commitCount = 0;
  private version = 0;

  readonly table: table.Table = {
    read: async keys => {
      this.throwIfDown();
      const found = keys.flatMap(key => this.rows.get(key) ?? []);
      return new Map(found.map(row => [row.key, row]));
    },
    scan: async (prefix, afterKey, limit) => {
      this.throwIfDown();
      return [...this.rows.values()]
        .filter(row => row.key.startsWith(prefix) && row.key > afterKey)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit);
    },
    commit: async transaction => this.commit(transaction),
  };

  readonly objects: table.ObjectStore = {
    put: async (key, body) => {
      this.throwIfDown();
      this.objectBodies.set(key, body);
    },
    get: async key => {
      this.throwIfDown();
      return this.objectBodies.get(key);
    },
  };

  readonly serverList: table.ServerList = {
    list: async () => {
      this.throwIfDown();
      return [...this.serverEntries];
    },
  };

  private throwIfDown(): void {
    if (this.isDown) throw new table.StoreError('the store is down');
  }

  private commit(transaction: table.Transaction): table.CommitResult {
    if (this.isDown) return {kind: 'unknown', message: 'the store is down'};
    const fault = this.faults.shift();
    if (fault === 'not-committed') return {kind: fault, message: 'refused'};
    if (fault === 'lost-request')
      return {kind: 'unknown', message: 'request lost'};
    const result = this.apply(transaction);
    if (fault === 'lost-reply') return {kind: 'unknown', message: 'reply lost'};
    return result;
  }

  private apply(transaction: table.Transaction): table.CommitResult {
    const keys = transaction.conditions
      .filter(
        condition =>
          (this.rows.get(condition.key)?.version ?? table.ABSENT_VERSION) !==
          condition.version,
      )
      .map(condition => condition.key);
    if (keys.length > 0) return {kind: 'conflict', keys};
    this.version++;
    this.commitCount++;
    for (const {key, value} of transaction.writes) {
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, {key, value, version: this.version});
    }
    return {kind: 'committed', version: this.version};
  }
}
