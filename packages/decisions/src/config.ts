import type * as pace from './pace.js';

/** The priority tier of a request; 1 is the highest. */
export type Tier = 1 | 2 | 3;

/** All tiers, the highest first. */
export const TIERS: readonly Tier[] = [1, 2, 3];

/** A named set of rules for requests: their tier, deadline and allowed versions. */
export interface Profile {
  readonly name: string;
  readonly tier: Tier;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** The versions of a service that requests may use; empty means all. */
  readonly versions: readonly string[];
}

/** A client account; callers authenticate with a key, of which only the SHA-256 digest is stored. */
export interface Account {
  readonly name: string;
  readonly keySha256: string;
  readonly profiles: readonly string[];
  /** The maximum number of requests in flight. */
  readonly maxInFlight: number;
  /** The account's part in the fair sharing of a tier, relative to the weights of other accounts. */
  readonly weight: number;
}

/** A backend server of a service. */
export interface BackendServer {
  readonly name: string;
  readonly url: string;
  readonly region: string;
  readonly zone: string;
  /** The maximum number of prompt and output tokens of all requests that run at a time. */
  readonly slotTokens: number;
  /** The maximum number of requests that run at a time. */
  readonly maxRunning: number;
  /** The pace to assume before the first measurement, if it is known better than the default. */
  readonly expectedPace?: pace.Pace;
}

/** Whether the backend servers of a service reject orders with a stale fencing number (`checked`) or not. */
export type FencingCheck = 'checked' | 'ignored';

/** A service that callers can name; a `model` service streams tokens, a `plain` one answers HTTP calls. */
export interface Service {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly version: string;
  readonly fencing: FencingCheck;
  readonly backendServers: readonly BackendServer[];
}

/** The type of each kind of configuration entry. */
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

/** Sets one configuration entry to `value`, or removes it if there is no `value`. */
export interface Edit {
  readonly entry: EntryKind;
  readonly name: string;
  readonly value?: Profile | Account | Service;
}

/** A numbered change of the configuration; `changeId` stays the same over retries. */
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
 * The configuration after `number` changes. `apply` accepts only change
 * `number + 1`, so a configuration never goes back or skips a change.
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
    return Config.empty.withEdits(number, edits);
  }

  /** Applies the next change; throws RangeError if its number is not `number + 1`. */
  apply(change: Change): Config {
    if (change.number !== this.number + 1) {
      throw new RangeError(
        `got change ${change.number}, expected the next one after configuration ${this.number}`,
      );
    }
    return this.withEdits(change.number, change.edits);
  }

  /** Returns the entry of that kind and name, if it exists. */
  get<K extends EntryKind>(kind: K, name: string): EntryByKind[K] | undefined {
    return this.entries[kind].get(name);
  }

  /** Returns all entries of a kind. */
  list<K extends EntryKind>(kind: K): readonly EntryByKind[K][] {
    return [...this.entries[kind].values()];
  }

  /** Returns the account whose key has this SHA-256 digest. */
  accountForKey(keySha256: string): Account | undefined {
    return this.accountByKey.get(keySha256);
  }

  /** Returns the edits that rebuild this configuration from an empty one. */
  toEdits(): readonly Edit[] {
    return ENTRY_KINDS.flatMap(entry =>
      this.list(entry).map(value => ({entry, name: value.name, value})),
    );
  }

  private withEdits(number: number, edits: readonly Edit[]): Config {
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
    const accountsChanged = edits.some(edit => edit.entry === 'account');
    const byKey = accountsChanged
      ? new Map([...next.account.values()].map(a => [a.keySha256, a]))
      : this.accountByKey;
    return new Config(number, next, byKey);
  }
}
