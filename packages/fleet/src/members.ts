import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import type * as platform from '@banyanhall/platform';

import * as leases from './leases.js';
import type * as routers from './router.js';
import type * as timelines from './timeline.js';

/** Interval of probe rounds; a probe without an ack at the next round counts as missed. */
const PROBE_INTERVAL_MS = 500;
const PROBES_PER_TICK = 2;
/** In larger fleets several hosts watch each host, so each of them sends fewer probes. */
const PROBES_PER_TICK_LARGE = 1;
/** The same while most probes go unanswered: the watchers of a lost host may all be beyond a partition. */
const PROBES_PER_TICK_UNANSWERED = 4;
/** The same while this host seems cut off, since nobody tells it which others are lost. */
const PROBES_PER_TICK_CUT_OFF = 16;
/** A host of a larger fleet that has heard from fewer others lately may be cut off. */
const MIN_HEARD_HOSTS = 3;
/** The least probability with which a host tries to rejoin a lost one in a tick. */
const MIN_REJOIN_PROBABILITY = 0.25;
/** The least time between two attempts of a host to rejoin the same lost one; a link is set up within it. */
const MIN_REJOIN_GAP_MS = 1000;
/** A host that misses a probe and sent no message for this long is reported to `onSilent`. */
const SILENT_MS = 1200;
const LEASE_TTL_MS = 60_000;
const RENEW_INTERVAL_MS = 20_000;
const SCAN_INTERVAL_MS = 30_000;
const SCAN_LIMIT = 1000;
/** After a restore of the store, hosts write their leases again at random within this time, as all learn of it at once. */
const REJOIN_SPREAD_MS = 2000;
/** Scans within this time of the last one are skipped, because each message from an unknown host triggers one. */
const MIN_SCAN_GAP_MS = 3000;
/** The key of a lease in the table is this prefix and the name of the host. */
const LEASE_PREFIX = 'host/';
/** With at most this many other hosts, a fleet is small: each host probes random others and sends news to all directly. */
const DIRECT_FANOUT = 8;
/** Interval of gossip rounds in larger fleets: news is batched and sent to some contacts, which pass on what is new to them. */
const GOSSIP_INTERVAL_MS = 150;
const GOSSIP_TARGETS = 4;
/** Rounds in which a host sends an item of news; 2 rounds reach all but about one in several hundred hosts. */
const GOSSIP_ROUNDS = 2;
/** The same for a host that is back from the dead: many of them come back at once, and one that is missed stays dead for seconds. */
const REVIVED_GOSSIP_ROUNDS = 5;
/** In larger fleets a host probes its successors on a hash ring, so that every host is watched, and some others. */
const RING_WATCHED = 2;
const OTHERS_WATCHED = 2;
/** How long a host remains a contact after its last message; the hosts that this one probes are always contacts. */
const CONTACT_TTL_MS = 3000;

type Member = decisions.membership.Member;

/** The sender's configuration number and its age, and whether it reaches backend servers only through others, as carried by probes and acks. */
export interface ConfigState {
  readonly configNumber: number;
  readonly configAgeMs: number;
  /** Undefined means false. */
  readonly isCutOff?: boolean;
}

/** Dependencies and callbacks of `Members`. */
export interface MembersOptions {
  readonly self: Member;
  readonly table: platform.table.Table;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly configState: () => ConfigState;
  readonly onConfigState: (from: string, state: ConfigState) => void;
  /** Called after each change of the membership. */
  readonly onChange: () => void;
  /** Called when the number of lost hosts changes, and with it `Members.part`. */
  readonly onPart?: () => void;
  /** Called when a host is declared dead. */
  readonly onDead: (host: string) => void;
  /** Called when a host serves that is new, was restarted or was dead. */
  readonly onJoin?: (host: string) => void;
  /** Called for each row that is no lease, at each scan. */
  readonly onBadLease?: (row: platform.table.Row) => void;
  /** Called when a host misses a probe and has sent no message for `SILENT_MS`. */
  readonly onSilent: (host: string) => void;
  /** Called when the lease has been written again that the store may have lost. */
  readonly onRewritten?: (key: string) => void;
  /** Calls back once the messages that have arrived are read; at once by default. */
  readonly afterReads?: (callback: () => void) => void;
}

