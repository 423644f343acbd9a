import * as table from './table.js';

/** Faults of a fake table: what happens to the next commits, in order. */
export type CommitFault = 'lost-reply' | 'not-committed' | 'lost-request';

/** A platform in memory for tests. `isDown` fails every call; `faults` are used up one a commit. */
export class FakePlatform implements table.Platform {
  readonly rows = new Map<string, table.Row>();
  readonly objectBodies = new Map<string, string>();
  readonly listed: table.HostListEntry[] = [];
  readonly faults: CommitFault[] = [];
  isDown = false;
  commitCount = 0;
  private version = 0;

  readonly table: table.Table = {
    read: async keys => {
      this.checkUp();
      const found = keys.flatMap(key => this.rows.get(key) ?? []);
      return new Map(found.map(row => [row.key, row]));
    },
    scan: async (prefix, afterKey, limit) => {
      this.checkUp();
      return [...this.rows.values()]
        .filter(r => r.key.startsWith(prefix) && r.key > afterKey)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit);
    },
    commit: async transaction => this.commit(transaction),
  };

  readonly objects: table.ObjectStore = {
    put: async (key, body) => {
      this.checkUp();
      this.objectBodies.set(key, body);
    },
    get: async key => {
      this.checkUp();
      return this.objectBodies.get(key);
    },
  };

  readonly hosts: table.HostList = {
    list: async () => {
      this.checkUp();
      return [...this.listed];
    },
  };

  private checkUp(): void {
    if (this.isDown) throw new table.StoreError('store did not answer');
  }

  private commit(transaction: table.Transaction): table.CommitResult {
    if (this.isDown) return {kind: 'unknown', message: 'no answer'};
    const fault = this.faults.shift();
    if (fault === 'not-committed') return {kind: fault, message: 'refused'};
    if (fault === 'lost-request') return {kind: 'unknown', message: 'lost'};
    const result = this.applied(transaction);
    if (fault === 'lost-reply') return {kind: 'unknown', message: 'lost'};
    return result;
  }

  private applied(transaction: table.Transaction): table.CommitResult {
    const keys = transaction.conditions
      .filter(
        c =>
          (this.rows.get(c.key)?.version ?? table.ABSENT_VERSION) !== c.version,
      )
      .map(c => c.key);
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
