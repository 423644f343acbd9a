/*
 * The ways from this host to backend servers: its own connections, and those of
 * other hosts while its own links are cut.
 */
import * as net from 'node:net';
import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

import * as carriers from './carriers.js';
import * as probes from './probe.js';

const TICK_INTERVAL_MS = 100;
/** Other hosts are tried beside a connection of this host that does not stand by then. */
const HEAD_START_MS = 150;
const DIAL_TIMEOUT_MS = 600;
/** A host that gets no data from any backend server for this long, though requests are in flight, checks its links. */
const HOST_SILENCE_MS = 400;
/** The same for a single backend server; engines may well need longer for a first token. */
const SERVER_SILENCE_MS = 1000;
/** The time between two checks of the same silent backend server; it doubles while they find nothing. */
const MIN_CHECK_GAP_MS = 500;
const MAX_CHECK_GAP_MS = 8000;
/** The interval of the probes by which the end of a cut is noticed. */
const RESTORE_PROBE_INTERVAL_MS = 400;
/** A cut path that accepts connections is tried again after this time, as a backend server need not answer a probe. */
const MAX_MUTE_MS = 10_000;
/** After other hosts have failed to reach a backend server, they are not asked again for this time. */
const UNREACHABLE_TTL_MS = 1000;
/** How long data from any backend server shows that this host has links. */
const HEARD_TTL_MS = 1500;
/** A backend server counts as used for this time after a request or a probe. */
const IN_USE_MS = 10_000;
/** How long nothing may be known of the path to a backend server for it to be forgotten. */
const FORGET_AFTER_MS = 60_000;

/** What an examination of the path to a backend server shows. */
export type Finding = 'reachable' | 'cut' | 'refused' | 'unknown';

/** Dependencies of `Paths`. */
export interface PathsOptions {
  readonly clock: decisions.clock.Clock;
  readonly carriers: carriers.Carriers;
  /** True while a backend server that may be used has this address. */
  readonly isListed: (address: string) => boolean;
  /** Returns the path at which the backend server at an address answers whatever its state; empty if it has none. */
  readonly healthPathOf: (address: string) => string;
  /** Opens a connection of this host; `net.connect` unless given. */
  readonly connect?: (options: net.NetConnectOpts) => stream.Duplex;
  /** Called when this host's link to a backend server is found to be cut, and when it is restored. */
  readonly onChange: (change: PathChange) => void;
}

/** A change of the path to the backend server at `address`. */
export interface PathChange {
  readonly address: string;
  readonly isCut: boolean;
  /** What the probe of this host's own link showed. */
  readonly result: probes.ProbeResult;
  /** How long the path was cut; 0 when it has just been. */
  readonly cutMs: number;
}

/** A connection of this host with a request in flight. */
interface InFlight {
  readonly socket: Pick<net.Socket, 'bytesRead'>;
  readonly sinceMs: number;
  readonly onCut: () => void;
  bytesRead: number;
}

/** What is known of the way to one backend server. */
interface Path {
  readonly address: string;
  readonly inFlight: Set<InFlight>;
  /** Since when this host's own link is cut; undefined while it is not. */
  cutMs: number | undefined;
  /** True if only an answer shows that the link is restored, since connections stood while it was cut. */
  needsAnswer: boolean;
  /** When data last came over this host's own link. */
  heardMs: number;
  usedMs: number;
  nextProbeMs: number;
  checkGapMs: number;
  /** Until when other hosts are not asked again, and what they last found. */
  askAgainMs: number;
  failure: carriers.CarrierFailure;
  examination: Promise<Finding> | undefined;
  isProbing: boolean;
}

/** Called with a connection that stands, or the error why there is none. */
export type DialCallback = (
  error: Error | null,
  connection?: stream.Duplex,
) => void;

/**
 * Finds a way to each backend server. Invariant: bytes of a request are written
 * only to a connection that stands, and to one connection only.
 */
