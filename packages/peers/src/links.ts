import * as grpc from '@grpc/grpc-js';

import * as messages from './messages.js';

const METHOD_PATH = '/banyanhall.peer.Peer/Link';
const MAX_UNSENT_ITEMS = 20_000;
const RECONNECT_BACKOFF_MS = 100;
const MAX_RECONNECT_BACKOFF_MS = 1000;

const SERVICE: grpc.ServiceDefinition = {
  link: {
    path: METHOD_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: messages.encode,
    requestDeserialize: messages.decode,
    responseSerialize: messages.encode,
    responseDeserialize: messages.decode,
  },
};

/** Keys and certificates in PEM form for TLS between hosts. */
export interface PeerTls {
  readonly ca: Buffer;
  readonly cert: Buffer;
  readonly key: Buffer;
}

/** What `Links` needs: `secret` is shared by all hosts, `onItem` gets each message in order per peer. */
export interface LinkOptions {
  readonly host: string;
  readonly secret: string;
  readonly tls?: PeerTls;
  readonly onMessage: (from: string, item: messages.Message) => void;
  readonly onLinkDown: (peer: string) => void;
}

/** Counts of what went over the links, in messages and bytes. */
export interface Traffic {
  readonly sentItems: number;
  readonly sentBytes: number;
  readonly receivedItems: number;
}

type Stream =
  | grpc.ServerDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >
  | grpc.ClientDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >;

interface Link {
  readonly stream: Stream;
  readonly client?: grpc.Client;
}

/**
 * Two-way streams to other hosts, opened when first needed. What is sent in
 * one turn of the loop leaves as one batch. Nothing is sent again: when a
 * link breaks, `onDown` says so, and what was on its way may be lost.
 */
export class Links {
  private readonly server: grpc.Server;
  private readonly links = new Map<string, Link>();
  private readonly outboxes = new Map<string, messages.Message[]>();
  private readonly addresses = new Map<string, string>();
  private isFlushing = false;
  private counts = {sentItems: 0, sentBytes: 0, receivedItems: 0};

  constructor(private readonly options: LinkOptions) {
    this.server = new grpc.Server();
    this.server.addService(SERVICE, {
      link: (
        call: grpc.ServerDuplexStream<
          readonly messages.Message[],
          readonly messages.Message[]
        >,
      ) => this.accept(call),
    });
  }

  /** What went over the links since the start. */
  get traffic(): Traffic {
    return this.counts;
  }

  /** Listens on `address` (ip:port); resolves to the port, rejects when it is taken. */
  listen(address: string): Promise<number> {
    const {tls} = this.options;
    const credentials = tls
      ? grpc.ServerCredentials.createSsl(
          tls.ca,
          [{cert_chain: tls.cert, private_key: tls.key}],
          true,
        )
      : grpc.ServerCredentials.createInsecure();
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, credentials, (error, port) => {
        if (error) reject(error);
        else resolve(port);
      });
    });
  }

  /** Queues a message for a host at `address`; it leaves at the end of this turn of the loop. */
  send(host: string, address: string, item: messages.Message): void {
    const outbox = this.outboxes.get(host) ?? [];
    if (outbox.length >= MAX_UNSENT_ITEMS) return this.drop(host);
    outbox.push(item);
    this.outboxes.set(host, outbox);
    this.addresses.set(host, address);
    if (this.isFlushing) return;
    this.isFlushing = true;
    setImmediate(() => this.flush());
  }

  /** Gives up the link to a host, for one that has gone silent; the next message opens a new one. */
  drop(host: string): void {
    const link = this.links.get(host);
    if (!link) return;
    this.forget(host, link);
    this.options.onLinkDown(host);
  }

  /** Closes all links and stops listening. */
  close(): void {
    for (const [host, link] of this.links) this.forget(host, link);
    this.server.forceShutdown();
  }

  private flush(): void {
    this.isFlushing = false;
    const outboxes = [...this.outboxes];
    this.outboxes.clear();
    for (const [host, items] of outboxes) {
      const link = this.links.get(host) ?? this.open(host);
      this.counts.sentItems += items.length;
      link.stream.write(items);
    }
  }

  private open(host: string): Link {
    const {tls, secret} = this.options;
    const credentials = tls
      ? grpc.credentials.createSsl(tls.ca, tls.key, tls.cert)
      : grpc.credentials.createInsecure();
    const client = new grpc.Client(
      this.addresses.get(host) as string,
      credentials,
      {
        'grpc.enable_retries': 0,
        'grpc.enable_http_proxy': 0,
        'grpc.use_local_subchannel_pool': 1,
        'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
        'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
      },
    );
    const metadata = new grpc.Metadata();
    metadata.set('host', this.options.host);
    metadata.set('secret', secret);
    const stream = client.makeBidiStreamRequest<
      readonly messages.Message[],
      readonly messages.Message[]
    >(METHOD_PATH, items => this.encoded(items), messages.decode, metadata);
    return this.attach(host, {stream, client});
  }

  private accept(
    call: grpc.ServerDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >,
  ): void {
    const host = call.metadata.get('host')[0];
    const secret = call.metadata.get('secret')[0];
    if (typeof host !== 'string' || secret !== this.options.secret) {
      call.emit('error', {code: grpc.status.UNAUTHENTICATED});
      return;
    }
    this.attach(host, {stream: call});
  }

  private attach(host: string, link: Link): Link {
    const known = this.links.get(host);
    if (!known || link.client) this.links.set(host, link);
    link.stream.on('data', (items: readonly messages.Message[]) => {
      this.counts.receivedItems += items.length;
      if (!this.links.has(host)) this.links.set(host, link);
      for (const item of items) this.options.onMessage(host, item);
    });
    const ended = () => {
      const isCurrent = this.links.get(host) === link;
      this.forget(host, link);
      if (isCurrent) this.options.onLinkDown(host);
    };
    link.stream.on('error', ended);
    link.stream.on('end', ended);
    return link;
  }

  private forget(host: string, link: Link): void {
    if (this.links.get(host) === link) this.links.delete(host);
    if ('cancel' in link.stream) link.stream.cancel();
    else link.stream.end();
    link.client?.close();
  }

  private encoded(items: readonly messages.Message[]): Buffer {
    const bytes = messages.encode(items);
    this.counts.sentBytes += bytes.length;
    return bytes;
  }
}
