// The scheduler of a cell, as a pure state machine: the keeper applies events
// and carries out the resulting effects.

import type * as events from './cellevents.js';
import type * as config from './config.js';
import * as paces from './pace.js';
import * as waitestimate from './waitestimate.js';
import * as placement from './placement.js';
import * as arrivalload from './arrivalload.js';
import * as priority from './priority.js';
import * as regions from './regions.js';
import * as rendezvous from './rendezvous.js';
import * as runners from './runner.js';
import * as tickets from './ticket.js';

/** The maximum number of waiting tickets in a cell. */
export const MAX_WAITING_TICKETS = 512;

/** The most tickets beyond these that are expected to start at once, while tickets wait that may use only other regions. */
const MAX_STARTING_TICKETS = 16;

/** The maximum time for which a new keeper collects the hosts' grants before it grants slots, in milliseconds. */
export const RECOVERY_MS = 400;

/** How long lower tiers are rejected after a higher tier was shed, in milliseconds. */
export const CUTOFF_MS = 1000;

/** How long the slots of a lost host stay occupied, in milliseconds. */
export const ORPHAN_HOLD_MS = 3000;

/** How long after a ticket's deadline its slot is released if the host has not done so, in milliseconds. */
export const RELEASE_GRACE_MS = 2000;

/** The retry delay sent to callers when no runner serves a ticket, in milliseconds. */
export const NO_RUNNER_RETRY_MS = 1000;

/**
 * A waiting ticket is shed only if this fraction of its expected wait is
 * already too long, because the estimate may be too high.
 */
const SHED_WAIT_FACTOR = 0.7;

/** How long before its last useful start a waiting ticket is shed, so that the refusal reaches the caller in time, in milliseconds. */
const SHED_LEAD_MS = 100;

/** The maximum retry delay as a fraction of the time until the deadline; callers do not retry after a longer delay. */
const MAX_RETRY_FRACTION = 0.33;

/** The largest jitter added to a retry delay, as a fraction of it. */
const RETRY_JITTER = 0.5;

/** The state of a cell after an event, and the actions for its keeper. */
export interface Transition {
  readonly cell: Cell;
  readonly effects: readonly events.CellEffect[];
}

/** A period in which tiers lower than `tier` are rejected in a region. */
interface TierCutoff {
  readonly tier: config.Tier;
  readonly untilMs: number;
}

interface CellFields {
  readonly runners: ReadonlyMap<string, runners.Runner>;
  /** The regions of the runners. */
  readonly regions: readonly string[];
  readonly waiting: readonly tickets.Ticket[];
  /** True from the arrival of a ticket that is restricted to regions until a tick finds none waiting. */
  readonly mayHaveRestricted: boolean;
  readonly running: ReadonlyMap<string, tickets.Grant>;
  /** The hosts that have not reported their grants; nothing is granted until all have, or until `recoverUntilMs`. */
  readonly unreportedHosts: ReadonlySet<string>;
  readonly recoverUntilMs: number;
  /** The times at which slots of lost hosts are released, by ticket id. */
  readonly orphanUntilMs: ReadonlyMap<string, number>;
  readonly cutoffs: ReadonlyMap<string, TierCutoff>;
  readonly recentUsage: priority.RecentUsage;
  readonly arrivalLoad: arrivalload.ArrivalLoad;
  /** Since when waiting tickets are held back by the limit of a runner, by ticket id. */
  readonly heldBackSinceMs: ReadonlyMap<string, number>;
}

type Handlers = {
  readonly [K in events.CellEvent['kind']]: (
    cell: Cell,
    event: Extract<events.CellEvent, {kind: K}>,
    nowMs: number,
  ) => Transition;
};

/**
 * A cell: the queue and the running requests of a service, or of its part in
 * one zone.
 *
 * Invariants:
 * - a ticket is either waiting or running, never both, and occupies one slot;
 * - no ticket is granted on a runner that is reserved for a ticket before it;
 * - at most one suspect request runs;
 * - a runner with a limit is granted no more often than its `StartRate` allows;
 * - a ticket is granted only on a runner in a region that it may use;
 * - when a ticket is shed, no ticket of a lower tier waits that may use only
 *   regions that the ticket may use too, and none is admitted until `CUTOFF_MS`
 *   have passed. One that may use others is not refused, as that frees nothing.
 */
