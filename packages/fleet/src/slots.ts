import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as deadlines from './deadlines.js';
import type * as routers from './router.js';
import type * as timelines from './timeline.js';

/** Interval at which a slot request is sent again while its ticket waits, in case the keeper has lost the ticket. */
const ASK_RETRY_INTERVAL_MS = 1000;
/** Timeout for the first reply to a slot request; allows for a round trip between regions and a busy event loop. */
const ANSWER_TIMEOUT_MS = 150;
const CHECK_INTERVAL_MS = 50;
/** How long an expected wait reported by a keeper is used to order cells; an older one counts as 0. */
const REPORTED_WAIT_TTL_MS = 2000;
/** Added to the expected wait of cells in other zones when cells are ordered. */
const OTHER_ZONE_COST_MS = 50;
/** The most cells that a request of the lowest tier tries; those of higher tiers try all before they are refused. */
const LOWEST_TIER_MAX_CELLS = 2;

/** The retry delay of a request whose keeper granted it only slots in regions that it may not use. */
const OUTSIDE_RETRY_MS = 1000;

/** How long a failed attempt counts in the choice of a backend server without a keeper. */
const FAILED_LATELY_MS = 500;

/** Tiers are numbered from 1, the highest. */
const LOWEST_TIER = decisions.config.TIERS.length;

/** A host's demand for a slot for one request; times are on the monotonic clock. */
export interface SlotRequest {
  readonly requestId: string;
  readonly service: decisions.config.Service;
  readonly account: decisions.config.Account;
  readonly tier: decisions.config.Tier;
  /** Orders requests within a tier, lower values first; defaults to 0. */
  readonly urgency?: number;
  readonly deadlineMs: number;
  /** When the caller stops waiting for the first token; defaults to the deadline. */
  readonly firstByMs?: number;
  /** When the first token is no longer on time; defaults to the deadline. */
  readonly onTimeByMs?: number;
  readonly promptTokens: number;
  /** The number of tokens that the response is expected to have. */
  readonly outputTokens: number;
  /** The chained hashes of the prompt's leading blocks. */
  readonly chain: readonly number[];
  /** The version of the service to run on; empty means any. */
  readonly version: string;
  /** True for a suspect request, which runs alone on a backend server. */
  readonly isSuspect: boolean;
  /** True if the request goes on without a slot, so that others are not refused for it; undefined means false. */
  readonly isOptional?: boolean;
  /** The regions of the backend servers that may be used; undefined means all, an empty list none. */
  readonly allowedRegions?: readonly string[];
  /** Backend servers where earlier attempts failed. */
  readonly avoid?: readonly string[];
  /** Backend servers that may not be used, since they accept nothing from this host now. */
  readonly excluded?: readonly string[];
}

/** The assignment of a slot on a backend server, released with `Slots.done`. */
export interface Grant {
  readonly ticketId: string;
  readonly server: decisions.config.BackendServer;
  /** For how long only the limit of a backend server held the request back, in milliseconds. */
  readonly heldBackMs: number;
}

/** Dependencies of `Slots`. */
export interface SlotsOptions {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly config: () => decisions.config.Config;
  readonly serving: () => readonly decisions.membership.Member[];
  /**
   * Chooses a backend server when the keeper does not reply in time. Without
   * this function, slot requests are only repeated.
   */
  readonly chooseWithoutKeeper?: (
    slotRequest: SlotRequest,
  ) => decisions.config.BackendServer | undefined;
  /** Called with each keeper that did not reply to a slot request in time. */
  readonly onUnanswered?: (keeper: string) => void;
  /** Calls back once the replies that have arrived are read; at once by default. */
  readonly afterReads?: (callback: () => void) => void;
}

/** A slot request that waits for a grant, and the cell that it was last sent to. */
interface PendingRequest {
  readonly slotRequest: SlotRequest;
  readonly triedCells: ReadonlySet<string>;
  readonly cell: string;
  readonly keeper: string;
  readonly askedMs: number;
  readonly isAnswered: boolean;
  readonly resolve: (grant: Grant) => void;
  readonly reject: (error: decisions.verdict.FailureError) => void;
}

