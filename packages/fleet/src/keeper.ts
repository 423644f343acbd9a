import type * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';
import type * as peers from '@banyanhall/peers';
import type * as platform from '@banyanhall/platform';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const TICK_INTERVAL_MS = 50;
const LOAD_POLL_INTERVAL_MS = 1000;
/** How long this host still schedules a cell after another host has become its keeper; longer while tickets wait. */
const UNOWNED_TTL_MS = 5000;

/** After a pause of this process of this length, another host may have become the keeper meanwhile. */
const REPLACED_AFTER_MS = 1000;

type Cell = decisions.cell.Cell;

interface KeptCell {
  cell: Cell;
  /** Since when another host is the keeper, on the monotonic clock; undefined while this host is. */
  unownedSinceMs: number | undefined;
}

/** Dependencies of `Keeper`; `serving` returns the hosts that may be keepers. */
export interface KeeperOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  /** Polls load reports; without it, the state of a backend server is known only from request outcomes. */
  readonly backends?: backends.client.BackendClient;
  readonly serverList: platform.table.ServerList;
  readonly config: () => decisions.config.Config;
  readonly serving: () => readonly decisions.membership.Member[];
  /** The requests a second that a backend server takes, by its name; without this function, none states a limit. */
  readonly limitPerSOf?: (server: string) => number | undefined;
  /** The part of the slots of a backend server that may be used since it states that it is brittle; undefined if it does not. */
  readonly brittlePartOf?: (server: string) => number | undefined;
  /** Called with the outcome of each attempt at a backend server, before its slot is released. */
  readonly onOutcome?: (
    server: string,
    outcome: decisions.runner.Outcome,
  ) => void;
}

type EffectHandlers = {
  readonly [K in decisions.cellevents.CellEffect['kind']]: (
    name: string,
    effect: Extract<decisions.cellevents.CellEffect, {kind: K}>,
    waitMs: number,
  ) => void;
};

/** Schedules the cells of which this host is the keeper: applies events to them and sends the resulting grants and refusals. */
export class Keeper {
  private readonly cells = new Map<string, KeptCell>();
  private readonly timers: NodeJS.Timeout[] = [];
  /** When an event was last applied or a tick came. */
  private activeMs: number;
  /** The backend servers that the platform's server list last showed as leaving. */
  private leavingServers: ReadonlySet<string> = new Set();

  private readonly effectHandlers: EffectHandlers = {
    grant: (cell, {ticket, server, heldBackMs}, waitMs) =>
      this.options.router.send(ticket.host, {
        kind: 'grant',
        body: {
          ...{cell, ticketId: ticket.id, runner: server.name, waitMs},
          heldBackMs: Math.round(heldBackMs),
        },
      }),
    refuse: (cell, {ticket, reason, retryAfterMs}, waitMs) =>
      this.options.router.send(ticket.host, {
        kind: 'refuse',
        body: {cell, ticketId: ticket.id, reason, retryAfterMs, waitMs},
      }),
  };

  constructor(private readonly options: KeeperOptions) {
    this.activeMs = options.clock.monotonicMs();
  }

  /** Starts the timers for cell deadlines and load polling. */
  start(): void {
    this.noticePause();
    this.timers.push(setInterval(() => this.tick(), TICK_INTERVAL_MS));
    if (!this.options.backends) return;
    this.timers.push(
      setInterval(() => void this.pollLoads(), LOAD_POLL_INTERVAL_MS),
    );
  }

  /** Stops the timers. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Handles a slot request; replies with the expected wait at the end of the queue when the request has to wait. */
  onAsk(from: string, ask: peers.messages.MessageBodies['ask']): void {
    const ticket = this.ticketOf(from, ask.ticket);
    this.apply(ask.cell, {kind: 'ask', ticket});
    const cell = this.cells.get(ask.cell)?.cell;
    if (!cell?.waiting.some(({id}) => id === ticket.id)) return;
    const nowMs = this.options.clock.monotonicMs();
    const waitMs = Math.ceil(cell.estimate.lastWaitMs(nowMs));
    const body = {cell: ask.cell, ticketId: ticket.id, waitMs};
    this.options.router.send(from, {kind: 'queued', body});
  }

  /** Cancels a waiting ticket, or releases its unused slot. */
  onWithdraw(_: string, body: peers.messages.MessageBodies['withdraw']): void {
    this.apply(body.cell, {kind: 'cancel', ticketId: body.ticketId});
  }

  /** Releases a slot and applies the outcome of the attempt that used it. */
  onDone(_: string, done: peers.messages.MessageBodies['done']): void {
    const outcome = outcomeOf(done);
    const running = this.cells.get(done.cell)?.cell.running ?? [];
    const grant = running.find(({ticket}) => ticket.id === done.ticketId);
    if (grant) this.options.onOutcome?.(grant.runner, outcome);
    this.apply(done.cell, {kind: 'done', ticketId: done.ticketId, outcome});
  }