/** A probe without an ack so far. */
interface PendingProbe {
  readonly host: string;
  readonly sentMs: number;
}

/** A membership report to send in the next gossip rounds. */
interface PendingNews {
  readonly member: Member;
  readonly roundsLeft: number;
  /** The hosts that have told this one the same; they are not told again. */
  readonly toldBy: Set<string>;
}

/** Tracks the members of the fleet. Hosts find each other by leases in the table; probes and gossip show which are alive. */
export class Members {
  private membership: decisions.membership.Membership;
  /** Probes in flight, by sequence number. */
  private readonly pendingProbes = new Map<number, PendingProbe>();
  /** Whether each of the latest probes was answered, the oldest first. */
  private readonly recentProbes: boolean[] = [];
  /** When the last message of each host arrived. */
  private readonly heardMs = new Map<string, number>();
  /** Those of `heardMs` since the last tick. */
  private readonly heardSinceTickMs = new Map<string, number>();
  /** When each host that sends messages although it is suspect or dead was last told its state. */
  private readonly lastDownNoticeMs = new Map<string, number>();
  private readonly timers: NodeJS.Timeout[] = [];
  /** News still to be gossiped, by the host it is about. */
  private readonly pendingNews = new Map<string, PendingNews>();
  /** The same array until membership changes, so that results derived from it can be cached. */
  private servingNow: readonly Member[];
  /** The hosts that may serve beyond a partition, until membership changes. */
  private lostNow: readonly Member[] = [];
  /** When this host last tried to rejoin each lost host. */
  private readonly rejoinedMs = new Map<string, number>();
  /** The hosts that this one watches, until membership changes. */
  private watchedNow: readonly string[] | undefined;
  /** True while this host of a larger fleet seems to be cut off from most others. */
  private isCutOff = false;
  private sequence = 0;
  private lastScanMs = -Infinity;
  /** True once this host has written its lease; until then every tick tries again. */
  private isLeaseWritten = false;
  /** True once it has read all leases as well; until then every tick scans again that is not too soon after the last scan. */
  private hasJoined = false;
  /** True while it does so, since a tick may come before the store has answered. */
  private isJoining = false;
  private rejoinTimer: NodeJS.Timeout | undefined;
  /** True from a restore of the store until the lease is written again. */
  private isLeaseForgotten = false;
  /** How often the store has come back from an older copy. */
  private restores = 0;

  constructor(private readonly options: MembersOptions) {
    this.membership = decisions.membership.Membership.of(options.self);
    this.servingNow = this.membership.serving;
  }

  /** The current membership. */
  get view(): decisions.membership.Membership {
    return this.membership;
  }

  /** The members that accept work. */
  get serving(): readonly Member[] {
    return this.servingNow;
  }

  /**
   * The part of the fleet's hosts that this one sees, from above 0 to 1. In a
   * partition the parts of all sides add up to 1 at most, so a limit of the
   * whole fleet holds if each side keeps to its part of it.
   */
  get part(): number {
    const visible = Math.max(1, this.servingNow.length);
    const all = visible + this.lostNow.length;
    if (!this.isCutOff) return visible / all;
    // Most of those that count as visible haven't been probed yet.
    return Math.max(1, visible * this.answeredFraction) / all;
  }

  /** Returns the member with a host name, if it is known. */
  get(host: string): Member | undefined {
    return this.membership.get(host);
  }

  /** True when at least half of the latest probes were answered, or none has finished. */
  get isMajorityReachable(): boolean {
    return this.answeredFraction >= 0.5;
  }

  private get answeredFraction(): number {
    const {length} = this.recentProbes;
    const answered = this.recentProbes.filter(Boolean).length;
    return length === 0 ? 1 : answered / length;
  }

  /**
   * Writes this host's lease and then reads all leases, so that of two hosts
   * that start at the same time at least one finds the other. Starts probing.
   */
  async start(): Promise<void> {
    // A tick tries again what failed.
    await this.join().catch(() => undefined);
    const {afterReads = (callback: () => void) => callback()} = this.options;
    this.timers.push(
      setInterval(() => afterReads(() => this.tick()), PROBE_INTERVAL_MS),
      setInterval(() => this.gossip(), GOSSIP_INTERVAL_MS),
      setInterval(() => void this.renew(), RENEW_INTERVAL_MS),
      setInterval(() => void this.scan(), SCAN_INTERVAL_MS),
    );
  }

