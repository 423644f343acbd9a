// Tunnels: byte streams to a backend server over a connection of another host.
import * as stream from 'node:stream';

import * as grpc from '@grpc/grpc-js';

import * as decisions from '@banyanhall/decisions';

const METHOD_PATH = '/banyanhall.peer.Peer/Tunnel';
/** The most bytes that are buffered on either side of a tunnel before its source is paused. */
const HIGH_WATER_BYTES = 65_536;

/** Why a host opens no tunnel to a backend server. */
export type RefusalReason =
  /** The backend server does not accept the connection. */
  | 'unreachable'
  /** The host can't reach the backend server either. */
  | 'cut-off'
  /** The host has no room for requests of others, or is stopping. */
  | 'busy'
  /** The host knows no backend server at this address that may be used. */
  | 'unknown'
  /** The host runs a build without tunnels. */
  | 'unsupported'
  /** The host can't be reached. */
  | 'failed';

const STATUS_BY_REASON: Readonly<
  Record<Exclude<RefusalReason, 'failed'>, grpc.status>
> = {
  unreachable: grpc.status.UNAVAILABLE,
  'cut-off': grpc.status.FAILED_PRECONDITION,
  busy: grpc.status.RESOURCE_EXHAUSTED,
  unknown: grpc.status.NOT_FOUND,
  unsupported: grpc.status.UNIMPLEMENTED,
};

/** A refusal by the other host says so itself, as the library has the same codes for failures of a connection. */
const REFUSAL_KEY = 'refused';
const REFUSED: Readonly<Record<string, RefusalReason>> = {
  unreachable: 'unreachable',
  'cut-off': 'cut-off',
  busy: 'busy',
  unknown: 'unknown',
};

/** A tunnel that could not be opened, or that broke. */
export class TunnelError extends Error {
  constructor(
    readonly reason: RefusalReason,
    detail: string,
  ) {
    super(detail);
  }
}

type ClientCall = grpc.ClientDuplexStream<Buffer, Buffer>;
type ServerCall = grpc.ServerDuplexStream<Buffer, Buffer>;

const identity = (bytes: Buffer) => bytes;

/** The method by which a host opens tunnels, for the definition of the gRPC service. */
export const METHOD: grpc.MethodDefinition<Buffer, Buffer> = {
  path: METHOD_PATH,
  requestStream: true,
  responseStream: true,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/**
 * The end of a tunnel at the host that uses it, in place of a connection to the
 * backend server. Emits `connect` once that stands; nothing is sent before.
 */
export class Tunnel extends stream.Duplex {
  /** Bytes received, as of a socket. */
  bytesRead = 0;
  /** The idle time that an HTTP client has set, in milliseconds; `startIdle` ends it. */
  timeout: number | undefined;
  private isConnected = false;
  private isReading = false;
  private heldWrite: (() => void) | undefined;
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly call: ClientCall,
    /** The address of the backend server, as of a socket. */
    readonly remoteAddress: string,
    /** The host that has the connection. */
    readonly carrier: string,
  ) {
    super({
      allowHalfOpen: false,
      readableHighWaterMark: HIGH_WATER_BYTES,
      writableHighWaterMark: HIGH_WATER_BYTES,
    });
    call.pause();
    call.on('metadata', () => this.onConnected());
    call.on('data', (bytes: Buffer) => {
      this.bytesRead += bytes.length;
      if (!this.push(bytes)) {
        this.isReading = false;
        call.pause();
      }
    });
    call.on('end', () => this.push(null));
    call.on('error', error => this.destroy(toTunnelError(error)));
  }

  /** True until the connection to the backend server stands. */
  get connecting(): boolean {
    return !this.isConnected;
  }

  /** Closes the tunnel unless `stopIdle` comes within a time. */
  startIdle(timeoutMs: number): void {
    this.stopIdle();
    this.idleTimer = setTimeout(() => this.destroy(), timeoutMs).unref();
  }

  stopIdle(): void {
    clearTimeout(this.idleTimer);
  }

  // What HTTP clients of Node.js call on a socket.
  setNoDelay(): this {
    return this;
  }

  setKeepAlive(): this {
    return this;
  }

  setTimeout(timeoutMs: number): this {
    this.timeout = timeoutMs;
    return this;
  }

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }

  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  override _read(): void {
    if (this.isReading || !this.isConnected) return;
    this.isReading = true;
    this.call.resume();
  }

  override _write(
    bytes: Buffer,
    _: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    const write = () => this.writePieces(bytes, () => callback());
    if (this.isConnected) write();
    else this.heldWrite = write;
  }

  override _final(callback: (error?: Error | null) => void): void {
    const end = () => {
      this.call.end();
      callback();
    };
    if (this.isConnected) end();
    else this.heldWrite = end;
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.stopIdle();
    this.call.cancel();
    callback(error);
  }

  /** Writes bytes as messages of a bounded size, since the carrier buffers whole ones. */
  private writePieces(bytes: Buffer, onWritten: () => void): void {
    const rest = bytes.subarray(HIGH_WATER_BYTES);
    this.call.write(bytes.subarray(0, HIGH_WATER_BYTES), () => {
      if (rest.length > 0) this.writePieces(rest, onWritten);
      else onWritten();
    });
  }

  private onConnected(): void {
    if (this.isConnected) return;
    this.isConnected = true;
    const {heldWrite} = this;
    this.heldWrite = undefined;
    this.emit('connect');
    heldWrite?.();
    // The end of a call is only noticed while it is read.
    this._read();
  }
}