  /** Handles the slots that a host holds: all of them after a change of keeper, or single ones that it adopted or assigned itself. */
  onHold(from: string, hold: peers.messages.MessageBodies['hold']): void {
    const nowMs = this.options.clock.monotonicMs();
    const running = hold.held.map(held => ({
      ticket: this.ticketOf(from, held.ticket),
      runner: held.runner,
      grantedMs: nowMs - held.ageMs,
    }));
    if (hold.isReport) {
      this.apply(hold.cell, {kind: 'recover', host: from, running});
      return;
    }
    for (const held of running) this.apply(hold.cell, {kind: 'adopt', held});
  }

  /** Drops the tickets of a lost host, and its slots after a hold time. */
  onHostGone(host: string): void {
    for (const name of this.cells.keys()) {
      this.apply(name, {kind: 'host-gone', host});
    }
  }

  /** Updates the runners of every kept cell from the configuration; drops cells without backend servers. */
  onConfig(): void {
    for (const [name, kept] of this.cells) {
      if (this.serversOf(name).length === 0) this.cells.delete(name);
      else this.configure(name, kept);
    }
  }

  /** Applies a change of the limit of a backend server, or of whether it is brittle. */
  onLimit(server: string): void {
    for (const [name, {cell}] of this.cells) {
      const runner = cell.runners.find(each => each.name === server);
      if (runner) this.updateLimit(name, runner);
    }
  }

  /** Applies such changes of any backend servers. */
  onLimits(): void {
    for (const [name, {cell}] of this.cells) {
      for (const runner of cell.runners) this.updateLimit(name, runner);
    }
  }

  /** Returns the status of the kept cells, for operators. */
  status(): readonly operators.api.CellStatus[] {
    return [...this.cells].map(([name, {cell}]) => ({
      cell: name,
      keeper: this.options.host,
      waiting: cell.waiting.length,
      running: cell.running.length,
      runners: cell.runners.map(runner => ({
        name: runner.name,
        state: runner.state,
        running: runner.running,
        decodeTokensPerS: Math.round(runner.pace.decodeTokensPerS),
      })),
    }));
  }

  /** Returns all tickets that wait in kept cells. */
  waitingTickets(): readonly decisions.ticket.Ticket[] {
    return [...this.cells.values()].flatMap(({cell}) => cell.waiting);
  }

  private apply(name: string, event: decisions.cellevents.CellEvent): void {
    this.noticePause();
    const kept = this.keptCell(name);
    if (!kept) return this.refuseWithoutServers(name, event);
    const nowMs = this.options.clock.monotonicMs();
    const applied = kept.cell.apply(event, nowMs);
    kept.cell = applied.cell;
    if (applied.effects.length === 0) return;
    const waitMs = Math.ceil(applied.cell.estimate.lastWaitMs(nowMs));
    for (const effect of applied.effects) {
      const handler = this.effectHandlers[effect.kind] as (
        name: string,
        effect: decisions.cellevents.CellEffect,
        waitMs: number,
      ) => void;
      handler(name, effect, waitMs);
    }
  }

  /** Returns a kept cell, or starts to keep it in the recovering state; undefined if it has no backend servers. */
  private keptCell(name: string): KeptCell | undefined {
    const known = this.cells.get(name);
    if (known) return known;
    if (this.serversOf(name).length === 0) return undefined;
    const hosts = this.options
      .serving()
      .map(member => member.host)
      .filter(host => host !== this.options.host);
    const nowMs = this.options.clock.monotonicMs();
    const cell = decisions.cell.Cell.recovering(hosts, nowMs);
    const kept: KeptCell = {cell, unownedSinceMs: undefined};
    this.cells.set(name, kept);
    this.options.timeline.record('keeper', '', {cell: name});
    this.configure(name, kept);
    return kept;
  }

  private configure(name: string, kept: KeptCell): void {
    const servers = this.serversOf(name);
    const limitPerSByServer = new Map(
      servers.flatMap(server => {
        const limitPerS = this.options.limitPerSOf?.(server.name);
        return limitPerS === undefined ? [] : [[server.name, limitPerS]];
      }),
    );
    const event = {
      kind: 'configure' as const,
      ...{servers, limitPerSByServer, versionsByServer: new Map()},
    };
    this.apply(name, event);
    for (const runner of kept.cell.runners) this.updateLimit(name, runner);
  }

  private updateLimit(cell: string, runner: decisions.runner.Runner): void {
    const limitPerS = this.options.limitPerSOf?.(runner.name);
    if (limitPerS !== runner.limitPerS) {
      this.apply(cell, {kind: 'limit', runner: runner.name, limitPerS});
    }
    const part = this.options.brittlePartOf?.(runner.name);
    if (part === runner.brittlePart) return;
    this.apply(cell, {kind: 'brittle', runner: runner.name, part});
  }

  private serversOf(name: string): readonly decisions.config.BackendServer[] {
    const key = decisions.celltopology.parseCellName(name);
    const service = this.options.config().get('service', key.service);
    return service ? decisions.celltopology.serversInCell(service, key) : [];
  }

