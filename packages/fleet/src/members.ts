import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import type * as platform from '@banyanhall/platform';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const PROBE_MS = 500;
const PROBES_EACH = 2;
/** In a larger fleet a host has several watchers, so that fewer probes from each do. */
const PROBES_EACH_IN_LARGE = 1;
const SILENT_MS = 1200;
const LEASE_MS = 30_000;
const RENEW_MS = 10_000;
const SCAN_MS = 30_000;
const SCAN_LIMIT = 1000;
const MIN_SCAN_GAP_MS = 3000;
const LEASE_PREFIX = 'host/';
/** Fleets up to this size are told of news directly. */
const FANOUT = 8;
/** In larger fleets news is collected for this long, then goes to some contacts; they pass on what is new to them. */
const GOSSIP_MS = 150;
const GOSSIP_TARGETS = 4;
/** How often a host passes one piece of news on; twice reaches all but one host in some hundreds. */
const GOSSIP_ROUNDS = 2;
/** Whom a host of a larger fleet probes: those next to it by hash, so that each has watchers, and some others. */
const NEXT_WATCHED = 2;
const OTHERS_WATCHED = 2;
/** A host that was heard within this time is a contact. */
const CONTACT_MS = 3000;

type Member = decisions.membership.Member;

/** A host's row in the table. */
interface Lease {
  readonly member: Member;
  readonly expiresAtMs: number;
}

/** What a probe or its answer says of the sender's configuration. */
export interface ConfigState {
  readonly configNumber: number;
  readonly configAgeMs: number;
}

/** What members tell the rest of the host. */
export interface MembersOptions {
  readonly self: Member;
  readonly table: platform.table.Table;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly random: decisions.random.Random;
  readonly configState: () => ConfigState;
  readonly onConfigState: (from: string, news: ConfigState) => void;
  readonly onChange: () => void;
  readonly onDead: (host: string) => void;
  readonly onSilent: (host: string) => void;
}

interface Pending {
  readonly host: string;
  readonly sentMs: number;
}

interface Rumour {
  readonly member: Member;
  readonly roundsLeft: number;
}

/** Which hosts there are: a lease in the table for joining, probes and gossip between hosts for liveness. */
export class Members {
  private membership: decisions.membership.Membership;
  private readonly pending = new Map<number, Pending>();
  private readonly recentProbes: boolean[] = [];
  private readonly heardMs = new Map<string, number>();
  /** When hosts that are heard, but count as gone, were last told so. */
  private readonly doubtedMs = new Map<string, number>();
  private readonly timers: NodeJS.Timeout[] = [];
  /** News that is still to be passed on, by host. */
  private readonly rumours = new Map<string, Rumour>();
  /** Kept between changes, so that what is derived from the list can be kept with it. */
  private servingNow: readonly Member[];
  private sequence = 0;
  private lastScanMs = -Infinity;
  /** False until the table was read and written since the start; tried again with every tick. */
  private hasJoined = false;

  constructor(private readonly options: MembersOptions) {
    this.membership = decisions.membership.Membership.of(options.self);
    this.servingNow = this.membership.serving;
  }

  get view(): decisions.membership.Membership {
    return this.membership;
  }

  get serving(): readonly Member[] {
    return this.servingNow;
  }

  /** The member of that name, if it is known. */
  get(host: string): Member | undefined {
    return this.membership.get(host);
  }

  /** True when at least half of the latest probes were answered, or there is nobody to probe. */
  get isMajorityReachable(): boolean {
    const answered = this.recentProbes.filter(Boolean).length;
    return answered * 2 >= this.recentProbes.length;
  }

  /**
   * Writes the own lease, then reads who is there, so that of two hosts that
   * start at once one finds the other. Starts probing.
   */
  async start(): Promise<void> {
    await this.join();
    this.timers.push(
      setInterval(() => this.tick(), PROBE_MS),
      setInterval(() => this.gossip(), GOSSIP_MS),
      setInterval(() => void this.renew(), RENEW_MS),
      setInterval(() => void this.scan(), SCAN_MS),
    );
  }

  /** Tells everybody that this host is leaving and ends its lease. */
  async leave(): Promise<void> {
    this.merged(this.membership.leave());
    await this.options.table.commit({
      conditions: [],
      writes: [{key: LEASE_PREFIX + this.options.self.host}],
    });
  }