  /** Announces that this host is leaving and deletes its lease. */
  async leave(): Promise<void> {
    this.applyUpdate(this.membership.leave());
    await this.deleteLease();
  }

  /** Writes the lease again, or deletes it again if this host is leaving, and reads all leases, since the store came back from an older copy. */
  onStoreRestored(): void {
    this.restores++;
    clearTimeout(this.rejoinTimer);
    const delayMs = this.options.random() * REJOIN_SPREAD_MS;
    this.rejoinTimer = setTimeout(() => void this.rejoin(), delayMs);
  }

  /** Stops probes, gossip and the renewal of the lease. */
  stop(): void {
    clearTimeout(this.rejoinTimer);
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Records that a host sent a message. Scans the leases for an unknown host; tells a suspect or dead one its state, so that it can refute it. */
  onMessageFrom(host: string): void {
    const {nowMs} = this;
    this.heardMs.set(host, nowMs);
    this.heardSinceTickMs.set(host, nowMs);
    const known = this.membership.get(host);
    if (!known) return void this.scan();
    const isDeclaredDown = known.state === 'dead' || known.state === 'suspect';
    const sinceMs = this.nowMs - (this.lastDownNoticeMs.get(host) ?? -Infinity);
    if (!isDeclaredDown || sinceMs < PROBE_INTERVAL_MS) return;
    this.lastDownNoticeMs.set(host, this.nowMs);
    this.sendNews(host, [known]);
  }

  /** Marks a host as suspect when its link breaks and probes it; a live host refutes the suspicion. */
  onLinkDown(host: string): void {
    const known = this.membership.get(host);
    if (!known || known.state === 'suspect' || known.state === 'dead') return;
    const report: Member = {...known, state: 'suspect'};
    this.applyUpdate(this.membership.merge(report, this.nowMs));
    this.probe(host);
  }

  /** Merges membership reports; replies to stale ones with the newer state. */
  onNews(from: string, reports: readonly peers.messages.Member[]): void {
    const replies: Member[] = [];
    const merged: Member[] = [];
    const before = this.membership;
    for (const report of reports) {
      const member = {
        ...report,
        state: report.state as decisions.membership.MemberState,
      };
      const update = this.membership.merge(member, this.nowMs);
      merged.push(...update.news);
      if (update.reply) replies.push(update.reply);
      this.membership = update.membership;
    }
    this.applyNews(before, merged);
    for (const {host, state, incarnation} of reports) {
      const pending = this.pendingNews.get(host);
      if (pending?.member.state !== state) continue;
      if (pending.member.incarnation === incarnation) pending.toldBy.add(from);
    }
    if (replies.length > 0) this.sendNews(from, replies);
  }

  /** Replies to a probe with an ack. */
  onProbe(from: string, probe: peers.messages.MessageBodies['probe']): void {
    this.options.onConfigState(from, probe);
    this.options.router.send(from, {
      kind: 'ack',
      body: {sequence: probe.sequence, ...this.state},
    });
  }

  /** Handles the ack of a probe. */
  onAck(from: string, ack: peers.messages.MessageBodies['ack']): void {
    if (this.pendingProbes.delete(ack.sequence)) this.recordProbe(true);
    this.options.onConfigState(from, ack);
  }

  /** Probes all hosts at once to learn their configuration numbers. */
  probeAll(): void {
    for (const member of this.membership.members.slice(1)) {
      this.probe(member.host);
    }
  }

  /** Probes a host that did not reply to a message, unless a probe of it is in flight. */
  probeUnresponsive(host: string): void {
    if (host === this.options.self.host || !this.membership.get(host)) return;
    const isProbed = [...this.pendingProbes.values()].some(
      p => p.host === host,
    );
    if (!isProbed) this.probe(host);
  }

  /** Returns the hosts to send news to: all in small fleets, a random sample of contacts in larger ones. */
  gossipTargets(except = ''): readonly string[] {
    const others = this.others.filter(host => host !== except);
    const {random} = this.options;
    if (others.length <= DIRECT_FANOUT) return others;
    const contacts = this.contacts().filter(host => host !== except);
    return decisions.random.sample(contacts, GOSSIP_TARGETS, random);
  }

  /** Sends news at once in small fleets; queues it for the next gossip round in larger ones. */
  private spread(
    news: readonly Member[],
    before: decisions.membership.Membership = this.membership,
  ): void {
    if (this.others.length <= DIRECT_FANOUT) {
      for (const host of this.gossipTargets()) this.sendNews(host, news);
      return;
    }
    for (const member of news) {
      const {host} = member;
      const isRevived =
        host === this.options.self.host || before.get(host)?.state === 'dead';
      const roundsLeft = isRevived ? REVIVED_GOSSIP_ROUNDS : GOSSIP_ROUNDS;
      const toldBy = new Set<string>();
      this.pendingNews.set(host, {member, roundsLeft, toldBy});
    }
  }

  /** Runs a gossip round of a larger fleet. */
  private gossip(): void {
    if (this.pendingNews.size === 0) return;
    const pending = [...this.pendingNews.values()];
    for (const host of this.gossipTargets()) {
      const news = pending.filter(({toldBy}) => !toldBy.has(host));
      if (news.length === 0) continue;
      this.sendNews(
        host,
        news.map(({member}) => member),
      );
    }
    for (const [host, item] of this.pendingNews) {
      const roundsLeft = item.roundsLeft - 1;
      if (roundsLeft <= 0) this.pendingNews.delete(host);
      else this.pendingNews.set(host, {...item, roundsLeft});
    }
  }

  private get others(): readonly string[] {
    return this.membership.members.slice(1).map(member => member.host);
  }

  /** Returns the watched hosts and recent senders. Gossip goes only to these, so that no link is opened for it alone. */
  private contacts(): readonly string[] {
    const sinceMs = this.nowMs - CONTACT_TTL_MS;
    const watched = this.watched();
    const heard = this.others.filter(
      host => (this.heardMs.get(host) ?? -Infinity) >= sinceMs,
    );
    return [...new Set([...watched, ...heard])];
  }

  /** Returns the hosts to probe in this tick. */
  private hostsToProbe(): readonly string[] {
    const {others} = this;
    const {random} = this.options;
    const {sample} = decisions.random;
    if (others.length <= DIRECT_FANOUT) {
      return sample(others, PROBES_PER_TICK, random);
    }
    if (this.isCutOff) return sample(others, PROBES_PER_TICK_CUT_OFF, random);
    return this.isMajorityReachable
      ? sample(this.watched(), PROBES_PER_TICK_LARGE, random)
      : sample(others, PROBES_PER_TICK_UNANSWERED, random);
  }

  /** True in a larger fleet when few probes are answered and hardly any host is heard; one that is only behind hears many. */
  private seemsCutOff(): boolean {
    if (this.others.length <= DIRECT_FANOUT) return false;
    if (this.isMajorityReachable) return false;
    const sinceMs = this.nowMs - CONTACT_TTL_MS;
    const heard = [...this.heardMs.values()].filter(ms => ms >= sinceMs);
    return heard.length < MIN_HEARD_HOSTS;
  }

  /** Returns the hosts to probe; in larger fleets a small set that changes only with the members. */
  private watched(): readonly string[] {
    this.watchedNow ??= this.chooseWatched();
    return this.watchedNow;
  }

  private chooseWatched(): readonly string[] {
    const {others} = this;
    if (others.length <= DIRECT_FANOUT) return others;
    const {host: own} = this.options.self;
    const ring = [...others, own]
      .map(host => ({host, at: decisions.rendezvous.hash32(host)}))
      .sort((a, b) => a.at - b.at)
      .map(({host}) => host);
    const start = ring.indexOf(own);
    const next = Array.from(
      {length: RING_WATCHED},
      (_, i) => ring[(start + 1 + i) % ring.length],
    );
    const ranked = decisions.rendezvous.rankNodes(`watched by ${own}`, others);
    return [...new Set([...next, ...ranked.slice(0, OTHERS_WATCHED)])];
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private sendNews(host: string, news: readonly Member[]): void {
    const members = news.map(member => ({...member, cores: member.cores ?? 0}));
    this.options.router.send(host, {
      kind: 'news',
      body: {members, crashes: [], cleared: [], statements: []},
    });
  }

  private tick(): void {
    const {nowMs} = this;
    this.membership = this.membership.recordReplies(this.heardSinceTickMs);
    this.heardSinceTickMs.clear();
    for (const [sequence, {host, sentMs}] of this.pendingProbes) {
      // The factor allows for a tick that fires early.
      if (nowMs - sentMs < PROBE_INTERVAL_MS * 0.9) continue;
      const isSilent = nowMs - (this.heardMs.get(host) ?? sentMs) >= SILENT_MS;
      this.applyUpdate(this.membership.recordMissedProbe(host, nowMs));
      if (isSilent) this.options.onSilent(host);
      this.pendingProbes.delete(sequence);
      this.recordProbe(false);
    }
    this.applyUpdate(this.membership.expire(nowMs));
    if (!this.hasJoined) void this.join();
    this.rejoinLost();
    this.isCutOff = this.seemsCutOff();
    for (const host of this.hostsToProbe()) this.probe(host);
  }

  /**
   * Tells a lost host its state and that of this one, which each side of a
   * healed partition then refutes. A host tries at most one in a tick, and a
   * few lost ones at a low rate, as the others try them too.
   */
  private rejoinLost(): void {
    const lost = this.lostNow.filter(({state}) => state === 'dead');
    if (lost.length === 0) return;
    const {nowMs} = this;
    const {random} = this.options;
    const probability = lost.length / this.membership.members.length;
    if (random() >= Math.max(MIN_REJOIN_PROBABILITY, probability)) return;
    const [target] = decisions.random.sample(lost, 1, random);
    const {host} = target;
    const triedMs = this.rejoinedMs.get(host) ?? -Infinity;
    if (nowMs - triedMs < MIN_REJOIN_GAP_MS) return;
    this.rejoinedMs.set(host, nowMs);
    // A link that was opened during the partition may wait long for its next try.
    if ((this.heardMs.get(host) ?? -Infinity) < triedMs) {
      this.options.onSilent(host);
    }
    this.sendNews(host, [target, this.membership.self]);
  }

  private get state(): Required<ConfigState> {
    return {isCutOff: false, ...this.options.configState()};
  }

  private probe(host: string): void {
    this.sequence++;
    this.pendingProbes.set(this.sequence, {host, sentMs: this.nowMs});
    this.options.router.send(host, {
      kind: 'probe',
      body: {sequence: this.sequence, ...this.state},
    });
  }

  private recordProbe(isAnswered: boolean): void {
    this.recentProbes.push(isAnswered);
    if (this.recentProbes.length > DIRECT_FANOUT) this.recentProbes.shift();
  }

  private applyUpdate(update: decisions.membership.MembershipUpdate): void {
    const before = this.membership;
    this.membership = update.membership;
    this.applyNews(before, update.news);
  }

  /** Tells others and the parts of this host what has changed since `before`; once for several changes, since each part goes through all members. */
  private applyNews(
    before: decisions.membership.Membership,
    news: readonly Member[],
  ): void {
    if (news.length === 0) return;
    this.servingNow = this.membership.serving;
    this.watchedNow = undefined;
    this.updateLost();
    const joined: string[] = [];
    for (const member of news) {
      const {host, state, incarnation} = member;
      this.options.timeline.record('member', '', {host, state, incarnation});
      const known = before.get(host);
      const wasDead = known?.state === 'dead';
      if (state === 'dead' && !wasDead) this.options.onDead(host);
      const isNew = wasDead || known?.incarnation !== incarnation;
      if (state === 'serving' && isNew) joined.push(host);
    }
    this.spread(news, before);
    this.options.onChange();
    for (const host of joined) this.options.onJoin?.(host);
  }

  private updateLost(): void {
    const {lost} = this.membership;
    if (lost.length === 0) this.rejoinedMs.clear();
    const isChanged = lost.length !== this.lostNow.length;
    this.lostNow = lost;
    if (!isChanged) return;
    const visible = this.servingNow.length;
    const fields = {visible, lost: lost.length};
    this.options.timeline.record('partition', '', fields);
    this.options.onPart?.();
  }

  private async join(): Promise<void> {
    if (this.isJoining) return;
    this.isJoining = true;
    try {
      if (!this.isLeaseWritten) await this.renew();
      const hasScanned = this.isLeaseWritten && (await this.scan());
      this.hasJoined = hasScanned && this.isLeaseWritten;
    } finally {
      // The next tick tries again.
      this.isJoining = false;
    }
    if (this.hasJoined) this.spread([this.membership.self]);
  }

  private async rejoin(): Promise<void> {
    if (this.membership.self.state === 'leaving') {
      return void (await this.deleteLease());
    }
    this.isLeaseForgotten = true;
    this.isLeaseWritten = false;
    this.hasJoined = false;
    this.lastScanMs = -Infinity;
    await this.join();
  }

  private deleteLease(): Promise<platform.table.CommitResult> {
    return this.options.table.commit({
      conditions: [],
      writes: [{key: LEASE_PREFIX + this.options.self.host}],
    });
  }

  private async renew(): Promise<void> {
    const {self} = this.membership;
    if (self.state === 'leaving') return;
    const {restores} = this;
    const expiresAtMs = this.options.clock.nowMs() + LEASE_TTL_MS;
    const value: leases.Lease = {member: self, expiresAtMs};
    const result = await this.options.table
      .commit({
        conditions: [],
        writes: [{key: LEASE_PREFIX + self.host, value}],
      })
      .catch(() => undefined);
    // A write that a restore overtook may be lost.
    if (result?.kind !== 'committed' || restores !== this.restores) return;
    this.isLeaseWritten = true;
    if (!this.isLeaseForgotten) return;
    this.isLeaseForgotten = false;
    this.options.onRewritten?.(LEASE_PREFIX + self.host);
  }

  /** When the newest lease of another host was written, by that host's clock. */
  private newestWriteMs(found: readonly leases.Lease[]): number {
    const {host: own} = this.options.self;
    const others = found.filter(({member}) => member.host !== own);
    const newestMs = Math.max(...others.map(lease => lease.expiresAtMs));
    return newestMs - LEASE_TTL_MS;
  }

  /** True if a message of the host came lately, whatever its lease says. */
  private isHeard(host: string): boolean {
    const heardMs = this.heardMs.get(host) ?? -Infinity;
    return this.nowMs - heardMs < CONTACT_TTL_MS;
  }

  /**
   * Reads the leases. The clock of this host may be far ahead after a boot, so
   * that leases of living hosts seem to have lapsed: a host that joins takes all
   * that had not when the newest one was written, and any host that it hears.
   */
  private async scan(): Promise<boolean> {
    if (this.nowMs - this.lastScanMs < MIN_SCAN_GAP_MS) return false;
    this.lastScanMs = this.nowMs;
    const rows = await this.options.table
      .scan(LEASE_PREFIX, '', SCAN_LIMIT)
      .catch(() => undefined);
    if (!rows) return false;
    const found = rows.flatMap(row => {
      const lease = leases.decode(row.value);
      if (!lease) this.options.onBadLease?.(row);
      return lease ? [lease] : [];
    });
    const nowMs = this.options.clock.nowMs();
    const joinableMs = this.hasJoined
      ? nowMs
      : Math.min(nowMs, this.newestWriteMs(found));
    const before = this.membership;
    const news: Member[] = [];
    const leased = new Set<string>();
    for (const {member, expiresAtMs} of found) {
      const {host} = member;
      const hasLapsed = expiresAtMs < nowMs;
      if (!hasLapsed) leased.add(host);
      const isHeard = this.isHeard(host);
      if (expiresAtMs < joinableMs && !isHeard) continue;
      if (this.membership.get(host)?.state === 'dead') continue;
      const update = this.membership.merge(member, this.nowMs);
      this.membership =
        hasLapsed && !isHeard && update.news.length > 0
          ? update.membership.recordLapsedLease(host)
          : update.membership;
      news.push(...update.news);
    }
    this.membership = this.membership.recordLeases(leased);
    this.applyNews(before, news);
    this.updateLost();
    return true;
  }
}
