/** What a host says of itself, or others of it. */
export interface Member {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  /** Where callers connect. */
  readonly callerUrl: string;
  /** Where other hosts connect, as `ip:port`. */
  readonly peerAddress: string;
  /** Grows with every start of the host and every time it refutes a false report. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** The processor time that it may use, in cores; 0 or missing when it is not known. */
  readonly cores?: number;
}

/** `serving` takes new work; `leaving` finishes what it has; `dead` is gone. */
export type MemberState = 'serving' | 'leaving' | 'suspect' | 'dead';

/** How long a host may stay unheard before others suspect it, in milliseconds. */
export const SUSPECT_AFTER_MS = 1500;

/** How long a suspect may stay silent before it counts as dead, in milliseconds. */
export const DEAD_AFTER_MS = 1500;

/** How long a dead host is remembered, so that old news does not bring it back, in milliseconds. */
export const FORGET_AFTER_MS = 600_000;

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  serving: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

interface Seen {
  readonly member: Member;
  /** When the host was last heard, or when its present state began. */
  readonly sinceMs: number;
}

/** A membership after an event, with the news that it makes worth telling. */
export interface MembershipUpdate {
  readonly membership: Membership;
  readonly news: readonly Member[];
  /** What whoever sent an old report ought to be told. */
  readonly reply?: Member;
}

/** True when `fresh` says more than `known`: a later incarnation, or the same one further on. */
export function supersedes(fresh: Member, known: Member): boolean {
  if (fresh.incarnation !== known.incarnation) {
    return fresh.incarnation > known.incarnation;
  }
  return STATE_RANK[fresh.state] > STATE_RANK[known.state];
}

/**
 * The hosts of the fleet as one of them sees it. Invariants: the own entry
 * is never suspect or dead; reports are merged so that the same set of
 * reports gives the same view in whatever order they come.
 */
export class Membership {
  private constructor(
    readonly self: Member,
    private readonly seen: ReadonlyMap<string, Seen>,
  ) {}

  /** A view that knows only its own host. */
  static of(self: Member): Membership {
    return new Membership(self, new Map());
  }

  /** All hosts that are not dead, the own one first. */
  get members(): readonly Member[] {
    return [this.self, ...this.others.filter(m => m.state !== 'dead')];
  }

  /** Other hosts, the dead ones included. */
  get others(): readonly Member[] {
    return [...this.seen.values()].map(s => s.member);
  }

  /** Hosts that do work for others: all but the suspect, dead and leaving ones. */
  get serving(): readonly Member[] {
    return this.members.filter(m => m.state === 'serving');
  }

  /** The member of that name, if it is known. */
  get(host: string): Member | undefined {
    return host === this.self.host ? this.self : this.seen.get(host)?.member;
  }

  /** Takes in a report about a host; a false one about the own host is refuted. */
  merge(report: Member, nowMs: number): MembershipUpdate {
    if (report.host === this.self.host) return this.refute(report);
    const known = this.seen.get(report.host);
    if (known && !supersedes(report, known.member)) {
      return this.answered(known.member, report);
    }
    if (!known && report.state === 'dead') return this.unchanged();
    return this.noted(report, nowMs);
  }

  /** Notes that a host answered; a suspect that answers has to refute the report itself. */
  recordReply(host: string, nowMs: number): Membership {
    const known = this.seen.get(host);
    if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
      return this;
    }
    const seen = new Map(this.seen).set(host, {...known, sinceMs: nowMs});
    return new Membership(this.self, seen);
  }

  /** Notes that a host did not answer a probe. */
  recordMissedProbe(host: string, nowMs: number): MembershipUpdate {
    const known = this.seen.get(host);
    if (!known || STATE_RANK[known.member.state] >= STATE_RANK.suspect) {
      return this.unchanged();
    }
    if (nowMs - known.sinceMs < SUSPECT_AFTER_MS) return this.unchanged();
    return this.noted({...known.member, state: 'suspect'}, nowMs);
  }

  /** Turns overdue suspects into dead hosts and forgets those long dead. */
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

  private answered(known: Member, report: Member): MembershipUpdate {
    if (!supersedes(known, report)) return this.unchanged();
    return {membership: this, news: [], reply: known};
  }

  private noted(member: Member, nowMs: number): MembershipUpdate {
    const seen = new Map(this.seen).set(member.host, {member, sinceMs: nowMs});
    return {membership: new Membership(this.self, seen), news: [member]};
  }

  private refute(report: Member): MembershipUpdate {
    if (!supersedes(report, this.self)) {
      return this.answered(this.self, report);
    }
    const self = {...this.self, incarnation: report.incarnation + 1};
    return {membership: new Membership(self, this.seen), news: [self]};
  }
}
