import type * as events from './cellevents.js';
import type * as config from './config.js';
import * as estimates from './waitestimate.js';
import * as fit from './placement.js';
import * as inflows from './arrivalload.js';
import * as rank from './priority.js';
import * as rendezvous from './rendezvous.js';
import * as runners from './runner.js';
import * as tickets from './ticket.js';

/** Waiting tickets that a cell holds at most. */
export const MAX_WAITING = 512;

/** How long a new keeper collects what hosts are running before it grants, in milliseconds. */
export const RECOVERY_MS = 400;

/** How long lower tiers stay shut out after a higher tier was shed, in milliseconds. */
export const CUTOFF_MS = 1000;

/** How long a slot of a lost host stays occupied, in milliseconds. */
export const ORPHAN_HOLD_MS = 3000;

/** How long past its deadline a slot may stay unreleased, in milliseconds. */
export const RELEASE_GRACE_MS = 2000;

const NO_RUNNER_RETRY_MS = 1000;

/** A waiting ticket is given up only when this part of its expected wait is too long already: estimates err. */
const SURE_PART = 0.7;

/** A ticket is given up this long before its caller would leave, so that the caller hears of it, in milliseconds. */
const SWEEP_AHEAD_MS = 100;

/** Callers take a return into account up to this part of the time that they have left. */
const MAX_RETURN_PART = 0.33;
const RETURN_SPREAD = 0.5;

/** A cell after an event, with what it wants done. */
export interface Transition {
  readonly cell: Cell;
  readonly effects: readonly events.CellEffect[];
}

interface Cutoff {
  readonly tier: config.Tier;
  readonly untilMs: number;
}

interface CellFields {
  readonly runners: ReadonlyMap<string, runners.Runner>;
  readonly waiting: readonly tickets.Ticket[];
  readonly running: ReadonlyMap<string, tickets.Grant>;
  /** Hosts whose report is still missing; grants wait for them until `recoverUntilMs`. */
  readonly unreported: ReadonlySet<string>;
  readonly recoverUntilMs: number;
  /** Slots of lost hosts, by ticket, with the time at which they are freed. */
  readonly orphans: ReadonlyMap<string, number>;
  readonly cutoff: Cutoff | undefined;
  readonly recentUse: rank.RecentUsage;
  readonly inflow: inflows.ArrivalLoad;
}

type Handlers = {
  readonly [K in events.CellEvent['kind']]: (
    cell: Cell,
    event: Extract<events.CellEvent, {kind: K}>,
    nowMs: number,
  ) => Transition;
};

/**
 * The slots of one service in one zone and the tickets that wait for them.
 *
 * Invariants:
 * - a ticket is either waiting or running, never both, and is granted once;
 * - no ticket is granted on a runner that a better-ranked ticket waits for;
 * - when a ticket is refused as overloaded, no ticket of a lower tier waits,
 *   and none is taken in until `CUTOFF_MS` have passed.
 */
export class Cell {
  private constructor(private readonly fields: CellFields) {}

