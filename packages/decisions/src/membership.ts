// The state of the gossip protocol (SWIM with suspicion and incarnations).

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

/** The silence after which a host is suspected, in milliseconds. */
export const SUSPECT_AFTER_MS = 1500;

/** The time after which a suspect host that did not refute is dead, in milliseconds. */
export const DEAD_AFTER_MS = 1500;

/** How long a dead host is remembered, so that stale reports don't revive it, in milliseconds. */
export const FORGET_AFTER_MS = 600_000;

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  serving: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

interface MemberRecord {
  readonly member: Member;
  /** When the host last replied, or when its current state began. */
  readonly sinceMs: number;
}

/** A membership after an event; `news` holds the reports to gossip. */
export interface MembershipUpdate {
  readonly membership: Membership;
  readonly news: readonly Member[];
  /** The newer report to return to the sender of a stale one. */
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
 * never suspect or dead; merging is independent of the order of reports, so
 * that the same set of reports gives the same view on every host.
 */
export class Membership {
  private constructor(
    readonly self: Member,
    private readonly seen: ReadonlyMap<string, MemberRecord>,
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
    return [...this.seen.values()].map(s => s.member);
  }

  /** The members that accept work: all but suspect, dead and leaving ones. */
  get serving(): readonly Member[] {
    return this.members.filter(m => m.state === 'serving');
  }

  /** Returns the member of that host, if it is known. */
  get(host: string): Member | undefined {
    return host === this.self.host ? this.self : this.seen.get(host)?.member;
  }

  /** Merges a report about a host; a false report about the own host is refuted. */
  merge(report: Member, nowMs: number): MembershipUpdate {
    if (report.host === this.self.host) return this.refute(report);
    const known = this.seen.get(report.host);
    if (known && !supersedes(report, known.member)) {
      return this.replyIfStale(known.member, report);
    }
    if (!known && report.state === 'dead') return this.unchanged();
    return this.recorded(report, nowMs);
  }

  /** Records a reply from a host; a suspect host stays suspect until it refutes the report itself. */
  recordReply(host: string, nowMs: number): Membership {
    const known = this.seen.get(host);
    if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
      return this;
    }
    const seen = new Map(this.seen).set(host, {...known, sinceMs: nowMs});
    return new Membership(this.self, seen);
  }

  /** Records that a host did not answer a probe. */
  recordMissedProbe(host: string, nowMs: number): MembershipUpdate {
    const known = this.seen.get(host);
    if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
      return this.unchanged();
    }
    if (nowMs - known.sinceMs < SUSPECT_AFTER_MS) return this.unchanged();
    return this.recorded({...known.member, state: 'suspect'}, nowMs);
  }

  /** Declares overdue suspects dead and forgets hosts that died more than `FORGET_AFTER_MS` ago. */
  expire(nowMs: number): MembershipUpdate {
    const seen = new Map(this.seen);
    const news: Member[] = [];
    for (const [host, {member, sinceMs}] of this.seen) {
      const ageMs = nowMs - sinceMs;
      if (member.state === 'suspect' && ageMs >= DEAD_AFTER_MS) {
        const dead: Member = {...member, state: 'dead'};
        seen.set(host, {member: dead, sinceMs: nowMs});
        news.push(dead);
      }
      if (member.state === 'dead' && ageMs >= FORGET_AFTER_MS)
        seen.delete(host);
    }
    if (news.length === 0 && seen.size === this.seen.size) {
      return this.unchanged();
    }
    return {membership: new Membership(this.self, seen), news};
  }

  /** Announces that the own host is leaving. */
  leave(): MembershipUpdate {
    const self: Member = {...this.self, state: 'leaving'};
    return {membership: new Membership(self, this.seen), news: [self]};
  }

  private unchanged(): MembershipUpdate {
    return {membership: this, news: []};
  }

  private replyIfStale(known: Member, report: Member): MembershipUpdate {
    if (!supersedes(known, report)) return this.unchanged();
    return {membership: this, news: [], reply: known};
  }

  private recorded(member: Member, nowMs: number): MembershipUpdate {
    const seen = new Map(this.seen).set(member.host, {member, sinceMs: nowMs});
    return {membership: new Membership(this.self, seen), news: [member]};
  }

  private refute(report: Member): MembershipUpdate {
    if (!supersedes(report, this.self)) {
      return this.replyIfStale(this.self, report);
    }
    const self = {...this.self, incarnation: report.incarnation + 1};
    return {membership: new Membership(self, this.seen), news: [self]};
  }
}
