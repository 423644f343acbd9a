/*
 * Accepts the connections of other hosts. Connections that have not shown to be
 * of a host are bounded, so that others can't use up the descriptors.
 */
import * as net from 'node:net';

import * as grpc from '@grpc/grpc-js';

/** Listens for a gRPC server. */
export class PeerListener {
  /** Connections without an authenticated call yet, the oldest first, by ip:port of the other side. */
  private readonly unknown = new Map<string, net.Socket>();
  private readonly server = net.createServer({noDelay: true}, socket =>
    this.accept(socket),
  );
  private readonly injector: ReturnType<
    grpc.Server['createConnectionInjector']
  >;

  constructor(
    server: grpc.Server,
    credentials: grpc.ServerCredentials,
    private readonly maxUnknown: number,
  ) {
    this.injector = server.createConnectionInjector(credentials);
  }

  /** Listens on `address` (IP:PORT) and resolves to the port; rejects if the address can't be bound. */
  listen(address: string): Promise<number> {
    const at = address.lastIndexOf(':');
    const [host, port] = [address.slice(0, at), Number(address.slice(at + 1))];
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port}, () => {
        this.server.removeListener('error', reject);
        // A failed accept concerns one connection only.
        this.server.on('error', () => undefined);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Keeps a connection, given by ip:port of the other side, as it is one of a host. */
  onAuthenticated(peer: string): void {
    this.unknown.delete(peer);
  }

  /** Stops listening, and closes the connections that are of no host. */
  close(): void {
    this.server.close();
    for (const socket of this.unknown.values()) socket.destroy();
  }

  private accept(socket: net.Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.unknown.set(peer, socket);
    socket.once('close', () => {
      if (this.unknown.get(peer) === socket) this.unknown.delete(peer);
    });
    this.injector.injectConnection(socket);
    if (this.unknown.size <= this.maxUnknown) return;
    const [[oldest, first]] = this.unknown;
    this.unknown.delete(oldest);
    first.destroy();
  }
}