export class Cell {
  private constructor(private readonly fields: CellFields) {}

  /** Creates an empty cell that grants only after `hosts` have reported, or after `RECOVERY_MS`. */
  static recovering(hosts: readonly string[], nowMs: number): Cell {
    return new Cell({
      runners: new Map(),
      regions: [],
      waiting: [],
      mayHaveRestricted: false,
      running: new Map(),
      unreportedHosts: new Set(hosts),
      recoverUntilMs: nowMs + RECOVERY_MS,
      orphanUntilMs: new Map(),
      cutoffs: new Map(),
      recentUsage: priority.RecentUsage.none,
      arrivalLoad: arrivalload.ArrivalLoad.none,
      heldBackSinceMs: new Map(),
    });
  }

  get waiting(): readonly tickets.Ticket[] {
    return this.fields.waiting;
  }

  get running(): readonly tickets.Grant[] {
    return [...this.fields.running.values()];
  }

  get runners(): readonly runners.Runner[] {
    return [...this.fields.runners.values()];
  }

  /** The estimated waiting times in the current state. */
  get estimate(): waitestimate.WaitEstimate {
    const {runners: all, waiting, running, arrivalLoad} = this.fields;
    return new waitestimate.WaitEstimate(
      ...([all, waiting, running, arrivalLoad] as const),
      this.fields.mayHaveRestricted,
    );
  }

  /** Returns true while the cell collects the reports of hosts and grants nothing. */
  isRecovering(nowMs: number): boolean {
    return (
      this.fields.unreportedHosts.size > 0 && nowMs < this.fields.recoverUntilMs
    );
  }

  /** Applies an event at `nowMs`, then grants slots to the waiting tickets that fit. */
  apply(event: events.CellEvent, nowMs: number): Transition {
    const handler = HANDLERS[event.kind] as (
      cell: Cell,
      event: events.CellEvent,
      nowMs: number,
    ) => Transition;
    const handled = handler(this, event, nowMs);
    const granted = handled.cell.grantWaiting(nowMs);
    return {
      cell: granted.cell,
      effects: [...handled.effects, ...granted.effects],
    };
  }

  /** Returns the cell with some fields replaced; for use in this module. */
  withFields(change: Partial<CellFields>): Cell {
    return new Cell({...this.fields, ...change});
  }

  /** Returns the cell without that waiting ticket. */
  withoutWaiting(ticketId: string): Cell {
    const {waiting} = this.fields;
    if (!waiting.some(t => t.id === ticketId)) return this;
    return this.withFields({waiting: waiting.filter(t => t.id !== ticketId)});
  }

  /** Enqueues a ticket, or refuses it if it can't be answered in time; repeats the grant of a ticket that runs. */
  admit(ticket: tickets.Ticket, nowMs: number): Transition {
    const grant = this.fields.running.get(ticket.id);
    if (grant) return this.repeatGrant(grant);
    if (this.waiting.some(t => t.id === ticket.id)) {
      return {cell: this, effects: []};
    }
    const {estimate} = this;
    if (estimate.usableRunners(ticket, nowMs).length === 0) {
      return this.refuse(ticket, 'no-runner', NO_RUNNER_RETRY_MS);
    }
    const cellMs = estimate.cellTimeMs(ticket, nowMs);
    const {arrivalLoad: before} = this.fields;
    const isEverywhere = regions.covers(
      ...([this.fields.regions, ticket.allowedRegions, undefined] as const),
    );
    const arrivalLoad = isEverywhere
      ? before.add(ticket, cellMs, nowMs)
      : before.addIn(this.regionsOf(ticket), ticket, cellMs, nowMs);
    const mayHaveRestricted =
      this.fields.mayHaveRestricted || ticket.allowedRegions !== undefined;
    return this.withFields({arrivalLoad, mayHaveRestricted}).decide(
      ...([ticket, estimate, nowMs] as const),
    );
  }

