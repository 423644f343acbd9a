import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as limits from './limits.js';
import type * as routers from './router.js';
import type * as timelines from './timeline.js';

/** A ticket that waits is asked for again, in case its keeper has forgotten it. */
const ASK_AGAIN_MS = 1000;
/** How long a keeper may leave an ask without any answer; covers two ways between regions and a busy loop. */
const ANSWER_TIMEOUT_MS = 150;
const CHECK_MS = 50;
const LOAD_KNOWN_MS = 2000;
const FAR_CELL_MS = 50;
/** A request of the lowest tier tries this many cells; higher tiers try all before they are refused. */
const LOWEST_TIER_CELLS = 2;

const LOWEST_TIER = decisions.config.TIERS.length;

/** What a request needs of a backend server; times on the monotonic clock. */
export interface SlotRequest {
  readonly requestId: string;
  readonly service: decisions.config.Service;
  readonly account: decisions.config.Account;
  readonly tier: decisions.config.Tier;
  /** Orders the requests of a tier, lower ones first; 0 when it is not given. */
  readonly urgency?: number;
  readonly deadlineMs: number;
  /** The latest first token that the caller waits for; the deadline when it is not given. */
  readonly firstByMs?: number;
  /** The latest first token that is on time; the deadline when it is not given. */
  readonly onTimeByMs?: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly chain: readonly number[];
  readonly version: string;
  readonly isSuspect: boolean;
  /** Backend servers that failed the request before. */
  readonly avoid?: readonly string[];
}

/** A slot on a backend server, to be given back with `done`. */
export interface Grant {
  readonly ticketId: string;
  readonly server: decisions.config.BackendServer;
}

/** What `Slots` needs from the rest of the host. */
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
   * Chooses a backend server without the keeper, when that does not answer.
   * Without it, asks are only repeated.
   */
  readonly chooseWithoutKeeper?: (
    wanted: SlotRequest,
  ) => decisions.config.BackendServer | undefined;
  /** Told of a keeper that left an ask unanswered. */
  readonly onUnanswered?: (keeper: string) => void;
}

interface Pending {
  readonly wanted: SlotRequest;
  readonly triedCells: ReadonlySet<string>;
  readonly cell: string;
  readonly keeper: string;
  readonly askedMs: number;
  readonly isAnswered: boolean;
  readonly resolve: (grant: Grant) => void;
  readonly reject: (error: decisions.verdict.FailureError) => void;
}

interface Held {
  readonly cell: string;
  readonly wanted: SlotRequest;
  readonly runner: string;
  readonly grantedMs: number;
}

interface KnownLoad {
  readonly waitMs: number;
  readonly atMs: number;
}

const REFUSALS: Readonly<
  Record<
    decisions.cellevents.RefusalReason,
    (retryAfterMs: number) => decisions.verdict.Failure
  >
> = {
  overloaded: retryAfterMs =>
    decisions.verdict.failure(
      'overloaded',
      'the service is too busy to answer inside the deadline',
      'not-run',
      retryAfterMs,
    ),
  deadline: () =>
    decisions.verdict.failure(
      'deadline-exceeded',
      'the request is too long for the deadline of its profile',
    ),
  'no-runner': retryAfterMs =>
    decisions.verdict.failure(
      'no-backend-server',
      'the service takes no work at present',
      'not-run',
      retryAfterMs,
    ),
};