  /** Stops probing. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Notes that a message came from a host; one that is not known is looked up. */
  onMessageFrom(host: string): void {
    this.heardMs.set(host, this.options.clock.monotonicMs());
    const known = this.membership.get(host);
    if (!known) return void this.scan();
    const isDoubted = known.state === 'dead' || known.state === 'suspect';
    const sinceMs = this.nowMs - (this.doubtedMs.get(host) ?? -Infinity);
    if (!isDoubted || sinceMs < PROBE_MS) return;
    this.doubtedMs.set(host, this.nowMs);
    this.tell(host, [known]);
  }

  /** A link broke: strong evidence that the host is gone; it refutes that if it is not. */
  onLinkDown(host: string): void {
    const known = this.membership.get(host);
    if (!known || known.state === 'suspect' || known.state === 'dead') return;
    const report: Member = {...known, state: 'suspect'};
    this.merged(this.membership.merge(report, this.nowMs));
    this.probe(host);
  }

  /** Takes in reports of other hosts; an old one is answered with what is known since. */
  onNews(from: string, reports: readonly peers.messages.Member[]): void {
    const replies: Member[] = [];
    for (const report of reports) {
      const member = {
        ...report,
        state: report.state as decisions.membership.MemberState,
      };
      const merged = this.membership.merge(member, this.nowMs);
      this.merged(merged);
      if (merged.reply) replies.push(merged.reply);
    }
    if (replies.length > 0) this.tell(from, replies);
  }

  /** Answers a probe. */
  onProbe(from: string, probe: peers.messages.MessageBodies['probe']): void {
    this.options.onConfigState(from, probe);
    this.options.router.send(from, {
      kind: 'ack',
      body: {sequence: probe.sequence, ...this.options.configState()},
    });
  }

  /** Takes in the answer to a probe. */
  onAck(from: string, ack: peers.messages.MessageBodies['ack']): void {
    if (this.pending.delete(ack.sequence)) this.noteProbe(true);
    this.options.onConfigState(from, ack);
  }

  /** Probes every host now, to learn their configuration numbers. */
  probeAll(): void {
    for (const member of this.membership.members.slice(1)) {
      this.probe(member.host);
    }
  }

  /** Looks at a host that left a message unanswered, at most once for each round of probes. */
  probeUnresponsive(host: string): void {
    if (host === this.options.self.host || !this.membership.get(host)) return;
    const isProbed = [...this.pending.values()].some(p => p.host === host);
    if (!isProbed) this.probe(host);
  }

  /** The hosts that news goes to next. */
  gossipTargets(except = ''): readonly string[] {
    const others = this.others.filter(host => host !== except);
    const {random} = this.options;
    if (others.length <= FANOUT) return others;
    const contacts = this.contacts().filter(host => host !== except);
    return decisions.random.sample(contacts, GOSSIP_TARGETS, random);
  }

  /** Tells the hosts of a small fleet at once; in a larger one the news waits for the next round. */
  private spread(news: readonly Member[]): void {
    if (this.others.length <= FANOUT) {
      for (const host of this.gossipTargets()) this.tell(host, news);
      return;
    }
    for (const member of news) {
      const rumour = {member, roundsLeft: GOSSIP_ROUNDS};
      this.rumours.set(member.host, rumour);
    }
  }

  private gossip(): void {
    if (this.rumours.size === 0) return;
    const news = [...this.rumours.values()].map(({member}) => member);
    for (const host of this.gossipTargets()) this.tell(host, news);
    for (const [host, {member, roundsLeft}] of this.rumours) {
      if (roundsLeft <= 1) this.rumours.delete(host);
      else this.rumours.set(host, {member, roundsLeft: roundsLeft - 1});
    }
  }

  private get others(): readonly string[] {
    return this.membership.members.slice(1).map(member => member.host);
  }

  /** The hosts that this one has dealings with anyway, so that no link is opened for news alone. */
  private contacts(): readonly string[] {
    const sinceMs = this.nowMs - CONTACT_MS;
    const watched = this.watched();
    const heard = this.others.filter(
      host => (this.heardMs.get(host) ?? -Infinity) >= sinceMs,
    );
    return [...new Set([...watched, ...heard])];
  }

