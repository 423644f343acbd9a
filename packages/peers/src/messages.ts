import * as generated from '../generated/peer.js';

import type * as peer from '../generated/peer.js';

/** A decoded message: every field is present and read-only. */
export type Full<T> = T extends readonly (infer E)[]
  ? readonly Full<E>[]
  : T extends object
    ? {readonly [K in Exclude<keyof T, '$unknowns'>]-?: Full<NonNullable<T[K]>>}
    : T;

export type Ticket = Full<peer.banyanhall.peer.Ticket.$Properties>;
export type Held = Full<peer.banyanhall.peer.Held.$Properties>;
export type Member = Full<peer.banyanhall.peer.Member.$Properties>;
export type Crash = Full<peer.banyanhall.peer.Crash.$Properties>;
export type Sample = Full<peer.banyanhall.peer.Sample.$Properties>;

/** The messages between hosts by kind; fields are described in proto/peer.proto. */
export interface Messages {
  readonly ask: Full<peer.banyanhall.peer.Ask.$Properties>;
  readonly withdraw: Full<peer.banyanhall.peer.Withdraw.$Properties>;
  readonly done: Full<peer.banyanhall.peer.Done.$Properties>;
  readonly hold: Full<peer.banyanhall.peer.Hold.$Properties>;
  readonly grant: Full<peer.banyanhall.peer.Grant.$Properties>;
  readonly refuse: Full<peer.banyanhall.peer.Refuse.$Properties>;
  readonly probe: Full<peer.banyanhall.peer.Probe.$Properties>;
  readonly ack: Full<peer.banyanhall.peer.Ack.$Properties>;
  readonly news: Full<peer.banyanhall.peer.News.$Properties>;
  readonly fetchChanges: Full<peer.banyanhall.peer.FetchChanges.$Properties>;
  readonly changes: Full<peer.banyanhall.peer.Changes.$Properties>;
  readonly detach: Full<peer.banyanhall.peer.Detach.$Properties>;
  readonly evidence: Full<peer.banyanhall.peer.Evidence.$Properties>;
  readonly share: Full<peer.banyanhall.peer.Share.$Properties>;
  readonly queued: Full<peer.banyanhall.peer.Queued.$Properties>;
  readonly usage: Full<peer.banyanhall.peer.Usage.$Properties>;
  readonly sums: Full<peer.banyanhall.peer.Sums.$Properties>;
}

/** The name of a kind of message. */
export type Kind = keyof Messages;

/** One message with its kind. */
export type Item = {
  readonly [K in Kind]: {readonly kind: K; readonly body: Messages[K]};
}[Kind];

const wire = generated.banyanhall.peer;

/** Encodes messages as one batch for the wire. */
export function encode(items: readonly Item[]): Buffer {
  const batch = {items: items.map(item => ({[item.kind]: item.body}))};
  return Buffer.from(wire.Batch.encode(batch).finish());
}

/**
 * Decodes a batch; throws on bytes that are none, skips kinds it does not
 * know. Fields that were zero or empty are present, as every reader expects.
 */
export function decode(bytes: Buffer): readonly Item[] {
  const items: Item[] = [];
  const decoded = wire.Batch.decode(bytes).items;
  for (const item of decoded as peer.banyanhall.peer.Item[]) {
    const {kind} = item;
    if (!kind) continue;
    const plain = wire.Item.toObject(item, {defaults: true});
    items.push({kind, body: plain[kind]} as Item);
  }
  return items;
}
