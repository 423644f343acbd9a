// The messages between hosts and their encoding. proto/peer.proto defines the
// format; only this module uses the code generated from it.
import * as generated from '../generated/peer.js';

import type * as peer from '../generated/peer.js';

/** A generated type as `decode` returns it: every field is present and read-only. */
export type Decoded<T> = T extends readonly (infer E)[]
  ? readonly Decoded<E>[]
  : T extends object
    ? {
        readonly [K in Exclude<keyof T, '$unknowns'>]-?: Decoded<
          NonNullable<T[K]>
        >;
      }
    : T;

/** A slot request on its way to the queue of a cell. Times count from the arrival of the message, since the clocks of hosts differ. */
export type Ticket = Decoded<peer.banyanhall.peer.Ticket.$Properties>;
/** A slot that a host has in use: its ticket, its runner, and the time since its grant. */
export type Held = Decoded<peer.banyanhall.peer.Held.$Properties>;
/** A host as the membership protocol sees it. */
export type Member = Decoded<peer.banyanhall.peer.Member.$Properties>;
/** A crash of a backend server and the requests that were in flight there. */
export type Crash = Decoded<peer.banyanhall.peer.Crash.$Properties>;
/** A completed request, which clears its fingerprint or one of its prompt parts. */
export type Cleared = Decoded<peer.banyanhall.peer.Cleared.$Properties>;
/** What a backend server states about itself. */
export type Statement = Decoded<peer.banyanhall.peer.Statement.$Properties>;
/** The outcome of one request, from which the driver of a version move or rollout judges the candidate. */
export type Sample = Decoded<peer.banyanhall.peer.Sample.$Properties>;

/** The body of each kind of message. */
export interface MessageBodies {
  /** A host sends a slot request to the keeper of a cell. */
  readonly ask: Decoded<peer.banyanhall.peer.Ask.$Properties>;
  /** A host withdraws its slot request or returns a slot that it did not use. */
  readonly withdraw: Decoded<peer.banyanhall.peer.Withdraw.$Properties>;
  /** A host releases a slot and reports the outcome of the attempt. */
  readonly done: Decoded<peer.banyanhall.peer.Done.$Properties>;
  /** A host reports all slots that it has in use to a new keeper of the cell (`isReport`), or single ones that it adopted or assigned itself. */
  readonly hold: Decoded<peer.banyanhall.peer.Hold.$Properties>;
  /** A keeper assigns a slot to a ticket. */
  readonly grant: Decoded<peer.banyanhall.peer.Grant.$Properties>;
  /** A keeper refuses a slot request. */
  readonly refuse: Decoded<peer.banyanhall.peer.Refuse.$Properties>;
  /** A host checks whether a member responds. */
  readonly probe: Decoded<peer.banyanhall.peer.Probe.$Properties>;
  /** A host replies to a probe. */
  readonly ack: Decoded<peer.banyanhall.peer.Ack.$Properties>;
  /** Gossip about members, crashes, requests that are no longer suspect, and what backend servers state about themselves. */
  readonly news: Decoded<peer.banyanhall.peer.News.$Properties>;
  /** A host requests the configuration changes after a number. */
  readonly fetchChanges: Decoded<peer.banyanhall.peer.FetchChanges.$Properties>;
  /** Configuration changes, in order of number. */
  readonly changes: Decoded<peer.banyanhall.peer.Changes.$Properties>;
  /** A host tells another one that it has taken over a stream from it. */
  readonly detach: Decoded<peer.banyanhall.peer.Detach.$Properties>;
  /** A host sends samples to the driver of a version move or rollout. */
  readonly evidence: Decoded<peer.banyanhall.peer.Evidence.$Properties>;
  /** The driver of a version move or rollout sets the share of traffic of the candidate. */
  readonly share: Decoded<peer.banyanhall.peer.Share.$Properties>;
  /** A keeper has queued a slot request that it could not grant at once. */
  readonly queued: Decoded<peer.banyanhall.peer.Queued.$Properties>;
  /** A host reports its own usage to the hub. */
  readonly usage: Decoded<peer.banyanhall.peer.Usage.$Properties>;
  /** The hub sends a host the usage summed over all hosts. */
  readonly sums: Decoded<peer.banyanhall.peer.Sums.$Properties>;
  /** A host charges a request's tokens to its account at the account's hub. */
  readonly charge: Decoded<peer.banyanhall.peer.Charge.$Properties>;
  /** The hub grants or rejects a charge. */
  readonly charged: Decoded<peer.banyanhall.peer.Charged.$Properties>;
  /** A host returns the tokens of a request that did not run. */
  readonly refund: Decoded<peer.banyanhall.peer.Refund.$Properties>;
  /** A host that watches a table of the store passes on its changes. */
  readonly feed: Decoded<peer.banyanhall.peer.Feed.$Properties>;
}

/** The kind of a message; also its field name in the protobuf message `Item`. */
export type MessageKind = keyof MessageBodies;

/** A message from one host to another. */
export type Message = {
  readonly [K in MessageKind]: {
    readonly kind: K;
    readonly body: MessageBodies[K];
  };
}[MessageKind];

const proto = generated.banyanhall.peer;

/** Encodes messages as one protobuf batch. */
export function encode(items: readonly Message[]): Buffer {
  const batch = {items: items.map(item => ({[item.kind]: item.body}))};
  return Buffer.from(proto.Batch.encode(batch).finish());
}

/**
 * Decodes a protobuf batch. Messages of a kind that is not known here are
 * skipped. Protobuf omits fields that are zero or empty; `decode` fills them in.
 * Throws on malformed bytes.
 */
export function decode(bytes: Buffer): readonly Message[] {
  const items: Message[] = [];
  const decoded = proto.Batch.decode(bytes).items;
  for (const item of decoded as peer.banyanhall.peer.Item[]) {
    const {kind} = item;
    if (!kind) continue;
    const plain = proto.Item.toObject(item, {defaults: true});
    items.push({kind, body: plain[kind]} as Message);
  }
  return items;
}
