import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as routers from './router.js';

/** The least time between two messages of this host about the same backend server, except the first. */
const RESEND_INTERVAL_MS = 200;
const FLUSH_INTERVAL_MS = 100;
/** The most starts of backend servers of which statements are kept; the oldest are dropped first. */
export const MAX_SERVERS = 8192;
/** How long the statements of a server that is not in use are kept; its entry may only be late. */
const GONE_TTL_MS = 60_000;
/** About so many hosts send their statements to a host that joins. */
const SENDERS_TO_JOINER = 8;

type Kind = decisions.statement.StatementKind;

/** All kinds of statements. */
export const KINDS: readonly Kind[] = [
  ...(['limit', 'leaving', 'brittle', 'retryAfter'] as const),
];
const SHARED_KINDS = KINDS.filter(kind => decisions.statement.IS_SHARED[kind]);

/** The values in one answer by kind; undefined for a kind that the answer does not state. */
export type StatedValues = Readonly<
  Partial<Record<Kind, decisions.statement.StatedValue>>
>;

/** The revisions of the statements that were known when a request was sent; 0 if a kind is missing. */
export type SentRevisions = Readonly<Partial<Record<Kind, number>>>;

/** Where a statement was learned. */
export interface StatementSource {
  /** The host that sent it, `GONE`, or empty when it was in an answer to this host. */
  readonly from: string;
  /** The request whose answer states it; empty if it was not learned from an answer. */
  readonly requestId: string;
}

/** A change of what is known of a start of a backend server. */
export interface StatementChange extends StatementSource {
  readonly server: string;
  readonly kind: Kind;
  readonly before: decisions.statement.StatedValue;
  readonly after: decisions.statement.StatedValue;
  /** For how long the statement before was known here, in milliseconds; 0 if there was none. */
  readonly ageMs: number;
}

/** Dependencies of `Statements`; `targets` returns the hosts to send news to, other than `except`. */
export interface StatementsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly targets: (except: string) => readonly string[];
  /** Returns the keepers that schedule a start of a backend server. */
  readonly keepersOf: (server: string) => readonly string[];
  /** True while a start of a backend server is in use; statements of others are dropped in time. */
  readonly isInUse: (server: string) => boolean;
  readonly onChange: (change: StatementChange) => void;
}

/** A statement as it is kept, with the time of its last change on the monotonic clock. */
interface Known extends decisions.statement.Statement {
  readonly changedMs: number;
}

/** Stands in `StatementChange.from` when the statement is dropped since its backend server is gone. */
export const GONE = 'gone';

/** What is known of one start of a backend server. */
interface ServerRecord {
  readonly byKind: Map<Kind, Known>;
  /** When this host last sent the record. */
  sentMs: number;
  /** True when a change has not been sent to all targets. */
  isDirty: boolean;
}

/**
 * What backend servers state about themselves, learned from answers and from
 * other hosts. A change is sent to other hosts at once, and each answer of a
 * server with a record makes this host send the record to the server's keepers,
 * so that a lost message is made up for.
 */
