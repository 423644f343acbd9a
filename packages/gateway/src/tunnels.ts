/*
 * Tunnels between hosts: this host's way to backend servers while its own links
 * are cut, and its connections for others whose links are.
 */
import * as net from 'node:net';

import * as decisions from '@banyanhall/decisions';
import type * as forwarding from '@banyanhall/forwarding';
import * as peers from '@banyanhall/peers';

import type * as directories from './directory.js';

/** The most tunnels of other hosts; this host's own callers come first. */
const MAX_CARRIED = 256;
/** Tunnels are refused from this event loop lag on, well before this host's own callers are. */
const MAX_LOOP_LAG_MS = 150;
const CONNECT_TIMEOUT_MS = 250;
/** A host whose tunnel did not stand after this time is tried last. */
const SLOW_MS = 300;

type Reason = peers.tunnels.RefusalReason;

/** How long a host that refused a tunnel is tried after the others, by reason. */
const AVOIDED_MS: Readonly<Record<Reason, number>> = {
  ...{unreachable: 0, unknown: 500, busy: 500, 'cut-off': 1000, failed: 2000},
  unsupported: 30_000,
};

/** What a refusal tells of the backend server. */
const FAILURES: Readonly<Record<Reason, forwarding.carriers.CarrierFailure>> = {
  ...{unreachable: 'unreachable', 'cut-off': 'cut-off', unknown: 'unknown'},
  ...{busy: 'unknown', failed: 'unknown', unsupported: 'unknown'},
};

/** Dependencies of `Tunnels`. */
export interface TunnelsOptions {
  readonly host: string;
  readonly zone: string;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly links: Pick<peers.links.Links, 'openTunnel' | 'dropTunnels'>;
  readonly serving: () => readonly decisions.membership.Member[];
  readonly directory: directories.Directory;
  readonly buffers: forwarding.buffers.BufferAccount;
  readonly paths: () => Pick<
    forwarding.paths.Paths,
    'isCut' | 'isCutOff' | 'hasHeard'
  >;
  readonly isStopping: () => boolean;
  readonly loopLagMs: () => number;
}

/** The tunnels of this host through others, and those of others through this one. */
export class Tunnels implements forwarding.carriers.Carriers {
  /** Until when each host is tried after the others. */
  private readonly avoidedUntilMs = new Map<string, number>();
  /** The number of open tunnels through each host. */
  private readonly openBy = new Map<string, number>();
  private readonly carriedFor = new Map<string, number>();
  private openedCount = 0;

  constructor(private readonly options: TunnelsOptions) {}

  /** The number of tunnels of other hosts that are open. */
  get carried(): number {
    return [...this.carriedFor.values()].reduce((sum, n) => sum + n, 0);
  }

  /** The number of tunnels through other hosts that were opened since the start. */
  get opened(): number {
    return this.openedCount;
  }

  /** Opens a tunnel through the best host that has not been tried, in a region that is allowed. */
  open(
    address: string,
    tried: ReadonlySet<string>,
    allowedRegions?: readonly string[],
  ): forwarding.carriers.CarriedConnection | undefined {
    const {host: own, zone, random, links, serving} = this.options;
    const [best] = decisions.regions
      .only(serving(), allowedRegions)
      .filter(({host}) => host !== own && !tried.has(host))
      .map(member => ({
        member,
        isAvoided: Number(this.isAvoided(member.host)),
        isFar: Number(member.zone !== zone),
        load: this.openBy.get(member.host) ?? 0,
        draw: random(),
      }))
      .sort(
        (a, b) =>
          a.isAvoided - b.isAvoided ||
          a.load - b.load ||
          a.isFar - b.isFar ||
          a.draw - b.draw,
      );
    if (!best) return undefined;
    const {host, peerAddress} = best.member;
    const tunnel = links.openTunnel(host, peerAddress, address);
    this.openedCount++;
    this.follow(host, tunnel);
    return {host, connection: tunnel};
  }

  /** Tells why a tunnel could not be opened. */
  failureOf(error: Error): forwarding.carriers.CarrierFailure {
    return error instanceof peers.tunnels.TunnelError
      ? FAILURES[error.reason]
      : 'unknown';
  }

  /** Connects a tunnel of another host to a backend server; throws `TunnelError` to refuse it. */
  accept(from: string, address: string): peers.tunnels.Accepted {
    const {directory, paths, isStopping, loopLagMs} = this.options;
    const refuse = (reason: Reason) => {
      return new peers.tunnels.TunnelError(reason, `${reason}: ${address}`);
    };
    const isBusy = isStopping() || loopLagMs() > MAX_LOOP_LAG_MS;
    if (isBusy || this.carried >= MAX_CARRIED) throw refuse('busy');
    // No server that leaves or is evacuated gets requests this way.
    const id = directory.entryAt(address)?.id ?? '';
    if (!directory.entry(id)) throw refuse('unknown');
    if (paths().isCut(address) || paths().isCutOff) throw refuse('cut-off');
    const [host, port] = address.split(':');
    const target = {host, port: Number(port), allowHalfOpen: true};
    const socket = net.connect({...target, noDelay: true});
    // What this host can't reach either tells something only if it reaches others.
    const fail = () =>
      socket.destroy(refuse(paths().hasHeard ? 'unreachable' : 'cut-off'));
    const timer = decisions.reads.setReadTimeout(fail, CONNECT_TIMEOUT_MS);
    socket.once('connect', timer.clear);
    socket.once('close', timer.clear);
    return {connection: socket, onBuffered: this.carry(from, socket)};
  }

  private isAvoided(host: string): boolean {
    return this.nowMs < (this.avoidedUntilMs.get(host) ?? -Infinity);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private avoid(host: string, reason: Reason): void {
    this.avoidedUntilMs.set(host, this.nowMs + AVOIDED_MS[reason]);
  }

  /** Counts a tunnel through a host, and remembers why it failed. */
  private follow(host: string, tunnel: peers.tunnels.Tunnel): void {
    const startMs = this.nowMs;
    change(this.openBy, host, 1);
    tunnel.once('error', error => {
      const {reason} = error as peers.tunnels.TunnelError;
      if (tunnel.connecting && reason in AVOIDED_MS) this.avoid(host, reason);
    });
    tunnel.once('close', () => {
      change(this.openBy, host, -1);
      const isSlow = tunnel.connecting && this.nowMs - startMs >= SLOW_MS;
      if (!isSlow) return;
      this.avoid(host, 'failed');
      // The connection may hang; the next tunnel gets a new one.
      if (!this.openBy.has(host)) this.options.links.dropTunnels(host);
    });
  }

  /** Counts a tunnel of another host; returns what takes the bytes that it buffers. */
  private carry(from: string, socket: net.Socket): (bytes: number) => void {
    const holding = this.options.buffers.open();
    change(this.carriedFor, from, 1);
    holding.signal.addEventListener('abort', () => socket.destroy());
    socket.once('close', () => {
      holding.release();
      change(this.carriedFor, from, -1);
    });
    return bytes => holding.setPart('unsent', bytes);
  }
}

function change(counts: Map<string, number>, key: string, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}