  /** Enqueues or refuses a new ticket that some runner serves; evicts another if the queue is full. */
  private decide(
    ticket: tickets.Ticket,
    estimate: waitestimate.WaitEstimate,
    nowMs: number,
  ): Transition {
    if (!estimate.canStart(ticket, 0, nowMs)) {
      // A pace that refuses all tickets would never be measured again.
      const cell = this.withoutOldPaces(nowMs);
      return cell === this
        ? this.refuse(ticket, 'deadline', 0)
        : cell.decide(ticket, cell.estimate, nowMs);
    }
    if (this.isCutOff(ticket, nowMs)) {
      return this.refuse(ticket, 'overloaded', CUTOFF_MS);
    }
    const waitMs = estimate.waitMs(ticket, nowMs);
    if (!estimate.canStart(ticket, waitMs, nowMs)) {
      return this.shed(ticket, waitMs, nowMs);
    }
    const enqueued = this.withFields({
      waiting: [...this.fields.waiting, ticket],
    });
    // Tickets that wait for other regions do not keep out one that starts at once.
    const extra = waitMs === 0 && this.hasRestricted ? MAX_STARTING_TICKETS : 0;
    if (enqueued.waiting.length <= MAX_WAITING_TICKETS + extra)
      return {cell: enqueued, effects: []};
    const evicted = priority.evictionCandidate(
      enqueued.waiting,
    ) as tickets.Ticket;
    return enqueued.withoutWaiting(evicted.id).shed(evicted, waitMs, nowMs);
  }

  private withoutOldPaces(nowMs: number): Cell {
    return this.runners.reduce<Cell>(
      (cell, {name}) =>
        cell.updateRunner(name, runner => runner.withoutOldPace(nowMs)),
      this,
    );
  }

  /** True if some waiting ticket is restricted to regions. */
  private get hasRestricted(): boolean {
    const {mayHaveRestricted, waiting} = this.fields;
    return (
      mayHaveRestricted && waiting.some(t => t.allowedRegions !== undefined)
    );
  }

  /** Returns the regions of the cell that a ticket may use. */
  private regionsOf({allowedRegions}: tickets.Ticket): readonly string[] {
    return regions.domain(this.fields.regions, allowedRegions);
  }

  /**
   * Refuses a ticket as overloaded, and before it all waiting tickets of lower
   * tiers that may only use regions that it may use too; `waitMs` is its expected wait. A suspect request waits for an idle
   * runner, so it is refused alone: that says nothing about the load. So is one
   * that may not use all runners, and one that goes on without a slot, as nothing is lost.
   */
  shed(ticket: tickets.Ticket, waitMs: number, nowMs: number): Transition {
    const isSpecial = ticket.isSuspect || tickets.hasExclusions(ticket);
    if (isSpecial || ticket.isOptional) {
      const retryAfterMs = retryDelayMs(ticket, waitMs, nowMs);
      return this.refuse(ticket, 'overloaded', retryAfterMs);
    }
    const isShedWith = (other: tickets.Ticket) =>
      other.tier > ticket.tier &&
      regions.covers(
        this.fields.regions,
        ticket.allowedRegions,
        other.allowedRegions,
      );
    const lower = this.fields.waiting.filter(isShedWith);
    const lowestFirst = [...lower].sort((a, b) => b.tier - a.tier);
    const cell = this.withFields({
      waiting: this.fields.waiting.filter(t => !isShedWith(t)),
      cutoffs: this.cutoffsAfter(ticket, nowMs),
    });
    const effects = [...lowestFirst, ticket].map((shed): events.CellEffect => ({
      kind: 'refuse',
      ticket: shed,
      reason: 'overloaded',
      retryAfterMs: retryDelayMs(shed, waitMs, nowMs),
    }));
    return {cell, effects};
  }

  /** Releases the slot of a ticket, if it has one, and applies the outcome to the runner. */
  release(ticketId: string, outcome: runners.Outcome, nowMs: number): Cell {
    const grant = this.fields.running.get(ticketId);
    if (!grant) return this;
    const running = new Map(this.fields.running);
    running.delete(ticketId);
    const orphanUntilMs = new Map(this.fields.orphanUntilMs);
    orphanUntilMs.delete(ticketId);
    const recentUsage = this.fields.recentUsage.add(grant.ticket, nowMs);
    const runner = this.fields.runners.get(grant.runner);
    if (!runner)
      return this.withFields({
        running,
        orphanUntilMs,
        recentUsage,
      });
    const wasAnswered = outcome.kind === 'completed';
    const released = runner
      .release(grant.ticket, wasAnswered, nowMs)
      .recordOutcome(outcome, nowMs, grant.grantedMs);
    const freed =
      outcome.kind === 'cancelled'
        ? released.linger(grant, outcome.mayRunOn ?? false, nowMs)
        : released;
    const next = new Map(this.fields.runners).set(freed.name, freed);
    return this.withFields({
      running,
      orphanUntilMs,
      recentUsage,
      runners: next,
    });
  }

