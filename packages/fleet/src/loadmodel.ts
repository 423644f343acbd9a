// A deployment on a simulated clock, for tests of what hosts send to backend
// servers that are slowed, brittle or used by others. Not part of a host.

import type * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as fallbacks from './fallback.js';
import * as keepers from './keeper.js';
import * as slotsModule from './slots.js';
import * as statementsModule from './statements.js';
import * as timelines from './timeline.js';

const STEP_MS = 2;
const DEADLINE_MS = 1500;
/** How long a server that has failed is down. */
const DOWN_MS = 2000;
const TOKENS = 10;
/** How long a host whose links to the servers are cut sends on them, before it borrows those of others. */
const CUT_FOUND_MS = 600;
/** How long after its start the hosts read a server's entry. */
const MAX_ENTRY_DELAY_MS = 1000;

/** The state of a model server at one time. */
export interface ServerState {
  /** How many times the usual time work takes. */
  readonly slowdown: number;
  /** The fourth figure of load reports; undefined if they have three. */
  readonly slowdownPercent?: number;
  /** The rejections a second above which it fails, as it states; undefined if it states nothing. */
  readonly brittle?: number;
  /** How many requests may wait. */
  readonly maxWaiting: number;
  /** Requests of others that run there. */
  readonly foreign: number;
  /** The slots that it has; undefined if they are those that the list says. */
  readonly slots?: number;
}

/** The parameters of a model. */
export interface LoadModelOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly servers: number;
  readonly slots: number;
  readonly workMs: number;
  readonly requestsPerS: number;
  /** The time that requests have; `DEADLINE_MS` by default. */
  readonly deadlineMs?: number;
  readonly stateOf: (server: number, nowMs: number) => ServerState;
}

interface Work {
  leftMs: number;
  readonly onEnd: (kind: 'completed' | 'rejected' | 'crashed') => void;
}

/** A backend server of the model, and what was counted there. */
class ModelServer {
  readonly running: Work[] = [];
  readonly waiting: Work[] = [];
  received = 0;
  receivedWhileSlow = 0;
  rejected = 0;
  failures = 0;
  downUntilMs = 0;
  start = 1;
  private rejectedAtMs: number[] = [];

  constructor(
    readonly name: string,
    private readonly listedSlots: number,
    readonly stateAt: (nowMs: number) => ServerState,
  ) {}

  accept(work: Work, nowMs: number): void {
    const {slowdown, foreign, maxWaiting, slots} = this.stateAt(nowMs);
    if (nowMs < this.downUntilMs) return work.onEnd('crashed');
    this.received++;
    if (slowdown > 1) this.receivedWhileSlow++;
    const isFree = this.running.length + foreign < (slots ?? this.listedSlots);
    if (isFree) this.running.push(work);
    else if (this.waiting.length < maxWaiting) this.waiting.push(work);
    else this.reject(work, nowMs);
  }

  step(nowMs: number): void {
    const {slowdown, foreign, slots = this.listedSlots} = this.stateAt(nowMs);
    for (const work of [...this.running]) {
      work.leftMs -= STEP_MS / slowdown;
      if (work.leftMs > 0) continue;
      this.running.splice(this.running.indexOf(work), 1);
      work.onEnd('completed');
    }
    while (this.running.length + foreign < slots) {
      const next = this.waiting.shift();
      if (!next) return;
      this.running.push(next);
    }
  }

  /** Rejects a request; a brittle server fails when it rejects too many in a second. */
  private reject(work: Work, nowMs: number): void {
    this.rejected++;
    work.onEnd('rejected');
    const recent = [...this.rejectedAtMs, nowMs].filter(t => t > nowMs - 1000);
    this.rejectedAtMs = recent;
    const {brittle = Infinity} = this.stateAt(nowMs);
    if (recent.length <= brittle) return;
    this.failures++;
    this.restart(nowMs + DOWN_MS);
  }

  /** Ends what runs there; the server is back at a time. */
  restart(backMs: number): void {
    this.start++;
    this.rejectedAtMs = [];
    this.downUntilMs = backMs;
    const lost = [...this.running.splice(0), ...this.waiting.splice(0)];
    for (const each of lost) each.onEnd('crashed');
  }
}

