import * as net from 'node:net';

/**
 * `silent` keeps the existing connections open but forwards nothing on them, while
 * new ones are forwarded; `dark` does so and accepts new ones without forwarding
 * them either; `cut` closes the existing connections and rejects new ones; `reset`
 * resets the existing ones and forwards new ones; `one-way` holds back what comes
 * from the target; `hang` holds back what comes on existing and new connections, and
 * passes it on in the state `open`, also what comes from an end that has closed since;
 * `refuse` resets the existing connections and new ones, and
 * `refuse-new` only new ones.
 */
export type RelayState =
  | 'open'
  | 'silent'
  | 'dark'
  | 'cut'
  | 'reset'
  | 'one-way'
  | 'hang'
  | 'refuse'
  | 'refuse-new';

/** A connection to the relay, with the one to its target. */
type Pair = readonly [net.Socket, net.Socket];

/** What a new state does to each existing connection. */
const ON_STATE: Readonly<Record<RelayState, (pair: Pair) => void>> = {
  open: ([inbound, outbound]) => {
    outbound.unpipe(inbound);
    outbound.pipe(inbound);
  },
  'one-way': ([inbound, outbound]) => {
    outbound.pause();
    outbound.unpipe(inbound);
  },
  hang: pair => {
    for (const socket of pair) socket.unpipe().resume();
  },
  silent: silencePair,
  dark: silencePair,
  cut: pair => {
    for (const socket of pair) socket.destroy();
  },
  reset: resetPair,
  refuse: resetPair,
  'refuse-new': () => undefined,
};

/** A TCP relay on loopback that simulates network faults, of all its connections or of those from one address. */
export class Relay {
  /** Bytes received from both sides. */
  passedBytes = 0;
  /** Connections that were made to the relay, forwarded or not. */
  connections = 0;
  private state: RelayState = 'open';
  /** The states of sources that have one of their own, by ip address. */
  private readonly stateBySource = new Map<string, RelayState>();
  private readonly pairs = new Map<Pair, string>();
  /** The source of each connection to the target, by the local port of that connection. */
  private readonly sourceByPort = new Map<number, string>();
  /** Connections from the target whose end is held back. */
  private readonly heldBack = new Set<net.Socket>();
  /** What came on connections that hang. */
  private readonly held = new Map<net.Socket, Buffer[]>();
  /** Connections that stay silent whatever the state. */
  private readonly silenced = new Set<net.Socket>();

  private constructor(
    private readonly server: net.Server,
    readonly port: number,
  ) {}

  /** Starts a relay to a port on loopback, on `ownPort` or on a free one. */
  static to(targetPort: number, ownPort = 0): Promise<Relay> {
    const server = net.createServer({allowHalfOpen: true});
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(ownPort, '127.0.0.1', () => {
        const {port} = server.address() as net.AddressInfo;
        const relay = new Relay(server, port);
        server.on('connection', socket => relay.accept(socket, targetPort));
        resolve(relay);
      });
    });
  }

  /** Sets the state. Connections that were made silent stay silent in the state `open`. */
  setState(state: RelayState): void {
    if (state === this.state) return;
    this.state = state;
    this.applyState(state, source => !this.stateBySource.has(source));
  }

  /** Sets the state of the connections from one ip address; undefined makes them follow `setState` again. */
  setStateOf(source: string, state: RelayState | undefined): void {
    if (state === undefined) this.stateBySource.delete(source);
    else this.stateBySource.set(source, state);
    this.applyState(state ?? this.state, each => each === source);
  }

  /** Returns the ip address from which the connection comes that reaches the target from a local port. */
  sourceOf(port: number): string | undefined {
    return this.sourceByPort.get(port);
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.stateBySource.clear();
    this.setState('cut');
    for (const socket of this.silenced) socket.destroy();
    this.server.close();
  }

  private applyState(
    state: RelayState,
    isMeant: (source: string) => boolean,
  ): void {
    const isSilencing = state === 'silent' || state === 'dark';
    for (const [pair, source] of this.pairs) {
      if (!isMeant(source)) continue;
      if (state === 'open') this.passOnHeld(pair);
      ON_STATE[state](pair);
      if (state === 'hang') this.hold(pair);
      this.holdBack(pair, state === 'one-way');
      if (!isSilencing) continue;
      this.pairs.delete(pair);
      for (const socket of pair) this.silenced.add(socket);
    }
  }

  /** Forwards a new connection also in the state `silent`, as a network device does that has lost the state of existing connections only. */
  private accept(inbound: net.Socket, targetPort: number): void {
    this.connections++;
    const source = inbound.remoteAddress ?? '';
    const state = this.stateBySource.get(source) ?? this.state;
    if (state === 'cut') return void inbound.destroy();
    if (state === 'refuse' || state === 'refuse-new') return reset(inbound);
    if (state === 'dark') {
      this.silenced.add(inbound);
      inbound.on('error', () => undefined);
      inbound.once('close', () => this.silenced.delete(inbound));
      return;
    }
    const outbound = net.connect({
      ...{port: targetPort, host: '127.0.0.1', allowHalfOpen: true},
    });
    outbound.once('connect', () => {
      this.sourceByPort.set(outbound.localPort ?? 0, source);
    });
    const pair: Pair = [inbound, outbound];
    this.pairs.set(pair, source);
    const forget = () => {
      this.pairs.delete(pair);
      for (const socket of pair) this.silenced.delete(socket);
    };
    for (const socket of pair) {
      const other = socket === inbound ? outbound : inbound;
      socket.setNoDelay(true);
      socket.on('error', () => {
        if (this.silenced.has(socket) || this.held.has(socket)) return;
        forget();
        reset(other);
      });
      socket.on('close', () => {
        // A silenced connection does not tell its other side either.
        if (this.silenced.has(socket) || this.heldBack.has(socket)) return;
        if (this.held.has(socket)) return;
        forget();
        // What was received is still passed on.
        other.destroySoon();
      });
      socket.on('data', (chunk: Buffer) => {
        this.passedBytes += chunk.length;
        this.held.get(socket)?.push(chunk);
      });
    }
    if (state === 'hang') return this.hold(pair);
    inbound.pipe(outbound);
    if (state !== 'one-way') outbound.pipe(inbound);
    else outbound.pause();
    this.holdBack(pair, state === 'one-way');
  }

  private hold(pair: Pair): void {
    for (const socket of pair) {
      if (!this.held.has(socket)) this.held.set(socket, []);
    }
  }

  private passOnHeld([inbound, outbound]: Pair): void {
    for (const [from, to] of [
      [inbound, outbound],
      [outbound, inbound],
    ]) {
      const chunks = this.held.get(from);
      if (!chunks || !this.held.delete(from)) continue;
      if (!to.destroyed) for (const chunk of chunks) to.write(chunk);
      if (from.destroyed) to.destroySoon();
      else if (from.readableEnded) to.end();
      else from.pipe(to);
    }
  }

  private holdBack([inbound, outbound]: Pair, isHeld: boolean): void {
    if (isHeld) return void this.heldBack.add(outbound);
    if (this.heldBack.delete(outbound) && outbound.destroyed) {
      inbound.destroySoon();
    }
  }
}

/** Resets a connection. Node.js keeps the handle of one that is reset while it ends. */
function reset(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

function resetPair(pair: Pair): void {
  for (const socket of pair) reset(socket);
}

function silencePair([inbound, outbound]: Pair): void {
  for (const socket of [inbound, outbound]) {
    socket.pause();
    socket.unpipe();
  }
}