  /** The hosts to probe; in a larger fleet always the same few while the fleet is the same. */
  private watched(): readonly string[] {
    const {others} = this;
    if (others.length <= FANOUT) return others;
    const {host: own} = this.options.self;
    const ring = [...others, own]
      .map(host => ({host, at: decisions.rendezvous.hash32(host)}))
      .sort((a, b) => a.at - b.at)
      .map(({host}) => host);
    const start = ring.indexOf(own);
    const next = Array.from(
      {length: NEXT_WATCHED},
      (_, i) => ring[(start + 1 + i) % ring.length],
    );
    const ranked = decisions.rendezvous.rankNodes(`watched by ${own}`, others);
    return [...new Set([...next, ...ranked.slice(0, OTHERS_WATCHED)])];
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private tell(host: string, news: readonly Member[]): void {
    const members = news.map(member => ({...member, cores: member.cores ?? 0}));
    this.options.router.send(host, {
      kind: 'news',
      body: {members, crashes: [], cleared: []},
    });
  }

  private tick(): void {
    const {nowMs} = this;
    for (const [host, atMs] of this.heardMs) {
      this.membership = this.membership.recordReply(host, atMs);
    }
    for (const [sequence, {host, sentMs}] of this.pending) {
      if (nowMs - sentMs < PROBE_MS * 0.9) continue;
      const isSilent = nowMs - (this.heardMs.get(host) ?? sentMs) >= SILENT_MS;
      this.merged(this.membership.recordMissedProbe(host, nowMs));
      if (isSilent) this.options.onSilent(host);
      this.pending.delete(sequence);
      this.noteProbe(false);
    }
    this.merged(this.membership.expire(nowMs));
    if (!this.hasJoined) void this.join();
    const {random} = this.options;
    const watched = this.watched();
    const isLarge = this.others.length > FANOUT;
    const count = isLarge ? PROBES_EACH_IN_LARGE : PROBES_EACH;
    for (const host of decisions.random.sample(watched, count, random)) {
      this.probe(host);
    }
  }

  private probe(host: string): void {
    this.sequence++;
    this.pending.set(this.sequence, {host, sentMs: this.nowMs});
    this.options.router.send(host, {
      kind: 'probe',
      body: {sequence: this.sequence, ...this.options.configState()},
    });
  }

  private noteProbe(isAnswered: boolean): void {
    this.recentProbes.push(isAnswered);
    if (this.recentProbes.length > FANOUT) this.recentProbes.shift();
  }

  private merged(merged: decisions.membership.MembershipUpdate): void {
    const before = this.membership;
    this.membership = merged.membership;
    if (merged.news.length === 0) return;
    this.servingNow = this.membership.serving;
    for (const member of merged.news) {
      const {host, state, incarnation} = member;
      this.options.timeline.record('member', '', {host, state, incarnation});
      const wasDead = before.get(host)?.state === 'dead';
      if (state === 'dead' && !wasDead) this.options.onDead(host);
    }
    this.spread(merged.news);
    this.options.onChange();
  }

  private async join(): Promise<void> {
    this.hasJoined = (await this.renew()) && (await this.scan());
    if (this.hasJoined) this.spread([this.membership.self]);
  }

  private async renew(): Promise<boolean> {
    const {self} = this.membership;
    if (self.state === 'leaving') return false;
    const expiresAtMs = this.options.clock.nowMs() + LEASE_MS;
    const value: Lease = {member: self, expiresAtMs};
    const result = await this.options.table.commit({
      conditions: [],
      writes: [{key: LEASE_PREFIX + self.host, value}],
    });
    return result.kind === 'committed';
  }

  private async scan(): Promise<boolean> {
    if (this.nowMs - this.lastScanMs < MIN_SCAN_GAP_MS) return false;
    this.lastScanMs = this.nowMs;
    const rows = await this.options.table
      .scan(LEASE_PREFIX, '', SCAN_LIMIT)
      .catch(() => undefined);
    if (!rows) return false;
    for (const row of rows) {
      const lease = row.value as Lease;
      if (lease.expiresAtMs < this.options.clock.nowMs()) continue;
      if (this.membership.get(lease.member.host)?.state === 'dead') continue;
      this.merged(this.membership.merge(lease.member, this.nowMs));
    }
    return true;
  }
}