interface ModelHost {
  readonly name: string;
  readonly keeper: keepers.Keeper;
  readonly slots: slotsModule.Slots;
  readonly statements: statementsModule.Statements;
  view: readonly decisions.membership.Member[];
  isAlive: boolean;
  /** What arrives while the host is frozen; undefined while it is not. */
  held: (() => void)[] | undefined;
  /** The requests that it has sent over links of its own, by ticket. */
  readonly sent: Set<string>;
  links: 'sound' | 'cut' | 'found-cut';
}

/** Hosts, servers and callers on a simulated clock; `timers` are the mocked intervals of hosts. */
export class LoadModel {
  readonly clock = new decisions.clock.FakeClock(0);
  readonly servers: readonly ModelServer[];
  readonly hosts: readonly ModelHost[];
  /** The times of requests that were served, in milliseconds. */
  readonly tookMs: number[] = [];
  requests = 0;
  private readonly service: decisions.config.Service;
  private readonly config: decisions.config.Config;
  private readonly random: decisions.random.Random;
  private readonly events: {atMs: number; run: () => void}[] = [];
  private readonly linkFreeMs = new Map<string, number>();

  constructor(
    private readonly options: LoadModelOptions,
    private readonly timers: test.MockTimers,
  ) {
    this.random = decisions.random.seeded(options.seed);
    const {slots, stateOf} = options;
    this.servers = Array.from({length: options.servers}, (_, i) => {
      return new ModelServer(`i-${i}`, slots, nowMs => stateOf(i, nowMs));
    });
    this.service = {
      ...{name: 's', kind: 'plain', version: 'v1', fencing: 'ignored'},
      backendServers: this.servers.map(({name}) => ({
        ...{name, url: '', region: 'r', zone: 'z', slotTokens: Infinity},
        maxRunning: slots,
        expectedPace: {prefillTokensPerS: 1e6, decodeTokensPerS: 100},
      })),
    };
    const {service} = this;
    this.config = decisions.config.Config.restore(1, [
      {entry: 'service', name: service.name, value: service},
    ]);
    const names = Array.from({length: options.hosts}, (_, i) => `h${i}`);
    this.hosts = names.map(name => this.host(name, names.map(member)));
    for (const host of this.hosts) this.start(host);
  }

  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  /** The name of the host that keeps the cell. */
  get keeper(): string {
    const [cell] = decisions.celltopology.cellsOf(this.service);
    const view = this.hosts.filter(h => h.isAlive).map(h => member(h.name));
    return decisions.celltopology.keeperOf(cell, view) ?? '';
  }