/** The entry side of the slots: asks the keepers of cells and holds what they grant. */
export class Slots {
  private readonly pending = new Map<string, Pending>();
  private readonly held = new Map<string, Held>();
  private readonly keepers = new Map<string, string>();
  private readonly loads = new Map<string, KnownLoad>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SlotsOptions) {}

  /** Starts asking again for what got no answer. */
  start(): void {
    this.timer = setInterval(() => this.askAgain(), CHECK_MS);
  }

  /** Stops asking again. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** How many requests hold a slot or wait for one. */
  get inUse(): number {
    return this.pending.size + this.held.size;
  }

  /** How many slots this host holds on a backend server. */
  heldOn(server: string): number {
    let count = 0;
    for (const held of this.held.values()) {
      if (held.runner === server) count++;
    }
    return count;
  }

  /** Waits for a slot; rejects with FailureError (not-run) when refused, late or cancelled. */
  acquire(wanted: SlotRequest, signal: AbortSignal): Promise<Grant> {
    if (signal.aborted) {
      return Promise.reject(failed(limits.abortFailure(signal, 'not-run')));
    }
    const cells = this.cellsByLoad(wanted.service);
    if (cells.length === 0) {
      return Promise.reject(failed(REFUSALS['no-runner'](0)));
    }
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.withdraw(wanted.requestId);
        reject(failed(limits.abortFailure(signal, 'not-run')));
      };
      const settle = <T>(next: (value: T) => void) => {
        return (value: T) => {
          signal.removeEventListener('abort', onAbort);
          next(value);
        };
      };
      signal.addEventListener('abort', onAbort);
      this.ask({
        wanted,
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

  /** Takes over a slot that another host was given, for a stream that is resumed here. */
  adopt(wanted: SlotRequest, server: decisions.config.BackendServer): void {
    const key = decisions.celltopology
      .cellsOf(wanted.service)
      .find(({zone}) => zone === '' || zone === server.zone);
    if (!key) return;
    const cell = decisions.celltopology.cellName(key);
    const grantedMs = this.options.clock.monotonicMs();
    const held: Held = {cell, wanted, runner: server.name, grantedMs};
    this.held.set(wanted.requestId, held);
    this.sendHold(cell, [held], false);
  }

  /** Gives a slot back and says how the request ended. */
  done(ticketId: string, outcome: decisions.runner.Outcome): void {
    const held = this.held.get(ticketId);
    if (!held) return;
    this.held.delete(ticketId);
    const measured =
      outcome.kind === 'completed' ? outcome.measured : NOT_MEASURED;
    this.toKeeper(held.cell, {
      kind: 'done',
      body: {
        cell: held.cell,
        ticketId,
        outcome: outcome.kind,
        isLeaving: outcome.kind === 'not-admitted' && outcome.isLeaving,
        prefillTokens: Math.round(measured.prefillTokens),
        outputTokens: Math.round(measured.outputTokens),
        firstTokenMs: Math.round(measured.firstTokenMs),
        durationMs: Math.round(measured.durationMs),
        inUse: measured.inUse ?? 0,
      },
    });
  }

  /** Forgets a slot that another host has taken over. */
  forget(ticketId: string): void {
    this.held.delete(ticketId);
  }

  /** Takes in a grant; one that nobody waits for is given back at once. */
  onGrant(_: string, grant: peers.messages.MessageBodies['grant']): void {
    this.noteLoad(grant.cell, grant.waitMs);
    const pending = this.pending.get(grant.ticketId);
    if (!pending || pending.cell !== grant.cell) {
      if (this.held.has(grant.ticketId)) return;
      const {cell, ticketId} = grant;
      this.toKeeper(cell, {kind: 'withdraw', body: {cell, ticketId}});
      return;
    }
    this.pending.delete(grant.ticketId);
    const {wanted, cell} = pending;
    const server = wanted.service.backendServers.find(
      candidate => candidate.name === grant.runner,
    );
    const grantedMs = this.options.clock.monotonicMs();
    this.held.set(grant.ticketId, {
      cell,
      wanted,
      runner: grant.runner,
      grantedMs,
    });
    if (server) return pending.resolve({ticketId: grant.ticketId, server});
    this.done(grant.ticketId, {kind: 'cancelled'});
    pending.reject(failed(REFUSALS['no-runner'](0)));
  }

  /** Notes that a ticket waits at its keeper. */
  onQueued(_: string, queued: peers.messages.MessageBodies['queued']): void {
    this.noteLoad(queued.cell, queued.waitMs);
    const pending = this.pending.get(queued.ticketId);
    if (!pending || pending.cell !== queued.cell) return;
    this.pending.set(queued.ticketId, {...pending, isAnswered: true});
  }

  /**
   * Takes in a refusal. A request is refused only after every other cell of
   * its service had the chance to make room for it by giving up a lower
   * tier; that keeps the order of tiers over the whole fleet.
   */
  onRefuse(_: string, refuse: peers.messages.MessageBodies['refuse']): void {
    this.noteLoad(refuse.cell, refuse.waitMs);
    const pending = this.pending.get(refuse.ticketId);
    if (!pending || pending.cell !== refuse.cell) return;
    const triedCells = new Set(pending.triedCells).add(pending.cell);
    const {tier, service} = pending.wanted;
    const limit = tier === LOWEST_TIER ? LOWEST_TIER_CELLS : Infinity;
    const next = this.cellsByLoad(service).find(cell => !triedCells.has(cell));
    if (next && triedCells.size < limit) {
      this.ask({...pending, triedCells, cell: next});
      return;
    }
    this.pending.delete(refuse.ticketId);
    const reason = refuse.reason as decisions.cellevents.RefusalReason;
    this.options.timeline.record('refused', refuse.ticketId, {reason, tier});
    pending.reject(failed(REFUSALS[reason](refuse.retryAfterMs)));
  }

  /** Turns to the present keepers: reports what is held and asks again for what waits. */
  onMembers(): void {
    for (const service of this.options.config().list('service')) {
      for (const key of decisions.celltopology.cellsOf(service)) {
        this.refreshKeeper(key);
      }
    }
  }

  /** A link broke: what was asked over it may be lost. */
  onLinkDown(host: string): void {
    for (const pending of this.pending.values()) {
      if (pending.keeper === host) this.ask(pending);
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

  private ask(pending: Pending): void {
    const {wanted, cell} = pending;
    const keeper = this.keeperOf(cell);
    const askedMs = this.options.clock.monotonicMs();
    const asked = {...pending, keeper, askedMs, isAnswered: false};
    this.pending.set(wanted.requestId, asked);
    this.options.timeline.record('asked', wanted.requestId, {cell, keeper});
    this.options.router.send(keeper, {
      kind: 'ask',
      body: {cell, ticket: this.wireTicket(wanted)},
    });
  }

  /** Does without a keeper that left an ask unanswered: the slot is chosen here and told to it. */
  private doWithoutKeeper(pending: Pending): boolean {
    const {wanted, keeper, cell} = pending;
    const server = this.options.chooseWithoutKeeper?.(wanted);
    if (!server) return false;
    const ticketId = wanted.requestId;
    this.options.timeline.record('alone', ticketId, {
      keeper,
      server: server.name,
    });
    this.withdraw(ticketId);
    const grantedMs = this.options.clock.monotonicMs();
    const held: Held = {cell, wanted, runner: server.name, grantedMs};
    this.held.set(ticketId, held);
    this.sendHold(cell, [held], false);
    pending.resolve({ticketId, server});
    return true;
  }

  private checkUnanswered(): void {
    const beforeMs = this.options.clock.monotonicMs() - ANSWER_TIMEOUT_MS;
    for (const pending of this.pending.values()) {
      if (pending.isAnswered || pending.askedMs > beforeMs) continue;
      this.options.onUnanswered?.(pending.keeper);
      this.doWithoutKeeper(pending);
    }
  }

  private askAgain(): void {
    this.checkUnanswered();
    const beforeMs = this.options.clock.monotonicMs() - ASK_AGAIN_MS;
    for (const pending of this.pending.values()) {
      if (pending.askedMs <= beforeMs) this.ask(pending);
    }
  }

  private withdraw(ticketId: string): void {
    const pending = this.pending.get(ticketId);
    if (!pending) return;
    this.pending.delete(ticketId);
    const {cell} = pending;
    this.toKeeper(cell, {kind: 'withdraw', body: {cell, ticketId}});
  }

  private sendHold(
    cell: string,
    held: readonly Held[],
    isReport: boolean,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    this.toKeeper(cell, {
      kind: 'hold',
      body: {
        cell,
        held: held.map(({wanted, runner, grantedMs}) => ({
          ticket: this.wireTicket(wanted),
          runner,
          ageMs: Math.max(0, Math.round(nowMs - grantedMs)),
        })),
        isReport,
      },
    });
  }

  private toKeeper(cell: string, item: peers.messages.Message): void {
    this.options.router.send(this.keeperOf(cell), item);
  }

  /** The keeper of a cell; this host itself when it is the last one and leaving. */
  private keeperOf(cell: string): string {
    const key = decisions.celltopology.parseCellName(cell);
    const {serving, host} = this.options;
    return decisions.celltopology.keeperOf(key, serving()) ?? host;
  }

  private noteLoad(cell: string, waitMs: number): void {
    const atMs = this.options.clock.monotonicMs();
    this.loads.set(cell, {waitMs, atMs});
  }

  /** The cells of a service, the one with the shortest known wait first; the own zone is preferred. */
  private cellsByLoad(service: decisions.config.Service): readonly string[] {
    const nowMs = this.options.clock.monotonicMs();
    const scored = decisions.celltopology.cellsOf(service).map(key => {
      const cell = decisions.celltopology.cellName(key);
      const load = this.loads.get(cell);
      const isKnown = load && nowMs - load.atMs < LOAD_KNOWN_MS;
      const isNear = key.zone === '' || key.zone === this.options.zone;
      const waitMs = isKnown ? load.waitMs : 0;
      return {cell, costMs: waitMs + (isNear ? 0 : FAR_CELL_MS)};
    });
    return scored.sort((a, b) => a.costMs - b.costMs).map(({cell}) => cell);
  }

  private wireTicket(wanted: SlotRequest): peers.messages.Ticket {
    const nowMs = this.options.clock.monotonicMs();
    return {
      id: wanted.requestId,
      account: wanted.account.name,
      weight: wanted.account.weight,
      tier: wanted.tier,
      remainingMs: Math.round(wanted.deadlineMs - nowMs),
      firstWithinMs: Math.round(
        (wanted.firstByMs ?? wanted.deadlineMs) - nowMs,
      ),
      onTimeWithinMs: Math.round(
        (wanted.onTimeByMs ?? wanted.deadlineMs) - nowMs,
      ),
      promptTokens: wanted.promptTokens,
      outputTokens: wanted.outputTokens,
      chain: wanted.chain,
      version: wanted.version,
      isSuspect: wanted.isSuspect,
      avoid: wanted.avoid ?? [],
      urgency: wanted.urgency ?? 0,
      region: this.options.region,
    };
  }
}

const NOT_MEASURED: decisions.pace.Measurement = {
  prefillTokens: 0,
  outputTokens: 0,
  firstTokenMs: 0,
  durationMs: 0,
};

function failed(
  failure: decisions.verdict.Failure,
): decisions.verdict.FailureError {
  return new decisions.verdict.FailureError(failure);
}