/** A slot that this host holds, from the grant to `done`. */
interface HeldSlot {
  readonly cell: string;
  readonly slotRequest: SlotRequest;
  readonly runner: string;
  readonly grantedMs: number;
}

/** The expected wait in a cell, as its keeper last reported it. */
interface ReportedWait {
  readonly waitMs: number;
  readonly atMs: number;
}

const REFUSAL_FAILURES: Readonly<
  Record<
    decisions.cellevents.RefusalReason,
    (retryAfterMs: number) => decisions.verdict.Failure
  >
> = {
  overloaded: retryAfterMs =>
    decisions.verdict.failure(
      'overloaded',
      'the service is too busy to respond before the deadline',
      'not-run',
      retryAfterMs,
    ),
  deadline: () =>
    decisions.verdict.failure(
      'deadline-exceeded',
      'the request cannot complete before the deadline of its profile',
    ),
  'no-runner': retryAfterMs =>
    decisions.verdict.failure(
      'no-backend-server',
      'the service has no available backend server',
      'not-run',
      retryAfterMs,
    ),
};

function noRunner(): decisions.verdict.Failure {
  return REFUSAL_FAILURES['no-runner'](decisions.cell.NO_RUNNER_RETRY_MS);
}

/** Acquires slots from the keepers of cells for the requests of this host, and tracks those it holds. */
export class Slots {
  private readonly pending = new Map<string, PendingRequest>();
  private readonly held = new Map<string, HeldSlot>();
  private readonly keepers = new Map<string, string>();
  /** When an attempt last failed, by backend server; those of long ago are removed. */
  private readonly failedMs = new Map<string, number>();
  private readonly reportedWaits = new Map<string, ReportedWait>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SlotsOptions) {}

  /** Starts to repeat the slot requests that still wait. */
  start(): void {
    const {afterReads = atOnce} = this.options;
    this.timer = setInterval(() => {
      if (this.pending.size > 0) afterReads(() => this.repeatAsks());
    }, CHECK_INTERVAL_MS);
  }

  /** Stops repeating slot requests. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The number of requests that hold a slot or wait for one. */
  get inUse(): number {
    return this.pending.size + this.held.size;
  }

  /** Returns the number of slots that this host holds on a backend server. */
  heldOn(server: string): number {
    let count = 0;
    for (const held of this.held.values()) {
      if (held.runner === server) count++;
    }
    return count;
  }

  /** Returns true if an attempt of this host at a backend server failed in the last half second, and none completed since. */
  hasFailedLately(server: string): boolean {
    const atMs = this.failedMs.get(server) ?? -Infinity;
    return this.options.clock.monotonicMs() - atMs < FAILED_LATELY_MS;
  }

  /** Waits for a slot; rejects with FailureError (not-run) when refused, past the deadline or cancelled. */
  acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Grant> {
    if (signal.aborted) {
      return Promise.reject(failed(deadlines.abortFailure(signal, 'not-run')));
    }
    const cells = this.cellsFor(slotRequest);
    if (cells.length === 0) {
      return Promise.reject(failed(noRunner()));
    }
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.withdraw(slotRequest.requestId);
        reject(failed(deadlines.abortFailure(signal, 'not-run')));
      };
      const settle = <T>(next: (value: T) => void) => {
        return (value: T) => {
          signal.removeEventListener('abort', onAbort);
          next(value);
        };
      };
      signal.addEventListener('abort', onAbort);
      this.ask({
        slotRequest,
        triedCells: new Set(),
        cell: cells[0],
        keeper: '',
        askedMs: 0,
        isAnswered: false,
        resolve: settle(resolve),
        reject: settle(reject),
      });
    });
  }

  /** Takes over a slot granted to another host, for a stream that is resumed on this one; does nothing if no cell contains `server`. */
  adopt(
    slotRequest: SlotRequest,
    server: decisions.config.BackendServer,
  ): void {
    const key = decisions.celltopology
      .cellsOf(slotRequest.service)
      .find(({zone}) => zone === '' || zone === server.zone);
    if (!key) return;
    const cell = decisions.celltopology.cellName(key);
    const grantedMs = this.options.clock.monotonicMs();
    const held: HeldSlot = {cell, slotRequest, runner: server.name, grantedMs};
    this.held.set(slotRequest.requestId, held);
    this.sendHold(cell, [held], false);
  }

  /** Releases a slot and reports the outcome of the attempt to the keeper. */
  done(ticketId: string, outcome: decisions.runner.Outcome): void {
    const held = this.held.get(ticketId);
    if (!held) return;
    this.held.delete(ticketId);
    this.recordFailure(held.runner, outcome);
    const measured =
      outcome.kind === 'completed' ? outcome.measured : NOT_MEASURED;
    this.sendToKeeper(held.cell, {
      kind: 'done',
      body: {
        cell: held.cell,
        ticketId,
        outcome: outcome.kind,
        isLeaving: outcome.kind === 'not-admitted' && outcome.isLeaving,
        isBroken: outcome.kind === 'failed' && outcome.isBroken === true,
        mayRunOn: outcome.kind === 'cancelled' && outcome.mayRunOn === true,
        prefillTokens: Math.round(measured.prefillTokens),
        outputTokens: Math.round(measured.outputTokens),
        firstTokenMs: Math.round(measured.firstTokenMs),
        durationMs: Math.round(measured.durationMs),
        inUse: measured.inUse ?? 0,
        slowdownPercent: Math.round(measured.slowdownPercent ?? 0),
        reportAgeMs: Math.round(measured.reportAgeMs ?? 0),
      },
    });
  }

  private recordFailure(
    server: string,
    {kind}: decisions.runner.Outcome,
  ): void {
    if (kind === 'cancelled') return;
    this.failedMs.delete(server);
    if (kind === 'completed') return;
    for (const name of this.failedMs.keys()) {
      if (!this.hasFailedLately(name)) this.failedMs.delete(name);
    }
    this.failedMs.set(server, this.options.clock.monotonicMs());
  }

  /** Returns a slot for which nothing was sent, so that it does not count against the limit of its backend server. */
  giveBack(ticketId: string): void {
    const held = this.held.get(ticketId);
    if (!held) return;
    this.held.delete(ticketId);
    const {cell} = held;
    this.sendToKeeper(cell, {kind: 'withdraw', body: {cell, ticketId}});
  }

  /** Stops tracking a slot that another host has taken over, without releasing it. */
  forget(ticketId: string): void {
    this.held.delete(ticketId);
  }

  /**
   * Handles a grant. If no request waits for it any more and its slot is not
   * held, it is withdrawn. So is the grant of a keeper that is no longer asked:
   * the next one does not count it.
   */
  onGrant(from: string, grant: peers.messages.MessageBodies['grant']): void {
    this.recordWait(grant.cell, grant.waitMs);
    const pending = this.pending.get(grant.ticketId);
    const isAsked = pending?.keeper === from && pending.cell === grant.cell;
    if (!pending || !isAsked) {
      if (this.held.has(grant.ticketId)) return;
      const {cell, ticketId} = grant;
      const body = {cell, ticketId};
      this.options.router.send(from, {kind: 'withdraw', body});
      return;
    }
    const {slotRequest, cell} = pending;
    const server = this.findServer(slotRequest.service, grant.runner);
    if (!server) return this.exchangeGrant(pending, grant.runner);
    const {allowedRegions} = slotRequest;
    if (!decisions.regions.isAllowed(allowedRegions, server.region)) {
      return this.returnGrant(pending, server);
    }
    this.pending.delete(grant.ticketId);
    const grantedMs = this.options.clock.monotonicMs();
    this.held.set(grant.ticketId, {
      cell,
      slotRequest,
      runner: grant.runner,
      grantedMs,
    });
    const {ticketId, heldBackMs} = grant;
    pending.resolve({ticketId, server, heldBackMs});
  }

  /**
   * Gives back a grant on a backend server that this host does not list, as
   * hosts read the list at different times, and asks for another one. A keeper
   * that grants the same server again is not asked once more.
   */
  private exchangeGrant(pending: PendingRequest, server: string): void {
    const {slotRequest} = pending;
    const {excluded = []} = slotRequest;
    this.withdraw(slotRequest.requestId);
    if (excluded.includes(server)) return pending.reject(failed(noRunner()));
    const changed = {...slotRequest, excluded: [...excluded, server]};
    this.ask({...pending, slotRequest: changed});
  }

  /**
   * Gives back a grant in a region that the request may not use, as of a keeper
   * of an older version, and assigns a slot without the keeper, which would
   * grant the same again.
   */
  private returnGrant(
    pending: PendingRequest,
    {name, region}: decisions.config.BackendServer,
  ): void {
    const {slotRequest, keeper} = pending;
    const {requestId: ticketId, allowedRegions} = slotRequest;
    this.options.timeline.record('outside-regions', ticketId, {
      ...{keeper, server: name, region},
      allowedRegions: (allowedRegions ?? []).join(' '),
    });
    if (this.assignWithoutKeeper(pending)) return;
    this.withdraw(ticketId);
    const failure = REFUSAL_FAILURES.overloaded(OUTSIDE_RETRY_MS);
    pending.reject(failed(failure));
  }

  /** Finds a backend server, which may have been added to the service while the request waited. */
  private findServer(
    service: decisions.config.Service,
    name: string,
  ): decisions.config.BackendServer | undefined {
    const current = this.options.config().get('service', service.name);
    return [service, current]
      .flatMap(each => each?.backendServers ?? [])
      .find(server => server.name === name);
  }

  /** Handles a keeper's reply that a ticket is queued. */
  onQueued(_: string, queued: peers.messages.MessageBodies['queued']): void {
    this.recordWait(queued.cell, queued.waitMs);
    const pending = this.pending.get(queued.ticketId);
    if (!pending || pending.cell !== queued.cell) return;
    this.pending.set(queued.ticketId, {...pending, isAnswered: true});
  }

  /**
   * Handles a refusal by trying the next cell. Above the lowest tier a request
   * is refused only after all cells of its service have refused it. A cell that
   * refuses a request as overloaded has shed its tickets of lower tiers, so the
   * order of tiers holds across the whole fleet.
   */
  onRefuse(_: string, refuse: peers.messages.MessageBodies['refuse']): void {
    this.recordWait(refuse.cell, refuse.waitMs);
    const pending = this.pending.get(refuse.ticketId);
    if (!pending || pending.cell !== refuse.cell) return;
    const triedCells = new Set(pending.triedCells).add(pending.cell);
    const {tier} = pending.slotRequest;
    const limit = tier === LOWEST_TIER ? LOWEST_TIER_MAX_CELLS : Infinity;
    const cells = this.cellsFor(pending.slotRequest);
    const next = cells.find(cell => !triedCells.has(cell));
    if (next && triedCells.size < limit) {
      this.ask({...pending, triedCells, cell: next});
      return;
    }
    this.pending.delete(refuse.ticketId);
    const reason = refuse.reason as decisions.cellevents.RefusalReason;
    this.options.timeline.record('refused', refuse.ticketId, {reason, tier});
    pending.reject(failed(REFUSAL_FAILURES[reason](refuse.retryAfterMs)));
  }

  /** After a change of the members or of the backend servers, reports held slots to new keepers and sends waiting slot requests to them. */
  onMembers(): void {
    this.moveFromEmptyCells();
    for (const service of this.options.config().list('service')) {
      for (const key of decisions.celltopology.cellsOf(service)) {
        this.refreshKeeper(key);
      }
    }
  }

  /** Repeats the slot requests sent to a host whose link broke, as they may be lost. */
  onLinkDown(host: string): void {
    for (const pending of this.pending.values()) {
      if (pending.keeper === host) this.ask(pending);
    }
  }

  /** Sends the slot requests that wait in a cell without backend servers to another cell, or refuses them if there is none. */
  private moveFromEmptyCells(): void {
    for (const pending of [...this.pending.values()]) {
      const {slotRequest, cell} = pending;
      const {name} = slotRequest.service;
      const service = this.options.config().get('service', name);
      const key = decisions.celltopology.parseCellName(cell);
      const isEmpty =
        !service ||
        decisions.celltopology.serversInCell(service, key).length === 0;
      if (!isEmpty) continue;
      this.withdraw(slotRequest.requestId);
      const moved = service && {...slotRequest, service};
      const [next] = moved ? this.cellsFor(moved) : [];
      if (moved && next !== undefined) {
        this.ask({...pending, slotRequest: moved, cell: next});
      } else pending.reject(failed(noRunner()));
    }
  }

  private refreshKeeper(key: decisions.celltopology.CellKey): void {
    const cell = decisions.celltopology.cellName(key);
    const keeper = decisions.celltopology.keeperOf(key, this.options.serving());
    if (!keeper || this.keepers.get(cell) === keeper) return;
    this.keepers.set(cell, keeper);
    const held = [...this.held.values()].filter(h => h.cell === cell);
    this.sendHold(cell, held, true);
    for (const pending of this.pending.values()) {
      if (pending.cell === cell) this.ask(pending);
    }
  }

  private ask(pending: PendingRequest): void {
    const {slotRequest, cell} = pending;
    const keeper = this.keeperOf(cell);
    const askedMs = this.options.clock.monotonicMs();
    const asked = {...pending, keeper, askedMs, isAnswered: false};
    this.pending.set(slotRequest.requestId, asked);
    this.options.timeline.record('asked', slotRequest.requestId, {
      cell,
      keeper,
    });
    this.options.router.send(keeper, {
      kind: 'ask',
      body: {cell, ticket: this.wireTicket(slotRequest)},
    });
  }

  /** Assigns a slot when the keeper does not reply, and reports it to the keeper as held; returns false if no backend server was chosen. */
  private assignWithoutKeeper(pending: PendingRequest): boolean {
    const {slotRequest, keeper, cell} = pending;
    const server = this.options.chooseWithoutKeeper?.(slotRequest);
    if (!server) return false;
    const ticketId = slotRequest.requestId;
    this.options.timeline.record('alone', ticketId, {
      keeper,
      server: server.name,
    });
    this.withdraw(ticketId);
    const grantedMs = this.options.clock.monotonicMs();
    const held: HeldSlot = {cell, slotRequest, runner: server.name, grantedMs};
    this.held.set(ticketId, held);
    this.sendHold(cell, [held], false);
    pending.resolve({ticketId, server, heldBackMs: 0});
    return true;
  }

  private handleUnanswered(): void {
    const beforeMs = this.options.clock.monotonicMs() - ANSWER_TIMEOUT_MS;
    for (const pending of this.pending.values()) {
      if (pending.isAnswered || pending.askedMs > beforeMs) continue;
      this.options.onUnanswered?.(pending.keeper);
      this.assignWithoutKeeper(pending);
    }
  }

  private repeatAsks(): void {
    this.handleUnanswered();
    const beforeMs = this.options.clock.monotonicMs() - ASK_RETRY_INTERVAL_MS;
    for (const pending of this.pending.values()) {
      if (pending.askedMs <= beforeMs) this.ask(pending);
    }
  }

  private withdraw(ticketId: string): void {
    const pending = this.pending.get(ticketId);
    if (!pending) return;
    this.pending.delete(ticketId);
    const {cell} = pending;
    this.sendToKeeper(cell, {kind: 'withdraw', body: {cell, ticketId}});
  }

  private sendHold(
    cell: string,
    held: readonly HeldSlot[],
    isReport: boolean,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    this.sendToKeeper(cell, {
      kind: 'hold',
      body: {
        cell,
        held: held.map(({slotRequest, runner, grantedMs}) => ({
          ticket: this.wireTicket(slotRequest),
          runner,
          ageMs: Math.max(0, Math.round(nowMs - grantedMs)),
        })),
        isReport,
      },
    });
  }

  private sendToKeeper(cell: string, message: peers.messages.Message): void {
    this.options.router.send(this.keeperOf(cell), message);
  }

  /** Returns the keeper of a cell; this host itself when no host is serving, as when the last one leaves. */
  private keeperOf(cell: string): string {
    const key = decisions.celltopology.parseCellName(cell);
    const {serving, host} = this.options;
    return decisions.celltopology.keeperOf(key, serving()) ?? host;
  }

  private recordWait(cell: string, waitMs: number): void {
    const atMs = this.options.clock.monotonicMs();
    this.reportedWaits.set(cell, {waitMs, atMs});
  }

  /** Returns the cells that a request may use, in order. Suspect requests of the same regions all use the same one, which runs one at a time. */
  private cellsFor(slotRequest: SlotRequest): readonly string[] {
    const {service, isSuspect, allowedRegions} = slotRequest;
    const cells = decisions.regions.cellsIn(service, allowedRegions);
    if (!isSuspect) return this.cellsByWait(cells);
    return cells.slice(0, 1).map(decisions.celltopology.cellName);
  }

  /** Returns cells by reported wait, shortest first; cells in other zones get a penalty. */
  private cellsByWait(
    cells: readonly decisions.celltopology.CellKey[],
  ): readonly string[] {
    const nowMs = this.options.clock.monotonicMs();
    const scored = cells.map(key => {
      const cell = decisions.celltopology.cellName(key);
      const reported = this.reportedWaits.get(cell);
      const isKnown = reported && nowMs - reported.atMs < REPORTED_WAIT_TTL_MS;
      const isOwnZone = key.zone === '' || key.zone === this.options.zone;
      const waitMs = isKnown ? reported.waitMs : 0;
      return {cell, costMs: waitMs + (isOwnZone ? 0 : OTHER_ZONE_COST_MS)};
    });
    return scored.sort((a, b) => a.costMs - b.costMs).map(({cell}) => cell);
  }

  private wireTicket(slotRequest: SlotRequest): peers.messages.Ticket {
    const nowMs = this.options.clock.monotonicMs();
    return {
      id: slotRequest.requestId,
      account: slotRequest.account.name,
      weight: slotRequest.account.weight,
      tier: slotRequest.tier,
      remainingMs: Math.round(slotRequest.deadlineMs - nowMs),
      firstWithinMs: Math.round(
        (slotRequest.firstByMs ?? slotRequest.deadlineMs) - nowMs,
      ),
      onTimeWithinMs: Math.round(
        (slotRequest.onTimeByMs ?? slotRequest.deadlineMs) - nowMs,
      ),
      promptTokens: slotRequest.promptTokens,
      outputTokens: slotRequest.outputTokens,
      chain: slotRequest.chain,
      version: slotRequest.version,
      isSuspect: slotRequest.isSuspect,
      isOptional: slotRequest.isOptional ?? false,
      avoid: slotRequest.avoid ?? [],
      excluded: slotRequest.excluded ?? [],
      urgency: slotRequest.urgency ?? 0,
      region: this.options.region,
      ...decisions.regions.toWire(slotRequest.allowedRegions),
    };
  }
}

const NOT_MEASURED: decisions.pace.Measurement = {
  prefillTokens: 0,
  outputTokens: 0,
  firstTokenMs: 0,
  durationMs: 0,
};

function atOnce(callback: () => void): void {
  callback();
}

function failed(
  failure: decisions.verdict.Failure,
): decisions.verdict.FailureError {
  return new decisions.verdict.FailureError(failure);
}
