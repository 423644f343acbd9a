// Transport of messages between hosts: bidirectional gRPC streams, usually
// one for each pair of hosts that have messages for each other.
import * as grpc from '@grpc/grpc-js';

import * as listeners from './listener.js';
import * as messages from './messages.js';
import * as tunnels from './tunnels.js';

const METHOD_PATH = '/banyanhall.peer.Peer/Link';
/** The most messages queued for one host in a turn of the event loop; a further one is discarded, and the link is dropped. */
const MAX_OUTBOX_MESSAGES = 20_000;
const INITIAL_RECONNECT_BACKOFF_MS = 100;
const MAX_RECONNECT_BACKOFF_MS = 1000;
/** How long a link that is being opened is kept beside one that the other host has opened. */
const OPENING_TIMEOUT_MS = 5000;
/** Two hosts whose links to each other stand within this time keep both, as neither has given up a link. */
const SIMULTANEOUS_MS = 1000;

// Errors come through callbacks; the library would write them to standard error as well.
grpc.setLogVerbosity(grpc.logVerbosity.NONE);

const SERVICE_DEFINITION: grpc.ServiceDefinition = {
  link: {
    path: METHOD_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: messages.encode,
    requestDeserialize: messages.decode,
    responseSerialize: messages.encode,
    responseDeserialize: messages.decode,
  },
  tunnel: tunnels.METHOD,
};

/** Certificates and the private key, in PEM form, for mutual TLS between hosts. */
export interface PeerTls {
  readonly ca: Buffer;
  readonly cert: Buffer;
  readonly key: Buffer;
}

/** Options of `Links`. */
export interface LinkOptions {
  /** The name of this host. */
  readonly host: string;
  /** The secret that all hosts share; links from a host with another one are rejected. */
  readonly secret: string;
  /** The most connections that have not shown to be of a host; no bound by default. */
  readonly maxUnknownConnections?: number;
  /** Without this option links are not encrypted. */
  readonly tls?: PeerTls;
  /** Called for each message; messages that arrive over one link keep their order. */
  readonly onMessage: (from: string, message: messages.Message) => void;
  /** Called when the current link to a host breaks or is dropped; messages in flight may be lost. */
  readonly onLinkDown: (peer: string) => void;
  /** Called when a host that is alive has opened a new link in place of the current one; messages in flight may be lost. */
  readonly onLinkReplaced?: (peer: string) => void;
  /** Connects a tunnel of another host; without this function all are refused. */
  readonly onTunnel?: tunnels.TunnelAcceptor;
}

/** Messages and bytes transferred since the start; an item is one message of a batch. */
export interface Traffic {
  readonly sentItems: number;
  /** Bytes sent over links that this host opened; accepted links are not counted. */
  readonly sentBytes: number;
  readonly receivedItems: number;
}

type LinkStream =
  | grpc.ServerDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >
  | grpc.ClientDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >;

/** A connection to another host; `client` is set when this host opened it. */
interface Link {
  readonly stream: LinkStream;
  readonly client?: grpc.Client;
  /** Since when it stands, on the monotonic clock; Infinity while it is being opened. */
  sinceMs: number;
}

/** A connection to another host for tunnels through it. */
interface TunnelClient {
  readonly address: string;
  readonly client: grpc.Client;
}

/**
 * The links of a host to all other hosts, opened when first needed. Messages
 * queued in one turn of the event loop leave as one batch. Messages are not
 * retransmitted: when a link breaks, `onLinkDown` is called, and messages in
 * flight may be lost.
 */
export class Links {
  private readonly server = this.createServer();
  private listener: listeners.PeerListener | undefined;
  private readonly links = new Map<string, Link>();
  private readonly outboxes = new Map<string, messages.Message[]>();
  private readonly addresses = new Map<string, string>();
  /** Connections for tunnels, so that their bytes do not hold up messages; by host. */
  private readonly tunnelClients = new Map<string, TunnelClient>();
  private isFlushScheduled = false;
  private isBound = false;
  private counts = {sentItems: 0, sentBytes: 0, receivedItems: 0};