  /** Refuses a slot request for a cell that has no backend servers; other events are ignored. */
  private refuseWithoutServers(
    name: string,
    event: decisions.cellevents.CellEvent,
  ): void {
    if (event.kind !== 'ask') return;
    const {ticket} = event;
    const reason = 'no-runner';
    const retryAfterMs = decisions.cell.NO_RUNNER_RETRY_MS;
    const refusal = {kind: 'refuse' as const, ticket, reason, retryAfterMs};
    this.effectHandlers.refuse(name, {...refusal, reason}, 0);
  }

  private ticketOf(
    host: string,
    wire: peers.messages.Ticket,
  ): decisions.ticket.Ticket {
    const nowMs = this.options.clock.monotonicMs();
    return {
      ...wire,
      host,
      tier: wire.tier as decisions.config.Tier,
      allowedRegions: decisions.regions.fromWire(wire),
      deadlineMs: nowMs + wire.remainingMs,
      firstByMs: nowMs + wire.firstWithinMs,
      onTimeByMs: nowMs + wire.onTimeWithinMs,
      arrivedMs: nowMs,
    };
  }

  /** Is cautious after a pause of this process, and before anything that arrived meanwhile is handled. */
  private noticePause(): void {
    const nowMs = this.options.clock.monotonicMs();
    const pausedMs = nowMs - this.activeMs;
    this.activeMs = nowMs;
    if (pausedMs < REPLACED_AFTER_MS) return;
    for (const name of this.cells.keys()) {
      this.apply(name, {kind: 'use-unknown'});
    }
  }

  private tick(): void {
    this.noticePause();
    const nowMs = this.options.clock.monotonicMs();
    const members = this.options.serving();
    this.keepAssignedCells(members);
    for (const [name, kept] of this.cells) {
      const {cell} = kept;
      if (cell.waiting.length > 0 || cell.running.length > 0) {
        this.apply(name, {kind: 'tick'});
      }
      const key = decisions.celltopology.parseCellName(name);
      const owner = decisions.celltopology.keeperOf(key, members);
      if (owner === this.options.host) kept.unownedSinceMs = undefined;
      else kept.unownedSinceMs ??= nowMs;
      const unownedMs = nowMs - (kept.unownedSinceMs ?? nowMs);
      if (unownedMs >= UNOWNED_TTL_MS && kept.cell.waiting.length === 0) {
        this.cells.delete(name);
      }
    }
  }

  /** Starts to keep the cells assigned to this host before their first slot request, so that no request waits for recovery. */
  private keepAssignedCells(
    members: readonly decisions.membership.Member[],
  ): void {
    for (const service of this.options.config().list('service')) {
      for (const key of decisions.celltopology.cellsOf(service)) {
        const name = decisions.celltopology.cellName(key);
        if (this.cells.has(name)) continue;
        const owner = decisions.celltopology.keeperOf(key, members);
        if (owner === this.options.host) this.keptCell(name);
      }
    }
  }

  private async pollLoads(): Promise<void> {
    if (this.cells.size === 0) return;
    await this.options.serverList.list().then(
      listed => {
        const leaving = listed.filter(entry => entry.state === 'leaving');
        this.leavingServers = new Set(leaving.map(entry => entry.name));
      },
      () => undefined,
    );
    for (const [name, {cell}] of this.cells) {
      for (const {server} of cell.runners) void this.pollServer(name, server);
    }
  }

  private async pollServer(
    cell: string,
    server: decisions.config.BackendServer,
  ): Promise<void> {
    const {backends: client} = this.options;
    if (!client) return;
    const reportedState = await client.readLoad(server.url).then(
      report => (report.isLeaving ? ('leaving' as const) : ('live' as const)),
      (error: backends.engine.BackendError) =>
        error.kind === 'unreachable' ? ('unreachable' as const) : undefined,
    );
    const isListed = this.leavingServers.has(server.name);
    const state = isListed ? 'leaving' : reportedState;
    if (!state || !this.cells.has(cell)) return;
    this.apply(cell, {kind: 'signal', runner: server.name, sign: state});
  }
}

type OutcomeKind = decisions.runner.Outcome['kind'];

function outcomeOf(
  done: peers.messages.MessageBodies['done'],
): decisions.runner.Outcome {
  const kind = done.outcome as OutcomeKind;
  if (kind === 'completed') {
    const {prefillTokens, outputTokens, firstTokenMs, durationMs} = done;
    const inUse = done.inUse > 0 ? done.inUse : undefined;
    const {slowdownPercent, reportAgeMs} = done;
    const measured = {
      ...{prefillTokens, outputTokens, firstTokenMs, durationMs, inUse},
      slowdownPercent: slowdownPercent > 0 ? slowdownPercent : undefined,
      reportAgeMs,
    };
    return {kind, measured};
  }
  if (kind === 'not-admitted') return {kind, isLeaving: done.isLeaving};
  if (kind === 'failed') return {kind, isBroken: done.isBroken};
  if (kind === 'cancelled') return {kind, mayRunOn: done.mayRunOn};
  return {kind};
}