  /** An empty cell that waits for the reports of `hosts` before it grants. */
  static recovering(hosts: readonly string[], nowMs: number): Cell {
    return new Cell({
      runners: new Map(),
      waiting: [],
      running: new Map(),
      unreported: new Set(hosts),
      recoverUntilMs: nowMs + RECOVERY_MS,
      orphans: new Map(),
      cutoff: undefined,
      recentUse: rank.RecentUsage.none,
      inflow: inflows.ArrivalLoad.none,
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

  /** Expected times, as things stand. */
  get estimate(): estimates.WaitEstimate {
    const {runners: all, waiting, running, inflow} = this.fields;
    return new estimates.WaitEstimate(all, waiting, running, inflow);
  }

  /** True while the cell still collects reports and grants nothing. */
  isRecovering(nowMs: number): boolean {
    return (
      this.fields.unreported.size > 0 && nowMs < this.fields.recoverUntilMs
    );
  }

  /** The cell after `event` at `nowMs`, with what it wants done. */
  apply(event: events.CellEvent, nowMs: number): Transition {
    const handler = HANDLERS[event.kind] as (
      cell: Cell,
      event: events.CellEvent,
      nowMs: number,
    ) => Transition;
    const handled = handler(this, event, nowMs);
    const granted = handled.cell.grantWhatFits(nowMs);
    return {
      cell: granted.cell,
      effects: [...handled.effects, ...granted.effects],
    };
  }

  /** The cell with some fields replaced; for the handlers in this module. */
  withFields(change: Partial<CellFields>): Cell {
    return new Cell({...this.fields, ...change});
  }

  /** The cell without a waiting ticket. */
  withoutWaiting(ticketId: string): Cell {
    const {waiting} = this.fields;
    if (!waiting.some(t => t.id === ticketId)) return this;
    return this.withFields({waiting: waiting.filter(t => t.id !== ticketId)});
  }

  /** Takes a ticket in, or turns it away when its deadline can't be met. */
  admit(ticket: tickets.Ticket, nowMs: number): Transition {
    const held = this.fields.running.get(ticket.id);
    if (held) return this.grantAgain(held);
    if (this.waiting.some(t => t.id === ticket.id)) {
      return {cell: this, effects: []};
    }
    const {estimate} = this;
    if (estimate.usableRunners(ticket, nowMs).length === 0) {
      return this.refuse(ticket, 'no-runner', NO_RUNNER_RETRY_MS);
    }
    const cellMs = estimate.cellTimeMs(ticket, nowMs);
    const inflow = this.fields.inflow.add(ticket, cellMs, nowMs);
    return this.withFields({inflow}).decide(ticket, estimate, nowMs);
  }

  private decide(
    ticket: tickets.Ticket,
    estimate: estimates.WaitEstimate,
    nowMs: number,
  ): Transition {
    if (!estimate.canStart(ticket, 0, nowMs)) {
      return this.refuse(ticket, 'deadline', 0);
    }
    if (this.isCutOff(ticket.tier, nowMs)) {
      return this.refuse(ticket, 'overloaded', CUTOFF_MS);
    }
    const waitMs = estimate.waitMs(ticket, nowMs);
    if (!estimate.canStart(ticket, waitMs, nowMs)) {
      return this.shed(ticket, waitMs, nowMs);
    }
    const joined = this.withFields({waiting: [...this.fields.waiting, ticket]});
    if (joined.waiting.length <= MAX_WAITING)
      return {cell: joined, effects: []};
    const last = rank.evictionCandidate(joined.waiting) as tickets.Ticket;
    return joined.withoutWaiting(last.id).shed(last, waitMs, nowMs);
  }

  /** Turns a ticket away for overload: first everything waiting in lower tiers, then the ticket itself. */
  shed(ticket: tickets.Ticket, waitMs: number, nowMs: number): Transition {
    const lower = this.fields.waiting.filter(t => t.tier > ticket.tier);
    const shedding = [...lower].sort((a, b) => b.tier - a.tier);
    const cutoff = this.cutoffAfter(ticket.tier, nowMs);
    const cell = this.withFields({
      waiting: this.fields.waiting.filter(t => t.tier <= ticket.tier),
      cutoff,
    });
    const effects = [...shedding, ticket].map((shed): events.CellEffect => ({
      kind: 'refuse',
      ticket: shed,
      reason: 'overloaded',
      retryAfterMs: returnMs(shed, waitMs, nowMs),
    }));
    return {cell, effects};
  }

  /** Ends the slot of a ticket, if it has one; the runner learns the outcome. */
  release(ticketId: string, outcome: runners.Outcome, nowMs: number): Cell {
    const held = this.fields.running.get(ticketId);
    if (!held) return this;
    const running = new Map(this.fields.running);
    running.delete(ticketId);
    const orphans = new Map(this.fields.orphans);
    orphans.delete(ticketId);
    const recentUse = this.fields.recentUse.add(held.ticket, nowMs);
    const runner = this.fields.runners.get(held.runner);
    if (!runner) return this.withFields({running, orphans, recentUse});
    const freed = runner.release(held.ticket).recordOutcome(outcome, nowMs);
    const next = new Map(this.fields.runners).set(freed.name, freed);
    return this.withFields({running, orphans, recentUse, runners: next});
  }

  /** Takes over the slots that a host reports, and frees those of its slots that it does not. */
  reconcile(
    host: string,
    reported: readonly tickets.Grant[],
    nowMs: number,
  ): Cell {
    const ids = new Set(reported.map(held => held.ticket.id));
    const lost = this.running.filter(
      held => held.ticket.host === host && !ids.has(held.ticket.id),
    );
    const freed = lost.reduce<Cell>(
      (cell, held) => cell.release(held.ticket.id, {kind: 'cancelled'}, nowMs),
      this,
    );
    return reported
      .reduce((cell, held) => cell.adopt(held), freed)
      .markReported(host);
  }

  /** Takes over a slot that a host reports to be in use. */
  adopt(held: tickets.Grant): Cell {
    const {running, runners: all, orphans} = this.fields;
    if (running.has(held.ticket.id)) return this;
    const runner = all.get(held.runner);
    if (!runner) return this;
    const left = new Map(orphans);
    left.delete(held.ticket.id);
    return this.withoutWaiting(held.ticket.id).withFields({
      running: new Map(running).set(held.ticket.id, held),
      runners: new Map(all).set(
        runner.name,
        runner.occupy(held.ticket, held.grantedMs),
      ),
      orphans: left,
    });
  }

  /** Forgets what waits for a lost host and frees its slots after `ORPHAN_HOLD_MS`. */
  removeHost(host: string, nowMs: number): Cell {
    const orphans = new Map(this.fields.orphans);
    for (const held of this.running) {
      if (held.ticket.host !== host) continue;
      orphans.set(held.ticket.id, nowMs + ORPHAN_HOLD_MS);
    }
    return this.markReported(host).withFields({
      orphans,
      waiting: this.fields.waiting.filter(t => t.host !== host),
    });
  }

  /** Notes that a host's report has come. */
  markReported(host: string): Cell {
    if (!this.fields.unreported.has(host)) return this;
    const unreported = new Set(this.fields.unreported);
    unreported.delete(host);
    return this.withFields({unreported});
  }

  /** Replaces the set of runners; slots on removed ones are forgotten. */
  configure(
    servers: readonly config.BackendServer[],
    versionsByServer: ReadonlyMap<string, readonly string[]>,
  ): Cell {
    const next = new Map<string, runners.Runner>();
    for (const server of servers) {
      const known = this.fields.runners.get(server.name);
      const versions = versionsByServer.get(server.name) ?? [];
      next.set(
        server.name,
        known
          ? known.withConfiguration(server, versions)
          : runners.Runner.of(server, versions),
      );
    }
    const running = [...this.fields.running].filter(([, r]) =>
      next.has(r.runner),
    );
    return this.withFields({runners: next, running: new Map(running)});
  }

  /** Notes what a load report, or its absence, says of a runner. */
  setRunnerState(
    name: string,
    sign: 'live' | 'leaving' | 'unreachable',
    nowMs: number,
  ): Cell {
    const runner = this.fields.runners.get(name);
    if (!runner) return this;
    const signalled =
      sign === 'unreachable'
        ? runner.recordOutcome({kind: 'unreachable'}, nowMs)
        : runner.withReportedState(sign === 'leaving', nowMs);
    return this.withFields({
      runners: new Map(this.fields.runners).set(name, signalled),
    });
  }

  /** Frees overdue slots and turns away tickets whose deadline can no longer be met. */
  expireOverdue(nowMs: number): Transition {
    const overdue = this.running.filter(held => {
      const orphanUntilMs = this.fields.orphans.get(held.ticket.id) ?? Infinity;
      const releaseByMs = held.ticket.deadlineMs + RELEASE_GRACE_MS;
      return nowMs >= Math.min(orphanUntilMs, releaseByMs);
    });
    let cell = overdue.reduce<Cell>(
      (c, held) => c.release(held.ticket.id, {kind: 'cancelled'}, nowMs),
      this,
    );
    const effects: events.CellEffect[] = [];
    const byTier = [...cell.estimate.expectedWaits(nowMs)].sort(
      (a, b) => b.ticket.tier - a.ticket.tier,
    );
    for (const {ticket, waitMs} of byTier) {
      if (!cell.waiting.includes(ticket)) continue;
      if (cell.estimate.usableRunners(ticket, nowMs).length === 0) {
        const refused = cell.refuse(ticket, 'no-runner', NO_RUNNER_RETRY_MS);
        cell = refused.cell.withoutWaiting(ticket.id);
        effects.push(...refused.effects);
        continue;
      }
      const surelyMs = waitMs * SURE_PART + SWEEP_AHEAD_MS;
      if (cell.estimate.canStart(ticket, surelyMs, nowMs)) continue;
      const applied = cell
        .withoutWaiting(ticket.id)
        .shed(ticket, waitMs, nowMs);
      cell = applied.cell;
      effects.push(...applied.effects);
    }
    return {cell, effects};
  }

  /** Repeats a grant whose message was lost. */
  private grantAgain(held: tickets.Grant): Transition {
    const runner = this.fields.runners.get(held.runner);
    if (!runner) return {cell: this, effects: []};
    const {ticket} = held;
    return {
      cell: this,
      effects: [{kind: 'grant', ticket, server: runner.server}],
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

  private isCutOff(tier: config.Tier, nowMs: number): boolean {
    const {cutoff} = this.fields;
    return !!cutoff && nowMs < cutoff.untilMs && tier > cutoff.tier;
  }

  private cutoffAfter(tier: config.Tier, nowMs: number): Cutoff {
    const {cutoff} = this.fields;
    const isStricter = cutoff && nowMs < cutoff.untilMs && cutoff.tier < tier;
    return isStricter ? cutoff : {tier, untilMs: nowMs + CUTOFF_MS};
  }

  /** Grants in rank order; a ticket that does not fit keeps the runners it needs from those behind it. */
  private grantWhatFits(nowMs: number): Transition {
    if (this.fields.waiting.length === 0 || this.isRecovering(nowMs)) {
      return {cell: this, effects: []};
    }
    const {running, waiting, recentUse} = this.fields;
    const usage = rank.FairShares.of(
      running.values(),
      waiting,
      recentUse,
      nowMs,
    );
    const blocked = new Set<string>();
    const effects: events.CellEffect[] = [];
    // Later tickets see the runners as earlier grants left them.
    let cell = this.withFields({});
    for (const ticket of rank.sortByPriority(this.waiting, usage, nowMs)) {
      if (blocked.size >= this.fields.runners.size) break;
      const runner = fit.findBestRunner(cell.runners, ticket, blocked, nowMs);
      if (!runner) {
        const kept = fit.runnersToReserve(cell.runners, ticket, nowMs);
        for (const name of kept) blocked.add(name);
        continue;
      }
      cell = cell.adopt({ticket, runner: runner.name, grantedMs: nowMs});
      effects.push({kind: 'grant', ticket, server: runner.server});
    }
    return {cell, effects};
  }
}

/** When a caller that is turned away may come back: after the wait that was too long, spread so that not all return at once. */
function returnMs(
  ticket: tickets.Ticket,
  waitMs: number,
  nowMs: number,
): number {
  const turn = rendezvous.hashFraction(ticket.id);
  const wantedMs = Math.max(waitMs, CUTOFF_MS) * (1 + RETURN_SPREAD * turn);
  const mostMs = (ticket.deadlineMs - nowMs) * MAX_RETURN_PART;
  return Math.ceil(Math.max(CUTOFF_MS, Math.min(wantedMs, mostMs)));
}

const HANDLERS: Handlers = {
  ask: (cell, event, nowMs) => cell.admit(event.ticket, nowMs),
  cancel: (cell, event, nowMs) => ({
    cell: cell
      .withoutWaiting(event.ticketId)
      .release(event.ticketId, {kind: 'cancelled'}, nowMs),
    effects: [],
  }),
  done: (cell, event, nowMs) => ({
    cell: cell.release(event.ticketId, event.outcome, nowMs),
    effects: [],
  }),
  recover: (cell, event, nowMs) => ({
    cell: cell.reconcile(event.host, event.running, nowMs),
    effects: [],
  }),
  adopt: (cell, event) => ({cell: cell.adopt(event.held), effects: []}),
  'host-gone': (cell, event, nowMs) => ({
    cell: cell.removeHost(event.host, nowMs),
    effects: [],
  }),
  configure: (cell, event) => ({
    cell: cell.configure(event.servers, event.versionsByServer),
    effects: [],
  }),
  signal: (cell, event, nowMs) => ({
    cell: cell.setRunnerState(event.runner, event.sign, nowMs),
    effects: [],
  }),
  tick: (cell, _, nowMs) => cell.expireOverdue(nowMs),
};