  /** Adds the grants that a host reports and releases the host's other slots. Grants of another keeper show that more of them may be unknown. */
  reconcile(
    host: string,
    reported: readonly tickets.Grant[],
    nowMs: number,
  ): Cell {
    const ids = new Set(reported.map(grant => grant.ticket.id));
    const {running} = this.fields;
    const wasReplaced = reported.some(({ticket}) => !running.has(ticket.id));
    const lost = this.running.filter(
      grant => grant.ticket.host === host && !ids.has(grant.ticket.id),
    );
    const freed = lost.reduce<Cell>(
      (cell, grant) =>
        cell.release(grant.ticket.id, {kind: 'cancelled'}, nowMs),
      this,
    );
    const adopted = reported
      .reduce((cell, grant) => cell.addGrant(grant), freed)
      .markReported(host);
    return wasReplaced ? adopted.withUnknownUse() : adopted;
  }

  /** Treats the runners as those of a new keeper, which does not know what runs there. */
  withUnknownUse(): Cell {
    return this.withFields({
      runners: new Map(
        [...this.fields.runners].map(([name, runner]) => [
          ...([name, runner.withUnknownUse()] as const),
        ]),
      ),
    });
  }

  /** Adds a new grant, or one that a host reports; ignored if the ticket runs already or the runner is unknown. */
  addGrant(grant: tickets.Grant): Cell {
    const {running, runners: all, orphanUntilMs} = this.fields;
    if (running.has(grant.ticket.id)) return this;
    const runner = all.get(grant.runner);
    if (!runner) return this;
    const remaining = new Map(orphanUntilMs);
    remaining.delete(grant.ticket.id);
    return this.withoutWaiting(grant.ticket.id).withFields({
      running: new Map(running).set(grant.ticket.id, grant),
      runners: new Map(all).set(
        runner.name,
        runner.occupy(grant.ticket, grant.grantedMs),
      ),
      orphanUntilMs: remaining,
    });
  }

  /** Adds a grant that a host assigned without this keeper, which counts against the limit of its runner. */
  adopt(grant: tickets.Grant, nowMs: number): Cell {
    const cell = this.addGrant(grant);
    return cell === this
      ? this
      : cell.updateRunner(grant.runner, runner => runner.countStart(nowMs));
  }

  /** Releases a ticket that its host did not send to a runner. */
  withdraw(ticketId: string, nowMs: number): Cell {
    const grant = this.fields.running.get(ticketId);
    const cell = this.withoutWaiting(ticketId);
    if (!grant) return cell;
    return cell
      .release(ticketId, {kind: 'cancelled'}, nowMs)
      .updateRunner(grant.runner, runner => runner.withdrawStart());
  }

  /** Sets the limit that a runner states, or lifts it. */
  setLimit(name: string, limitPerS: number | undefined, nowMs: number): Cell {
    return this.updateRunner(name, r => r.withLimit(limitPerS, nowMs));
  }

  /** Records whether a runner states that it is brittle, and the part of its slots that this cell may use then. */
  setBrittle(name: string, part: number | undefined): Cell {
    return this.updateRunner(name, runner => runner.withBrittle(part));
  }

  /** Removes the waiting tickets of a lost host and releases its slots after `ORPHAN_HOLD_MS`. */
  removeHost(host: string, nowMs: number): Cell {
    const orphanUntilMs = new Map(this.fields.orphanUntilMs);
    for (const grant of this.running) {
      if (grant.ticket.host !== host) continue;
      orphanUntilMs.set(grant.ticket.id, nowMs + ORPHAN_HOLD_MS);
    }
    return this.markReported(host).withFields({
      orphanUntilMs,
      waiting: this.fields.waiting.filter(t => t.host !== host),
    });
  }

