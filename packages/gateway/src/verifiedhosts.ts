/*
 * The hosts that lookup responses may name: those that are known to have run
 * since there was last reason to doubt it.
 */
import type * as decisions from '@banyanhall/decisions';

import type * as logs from './logs.js';

/**
 * How long before a doubt a message still counts. Hosts that were lost with
 * others ended at least 1.5 s before the first of them is suspected.
 */
const HEARD_BEFORE_MS = 1000;
/** The time in which losses count as one event; the next doubt begins after it. */
const LOSS_SPAN_MS = 5000;
/** The part of the fleet, and the number of hosts, that are lost at once if there is doubt about the others. */
const MASS_LOSS_SHARE = 0.1;
const MIN_MASS_LOSS = 2;
/** The most hosts that are probed for one lookup. */
const MAX_PROBES = 8;

type Member = decisions.membership.Member;

/** Dependencies of `VerifiedHosts`. */
export interface VerifiedHostsOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  /** Probes a host, unless a probe of it is in flight. */
  readonly probe: (host: string) => void;
  readonly log: logs.Log;
}

/** An incarnation of a host, and since when it is known here. */
interface KnownHost {
  readonly incarnation: number;
  readonly sinceMs: number;
}

/**
 * Tells which members have been heard from. A member is known from its lease
 * or from others before it is heard; a lease outlives its host by a minute, and
 * when many hosts are lost at once, those that watch the others are among them.
 */
export class VerifiedHosts {
  private readonly heardMs = new Map<string, number>();
  private readonly known = new Map<string, KnownHost>();
  /** When each host was lost, of those that are. */
  private readonly lostMs = new Map<string, number>();
  private doubtMs = -Infinity;

  constructor(private readonly options: VerifiedHostsOptions) {}

  /** Notes a message of a host. */
  onHeard(host: string): void {
    this.heardMs.set(host, this.nowMs);
  }

  /** Notes a change of the members. */
  onMembers({others}: Pick<decisions.membership.Membership, 'others'>): void {
    const {nowMs} = this;
    const names = new Set(others.map(({host}) => host));
    for (const records of [this.heardMs, this.known, this.lostMs]) {
      for (const host of records.keys()) {
        if (!names.has(host)) records.delete(host);
      }
    }
    for (const {host, incarnation, state} of others) {
      if (this.known.get(host)?.incarnation !== incarnation) {
        this.known.set(host, {incarnation, sinceMs: nowMs});
      }
      const isLost = state === 'suspect' || state === 'dead';
      if (!isLost) this.lostMs.delete(host);
      else if (!this.lostMs.has(host)) this.lostMs.set(host, nowMs);
    }
    this.noteMassLoss(others.length);
  }

  /** Chooses hosts with `choose` from those that are verified, this one included; probes those that it would choose from all. */
  select(
    usable: readonly Member[],
    choose: (members: readonly Member[]) => readonly Member[],
  ): readonly Member[] {
    const unverified = choose(usable).filter(each => !this.isVerified(each));
    for (const {host} of unverified.slice(0, MAX_PROBES)) {
      this.options.probe(host);
    }
    return choose(usable.filter(each => this.isVerified(each)));
  }

  /** The number of members that responses do not name yet. */
  unverified(members: readonly Member[]): number {
    return members.filter(each => !this.isVerified(each)).length;
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private isVerified({host}: Member): boolean {
    if (host === this.options.host) return true;
    const sinceMs = this.known.get(host)?.sinceMs ?? Infinity;
    const heardMs = this.heardMs.get(host) ?? -Infinity;
    return heardMs >= Math.max(sinceMs, this.doubtMs) - HEARD_BEFORE_MS;
  }

  private noteMassLoss(hosts: number): void {
    const {nowMs} = this;
    if (nowMs - this.doubtMs < LOSS_SPAN_MS) return;
    const lost = [...this.lostMs.values()].filter(
      ms => nowMs - ms < LOSS_SPAN_MS,
    ).length;
    if (lost < Math.max(MIN_MASS_LOSS, hosts * MASS_LOSS_SHARE)) return;
    this.doubtMs = nowMs;
    this.options.log.event('hosts-lost', '', {lost, hosts});
  }
}