export class Statements {
  /** By start of a backend server, the first learned first. */
  private readonly records = new Map<string, ServerRecord>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: StatementsOptions) {}

  /** Starts to send changes that were held back, and to drop the statements of servers that are gone. */
  start(): void {
    this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The value that a start of a backend server states; undefined if it states none. */
  valueOf(server: string, kind: Kind): decisions.statement.StatedValue {
    return this.records.get(server)?.byKind.get(kind)?.value;
  }

  /** The number of starts of backend servers that state a value of this kind, above `above` if that is given. */
  count(kind: Kind, above = -Infinity): number {
    let count = 0;
    for (const {byKind} of this.records.values()) {
      const value = byKind.get(kind)?.value;
      if (value !== undefined && value > above) count++;
    }
    return count;
  }

  /** Returns the revisions known now, to be passed to `onAnswer` with the answer to a request that is sent now. */
  revisionsOf(server: string): SentRevisions {
    const byKind = this.records.get(server)?.byKind;
    const entries = KINDS.map(kind => [kind, byKind?.get(kind)?.revision ?? 0]);
    return Object.fromEntries(entries) as SentRevisions;
  }

  /** Handles what the answer to a request states. */
  onAnswer(
    requestId: string,
    server: string,
    sentRevisions: SentRevisions,
    values: StatedValues,
  ): void {
    let isChanged = false;
    for (const kind of KINDS) {
      const known = this.known(server, kind);
      const next = decisions.statement.afterAnswer(
        ...([kind, known, values[kind], sentRevisions[kind] ?? 0] as const),
      );
      const source = {from: '', requestId};
      const isNew = this.apply(server, kind, next, source);
      isChanged ||= isNew && decisions.statement.IS_SHARED[kind];
    }
    const record = this.records.get(server);
    if (!record || !isShared(record)) return;
    if (isChanged) record.isDirty = true;
    if (this.nowMs - record.sentMs < RESEND_INTERVAL_MS) return;
    if (record.isDirty) return this.spread(server, record, '');
    record.sentMs = this.nowMs;
    for (const keeper of this.options.keepersOf(server)) {
      if (keeper !== this.options.host) this.send(keeper, [server]);
    }
  }

  /** Merges statements from another host and passes on what is new. */
  onNews(from: string, statements: readonly peers.messages.Statement[]): void {
    for (const {server, kind: name, hasValue, value, revision} of statements) {
      const kind = SHARED_KINDS.find(known => known === name);
      if (!kind) continue;
      const received = {value: hasValue ? value : undefined, revision};
      const known = this.known(server, kind);
      const next = decisions.statement.merge(kind, known, received);
      const source = {from, requestId: ''};
      if (!this.apply(server, kind, next, source)) continue;
      const record = this.records.get(server);
      if (record) this.spread(server, record, from);
    }
  }

  /** Sends all statements to a host that has joined or can be reached again; `serving` is the number of hosts, of which only some send. */
  onJoin(joined: string, serving: number): void {
    const draw = `${joined}|${this.options.host}|statements`;
    const share = SENDERS_TO_JOINER / Math.max(1, serving);
    if (decisions.rendezvous.hashFraction(draw) >= share) return;
    if (this.records.size > 0) this.send(joined, [...this.records.keys()]);
  }

  /** Sends the changes that were held back, and drops the statements of servers that are gone. */
  flush(): void {
    for (const [server, record] of this.records) {
      const isDue = this.nowMs - record.sentMs >= RESEND_INTERVAL_MS;
      if (record.isDirty && isDue) this.spread(server, record, '');
    }
    this.drop();
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private known(server: string, kind: Kind): decisions.statement.Statement {
    const known = this.records.get(server)?.byKind.get(kind);
    return known ?? decisions.statement.NO_STATEMENT;
  }

  /** Replaces a statement; returns false if it is the one that was known. */
  private apply(
    server: string,
    kind: Kind,
    next: decisions.statement.Statement,
    source: StatementSource,
  ): boolean {
    const known = this.records.get(server)?.byKind.get(kind);
    if (next === (known ?? decisions.statement.NO_STATEMENT)) return false;
    const {nowMs} = this;
    const record = this.records.get(server) ?? {
      ...{byKind: new Map<Kind, Known>(), sentMs: -Infinity, isDirty: false},
    };
    this.records.set(server, record);
    const {value: after, revision} = next;
    record.byKind.set(kind, {value: after, revision, changedMs: nowMs});
    const before = known?.value;
    const ageMs = known ? nowMs - known.changedMs : 0;
    if (before !== after) {
      this.options.onChange({server, kind, before, after, ageMs, ...source});
    }
    return true;
  }

  private spread(server: string, record: ServerRecord, except: string): void {
    record.sentMs = this.nowMs;
    record.isDirty = false;
    const {targets, keepersOf, host} = this.options;
    const receivers = new Set([...targets(except), ...keepersOf(server)]);
    receivers.delete(host);
    receivers.delete(except);
    for (const receiver of receivers) this.send(receiver, [server]);
  }

  private send(receiver: string, servers: readonly string[]): void {
    const statements = servers.flatMap(server => this.wire(server));
    const body = {members: [], crashes: [], cleared: [], statements};
    this.options.router.send(receiver, {kind: 'news', body});
  }

  private wire(server: string): readonly peers.messages.Statement[] {
    const byKind = this.records.get(server)?.byKind ?? [];
    const shared = [...byKind].filter(([kind]) => SHARED_KINDS.includes(kind));
    return shared.map(([kind, {value, revision}]) => ({
      ...{server, kind, revision},
      hasValue: value !== undefined,
      value: value ?? 0,
    }));
  }

  private drop(): void {
    const {isInUse} = this.options;
    for (const [server, {byKind}] of this.records) {
      const isOver = this.records.size > MAX_SERVERS;
      const changedMs = Math.max(...[...byKind.values()].map(k => k.changedMs));
      const isExpired = this.nowMs - changedMs >= GONE_TTL_MS;
      if (!isOver && (!isExpired || isInUse(server))) continue;
      this.records.delete(server);
      for (const [kind, {value: before}] of byKind) {
        if (before === undefined) continue;
        const ageMs = this.nowMs - changedMs;
        this.options.onChange({
          ...{server, kind, before, after: undefined, ageMs},
          ...{from: GONE, requestId: ''},
        });
      }
    }
  }
}

/** True if a record has a statement that other hosts are told of. */
function isShared({byKind}: ServerRecord): boolean {
  return SHARED_KINDS.some(kind => byKind.has(kind));
}
