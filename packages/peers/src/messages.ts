import * as generated from '../generated/peer.js';

import type * as peer from '../generated/peer.js';

/** A decoded message: every field is present and read-only. */
export type Decoded<T> = T extends readonly (infer E)[]
  ? readonly Decoded<E>[]
  : T extends object
    ? {
        readonly [K in Exclude<keyof T, '$unknowns'>]-?: Decoded<
          NonNullable<T[K]>
        >;
      }
    : T;

export type Ticket = Decoded<peer.banyanhall.peer.Ticket.$Properties>;
export type Held = Decoded<peer.banyanhall.peer.Held.$Properties>;
export type Member = Decoded<peer.banyanhall.peer.Member.$Properties>;
export type Crash = Decoded<peer.banyanhall.peer.Crash.$Properties>;
export type Sample = Decoded<peer.banyanhall.peer.Sample.$Properties>;

/** The messages between hosts by kind; fields are described in proto/peer.proto. */
export interface MessageBodies {
  readonly ask: Decoded<peer.banyanhall.peer.Ask.$Properties>;
  readonly withdraw: Decoded<peer.banyanhall.peer.Withdraw.$Properties>;
  readonly done: Decoded<peer.banyanhall.peer.Done.$Properties>;
  readonly hold: Decoded<peer.banyanhall.peer.Hold.$Properties>;
  readonly grant: Decoded<peer.banyanhall.peer.Grant.$Properties>;
  readonly refuse: Decoded<peer.banyanhall.peer.Refuse.$Properties>;
  readonly probe: Decoded<peer.banyanhall.peer.Probe.$Properties>;
  readonly ack: Decoded<peer.banyanhall.peer.Ack.$Properties>;
  readonly news: Decoded<peer.banyanhall.peer.News.$Properties>;
  readonly fetchChanges: Decoded<peer.banyanhall.peer.FetchChanges.$Properties>;
  readonly changes: Decoded<peer.banyanhall.peer.Changes.$Properties>;
  readonly detach: Decoded<peer.banyanhall.peer.Detach.$Properties>;
  readonly evidence: Decoded<peer.banyanhall.peer.Evidence.$Properties>;
  readonly share: Decoded<peer.banyanhall.peer.Share.$Properties>;
  readonly queued: Decoded<peer.banyanhall.peer.Queued.$Properties>;
  readonly usage: Decoded<peer.banyanhall.peer.Usage.$Properties>;
  readonly sums: Decoded<peer.banyanhall.peer.Sums.$Properties>;
}

/** The name of a kind of message. */
export type MessageKind = keyof MessageBodies;

/** One message with its kind. */
export type Message = {
  readonly [K in MessageKind]: {
    readonly kind: K;
    readonly body: MessageBodies[K];
  };
}[MessageKind];

const wire = generated.banyanhall.peer;

/** Encodes messages as one batch for the wire. */
export function encode(items: readonly Message[]): Buffer {
  const batch = {items: items.map(item => ({[item.kind]: item.body}))};
  return Buffer.from(wire.Batch.encode(batch).finish());
}

/**
 * Decodes a batch; throws on bytes that are none, skips kinds it does not
 * know. Fields that were zero or empty are present, as every reader expects.
 */
export function decode(bytes: Buffer): readonly Message[] {
  const items: Message[] = [];
  const decoded = wire.Batch.decode(bytes).items;
  for (const item of decoded as peer.banyanhall.peer.Item[]) {
    const {kind} = item;
    if (!kind) continue;
    const plain = wire.Item.toObject(item, {defaults: true});
    items.push({kind, body: plain[kind]} as Message);
  }
  return items;
}
