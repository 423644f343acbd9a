import type * as cells from './cell.js';
import type * as events from './cellevents.js';
import * as regions from './regions.js';
import * as tickets from './ticket.js';

/**
 * Checks the invariants of a cell over a sequence of events, in tests.
 * `violations` describes each violation: a ticket granted twice, a runner over
 * its budget, a grant in a region that the ticket may not use, a suspect request
 * that shares a runner, a tier shed while a lower one waits that may use only
 * the same regions, or a ticket dropped without an answer.
 */
export class CellChecker {
  readonly violations: string[] = [];
  /** The ids of tickets that were granted a slot and have not released it. */
  private readonly granted = new Set<string>();
  /** The ids of tickets that were enqueued and are still waiting or running. */
  private readonly pending = new Set<string>();

  /** Records an event and checks the resulting transition. */
  record(
    event: events.CellEvent,
    applied: cells.Transition,
    nowMs: number,
  ): void {
    if (event.kind === 'ask') {
      this.pending.add(event.ticket.id);
    }
    this.checkGrants(event, applied);
    this.checkTiers(applied, nowMs);
    this.checkBudgets(applied.cell);
    if (event.kind === 'cancel' || event.kind === 'done') {
      this.granted.delete(event.ticketId);
    }
    this.checkDropped(event, applied);
  }

  private checkGrants(
    event: events.CellEvent,
    applied: cells.Transition,
  ): void {
    for (const effect of applied.effects) {
      const {id} = effect.ticket;
      if (effect.kind !== 'grant') continue;
      const isRepeat = event.kind === 'ask' && event.ticket.id === id;
      if (this.granted.has(id) && !isRepeat) {
        this.violations.push(`ticket ${id} granted twice`);
      }
      this.granted.add(id);
      const {region} = effect.server;
      if (!regions.isAllowed(effect.ticket.allowedRegions, region)) {
        this.violations.push(`ticket ${id} granted in region ${region}`);
      }
    }
  }

  private checkTiers(applied: cells.Transition, nowMs: number): void {
    const present = applied.cell.runners.map(({server}) => server.region);
    for (const effect of applied.effects) {
      if (effect.kind !== 'refuse' || effect.reason !== 'overloaded') continue;
      const lower = applied.cell.waiting.find(
        waiting =>
          waiting.tier > effect.ticket.tier &&
          regions.covers(
            present,
            effect.ticket.allowedRegions,
            waiting.allowedRegions,
          ),
      );
      if (!lower) continue;
      this.violations.push(
        `ticket ${effect.ticket.id} shed at ${nowMs} while ${lower.id} waits`,
      );
    }
  }

  private checkBudgets(cell: cells.Cell): void {
    for (const runner of cell.runners) {
      const grants = cell.running.filter(grant => grant.runner === runner.name);
      // A single ticket may exceed the budget: an idle runner takes any ticket.
      if (grants.length < 2) continue;
      const tokens = grants.reduce(
        (sum, grant) => sum + tickets.slotTokens(grant.ticket),
        0,
      );
      const {slotTokens, maxRunning} = runner.server;
      if (tokens > slotTokens || grants.length > maxRunning) {
        this.violations.push(`runner ${runner.name} is over its budget`);
      }
      if (grants.some(grant => grant.ticket.isSuspect)) {
        this.violations.push(`a suspect request shares runner ${runner.name}`);
      }
    }
  }

  /** Checks that every ticket that no longer waits or runs was refused, withdrawn or released. */
  private checkDropped(
    event: events.CellEvent,
    applied: cells.Transition,
  ): void {
    const {cell, effects} = applied;
    const answered = new Set(effects.map(effect => effect.ticket.id));
    const known = new Set([
      ...cell.waiting.map(ticket => ticket.id),
      ...cell.running.map(grant => grant.ticket.id),
    ]);
    for (const id of this.pending) {
      if (known.has(id)) continue;
      this.pending.delete(id);
      this.granted.delete(id);
      const isWithdrawn =
        event.kind === 'host-gone' ||
        event.kind === 'tick' ||
        ('ticketId' in event && event.ticketId === id);
      if (answered.has(id) || isWithdrawn) continue;
      this.violations.push(`ticket ${id} was dropped without an answer`);
    }
  }
}