  /** Runs the model for `ms`. */
  async run(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    const perStep = (this.options.requestsPerS * STEP_MS) / 1000;
    while (this.nowMs < endMs) {
      const alive = this.hosts.filter(host => host.isAlive && !host.held);
      const count = Math.floor(perStep) + Number(this.random() < perStep % 1);
      for (let i = 0; i < count; i++) {
        this.request(alive[Math.floor(this.random() * alive.length)]);
      }
      this.clock.advance(STEP_MS);
      this.timers.tick(STEP_MS);
      for (const server of this.servers) server.step(this.nowMs);
      const due = this.events.filter(({atMs}) => atMs <= this.nowMs);
      for (const each of due) this.events.splice(this.events.indexOf(each), 1);
      for (const {run} of due.sort((a, b) => a.atMs - b.atMs)) run();
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Kills a host; the others notice after `noticedMs`. */
  kill(name: string, noticedMs: number): void {
    const lost = this.hosts.find(host => host.name === name);
    if (!lost) return;
    lost.isAlive = false;
    this.stopHost(lost);
    this.later(noticedMs, () => this.setGone(name));
  }

  /** Freezes a host for `forMs`; the others take it for lost after `noticedMs`, if that is sooner. */
  freeze(name: string, forMs: number, noticedMs: number): void {
    const frozen = this.hosts.find(host => host.name === name);
    if (!frozen) return;
    const held: (() => void)[] = [];
    frozen.held = held;
    this.stopHost(frozen);
    if (noticedMs < forMs) this.later(noticedMs, () => this.setGone(name));
    this.later(forMs, () => {
      frozen.held = undefined;
      for (const run of held) run();
      this.start(frozen);
      if (noticedMs < forMs) this.setBack(name);
    });
  }

  /** Cuts the links of a host to all servers for `forMs`: nothing passes, and neither side is told. */
  cut(name: string, forMs: number): void {
    const host = this.hosts.find(each => each.name === name);
    if (!host) return;
    host.links = 'cut';
    this.later(CUT_FOUND_MS, () => {
      host.links = 'found-cut';
      for (const ticketId of host.sent) {
        host.slots.done(ticketId, {kind: 'cancelled', mayRunOn: true});
      }
      host.sent.clear();
    });
    this.later(forMs, () => {
      host.links = 'sound';
    });
  }

  /** Restarts a server; hosts learn of its new start from its entry or its answers. */
  restart(server: ModelServer): void {
    server.restart(this.nowMs + DOWN_MS);
    for (const {keeper} of this.hosts) {
      this.later(DOWN_MS + MAX_ENTRY_DELAY_MS * this.random(), () =>
        keeper.onLimit(server.name),
      );
    }
  }

  stop(): void {
    for (const host of this.hosts) this.stopHost(host);
  }

  private setGone(name: string): void {
    for (const host of this.hosts) {
      if (host.name === name) continue;
      host.view = host.view.filter(each => each.host !== name);
      host.keeper.onHostGone(name);
      if (host.isAlive) host.slots.onMembers();
    }
  }

  private setBack(name: string): void {
    for (const host of this.hosts) {
      if (host.name === name) continue;
      host.view = [...host.view, member(name)];
      if (host.isAlive) host.slots.onMembers();
    }
  }

  private later(ms: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + ms, run});
  }

  private send(from: string, to: string, item: peers.messages.Message): void {
    const link = `${from}>${to}`;
    const freeMs = this.linkFreeMs.get(link) ?? 0;
    const atMs = Math.max(freeMs, this.nowMs + 1 + 3 * this.random());
    this.linkFreeMs.set(link, from === to ? this.nowMs : atMs);
    const run = () => {
      const host = this.hosts.find(each => each.name === to);
      if (!host?.isAlive) return;
      const deliver = () => receive(host, from, item);
      if (host.held) host.held.push(deliver);
      else deliver();
    };
    this.events.push({atMs: from === to ? this.nowMs : atMs, run});
  }

  private host(
    name: string,
    view: readonly decisions.membership.Member[],
  ): ModelHost {
    const router = {
      send: (to: string, item: peers.messages.Message) => {
        this.send(name, to, item);
        return true;
      },
    } as never;
    const {clock, config, random} = this;
    const common = {
      ...{host: name, clock, router, timeline: new timelines.Timeline(name)},
      ...{config: () => config, serving: () => host.view},
    };
    const startOf = (server: string) =>
      `${server}@${this.servers.find(each => each.name === server)?.start}`;
    const statements = new statementsModule.Statements({
      ...{host: name, clock, router, isInUse: () => true},
      targets: except =>
        host.view.map(h => h.host).filter(h => h !== name && h !== except),
      keepersOf: () => [this.keeper],
      onChange: ({server}) => keeper.onLimit(server.split('@')[0]),
    });
    const isBrittle = (server: string) =>
      statements.valueOf(startOf(server), 'brittle') !== undefined;
    const keeper = new keepers.Keeper({
      ...common,
      serverList: {list: () => Promise.resolve([])} as never,
      brittlePartOf: server => (isBrittle(server) ? 1 : undefined),
    });
    const slots: slotsModule.Slots = new slotsModule.Slots({
      ...{...common, region: 'r', zone: 'z'},
      chooseWithoutKeeper: slotRequest =>
        fallbacks.chooseServer(slotRequest, {
          ...{region: 'r', random, limitPerSOf: () => undefined, isBrittle},
          heldOn: server => slots.heldOn(server),
        }),
    });
    const host: ModelHost = {
      ...{name, keeper, slots, statements, view, isAlive: true},
      ...{held: undefined, sent: new Set<string>(), links: 'sound'},
    };
    return host;
  }

