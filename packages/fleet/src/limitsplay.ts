// A simulated deployment without network, whose backend servers have limits or are cold, for tests.

import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as fallbacks from './fallback.js';
import * as keepers from './keeper.js';
import * as slotsModule from './slots.js';
import * as statementsModule from './statements.js';
import * as timelines from './timeline.js';

const STEP_MS = 10;
const WINDOW_MS = 4000;
const SETTLE_MS = 500;
const RATE_FACTOR = 1.5;
const SLACK = 5;
/** The settings of a service in use, and the bounds of the deployments. */
const WARMUP = {durationMs: 3000, perS: 8};
const WARMUP_BOUNDS = {overshoot: 1.5, tolerance: 5};
const FIRST_FAULT_MS = 1500;
const MAX_HOSTS = 14;
const COLD_WINDOW_MS = 1000;
const HEARTBEAT_MS = 1200;
const ENTRIES_UNTIL_MS = 30_000;
const ZONES = ['z1', 'z2', 'z3'];

/** The limit that a model server states from a time on; undefined when it states none. */
export interface Phase {
  readonly fromMs: number;
  readonly limitPerS: number | undefined;
}

/** A time in which a model server is cold, after a restart or at any moment. */
export interface ColdPhase {
  readonly fromMs: number;
  readonly forMs: number;
  /** For how long the server was down before; undefined if it did not restart. */
  readonly downMs?: number;
}

/** What the entry of a model server says from a write on; undefined if there is none. */
interface Write {
  readonly atMs: number;
  readonly entry: decisions.coldstart.WarmupEntry | undefined;
}

interface Arrival {
  readonly atMs: number;
  readonly host: string;
}

/** A backend server of the model. */
interface ModelServer {
  readonly name: string;
  readonly phases: readonly Phase[];
  readonly coldPhases: readonly ColdPhase[];
  readonly writes: readonly Write[];
  readonly arrivals: Arrival[];
  /** When all requests were sent, also by disturbed hosts. */
  readonly allArrivalsMs: number[];
  /** When the first host got an answer with the limit of each phase. */
  readonly learntMs: Map<Phase, number>;
}

interface Delivery {
  readonly atMs: number;
  readonly run: () => void;
}

/** A host with its own view of the members. */
interface ModelHost {
  readonly name: string;
  readonly keeper: keepers.Keeper;
  readonly slots: slotsModule.Slots;
  readonly statements: statementsModule.Statements;
  view: readonly decisions.membership.Member[];
  /** What the host has read of the servers' entries. */
  readonly starts: Map<string, decisions.coldstart.ColdStart>;
  readonly gates: Map<string, decisions.sendgate.SendGate>;
  /** When the latest entry was written that the host has read. */
  readonly readMs: Map<string, number>;
  readonly listed: Set<string>;
  config: decisions.config.Config;
  isAlive: boolean;
  frozenUntilMs: number;
  /** When the host last was started or woke up. */
  disturbedMs: number;
}

/** How a play differs from others. */
export interface PlayOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly servers: number;
  readonly phasesOf: (server: number) => readonly Phase[];
  readonly requestsPerS: number;
  readonly playMs?: number;
  readonly coldPhasesOf?: (server: number) => readonly ColdPhase[];
  /** The longest time until a host has read an entry. */
  readonly maxEntryDelayMs?: number;
}

const ACCOUNT: decisions.config.Account = {
  name: 'a',
  keySha256: '',
  profiles: [],
  maxInFlight: 1,
  weight: 1,
};

/** A deployment on a simulated clock; messages take a few milliseconds, answers up to a second. */
export class Play {
  readonly clock = new decisions.clock.FakeClock(0);
  readonly servers: readonly ModelServer[];
  readonly hosts = new Map<string, ModelHost>();
  readonly log: string[] = [];
  readonly service: decisions.config.Service;
  private readonly random: decisions.random.Random;
  private readonly deliveries: Delivery[] = [];
  private readonly linkFreeMs = new Map<string, number>();
  private requests = 0;

