import * as net from 'node:net';

/**
 * `silent` keeps the existing connections open but forwards nothing on them, while
 * new ones are forwarded; `cut` closes the existing connections and rejects new ones.
 */
export type RelayState = 'open' | 'silent' | 'cut';

/** A TCP relay on loopback that simulates network faults. */
export class Relay {
  /** Bytes received from both sides. */
  passedBytes = 0;
  private state: RelayState = 'open';
  private readonly pairs = new Set<readonly [net.Socket, net.Socket]>();

  private constructor(
    private readonly server: net.Server,
    readonly port: number,
  ) {}

  /** Starts a relay to a port on loopback. */
  static to(targetPort: number): Promise<Relay> {
    const server = net.createServer();
    return new Promise(resolve => {
      server.listen(0, '127.0.0.1', () => {
        const {port} = server.address() as net.AddressInfo;
        const relay = new Relay(server, port);
        server.on('connection', socket => relay.accept(socket, targetPort));
        resolve(relay);
      });
    });
  }

  /** Sets the state. Connections that were made silent stay silent in the state `open`. */
  setState(state: RelayState): void {
    this.state = state;
    for (const [inbound, outbound] of this.pairs) {
      if (state === 'cut') {
        inbound.destroy();
        outbound.destroy();
      } else if (state === 'silent') {
        inbound.pause();
        outbound.pause();
        inbound.unpipe();
        outbound.unpipe();
      }
    }
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.setState('cut');
    this.server.close();
  }

  /** Forwards a new connection also in the state `silent`, as a network device does that has lost the state of existing connections only. */
  private accept(inbound: net.Socket, targetPort: number): void {
    if (this.state === 'cut') return void inbound.destroy();
    const outbound = net.connect(targetPort, '127.0.0.1');
    const pair = [inbound, outbound] as const;
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      inbound.destroy();
      outbound.destroy();
    };
    for (const socket of pair) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
      socket.on('data', (chunk: Buffer) => {
        this.passedBytes += chunk.length;
      });
    }
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  }
}