  /** Records that a host has reported its grants, or no longer has to. */
  markReported(host: string): Cell {
    if (!this.fields.unreportedHosts.has(host)) return this;
    const unreportedHosts = new Set(this.fields.unreportedHosts);
    unreportedHosts.delete(host);
    return this.withFields({unreportedHosts});
  }

  /** Replaces the set of runners; grants on removed runners are dropped. A new runner has its limit before it is granted anything. */
  configure(
    servers: readonly config.BackendServer[],
    versionsByServer: ReadonlyMap<string, readonly string[]>,
    limitPerSByServer: ReadonlyMap<string, number>,
    nowMs: number,
  ): Cell {
    const next = new Map<string, runners.Runner>();
    for (const server of servers) {
      const known = this.fields.runners.get(server.name);
      const versions = versionsByServer.get(server.name) ?? [];
      const runner = known
        ? known.withConfiguration(server, versions)
        : runners.Runner.of(server, versions);
      const limitPerS = limitPerSByServer.get(server.name) ?? runner.limitPerS;
      next.set(server.name, runner.withLimit(limitPerS, nowMs));
    }
    const running = [...this.fields.running].filter(([, r]) =>
      next.has(r.runner),
    );
    return this.withFields({
      runners: next,
      regions: [...new Set(servers.map(({region}) => region))],
      running: new Map(running),
    });
  }

  /** Applies a runner's load report, or the failure to get one. */
  setRunnerState(
    name: string,
    report: 'live' | 'leaving' | 'unreachable',
    nowMs: number,
  ): Cell {
    return this.updateRunner(name, runner =>
      report === 'unreachable'
        ? runner.recordOutcome({kind: 'unreachable'}, nowMs)
        : runner.withReportedState(report === 'leaving', nowMs),
    );
  }

  private updateRunner(
    name: string,
    update: (runner: runners.Runner) => runners.Runner,
  ): Cell {
    const runner = this.fields.runners.get(name);
    if (!runner) return this;
    const updated = update(runner);
    if (updated === runner) return this;
    return this.withFields({
      runners: new Map(this.fields.runners).set(name, updated),
    });
  }

  /** Releases overdue slots and refuses waiting tickets that can no longer be answered in time. */
  expireOverdue(nowMs: number): Transition {
    const overdue = this.running.filter(grant => {
      const orphanUntilMs =
        this.fields.orphanUntilMs.get(grant.ticket.id) ?? Infinity;
      const releaseByMs = grant.ticket.deadlineMs + RELEASE_GRACE_MS;
      return nowMs >= Math.min(orphanUntilMs, releaseByMs);
    });
    const lost = {kind: 'cancelled', mayRunOn: true} as const;
    let cell = overdue.reduce<Cell>(
      (c, grant) => c.release(grant.ticket.id, lost, nowMs),
      this,
    );
    const effects: events.CellEffect[] = [];
    let {estimate} = cell;
    let waiting = new Set(cell.waiting);
    const byTier = [...estimate.expectedWaits(nowMs)].sort(
      (a, b) => b.ticket.tier - a.ticket.tier,
    );
    for (const {ticket, waitMs} of byTier) {
      if (!waiting.has(ticket)) continue;
      const isServed = estimate.usableRunners(ticket, nowMs).length > 0;
      const leastWaitMs = waitMs * SHED_WAIT_FACTOR + SHED_LEAD_MS;
      if (isServed && estimate.canStart(ticket, leastWaitMs, nowMs)) continue;
      const without = cell.withoutWaiting(ticket.id);
      const applied = isServed
        ? without.shed(ticket, waitMs, nowMs)
        : without.refuse(ticket, 'no-runner', NO_RUNNER_RETRY_MS);
      cell = applied.cell;
      effects.push(...applied.effects);
      estimate = cell.estimate;
      waiting = new Set(cell.waiting);
    }
    if (cell.fields.mayHaveRestricted) {
      cell = cell.withFields({mayHaveRestricted: cell.hasRestricted});
    }
    return {cell, effects};
  }

