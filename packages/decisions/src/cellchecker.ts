import type * as cells from './cell.js';
import type * as events from './cellevents.js';
import * as tickets from './ticket.js';

/**
 * Holds a history of a cell against its promises. `breaches` names every one
 * that was broken: a ticket granted twice, a runner over its budget, a tier
 * shed while a lower one is kept, or a ticket that vanishes unanswered.
 */
export class CellChecker {
  readonly violations: string[] = [];
  private readonly granted = new Set<string>();
  private readonly open = new Set<string>();

  /** Takes in one event and what came of it. */
  record(
    event: events.CellEvent,
    applied: cells.Transition,
    nowMs: number,
  ): void {
    if (event.kind === 'ask') {
      this.open.add(event.ticket.id);
    }
    this.checkGrants(event, applied);
    this.checkTiers(applied, nowMs);
    this.checkBudgets(applied.cell);
    if (event.kind === 'cancel' || event.kind === 'done') {
      this.granted.delete(event.ticketId);
    }
    this.checkVanished(event, applied);
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
        this.violations.push(`${id} granted twice`);
      }
      this.granted.add(id);
    }
  }

  private checkTiers(applied: cells.Transition, nowMs: number): void {
    for (const effect of applied.effects) {
      if (effect.kind !== 'refuse' || effect.reason !== 'overloaded') continue;
      const kept = applied.cell.waiting.find(
        waiting => waiting.tier > effect.ticket.tier,
      );
      if (!kept) continue;
      this.violations.push(
        `${effect.ticket.id} shed at ${nowMs} while ${kept.id} waits`,
      );
    }
  }

  private checkBudgets(cell: cells.Cell): void {
    for (const runner of cell.runners) {
      const held = cell.running.filter(each => each.runner === runner.name);
      if (held.length < 2) continue;
      const tokens = held.reduce(
        (sum, each) => sum + tickets.slotTokens(each.ticket),
        0,
      );
      const {slotTokens, maxRunning} = runner.server;
      if (tokens > slotTokens || held.length > maxRunning) {
        this.violations.push(`${runner.name} is over its budget`);
      }
      if (held.some(each => each.ticket.isSuspect)) {
        this.violations.push(`a suspect shares ${runner.name}`);
      }
    }
  }

  /** Every ticket that was asked for is waiting, running, answered or taken back. */
  private checkVanished(
    event: events.CellEvent,
    applied: cells.Transition,
  ): void {
    const {cell, effects} = applied;
    const answered = new Set(effects.map(effect => effect.ticket.id));
    const known = new Set([
      ...cell.waiting.map(ticket => ticket.id),
      ...cell.running.map(held => held.ticket.id),
    ]);
    for (const id of this.open) {
      if (known.has(id)) continue;
      this.open.delete(id);
      this.granted.delete(id);
      const isTakenBack =
        event.kind === 'host-gone' ||
        event.kind === 'tick' ||
        ('ticketId' in event && event.ticketId === id);
      if (answered.has(id) || isTakenBack) continue;
      this.violations.push(`${id} vanished`);
    }
  }
}