  constructor(private readonly options: LinkOptions) {}

  /** True once other hosts can connect. */
  get isListening(): boolean {
    return this.isBound;
  }

  /** The traffic over all links since the start. */
  get traffic(): Traffic {
    return this.counts;
  }

  /** Listens on `address` (IP:PORT) and resolves to the port; rejects if the address cannot be bound. */
  listen(address: string): Promise<number> {
    const {tls} = this.options;
    const credentials = tls
      ? grpc.ServerCredentials.createSsl(
          tls.ca,
          [{cert_chain: tls.cert, private_key: tls.key}],
          true,
        )
      : grpc.ServerCredentials.createInsecure();
    const {maxUnknownConnections = Infinity} = this.options;
    this.listener ??= new listeners.PeerListener(
      ...([this.server, credentials, maxUnknownConnections] as const),
    );
    return this.listener.listen(address).then(port => {
      this.isBound = true;
      return port;
    });
  }

  /** Queues a message for a host, to be sent at the end of this turn of the event loop. `address` (IP:PORT) is used if no link is open. */
  send(host: string, address: string, message: messages.Message): void {
    const outbox = this.outboxes.get(host) ?? [];
    if (outbox.length >= MAX_OUTBOX_MESSAGES) return this.drop(host);
    outbox.push(message);
    this.outboxes.set(host, outbox);
    this.addresses.set(host, address);
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  /** Closes the link to a host, for example to one that no longer responds; the next message opens a new one. */
  drop(host: string): void {
    const link = this.links.get(host);
    if (!link) return;
    this.closeLink(host, link);
    this.options.onLinkDown(host);
  }

  /** Opens a tunnel to the backend server at `target` (IP:PORT) through the host at `address`. */
  openTunnel(host: string, address: string, target: string): tunnels.Tunnel {
    const known = this.tunnelClients.get(host);
    if (known && known.address !== address) this.dropTunnels(host);
    const {client} = this.tunnelClients.get(host) ?? {
      client: this.createClient(address),
    };
    this.tunnelClients.set(host, {address, client});
    return tunnels.open(client, this.credentials(), host, target);
  }

  /** Closes the connection for tunnels through a host, with those that are open. */
  dropTunnels(host: string): void {
    this.tunnelClients.get(host)?.client.close();
    this.tunnelClients.delete(host);
  }

  /** Closes all links and stops listening. */
  close(): void {
    for (const host of this.tunnelClients.keys()) this.dropTunnels(host);
    for (const [host, link] of this.links) this.closeLink(host, link);
    this.listener?.close();
    this.server.forceShutdown();
  }

  private createServer(): grpc.Server {
    const server = new grpc.Server();
    server.addService(SERVICE_DEFINITION, {
      link: (
        call: grpc.ServerDuplexStream<
          readonly messages.Message[],
          readonly messages.Message[]
        >,
      ) => this.accept(call),
      tunnel: (call: grpc.ServerDuplexStream<Buffer, Buffer>) =>
        this.acceptTunnel(call),
    });
    return server;
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const outboxes = [...this.outboxes];
    this.outboxes.clear();
    for (const [host, items] of outboxes) {
      const link = this.links.get(host) ?? this.open(host);
      this.counts.sentItems += items.length;
      link.stream.write(items);
    }
  }

  private createClient(address: string): grpc.Client {
    const {tls} = this.options;
    const credentials = tls
      ? grpc.credentials.createSsl(tls.ca, tls.key, tls.cert)
      : grpc.credentials.createInsecure();
    return new grpc.Client(address, credentials, {
      'grpc.enable_retries': 0,
      'grpc.enable_http_proxy': 0,
      'grpc.use_local_subchannel_pool': 1,
      'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MS,
      'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
    });
  }

  /** What this host tells of itself when it opens a stream. */
  private credentials(): grpc.Metadata {
    const metadata = new grpc.Metadata();
    metadata.set('host', this.options.host);
    metadata.set('secret', this.options.secret);
    return metadata;
  }

  private open(host: string): Link {
    const client = this.createClient(this.addresses.get(host) as string);
    const stream = client.makeBidiStreamRequest<
      readonly messages.Message[],
      readonly messages.Message[]
    >(
      METHOD_PATH,
      items => this.encodeCounted(items),
      messages.decode,
      this.credentials(),
    );
    const link = this.attach(host, {stream, client, sinceMs: Infinity});
    const timer = setTimeout(
      () => this.giveUpOpening(host, link),
      OPENING_TIMEOUT_MS,
    );
    timer.unref();
    stream.once('metadata', () => {
      clearTimeout(timer);
      link.sinceMs = performance.now();
    });
    return link;
  }

  /** Closes a link that does not stand in time and that one of the other host has replaced meanwhile. */
  private giveUpOpening(host: string, link: Link): void {
    const current = this.links.get(host);
    if (!current || current === link) return;
    this.closeLink(host, link);
    this.options.onLinkReplaced?.(host);
  }

  private accept(
    call: grpc.ServerDuplexStream<
      readonly messages.Message[],
      readonly messages.Message[]
    >,
  ): void {
    const host = this.authenticate(call);
    if (host === undefined) return;
    // Tells the other host that the link stands, before any message does.
    call.sendMetadata(new grpc.Metadata());
    this.replaceGivenUp(host);
    this.attach(host, {stream: call, sinceMs: performance.now()});
  }

  /**
   * Closes the current link to a host that opens a new one. A host opens a link
   * only when it has none, so it has given up the current one, which may have
   * fallen silent without a reset. As the host is heard, its silence won't show.
   * One that is still being opened may stand later, and is kept beside the new one.
   */
  private replaceGivenUp(host: string): void {
    const current = this.links.get(host);
    if (!current) return;
    if (current.sinceMs === Infinity) return void this.links.delete(host);
    if (performance.now() - current.sinceMs < SIMULTANEOUS_MS) return;
    this.closeLink(host, current);
    this.options.onLinkReplaced?.(host);
  }

  private acceptTunnel(call: grpc.ServerDuplexStream<Buffer, Buffer>): void {
    const {onTunnel} = this.options;
    const host = this.authenticate(call);
    if (host === undefined) return;
    if (onTunnel) return tunnels.serve(call, host, onTunnel);
    call.emit('error', {code: grpc.status.UNIMPLEMENTED});
  }

  /** Returns the host that opened a stream; ends it and returns undefined unless the host has the secret. */
  private authenticate(
    call: grpc.ServerDuplexStream<unknown, unknown>,
  ): string | undefined {
    const host = call.metadata.get('host')[0];
    const secret = call.metadata.get('secret')[0];
    if (typeof host === 'string' && secret === this.options.secret) {
      this.listener?.onAuthenticated(call.getPeer());
      return host;
    }
    call.emit('error', {code: grpc.status.UNAUTHENTICATED});
    return undefined;
  }

  /**
   * Handles the events of a link. A link that this host opened becomes the one
   * to send on; an accepted link does so only when there is none.
   */
  private attach(host: string, link: Link): Link {
    const current = this.links.get(host);
    if (!current || link.client) this.links.set(host, link);
    link.stream.on('data', (items: readonly messages.Message[]) => {
      this.counts.receivedItems += items.length;
      if (!this.links.has(host)) this.links.set(host, link);
      for (const message of items) this.options.onMessage(host, message);
    });
    const onEnd = () => {
      const isCurrent = this.links.get(host) === link;
      this.closeLink(host, link);
      if (isCurrent) this.options.onLinkDown(host);
    };
    link.stream.on('error', onEnd);
    link.stream.on('end', onEnd);
    return link;
  }

  private closeLink(host: string, link: Link): void {
    if (this.links.get(host) === link) this.links.delete(host);
    if ('cancel' in link.stream) link.stream.cancel();
    else link.stream.end();
    link.client?.close();
  }

  private encodeCounted(items: readonly messages.Message[]): Buffer {
    const bytes = messages.encode(items);
    this.counts.sentBytes += bytes.length;
    return bytes;
  }
}