  /** Repeats a grant when its slot request is repeated, since the first message may have been lost. */
  private repeatGrant(grant: tickets.Grant): Transition {
    const runner = this.fields.runners.get(grant.runner);
    if (!runner) return {cell: this, effects: []};
    const {ticket} = grant;
    return {
      cell: this,
      effects: [{kind: 'grant', ticket, server: runner.server, heldBackMs: 0}],
    };
  }

  private refuse(
    ticket: tickets.Ticket,
    reason: events.RefusalReason,
    retryAfterMs: number,
  ): Transition {
    return {
      cell: this,
      effects: [{kind: 'refuse', ticket, reason, retryAfterMs}],
    };
  }

  /** True if tickets of higher tiers were shed lately in all regions that the ticket may use. */
  private isCutOff(ticket: tickets.Ticket, nowMs: number): boolean {
    const {cutoffs} = this.fields;
    if (cutoffs.size === 0) return false;
    return this.regionsOf(ticket).every(region => {
      const cutoff = cutoffs.get(region);
      return !!cutoff && nowMs < cutoff.untilMs && ticket.tier > cutoff.tier;
    });
  }

  /** Returns the cutoffs by region after a ticket was shed; a current one for a higher tier stays. */
  private cutoffsAfter(
    ticket: tickets.Ticket,
    nowMs: number,
  ): ReadonlyMap<string, TierCutoff> {
    const {tier} = ticket;
    const cutoffs = new Map(this.fields.cutoffs);
    for (const region of this.regionsOf(ticket)) {
      const cutoff = cutoffs.get(region);
      const keepsCurrent =
        cutoff && nowMs < cutoff.untilMs && cutoff.tier < tier;
      if (keepsCurrent) continue;
      cutoffs.set(region, {tier, untilMs: nowMs + CUTOFF_MS});
    }
    return cutoffs;
  }

  /** Grants slots to waiting tickets in order of priority; one that does not fit reserves runners, which later tickets can't use. */
  private grantWaiting(nowMs: number): Transition {
    if (this.fields.waiting.length === 0 || this.isRecovering(nowMs)) {
      return {cell: this, effects: []};
    }
    const {running, waiting, recentUsage} = this.fields;
    const free = new Set(
      this.runners.filter(r => r.hasFreeSlot(nowMs)).map(r => r.name),
    );
    const shares = () =>
      priority.FairShares.of(running.values(), waiting, recentUsage, nowMs);
    const reserved = new Set<string>();
    const effects: events.CellEffect[] = [];
    // Earlier grants of this loop already occupy their runners in `cell`.
    let cell = this.withFields({});
    const ordered = priority.inPriorityOrder(
      waiting,
      shares,
      expectedTimesOn(this.runners),
      nowMs,
    );
    if (free.size === 0) return {cell: cell.withHeldBack(nowMs), effects};
    let hasSuspect = this.running.some(grant => grant.ticket.isSuspect);
    // The tickets that wait for a slot on a runner that is not slowed.
    let ahead = 0;
    for (const ticket of ordered) {
      if (free.size === 0) break;
      if (ticket.isSuspect && hasSuspect) continue;
      // One that waits for its regions does not hold up those that may use others.
      hasSuspect ||= ticket.isSuspect && ticket.allowedRegions === undefined;
      const runner = placement.findBestRunner(
        cell.runners,
        ticket,
        reserved,
        nowMs,
      );
      if (!runner) {
        const names = placement.runnersToReserve(cell.runners, ticket, nowMs);
        for (const name of names) {
          reserved.add(name);
          free.delete(name);
        }
        continue;
      }
      hasSuspect ||= ticket.isSuspect;
      const all = cell.runners;
      if (placement.shouldWaitForUsual(all, runner, ticket, ahead, nowMs)) {
        ahead++;
        continue;
      }
      const sinceMs = this.fields.heldBackSinceMs.get(ticket.id) ?? nowMs;
      cell = cell
        .addGrant({ticket, runner: runner.name, grantedMs: nowMs})
        .updateRunner(runner.name, granted => granted.countStart(nowMs));
      const occupied = cell.fields.runners.get(runner.name);
      if (!occupied?.hasFreeSlot(nowMs)) free.delete(runner.name);
      const {server} = runner;
      const heldBackMs = nowMs - sinceMs;
      effects.push({kind: 'grant', ticket, server, heldBackMs});
    }
    return {cell: cell.withHeldBack(nowMs), effects};
  }

