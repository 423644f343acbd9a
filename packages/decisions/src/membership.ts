// The state of the membership protocol: SWIM, that is, probes and gossip, with
// suspicion and incarnations. Probes and messages are sent elsewhere.

/** A host as the membership protocol sees it, as reported by itself or by others. */
export interface Member {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  /** The URL at which callers connect. */
  readonly callerUrl: string;
  /** The address at which other hosts connect, as `ip:port`. */
  readonly peerAddress: string;
  /** Increases when the host starts and when it refutes a false report. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** The processor time that the host may use, in cores; 0 or missing if unknown. */
  readonly cores?: number;
}

/**
 * The state of a member: `serving` accepts new work, `leaving` finishes the
 * work it has, `suspect` did not answer probes, `dead` is considered gone.
 */
export type MemberState = 'serving' | 'leaving' | 'suspect' | 'dead';

/** The time without a reply after which a host that misses a probe is suspected, in milliseconds. */
export const SUSPECT_AFTER_MS = 1500;

/** The time after which a suspect host that has not refuted the suspicion is dead, in milliseconds. */
export const DEAD_AFTER_MS = 1500;

/** How long a dead host that is gone is remembered, so that stale reports don't revive it, in milliseconds. */
export const FORGET_DEAD_AFTER_MS = 600_000;

/** The order of states within an incarnation; a report with a later state supersedes one with an earlier state. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  serving: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** What a host keeps about another one. */
interface MemberRecord {
  readonly member: Member;
  /** When the host last replied, or when its current state was recorded. */
  readonly sinceMs: number;
  /** True if the host said that it leaves, or if its lease has lapsed since it died or before it was known. */
  readonly isGone: boolean;
}

/** A membership after an event; `news` holds the reports that other hosts must get. */
export interface MembershipUpdate {
  readonly membership: Membership;
  readonly news: readonly Member[];
  /** The newer report to return to the sender of a stale or false one. */
  readonly reply?: Member;
}

/** Returns true if `fresh` has a later incarnation than `known`, or the same one and a later state. */
export function supersedes(fresh: Member, known: Member): boolean {
  if (fresh.incarnation !== known.incarnation) {
    return fresh.incarnation > known.incarnation;
  }
  return STATE_RANK[fresh.state] > STATE_RANK[known.state];
}

/**
 * The members of the fleet as one host sees them. Invariants: the own entry is
 * never suspect or dead; the same set of reports gives the same view on every
 * host, in whatever order they are merged. This does not hold for reports that
 * an unknown host is dead, which are ignored.
 */
export class Membership {
  private constructor(
    readonly self: Member,
    private readonly recordByHost: ReadonlyMap<string, MemberRecord>,
  ) {}

  /** Creates a membership that contains only the own host. */
  static of(self: Member): Membership {
    return new Membership(self, new Map());
  }

  /** All members that are not dead, the own one first. */
  get members(): readonly Member[] {
    return [this.self, ...this.others.filter(m => m.state !== 'dead')];
  }

  /** All other members, including dead ones. */
  get others(): readonly Member[] {
    return [...this.recordByHost.values()].map(r => r.member);
  }

  /** The members that accept work: all but suspect, dead and leaving ones. */
  get serving(): readonly Member[] {
    return this.members.filter(m => m.state === 'serving');
  }

  /**
   * The hosts that don't reply and may go on serving beyond a partition: those
   * that neither said that they leave nor let their lease lapse.
   */
  get lost(): readonly Member[] {
    return [...this.recordByHost.values()]
      .filter(({member, isGone}) => isDown(member) && !isGone)
      .map(({member}) => member);
  }

  /** Returns the member of that host, if it is known. */
  get(host: string): Member | undefined {
    return host === this.self.host
      ? this.self
      : this.recordByHost.get(host)?.member;
  }

  /** Merges a report about a host; a false report about the own host is refuted. */
  merge(report: Member, nowMs: number): MembershipUpdate {
    if (report.host === this.self.host) return this.refute(report);
    const known = this.recordByHost.get(report.host);
    if (known && !supersedes(report, known.member)) {
      return this.replyIfStale(known.member, report);
    }
    if (!known && report.state === 'dead') return this.noUpdate();
    return this.record(report, nowMs);
  }