/** Opens a tunnel through the host that a client is connected to. */
export function open(
  client: grpc.Client,
  metadata: grpc.Metadata,
  carrier: string,
  address: string,
): Tunnel {
  metadata.set('address', address);
  const call = client.makeBidiStreamRequest<Buffer, Buffer>(
    ...([METHOD_PATH, identity, identity, metadata] as const),
  );
  return new Tunnel(call, address, carrier);
}

/** A connection for a tunnel of another host. */
export interface Accepted {
  /** Emits `connect` once it stands, or an error. */
  readonly connection: stream.Duplex;
  /** Called with the bytes that the tunnel buffers. */
  readonly onBuffered: (bytes: number) => void;
}

/** Accepts a tunnel to the backend server at an address; throws `TunnelError` to refuse it. */
export type TunnelAcceptor = (from: string, address: string) => Accepted;

/** Connects a tunnel of another host to what `accept` returns, which has to emit `connect`. */
export function serve(
  call: ServerCall,
  from: string,
  accept: TunnelAcceptor,
): void {
  const [address] = call.metadata.get('address');
  let accepted: Accepted;
  try {
    accepted = accept(from, String(address));
  } catch (error) {
    return refuse(call, error);
  }
  const {connection: socket, onBuffered} = accepted;
  let isConnected = false;
  let isOver = false;
  let unsentBytes = 0;
  let held: Buffer[] = [];
  let heldBytes = 0;
  const breakOff = (details: string) => {
    if (isOver || call.cancelled) return;
    isOver = true;
    call.emit('error', {code: grpc.status.ABORTED, details});
  };
  const report = () =>
    onBuffered(unsentBytes + heldBytes + socket.writableLength);
  // The other host may have closed the tunnel since it sent what is held.
  const passOnHeld = () => {
    const chunks = held;
    held = [];
    heldBytes = 0;
    if (socket.destroyed) return;
    const areTaken = chunks.map(bytes => socket.write(bytes));
    if (areTaken.includes(false)) call.pause();
    else call.resume();
    report();
  };
  socket.once('connect', () => {
    isConnected = true;
    call.sendMetadata(new grpc.Metadata());
    call.on('data', (bytes: Buffer) => {
      held.push(bytes);
      heldBytes += bytes.length;
      if (held.length === 1) decisions.reads.afterReads(passOnHeld);
      if (heldBytes >= HIGH_WATER_BYTES) call.pause();
      report();
    });
    socket.on('drain', () => {
      call.resume();
      report();
    });
    call.on('end', () => decisions.reads.afterReads(() => socket.end()));
    socket.on('data', (bytes: Buffer) => {
      unsentBytes += bytes.length;
      call.write(bytes, () => {
        unsentBytes -= bytes.length;
        if (unsentBytes <= HIGH_WATER_BYTES / 2) socket.resume();
        report();
      });
      if (unsentBytes > HIGH_WATER_BYTES) socket.pause();
      report();
    });
    socket.on('end', () => {
      // A reset that arrives with the last bytes is reported as a normal end;
      // only the missing remote address tells them apart, unless both sides have ended.
      const isReset =
        !socket.writableEnded &&
        'remoteAddress' in socket &&
        socket.remoteAddress === undefined;
      if (isReset) return breakOff('reset');
      isOver = true;
      call.end();
    });
  });
  socket.on('error', error => {
    if (isConnected) return breakOff(error.message);
    isOver = true;
    refuse(call, error);
  });
  // Without an end before, this host has closed it.
  socket.on('close', () => breakOff('closed by the carrier'));
  call.on('cancelled', () => socket.destroy());
  call.on('close', () => socket.destroy());
}

function refuse(call: ServerCall, error: unknown): void {
  const reason =
    error instanceof TunnelError && error.reason !== 'failed'
      ? error.reason
      : 'unreachable';
  const metadata = new grpc.Metadata();
  metadata.set(REFUSAL_KEY, reason);
  const details = error instanceof Error ? error.message : String(error);
  call.emit('error', {code: STATUS_BY_REASON[reason], details, metadata});
}

function toTunnelError(error: Error): TunnelError {
  const {code, metadata} = error as grpc.ServiceError;
  const [refused] = metadata?.get(REFUSAL_KEY) ?? [];
  const reason =
    code === grpc.status.UNIMPLEMENTED
      ? 'unsupported'
      : (REFUSED[String(refused)] ?? 'failed');
  return new TunnelError(reason, error.message);
}