  /** Records which waiting tickets a runner has room for but may not start. */
  private withHeldBack(nowMs: number): Cell {
    const {waiting, heldBackSinceMs: before} = this.fields;
    const limited = this.runners.filter(r => r.limitPerS !== undefined);
    if (limited.length === 0 && before.size === 0) return this;
    const heldBackSinceMs = new Map<string, number>();
    for (const ticket of waiting) {
      const sinceMs = before.get(ticket.id);
      const isHeldBack = () =>
        limited.some(
          runner => runner.serves(ticket) && runner.isHeldBack(ticket, nowMs),
        );
      if (sinceMs === undefined && !isHeldBack()) continue;
      heldBackSinceMs.set(ticket.id, sinceMs ?? nowMs);
    }
    return this.withFields({heldBackSinceMs});
  }
}

/** The prompt by which the fastest runner is found, in tokens. */
const TYPICAL_PROMPT_TOKENS = 1000;

/** Returns the expected times of tickets on the fastest of the runners that take work, without what it has cached. */
function expectedTimesOn(all: readonly runners.Runner[]): priority.TimesOf {
  let fastest: paces.Pace | undefined;
  let leastMs = Infinity;
  for (const {state, pace} of all) {
    if (state !== 'live') continue;
    const leadMs = paces.expectedMs(pace, TYPICAL_PROMPT_TOKENS, 0);
    if (leadMs >= leastMs) continue;
    fastest = pace;
    leastMs = leadMs;
  }
  const pace = fastest ?? paces.INITIAL_PACE;
  return ({promptTokens, outputTokens}) => ({
    firstTokenMs: paces.expectedMs(pace, promptTokens, 0),
    answerMs: paces.expectedMs(pace, promptTokens, outputTokens),
  });
}

/**
 * Returns the delay after which a refused caller may retry, in milliseconds:
 * the wait that was too long, with jitter so that callers don't all retry at
 * the same time; at most `MAX_RETRY_FRACTION` of the time until the deadline,
 * but never below `CUTOFF_MS`.
 */
function retryDelayMs(
  ticket: tickets.Ticket,
  waitMs: number,
  nowMs: number,
): number {
  const jitter = rendezvous.hashFraction(ticket.id);
  const wantedMs = Math.max(waitMs, CUTOFF_MS) * (1 + RETRY_JITTER * jitter);
  const limitMs = (ticket.deadlineMs - nowMs) * MAX_RETRY_FRACTION;
  return Math.ceil(Math.max(CUTOFF_MS, Math.min(wantedMs, limitMs)));
}

const HANDLERS: Handlers = {
  ask: (cell, event, nowMs) => cell.admit(event.ticket, nowMs),
  cancel: (cell, event, nowMs) => ({
    cell: cell.withdraw(event.ticketId, nowMs),
    effects: [],
  }),
  done: (cell, event, nowMs) => ({
    cell: cell.release(event.ticketId, event.outcome, nowMs),
    effects: [],
  }),
  'use-unknown': cell => ({cell: cell.withUnknownUse(), effects: []}),
  recover: (cell, event, nowMs) => ({
    cell: cell.reconcile(event.host, event.running, nowMs),
    effects: [],
  }),
  adopt: (cell, event, nowMs) => ({
    cell: cell.adopt(event.held, nowMs),
    effects: [],
  }),
  'host-gone': (cell, event, nowMs) => ({
    cell: cell.removeHost(event.host, nowMs),
    effects: [],
  }),
  configure: (cell, event, nowMs) => ({
    cell: cell.configure(
      event.servers,
      event.versionsByServer,
      event.limitPerSByServer ?? new Map(),
      nowMs,
    ),
    effects: [],
  }),
  signal: (cell, event, nowMs) => ({
    cell: cell.setRunnerState(event.runner, event.sign, nowMs),
    effects: [],
  }),
  limit: (cell, event, nowMs) => ({
    cell: cell.setLimit(event.runner, event.limitPerS, nowMs),
    effects: [],
  }),
  brittle: (cell, event) => ({
    cell: cell.setBrittle(event.runner, event.part),
    effects: [],
  }),
  tick: (cell, _, nowMs) => cell.expireOverdue(nowMs),
};