  /** Records when hosts last replied; a suspect host stays suspect until it refutes the report itself. */
  recordReplies(repliedMs: ReadonlyMap<string, number>): Membership {
    const recordByHost = new Map(this.recordByHost);
    for (const [host, sinceMs] of repliedMs) {
      const known = this.recordByHost.get(host);
      if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
        continue;
      }
      recordByHost.set(host, {...known, sinceMs});
    }
    return new Membership(this.self, recordByHost);
  }

  /** Records that a host did not answer a probe, and suspects it if it has not replied for `SUSPECT_AFTER_MS`. */
  recordMissedProbe(host: string, nowMs: number): MembershipUpdate {
    const known = this.recordByHost.get(host);
    if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
      return this.noUpdate();
    }
    if (nowMs - known.sinceMs < SUSPECT_AFTER_MS) return this.noUpdate();
    return this.record({...known.member, state: 'suspect'}, nowMs);
  }

  /** Records for each dead host whether its lease is valid; `leased` are the hosts with a valid one. */
  recordLeases(leased: ReadonlySet<string>): Membership {
    const recordByHost = new Map(this.recordByHost);
    for (const [host, record] of this.recordByHost) {
      if (record.member.state !== 'dead') continue;
      recordByHost.set(host, {...record, isGone: !leased.has(host)});
    }
    return new Membership(this.self, recordByHost);
  }

  /** Records that the lease of a host had lapsed when it was read, so that the host is gone should it not reply. */
  recordLapsedLease(host: string): Membership {
    const record = this.recordByHost.get(host);
    if (!record) return this;
    const recordByHost = new Map(this.recordByHost);
    recordByHost.set(host, {...record, isGone: true});
    return new Membership(this.self, recordByHost);
  }

  /** Declares overdue suspects dead and forgets hosts that are gone and died more than `FORGET_DEAD_AFTER_MS` ago. */
  expire(nowMs: number): MembershipUpdate {
    const changes = [...this.recordByHost].filter(([, record]) =>
      isOverdue(record, nowMs),
    );
    if (changes.length === 0) return this.noUpdate();
    const recordByHost = new Map(this.recordByHost);
    const news: Member[] = [];
    for (const [host, {member, isGone}] of changes) {
      if (member.state === 'dead') {
        recordByHost.delete(host);
        continue;
      }
      const dead: Member = {...member, state: 'dead'};
      recordByHost.set(host, {member: dead, sinceMs: nowMs, isGone});
      news.push(dead);
    }
    return {membership: new Membership(this.self, recordByHost), news};
  }

  /** Marks the own host as leaving. */
  leave(): MembershipUpdate {
    const self: Member = {...this.self, state: 'leaving'};
    return {membership: new Membership(self, this.recordByHost), news: [self]};
  }

  private noUpdate(): MembershipUpdate {
    return {membership: this, news: []};
  }

  /** Replies with the known report if the one received is older. */
  private replyIfStale(known: Member, report: Member): MembershipUpdate {
    if (!supersedes(known, report)) return this.noUpdate();
    return {membership: this, news: [], reply: known};
  }

  private record(member: Member, nowMs: number): MembershipUpdate {
    const wasGone = this.recordByHost.get(member.host)?.isGone ?? false;
    const recordByHost = new Map(this.recordByHost).set(member.host, {
      member,
      sinceMs: nowMs,
      isGone: isDown(member) ? wasGone : member.state === 'leaving',
    });
    return {
      membership: new Membership(this.self, recordByHost),
      news: [member],
    };
  }

  /** Refutes a report that supersedes the own entry: raises the own incarnation above it. */
  private refute(report: Member): MembershipUpdate {
    if (!supersedes(report, this.self)) {
      return this.replyIfStale(this.self, report);
    }
    const self = {...this.self, incarnation: report.incarnation + 1};
    const membership = new Membership(self, this.recordByHost);
    // The sender gets no news if it is dead to this host as well.
    return {membership, news: [self], reply: self};
  }
}

function isDown({state}: Member): boolean {
  return STATE_RANK[state] >= STATE_RANK.suspect;
}

/** Returns true if a suspect is to be declared dead, or a dead host to be forgotten. */
function isOverdue(
  {member, sinceMs, isGone}: MemberRecord,
  nowMs: number,
): boolean {
  const ageMs = nowMs - sinceMs;
  if (member.state === 'suspect') return ageMs >= DEAD_AFTER_MS;
  return member.state === 'dead' && isGone && ageMs >= FORGET_DEAD_AFTER_MS;
}