  private start({keeper, slots, statements}: ModelHost): void {
    for (const part of [keeper, slots, statements]) part.start();
    slots.onMembers();
  }

  private stopHost({keeper, slots, statements}: ModelHost): void {
    for (const part of [keeper, slots, statements]) part.stop();
  }

  private request(host: ModelHost): void {
    const requestId = `r${++this.requests}`;
    const beganMs = this.nowMs;
    const {deadlineMs = DEADLINE_MS} = this.options;
    const slotRequest: slotsModule.SlotRequest = {
      ...{requestId, service: this.service, tier: 2, account: ACCOUNT},
      ...{deadlineMs: beganMs + deadlineMs, promptTokens: 0, chain: []},
      ...{outputTokens: TOKENS, version: '', isSuspect: false},
    };
    void host.slots.acquire(slotRequest, new AbortController().signal).then(
      grant => {
        if (host.isAlive) this.dispatch(host, grant, beganMs);
      },
      () => undefined,
    );
  }

  private dispatch(
    host: ModelHost,
    {ticketId, server: {name}}: slotsModule.Grant,
    beganMs: number,
  ): void {
    const server = this.servers.find(each => each.name === name);
    if (!server) return;
    const sentMs = this.nowMs;
    const start = `${name}@${server.start}`;
    const revisions = host.statements.revisionsOf(start);
    const isCarried = host.links === 'found-cut';
    const carriedMs = () => (isCarried ? 1 + 3 * this.random() : 0);
    if (!isCarried) host.sent.add(ticketId);
    const onEnd: Work['onEnd'] = kind => {
      const {slowdownPercent, brittle, foreign} = server.stateAt(this.nowMs);
      const inUse = server.running.length + server.waiting.length + foreign + 1;
      const onAnswer = () => {
        if (!host.isAlive) return;
        if (!isCarried && !host.sent.delete(ticketId)) return;
        if (kind !== 'crashed') {
          host.statements.onAnswer('r', start, revisions, {brittle});
        }
        const durationMs = this.nowMs - sentMs;
        if (kind === 'rejected') {
          const outcome = {kind: 'not-admitted', isLeaving: false} as const;
          return host.slots.done(ticketId, outcome);
        }
        if (kind === 'crashed') return host.slots.done(ticketId, {kind});
        this.tookMs.push(this.nowMs - beganMs);
        const measured = {
          ...{prefillTokens: 0, outputTokens: TOKENS, firstTokenMs: 0},
          ...{durationMs, inUse, slowdownPercent},
        };
        host.slots.done(ticketId, {kind, measured});
      };
      this.later(1 + 2 * this.random() + carriedMs(), () => {
        if (!isCarried && host.links !== 'sound') return;
        if (host.held) host.held.push(onAnswer);
        else onAnswer();
      });
    };
    this.later(1 + 2 * this.random() + carriedMs(), () => {
      if (!isCarried && host.links !== 'sound') return;
      server.accept({leftMs: this.options.workMs, onEnd}, this.nowMs);
    });
  }
}

const ACCOUNT: decisions.config.Account = {
  ...{name: 'a', keySha256: '', profiles: [], maxInFlight: 1, weight: 1},
};

function member(host: string): decisions.membership.Member {
  return {
    ...{host, region: 'r', zone: 'z', callerUrl: '', peerAddress: ''},
    ...{incarnation: 1, state: 'serving'},
  };
}

function receive(
  {keeper, slots, statements}: ModelHost,
  from: string,
  {kind, body}: peers.messages.Message,
): void {
  const handlers: Readonly<Record<string, (body: never) => void>> = {
    ask: sent => keeper.onAsk(from, sent),
    withdraw: sent => keeper.onWithdraw(from, sent),
    done: sent => keeper.onDone(from, sent),
    hold: sent => keeper.onHold(from, sent),
    grant: sent => slots.onGrant(from, sent),
    refuse: sent => slots.onRefuse(from, sent),
    queued: sent => slots.onQueued(from, sent),
    news: (sent: peers.messages.MessageBodies['news']) =>
      statements.onNews(from, sent.statements),
  };
  handlers[kind]?.(body as never);
}
