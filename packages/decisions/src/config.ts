import type * as pace from './pace.js';

/** A tier of requests; 1 is the most urgent. */
export type Tier = 1 | 2 | 3;

/** All tiers, the most urgent first. */
export const TIERS: readonly Tier[] = [1, 2, 3];

/** A named profile: how requests that pick it are treated. */
export interface Profile {
  readonly name: string;
  readonly tier: Tier;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** Versions of a service that the profile may reach; empty means every version. */
  readonly versions: readonly string[];
}

/** A client account; callers authenticate with a key of which only the digest is kept. */
export interface Account {
  readonly name: string;
  readonly keySha256: string;
  readonly profiles: readonly string[];
  readonly maxInFlight: number;
  readonly weight: number;
}

/** One backend server of a service. */
export interface BackendServer {
  readonly name: string;
  readonly url: string;
  readonly region: string;
  readonly zone: string;
  readonly slotTokens: number;
  readonly maxRunning: number;
  /** The speed to assume before anything was measured, when more is known than the default. */
  readonly expectedPace?: pace.Pace;
}

/** Whether the backend servers of a service refuse orders with an old fencing number. */
export type FencingCheck = 'checked' | 'ignored';

/** A service that callers name; `model` services stream tokens, `plain` services answer HTTP calls. */
export interface Service {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly version: string;
  readonly fencing: FencingCheck;
  readonly backendServers: readonly BackendServer[];
}

/** The kinds of named entries that a configuration holds. */
export interface EntryByKind {
  readonly profile: Profile;
  readonly account: Account;
  readonly service: Service;
}

/** The name of a kind of configuration entry. */
export type EntryKind = keyof EntryByKind;

/** All kinds of configuration entries. */
export const ENTRY_KINDS: readonly EntryKind[] = [
  'profile',
  'account',
  'service',
];

/** One edit of the configuration; `value` undefined removes the entry. */
export interface Edit {
  readonly entry: EntryKind;
  readonly name: string;
  readonly value?: Profile | Account | Service;
}

/** A numbered change of the configuration; `changeId` identifies it over retries. */
export interface Change {
  readonly number: number;
  readonly changeId: string;
  readonly author: string;
  readonly atMs: number;
  readonly edits: readonly Edit[];
}

type Entries = {
  readonly [K in EntryKind]: ReadonlyMap<string, EntryByKind[K]>;
};

/**
 * The configuration after `number` changes. The only way to a newer one is
 * `apply`, which takes change `number + 1` and nothing else, so a
 * configuration never goes back and never skips a change.
 */
export class Config {
  private constructor(
    readonly number: number,
    private readonly entries: Entries,
    private readonly accountByKey: ReadonlyMap<string, Account>,
  ) {}

  /** The configuration before any change. */
  static readonly empty = new Config(
    0,
    {profile: new Map(), account: new Map(), service: new Map()},
    new Map(),
  );

  /** Restores a configuration from its entries at `number`. */
  static restore(number: number, edits: readonly Edit[]): Config {
    return Config.empty.edited(number, edits);
  }

  /** The configuration after `change`; throws RangeError unless it is the next one. */
  apply(change: Change): Config {
    if (change.number !== this.number + 1) {
      throw new RangeError(
        `change ${change.number} does not follow configuration ${this.number}`,
      );
    }
    return this.edited(change.number, change.edits);
  }

  /** The entry of that kind and name, if there is one. */
  get<K extends EntryKind>(kind: K, name: string): EntryByKind[K] | undefined {
    return this.entries[kind].get(name);
  }

  /** All entries of a kind. */
  list<K extends EntryKind>(kind: K): readonly EntryByKind[K][] {
    return [...this.entries[kind].values()];
  }

  /** The account whose key has this digest. */
  accountForKey(keySha256: string): Account | undefined {
    return this.accountByKey.get(keySha256);
  }

  /** Edits that rebuild this configuration from an empty one. */
  toEdits(): readonly Edit[] {
    return ENTRY_KINDS.flatMap(entry =>
      this.list(entry).map(value => ({entry, name: value.name, value})),
    );
  }

  private edited(number: number, edits: readonly Edit[]): Config {
    const next = {
      profile: new Map(this.entries.profile),
      account: new Map(this.entries.account),
      service: new Map(this.entries.service),
    };
    for (const edit of edits) {
      const entries = next[edit.entry] as Map<string, unknown>;
      if (edit.value) entries.set(edit.name, edit.value);
      else entries.delete(edit.name);
    }
    const keysChanged = edits.some(edit => edit.entry === 'account');
    const byKey = keysChanged
      ? new Map([...next.account.values()].map(a => [a.keySha256, a]))
      : this.accountByKey;
    return new Config(number, next, byKey);
  }
}