export class Paths {
  private readonly paths = new Map<string, Path>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PathsOptions) {}

  /** Starts to watch requests in flight and to probe links that are cut. */
  start(): void {
    this.timer = setInterval(() => {
      const hasInFlight = [...this.paths.values()].some(
        ({inFlight}) => inFlight.size > 0,
      );
      // Without requests in flight nothing that is not read yet can matter.
      if (hasInFlight) decisions.reads.afterReads(() => this.tick());
      else this.tick();
    }, TICK_INTERVAL_MS);
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The number of backend servers to which this host's own link is cut. */
  get cutCount(): number {
    return [...this.paths.values()].filter(p => p.cutMs !== undefined).length;
  }

  /** True if this host's own links to all backend servers that it uses are cut. */
  get isCutOff(): boolean {
    const sinceMs = this.nowMs - IN_USE_MS;
    const used = [...this.paths.values()].filter(
      ({cutMs, usedMs}) => cutMs !== undefined || usedMs >= sinceMs,
    );
    return used.length > 0 && used.every(path => path.cutMs !== undefined);
  }

  /** True if data came lately from any backend server over this host's own links. */
  get hasHeard(): boolean {
    const sinceMs = this.nowMs - HEARD_TTL_MS;
    return [...this.paths.values()].some(({heardMs}) => heardMs >= sinceMs);
  }

  /** True while this host's own link to the backend server is cut. */
  isCut(address: string): boolean {
    return this.paths.get(address)?.cutMs !== undefined;
  }

  /** True if a backend server that this host could not connect to is not reached by others either, as far as they answer. */
  isUnreachable(address: string): boolean {
    const path = this.paths.get(address);
    // Holds until a dial that began after it, and the search beside that, have ended.
    const untilMs = (path?.askAgainMs ?? -Infinity) + 2 * DIAL_TIMEOUT_MS;
    return this.nowMs < untilMs && path?.failure !== 'unknown';
  }

  /** Resolves to true if no host can connect to the backend server; used where this host's own link is cut. */
  async isRefusedByAll(address: string): Promise<boolean> {
    const found = await this.askOthers(address, false);
    return found.kind === 'failed' && found.failure === 'unreachable';
  }

  /** Opens a connection to the backend server at `address`, by way of another host where this one's link is cut; only of one in `allowedRegions`, if they are given. */
  dial(
    address: string,
    options: net.NetConnectOpts,
    onDone: DialCallback,
    allowedRegions?: readonly string[],
  ): void {
    const path = this.pathTo(address);
    new Dialing({
      isCut: path.cutMs !== undefined,
      mayAsk: this.nowMs >= path.askAgainMs,
      connect: () => this.connect(options),
      search: onEnd =>
        this.search(
          ...([address, () => Promise.resolve(true), onEnd] as const),
          allowedRegions,
        ),
      onDone,
      onUnreachable: failure => {
        // What some hosts could not tell, others may; asking them sends nothing of the request.
        const isOpen =
          allowedRegions !== undefined && failure !== 'unreachable';
        if (isOpen) void this.examine(address);
        else this.setUnreachable(path, failure);
      },
      onLinkFailed: result => this.setCut(path, result),
    }).start();
  }

  /** Watches a request in flight on this host's own link; `onCut` is called if the link is found to be cut. Call the result when it has ended. */
  watch(
    address: string,
    socket: Pick<net.Socket, 'bytesRead'>,
    onCut: () => void,
  ): () => void {
    const path = this.pathTo(address);
    const {bytesRead} = socket;
    const inFlight = {socket, sinceMs: this.nowMs, onCut, bytesRead};
    path.inFlight.add(inFlight);
    return () => {
      this.noteBytes(path, inFlight);
      path.inFlight.delete(inFlight);
    };
  }

  /** Finds out whether this host's link to a backend server is cut, by what other hosts see. */
  examine(address: string): Promise<Finding> {
    const path = this.pathTo(address);
    if (path.cutMs !== undefined) return Promise.resolve('cut');
    path.examination ??= this.compare(path).finally(() => {
      path.examination = undefined;
    });
    return path.examination;
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private connect(options: net.NetConnectOpts): stream.Duplex {
    return (this.options.connect ?? net.connect)(options);
  }

  private probeOwnLink({address}: Path): Promise<probes.ProbeResult> {
    const [host, port] = address.split(':');
    const options = {host, port: Number(port), allowHalfOpen: true};
    const healthPath = this.options.healthPathOf(address);
    return probes.probe(this.connect(options), healthPath);
  }

  private search(
    address: string,
    accept: (connection: stream.Duplex) => Promise<boolean>,
    onEnd: (result: carriers.CarrierResult) => void,
    allowedRegions?: readonly string[],
  ): carriers.CarrierSearch {
    const search = new carriers.CarrierSearch({
      ...{carriers: this.options.carriers, address, accept, onEnd},
      allowedRegions,
    });
    search.start();
    return search;
  }

  private async compare(path: Path): Promise<Finding> {
    const result = await this.probeOwnLink(path);
    if (result === 'answered') return 'reachable';
    if (this.nowMs >= path.askAgainMs) {
      const isAnswerNeeded = result === 'mute' || result === 'reset';
      const found = await this.askOthers(path.address, isAnswerNeeded);
      if (found.kind === 'failed') {
        this.setUnreachable(path, found.failure);
      } else if (
        // A server that is busy answers one probe late and the next one in time.
        result !== 'mute' ||
        (await this.probeOwnLink(path)) !== 'answered'
      ) {
        this.setCut(path, result);
        return 'cut';
      }
    }
    return result === 'refused' ? 'refused' : 'unknown';
  }

  /** Asks other hosts whether they reach a backend server, or get an answer from it. */
  private askOthers(
    address: string,
    isAnswerNeeded: boolean,
  ): Promise<carriers.CarrierResult> {
    const accept = async (connection: stream.Duplex) => {
      if (!isAnswerNeeded) return true;
      const healthPath = this.options.healthPathOf(address);
      return (await probes.probe(connection, healthPath)) === 'answered';
    };
    return new Promise(resolve => {
      this.search(address, accept, result => {
        if (result.kind === 'connected') result.connection.destroy();
        resolve(result);
      });
    });
  }

  private setUnreachable(path: Path, failure: carriers.CarrierFailure): void {
    path.askAgainMs = this.nowMs + UNREACHABLE_TTL_MS;
    path.failure = failure;
  }

  private setCut(path: Path, result: probes.ProbeResult): void {
    if (path.cutMs !== undefined) return;
    const isFirst = this.cutCount === 0;
    const {nowMs} = this;
    path.cutMs = nowMs;
    path.needsAnswer = result === 'mute' || result === 'reset';
    path.nextProbeMs = nowMs + RESTORE_PROBE_INTERVAL_MS;
    const {address} = path;
    this.options.onChange({address, isCut: true, result, cutMs: 0});
    for (const {onCut} of path.inFlight) onCut();
    // The links to the others are likely to be cut as well.
    if (!isFirst) return;
    for (const other of this.paths.values()) {
      if (other !== path) void this.examine(other.address);
    }
  }

  private setRestored(path: Path, result: probes.ProbeResult): void {
    const cutMs = this.nowMs - (path.cutMs ?? this.nowMs);
    path.cutMs = undefined;
    path.checkGapMs = MIN_CHECK_GAP_MS;
    const {address} = path;
    this.options.onChange({address, isCut: false, result, cutMs});
  }

  private tick(): void {
    const {nowMs} = this;
    for (const path of this.paths.values()) {
      for (const inFlight of path.inFlight) this.noteBytes(path, inFlight);
    }
    const silences = [...this.paths.values()].flatMap(path => {
      const silentMs = this.silentMs(path);
      return silentMs === undefined ? [] : [silentMs];
    });
    const lastHeardMs = Math.max(
      ...[...this.paths.values()].map(({heardMs}) => heardMs),
    );
    const hostSilentMs = Math.min(
      nowMs - lastHeardMs,
      Math.max(0, ...silences),
    );
    for (const path of this.paths.values()) {
      if (path.cutMs !== undefined) void this.probeForRestore(path);
      else this.checkSilence(path, hostSilentMs);
      const isUnused =
        path.cutMs === undefined
          ? nowMs - path.usedMs >= FORGET_AFTER_MS
          : !this.options.isListed(path.address);
      if (isUnused && path.inFlight.size === 0) {
        this.paths.delete(path.address);
      }
    }
  }

  /** For how long requests in flight have got no data over this host's own link; undefined without any. */
  private silentMs({inFlight, heardMs}: Path): number | undefined {
    if (inFlight.size === 0) return undefined;
    const firstMs = Math.min(...[...inFlight].map(({sinceMs}) => sinceMs));
    return this.nowMs - Math.max(firstMs, heardMs);
  }

  private checkSilence(path: Path, hostSilentMs: number): void {
    const silentMs = this.silentMs(path);
    if (silentMs === undefined) return;
    const isSuspect =
      silentMs >= SERVER_SILENCE_MS ||
      (silentMs >= HOST_SILENCE_MS && hostSilentMs >= HOST_SILENCE_MS);
    const {nowMs} = this;
    if (!isSuspect || nowMs < path.nextProbeMs) return;
    path.nextProbeMs = nowMs + path.checkGapMs;
    path.checkGapMs = Math.min(MAX_CHECK_GAP_MS, 2 * path.checkGapMs);
    void this.examine(path.address);
  }

  private async probeForRestore(path: Path): Promise<void> {
    if (path.isProbing || this.nowMs < path.nextProbeMs) return;
    path.isProbing = true;
    const result = await this.probeOwnLink(path);
    path.isProbing = false;
    const {cutMs} = path;
    if (cutMs === undefined) return;
    path.nextProbeMs = this.nowMs + RESTORE_PROBE_INTERVAL_MS;
    const isMuteForLong =
      result === 'mute' && this.nowMs - cutMs >= MAX_MUTE_MS;
    const isStanding = result === 'mute' && !path.needsAnswer;
    if (result === 'answered' || isStanding || isMuteForLong) {
      this.setRestored(path, result);
    }
  }

  private noteBytes(path: Path, inFlight: InFlight): void {
    const {bytesRead} = inFlight.socket;
    if (bytesRead === inFlight.bytesRead) return;
    inFlight.bytesRead = bytesRead;
    path.heardMs = this.nowMs;
    path.checkGapMs = MIN_CHECK_GAP_MS;
  }

  private pathTo(address: string): Path {
    const known = this.paths.get(address);
    const path = known ?? {
      ...{address, inFlight: new Set<InFlight>(), cutMs: undefined},
      ...{needsAnswer: false, heardMs: -Infinity, usedMs: 0},
      ...{nextProbeMs: -Infinity, checkGapMs: MIN_CHECK_GAP_MS},
      ...{askAgainMs: -Infinity, failure: 'unreachable' as const},
      ...{examination: undefined, isProbing: false},
    };
    path.usedMs = this.nowMs;
    this.paths.set(address, path);
    return path;
  }
}

/** Dependencies of `Dialing`. */
interface DialingOptions {
  /** True if this host's own link is known to be cut. */
  readonly isCut: boolean;
  /** False if other hosts have lately failed to reach the backend server. */
  readonly mayAsk: boolean;
  readonly connect: () => stream.Duplex;
  readonly search: (
    onEnd: (result: carriers.CarrierResult) => void,
  ) => carriers.CarrierSearch;
  readonly onDone: DialCallback;
  /** Called when no host reaches the backend server. */
  readonly onUnreachable: (failure: carriers.CarrierFailure) => void;
  /** Called when another host reaches the backend server and this one doesn't. */
  readonly onLinkFailed: (result: probes.ProbeResult) => void;
}

/**
 * Opens one connection: over this host's own link first, and through other hosts
 * if that fails or takes long. While the link is cut, it is the last resort.
 */
class Dialing {
  private own: stream.Duplex | undefined;
  private ownError: Error | undefined;
  private searching: carriers.CarrierSearch | undefined;
  private hasSearched = false;
  private isDone = false;
  private isCarried = false;
  private headStart: NodeJS.Timeout | undefined;
  private timer: decisions.reads.ReadTimeout | undefined;

  constructor(private readonly options: DialingOptions) {}

  start(): void {
    this.timer = decisions.reads.setReadTimeout(
      () => this.onTimeout(),
      DIAL_TIMEOUT_MS,
    );
    if (this.options.isCut) return this.search();
    this.connect();
    if (!this.options.mayAsk) this.hasSearched = true;
    else this.headStart = setTimeout(() => this.search(), HEAD_START_MS);
  }

  private connect(): void {
    const own = this.options.connect();
    this.own = own;
    const onError = (error: Error) => {
      this.ownError = error;
      this.own = undefined;
      if (this.isCarried) return this.reportLink('refused');
      this.search();
    };
    own.once('error', onError);
    own.once('connect', () => {
      if (this.isDone) {
        // The link is slow, but not cut.
        this.timer?.clear();
        return void own.destroy();
      }
      own.removeListener('error', onError);
      this.searching?.cancel();
      this.end(null, own);
    });
  }

  private search(): void {
    clearTimeout(this.headStart);
    if (this.hasSearched) return this.failIfOver();
    this.hasSearched = true;
    let hasEnded = false;
    const search = this.options.search(result => {
      hasEnded = true;
      this.searching = undefined;
      if (result.kind === 'connected') {
        if (this.ownError) this.reportLink('refused');
        if (this.isDone) {
          result.connection.destroy();
          return this.reportLink('timeout');
        }
        this.isCarried = true;
        return this.end(null, result.connection);
      }
      this.options.onUnreachable(result.failure);
      if (this.isDone) return;
      if (!this.own && !this.ownError) return this.connect();
      this.failIfOver();
    });
    // Without a host to try, the search ends before it is returned.
    if (!hasEnded) this.searching = search;
  }

  private failIfOver(): void {
    if (this.own || this.searching) return;
    this.end(this.ownError ?? new Error('connect failed'));
  }

  /** At the end of the time, a connection that does not stand shows that the link is cut if another host's does; a search goes on to its end, to know for the next dial. */
  private onTimeout(): void {
    const {own} = this;
    if (own && !this.ownError && this.isCarried) this.reportLink('timeout');
    if (own && (own as net.Socket).connecting !== false) own.destroy();
    if (!this.isDone) this.end(new Error('connect timed out'));
  }

  private reportLink(result: probes.ProbeResult): void {
    if (!this.options.isCut) this.options.onLinkFailed(result);
  }

  private end(error: Error | null, connection?: stream.Duplex): void {
    if (this.isDone) return;
    this.isDone = true;
    clearTimeout(this.headStart);
    const isOwnPending = this.isCarried && this.own !== undefined;
    if (!isOwnPending) this.timer?.clear();
    this.options.onDone(error, connection);
  }
}