  constructor(
    readonly options: PlayOptions,
    private readonly timers: test.MockTimers,
  ) {
    this.random = decisions.random.seeded(options.seed);
    this.servers = Array.from({length: options.servers}, (_, i) => ({
      name: `i-${i}`,
      phases: options.phasesOf(i),
      coldPhases: options.coldPhasesOf?.(i) ?? [],
      writes: writesOf(options.coldPhasesOf?.(i) ?? []),
      ...{arrivals: [], allArrivalsMs: []},
      learntMs: new Map<Phase, number>(),
    }));
    this.service = {
      ...{name: 's', kind: 'model', version: 'v1', fencing: 'ignored'},
      backendServers: this.servers.map(({name}, i) => ({
        ...{name, url: 'http://none', region: 'r', slotTokens: 100_000},
        ...{zone: ZONES[i % ZONES.length], maxRunning: 5},
      })),
    };
    const names = Array.from({length: options.hosts}, (_, i) => `h${i}`);
    for (const name of names) this.hosts.set(name, this.host(name));
    for (const host of this.hosts.values()) {
      host.view = names.map(member);
      this.start(host);
    }
    this.scheduleWrites();
  }

  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  /** Plays for `ms`; `onStep` is called before each step. */
  async run(ms: number, onStep?: () => void): Promise<void> {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      onStep?.();
      this.sendRequests();
      this.clock.advance(STEP_MS);
      this.timers.tick(STEP_MS);
      this.deliver();
      this.updateLimits();
      await settled();
    }
  }

  stop(): void {
    for (const host of this.hosts.values()) this.halt(host);
  }

  kill(name: string, downMs: number): void {
    const host = this.hosts.get(name);
    if (!host?.isAlive) return;
    this.log.push(`${this.nowMs} kill ${name}`);
    host.isAlive = false;
    this.halt(host);
    this.loseMember(name, 100, 1700);
    this.later(downMs, () => {
      this.log.push(`${this.nowMs} start ${name}`);
      const next = this.host(name);
      this.hosts.set(name, next);
      next.view = [...this.hosts.values()]
        .filter(each => each.isAlive)
        .map(each => member(each.name));
      next.disturbedMs = this.nowMs;
      this.start(next);
      this.gainMember(name);
    });
  }

  freeze(name: string, forMs: number): void {
    const host = this.hosts.get(name);
    if (!host?.isAlive || host.frozenUntilMs > this.nowMs) return;
    this.log.push(`${this.nowMs} freeze ${name} ${Math.round(forMs)}`);
    this.halt(host);
    host.frozenUntilMs = this.nowMs + forMs;
    const isNoticed = forMs > 1700;
    if (isNoticed) this.loseMember(name, 1200, 1700);
    this.later(forMs, () => {
      if (!host.isAlive) return;
      host.disturbedMs = this.nowMs;
      this.startTimers(host);
      if (isNoticed) this.gainMember(name);
    });
  }

  /** Adds a host that was not there before. */
  add(name: string): void {
    const host = this.host(name);
    this.hosts.set(name, host);
    host.view = [...this.hosts.values()].map(each => member(each.name));
    host.disturbedMs = this.nowMs;
    this.start(host);
    this.gainMember(name);
  }

  /** Returns an `onStep` that kills, freezes and adds hosts at random, keepers most of all. */
  faults(draw: decisions.random.Random): () => void {
    let nextFaultMs = FIRST_FAULT_MS;
    let added = this.options.hosts;
    return () => {
      if (this.nowMs < nextFaultMs) return;
      nextFaultMs += 200 + draw() * 2500;
      const names = [...this.hosts.keys()];
      const [cell] = decisions.celltopology.cellsOf(this.service);
      const members = names.map(member);
      const keeper = decisions.celltopology.keeperOf(cell, members);
      const name =
        keeper !== undefined && draw() < 0.6
          ? keeper
          : names[Math.floor(draw() * names.length)];
      const kind = draw();
      if (kind < 0.4) this.kill(name, 300 + draw() * 3000);
      else if (kind < 0.8) this.freeze(name, 300 + draw() * 4000);
      else if (added < MAX_HOSTS) this.add(`h${added++}`);
    };
  }

  /** Returns the most requests in `WINDOW_MS` over what the limit allows, while a server states the same; hosts that were disturbed lately don't count. */
  worstExcess(): number {
    let worst = -Infinity;
    for (const {phases, arrivals, learntMs} of this.servers) {
      phases.forEach((phase, i) => {
        const {limitPerS} = phase;
        const fromMs = learntMs.get(phase);
        if (limitPerS === undefined || fromMs === undefined) return;
        const untilMs = phases[i + 1]?.fromMs ?? Infinity;
        const counted = arrivals.filter(
          ({atMs}) => atMs >= fromMs + SETTLE_MS && atMs < untilMs,
        );
        const allowed = (RATE_FACTOR * limitPerS * WINDOW_MS) / 1000 + SLACK;
        counted.forEach((first, from) => {
          const inWindow = counted
            .slice(from)
            .filter(({atMs}) => atMs < first.atMs + WINDOW_MS).length;
          worst = Math.max(worst, inWindow - allowed);
        });
      });
    }
    return worst;
  }

  /** Returns the most requests to a cold server in a second over what is allowed; `learnMs` after a server became cold without a restart. */
  worstColdExcess(learnMs: number): number {
    const allowed =
      WARMUP.perS * WARMUP_BOUNDS.overshoot + WARMUP_BOUNDS.tolerance;
    let worst = -Infinity;
    for (const {coldPhases, allArrivalsMs} of this.servers) {
      for (const {fromMs, forMs, downMs} of coldPhases) {
        const countedMs = fromMs + (downMs === undefined ? learnMs : 0);
        const counted = allArrivalsMs.filter(
          atMs => atMs >= countedMs && atMs < fromMs + forMs,
        );
        for (const firstMs of counted) {
          const inWindow = counted.filter(
            atMs => atMs >= firstMs && atMs < firstMs + COLD_WINDOW_MS,
          );
          worst = Math.max(worst, inWindow.length - allowed);
        }
      }
    }
    return worst;
  }

  /** The limit of a cold server as a host knows it. */
  private coldPerSOf(host: ModelHost, server: string): number | undefined {
    const start = host.starts.get(server);
    return start && this.nowMs < start.untilMs(WARMUP)
      ? decisions.coldstart.pacedPerS(WARMUP, WARMUP_BOUNDS)
      : undefined;
  }

  /** Makes each host read each entry some time after it was written. */
  private scheduleWrites(): void {
    const maxMs = this.options.maxEntryDelayMs ?? 700;
    for (const server of this.servers) {
      for (const write of server.writes) {
        this.later(write.atMs - this.nowMs, () => {
          for (const host of this.hosts.values()) {
            this.later(this.between(5, maxMs), () =>
              this.at(host, () => this.read(host, server.name, write, false)),
            );
          }
        });
      }
    }
  }

  private read(
    host: ModelHost,
    server: string,
    {atMs, entry}: Write,
    isListed: boolean,
  ): void {
    if ((host.readMs.get(server) ?? -Infinity) > atMs) return;
    host.readMs.set(server, atMs);
    const known = host.starts.get(server);
    const now = {monotonicMs: this.nowMs, wallMs: this.nowMs};
    if (!entry) host.listed.delete(server);
    else {
      host.listed.add(server);
      const {of} = decisions.coldstart.ColdStart;
      const next = known?.withEntry(entry, now) ?? of(entry, now, isListed);
      host.starts.set(server, next);
    }
    host.config = this.configOf(host.listed);
    host.keeper.onConfig();
    host.slots.onMembers();
  }

  private noteDown({starts, keeper}: ModelHost, server: string): void {
    const start = starts.get(server);
    if (start) starts.set(server, start.withDown(this.nowMs));
    keeper.onLimit(server);
  }

  private configOf(listed: ReadonlySet<string>): decisions.config.Config {
    const {service} = this;
    const backendServers = service.backendServers.filter(({name}) =>
      listed.has(name),
    );
    if (backendServers.length === 0) return decisions.config.Config.empty;
    const value = {...service, backendServers};
    return decisions.config.Config.restore(1, [
      {entry: 'service', name: service.name, value},
    ]);
  }

  /** Lets hosts notice that cold times have ended. */
  private updateLimits(): void {
    for (const host of this.hosts.values()) {
      if (host.starts.size === 0) continue;
      this.at(host, () => host.keeper.onLimits());
    }
  }

  private later(ms: number, run: () => void): void {
    this.deliveries.push({atMs: this.nowMs + ms, run});
  }

  private between(from: number, to: number): number {
    return from + (to - from) * this.random();
  }

  private deliver(): void {
    for (;;) {
      const due = this.deliveries
        .filter(({atMs}) => atMs <= this.nowMs)
        .sort((a, b) => a.atMs - b.atMs);
      if (due.length === 0) return;
      for (const each of due) {
        this.deliveries.splice(this.deliveries.indexOf(each), 1);
      }
      for (const {run} of due) run();
    }
  }

  /** Runs a step of a host, or later if it is frozen; never if it is killed. */
  private at(host: ModelHost, run: () => void): void {
    if (!host.isAlive) return;
    if (host.frozenUntilMs <= this.nowMs) return run();
    this.later(host.frozenUntilMs - this.nowMs, () => this.at(host, run));
  }

  /** Makes other hosts notice that this start of a host is lost; they learn of a newer start in any order. */
  private loseMember(name: string, fromMs: number, toMs: number): void {
    const lost = this.hosts.get(name);
    for (const other of this.hosts.values()) {
      if (other.name === name) continue;
      this.later(this.between(fromMs, toMs), () =>
        this.at(other, () => {
          if (this.hosts.get(name) !== lost) return;
          other.view = other.view.filter(({host}) => host !== name);
          other.keeper.onHostGone(name);
          other.slots.onMembers();
        }),
      );
    }
  }

  private gainMember(name: string): void {
    for (const other of this.hosts.values()) {
      if (other.name === name) continue;
      this.later(this.between(20, 400), () =>
        this.at(other, () => {
          const others = other.view.filter(({host}) => host !== name);
          other.view = [...others, member(name)];
          other.slots.onMembers();
          other.statements.onJoin(name, other.view.length);
        }),
      );
    }
  }

  private send(from: string, to: string, item: peers.messages.Message): void {
    const link = `${from}>${to}`;
    const atMs = Math.max(
      this.linkFreeMs.get(link) ?? 0,
      this.nowMs + this.between(1, 12),
    );
    this.linkFreeMs.set(link, atMs);
    const receiver = this.hosts.get(to);
    this.deliveries.push({
      atMs,
      run: () => {
        if (receiver && this.hosts.get(to) === receiver) {
          this.at(receiver, () => receive(receiver, from, item));
        }
      },
    });
  }

  private host(name: string): ModelHost {
    const router = {
      send: (to: string, item: peers.messages.Message) => {
        this.send(name, to, item);
        return true;
      },
    } as never;
    const {clock, random} = this;
    const host: {-readonly [K in keyof ModelHost]?: ModelHost[K]} = {};
    const common = {
      ...{host: name, clock, router, timeline: new timelines.Timeline(name)},
      config: () => (host as ModelHost).config,
      serving: () => (host as ModelHost).view,
    };
    const statements = new statementsModule.Statements({
      ...{host: name, clock, router},
      targets: except =>
        (host as ModelHost).view
          .map(each => each.host)
          .filter(other => other !== name && other !== except),
      keepersOf: server => {
        const zone = this.service.backendServers.find(
          each => each.name === server,
        )?.zone;
        const cell = decisions.celltopology
          .cellsOf(this.service)
          .find(key => key.zone === '' || key.zone === zone);
        if (!cell) return [];
        const {view} = host as ModelHost;
        const keeper = decisions.celltopology.keeperOf(cell, view);
        return keeper === undefined ? [] : [keeper];
      },
      isInUse: () => true,
      onChange: ({server}) => host.keeper?.onLimit(server),
    });
    const limitPerSOf = (server: string) =>
      statements.valueOf(server, 'limit') ??
      this.coldPerSOf(host as ModelHost, server);
    const none = {list: () => Promise.resolve([])} as never;
    const keeper: keepers.Keeper = new keepers.Keeper({
      ...{...common, serverList: none, limitPerSOf},
      onOutcome: (server, {kind}) => {
        if (kind === 'unreachable') this.noteDown(host as ModelHost, server);
      },
    });
    const slots: slotsModule.Slots = new slotsModule.Slots({
      ...{...common, region: 'r', zone: ZONES[Number(name.slice(1)) % 3]},
      chooseWithoutKeeper: slotRequest =>
        fallbacks.chooseServer(slotRequest, {
          ...{region: 'r', random, limitPerSOf},
          heldOn: server => slots.heldOn(server),
        }),
    });
    const listed = new Set(this.servers.map(server => server.name));
    return Object.assign(host, {
      starts: new Map<string, decisions.coldstart.ColdStart>(),
      gates: new Map<string, decisions.sendgate.SendGate>(),
      readMs: new Map<string, number>(),
      ...{listed, config: this.configOf(listed)},
      ...{name, keeper, slots, statements, view: [member(name)]},
      ...{isAlive: true, frozenUntilMs: 0, disturbedMs: -Infinity},
    });
  }

  private start(host: ModelHost): void {
    for (const {name, writes} of this.servers) {
      const latest = writes.filter(({atMs}) => atMs <= this.nowMs).pop();
      if (latest) this.read(host, name, latest, true);
    }
    this.startTimers(host);
    host.slots.onMembers();
  }

  private startTimers({keeper, slots, statements}: ModelHost): void {
    keeper.start();
    slots.start();
    statements.start();
  }

  private halt({keeper, slots, statements}: ModelHost): void {
    keeper.stop();
    slots.stop();
    statements.stop();
  }

  private sendRequests(): void {
    const perStep = (this.options.requestsPerS * STEP_MS) / 1000;
    const count = Math.floor(perStep) + Number(this.random() < perStep % 1);
    const hosts = [...this.hosts.values()].filter(
      host => host.isAlive && host.frozenUntilMs <= this.nowMs,
    );
    for (let i = 0; i < count && hosts.length > 0; i++) {
      this.request(hosts[Math.floor(this.random() * hosts.length)]);
    }
  }

  private request(host: ModelHost): void {
    const requestId = `r${++this.requests}`;
    const tier = (1 + Math.floor(this.random() * 3)) as decisions.config.Tier;
    const service = host.config.get('service', this.service.name);
    if (!service) return;
    const slotRequest: slotsModule.SlotRequest = {
      ...{requestId, service, account: ACCOUNT, tier},
      deadlineMs: this.nowMs + this.between(1500, 5000),
      ...{promptTokens: 100, outputTokens: 30, chain: [], version: ''},
      isSuspect: false,
    };
    void host.slots.acquire(slotRequest, new AbortController().signal).then(
      grant => this.at(host, () => this.dispatch(host, grant)),
      () => undefined,
    );
  }

  /** Sends a request to its server, whose answer may be late or lost. */
  private dispatch(host: ModelHost, grant: slotsModule.Grant): void {
    const server = this.servers.find(({name}) => name === grant.server.name);
    if (!server) return;
    const coldPerS = this.coldPerSOf(host, server.name);
    const gate =
      host.gates.get(server.name) ?? new decisions.sendgate.SendGate();
    host.gates.set(server.name, gate);
    const isHeld =
      coldPerS !== undefined && !gate.tryPass(coldPerS, this.nowMs);
    if (isHeld || !host.listed.has(server.name)) {
      return host.slots.done(grant.ticketId, {kind: 'cancelled'});
    }
    const isDown = server.coldPhases.some(
      ({fromMs, downMs = 0}) =>
        this.nowMs >= fromMs - downMs && this.nowMs < fromMs,
    );
    if (isDown) {
      this.noteDown(host, server.name);
      return host.slots.done(grant.ticketId, {kind: 'unreachable'});
    }
    server.allArrivalsMs.push(this.nowMs);
    const revisions = host.statements.revisionsOf(server.name);
    const isDisturbed = this.nowMs - host.disturbedMs < WINDOW_MS;
    const answerMs = this.between(20, 150);
    if (!isDisturbed) {
      server.arrivals.push({atMs: this.nowMs, host: host.name});
    }
    const isLost = this.random() < 0.03;
    const delayMs = this.random() < 0.1 ? this.between(100, 1000) : 2;
    this.later(answerMs, () => {
      const phase = server.phases
        .filter(({fromMs}) => fromMs <= this.nowMs)
        .pop();
      const limit = phase?.limitPerS;
      this.later(delayMs, () =>
        this.at(host, () => {
          if (isLost) return;
          if (phase && !server.learntMs.has(phase)) {
            server.learntMs.set(phase, this.nowMs);
          }
          host.statements.onAnswer('r', server.name, revisions, {limit});
        }),
      );
    });
    this.later(answerMs + delayMs + this.between(10, 300), () =>
      this.at(host, () =>
        host.slots.done(
          grant.ticketId,
          isLost
            ? {kind: 'failed'}
            : {
                kind: 'completed',
                measured: {
                  ...{prefillTokens: 100, outputTokens: 30},
                  ...{firstTokenMs: 50, durationMs: 200},
                },
              },
        ),
      ),
    );
  }
}

/** The writes of a server that restarts or becomes cold: at each change, and at each heartbeat. */
function writesOf(phases: readonly ColdPhase[]): readonly Write[] {
  if (phases.length === 0) return [];
  const changes = phases.flatMap(({fromMs, downMs}) =>
    downMs === undefined ? [fromMs] : [fromMs - downMs, fromMs],
  );
  const beats = Array.from(
    {length: ENTRIES_UNTIL_MS / HEARTBEAT_MS},
    (_, i) => i * HEARTBEAT_MS,
  );
  const times = [...new Set([...changes, ...beats])].sort((a, b) => a - b);
  return times.map((atMs, i) => {
    const isDown = phases.some(
      ({fromMs, downMs = 0}) => atMs >= fromMs - downMs && atMs < fromMs,
    );
    if (isDown) return {atMs, entry: undefined};
    const latest = phases.filter(({fromMs}) => fromMs <= atMs).pop();
    const restart = phases
      .filter(({fromMs, downMs}) => downMs !== undefined && fromMs <= atMs)
      .pop();
    const leftMs = latest ? latest.fromMs + latest.forMs - atMs : 0;
    const entry = {
      leftMs: Math.max(0, leftMs),
      startedAtMs: restart?.fromMs ?? 0,
      position: decisions.storeposition.StorePosition.of(1, i + 1),
    };
    return {atMs, entry};
  });
}

export function member(host: string): decisions.membership.Member {
  const zone = ZONES[Number(host.slice(1)) % ZONES.length];
  return {
    ...{host, region: 'r', zone, callerUrl: '', peerAddress: ''},
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

const settled = () => new Promise(resolve => setImmediate(resolve));

/** Plays with mocked timers and stops all hosts in the end. */
export async function play(
  options: PlayOptions,
  run: (sim: Play) => Promise<void>,
): Promise<void> {
  const {timers} = test.mock;
  timers.enable({apis: ['setInterval']});
  const sim = new Play(options, timers);
  try {
    await run(sim);
  } finally {
    sim.stop();
    timers.reset();
  }
}
