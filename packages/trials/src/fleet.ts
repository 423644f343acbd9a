// The fleet that the trials run on, except the simulation of moves.ts: real
// daemons, with stand-ins for the platform and the backend servers, as processes
// on loopback.

import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';

import type * as decisions from '@banyanhall/decisions';
import got from 'got';

import * as processes from './processes.js';
import * as relays from './relay.js';

const FLEET_SECRET = 'trial-fleet-secret-0001';
const OPERATOR_KEY = 'trial-operator-key';
const MAX_POLLS = 200;
const READY_POLL_MS = 50;
const REQUEST_TIMEOUT_MS = 3000;

/** An event of the timeline log of a host. */
export interface FleetEvent {
  readonly host: string;
  readonly seq: number;
  readonly atMs: number;
  readonly kind: string;
  readonly requestId: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** A request that a stand-in engine started to run, as the engine reports it. */
export interface EngineRun {
  readonly backend: string;
  readonly streamId: string;
  readonly version: string;
  readonly atMs: number;
  readonly promptTail: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** An effect of a request with the idempotency key `key`, as the stand-in of a plain service reports it. */
export interface ServiceEffect {
  readonly backend: string;
  readonly key: string;
  readonly atMs: number;
}

/** A host of the fleet: a daemon process and its addresses. */
export interface Host {
  readonly name: string;
  readonly region: string;
  readonly zone: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerAddress: string;
  /** The relay in front of `peerAddress` that other hosts connect to. */
  readonly peerRelay: relays.Relay;
  /** The relay that the host connects to for the platform. */
  readonly platformRelay: relays.Relay;
  process: processes.RunningProcess;
}

/** A backend server of the fleet: a stand-in process and its entry in the configuration. */
export interface Backend {
  readonly name: string;
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  readonly server: decisions.config.BackendServer;
  /** How the stand-in behaves when it is started. */
  readonly behaviour: object;
  process: processes.RunningProcess;
}

/** A service and its backend servers; `slotTokens` and `maxRunning` hold for each of them. */
export interface ServicePlan {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly fencing: decisions.config.FencingCheck;
  /** One entry per backend server: how its stand-in behaves. */
  readonly behaviours: readonly object[];
  readonly slotTokens: number;
  readonly maxRunning: number;
}

/** The region and the availability zone of a host or backend server. */
export interface Location {
  readonly region: string;
  readonly zone: string;
}

/** What a fleet is started with. Hosts and backend servers are spread over `locations` in turn. */
export interface FleetPlan {
  readonly hosts: number;
  readonly locations: readonly Location[];
  readonly services: readonly ServicePlan[];
  readonly profiles: readonly decisions.config.Profile[];
  readonly accounts: readonly string[];
  /** How long callers may cache the addresses of hosts. */
  readonly addressKeepMs: number;
  /** How the stand-in of the platform behaves. */
  readonly platform: object;
  /** Whether hosts log their timeline, which fills `Fleet.events`. */
  readonly keepsTimeline: boolean;
}

/** The SHA-256 digest, in hex, of the API key of an account; the key is `key-` and the name of the account. */
export function keySha256(account: string): string {
  return crypto.createHash('sha256').update(`key-${account}`).digest('hex');
}

/** A running fleet. `stop` ends every process that it started. */
export class Fleet {
  readonly hosts: Host[] = [];
  readonly backends: Backend[] = [];
  readonly events: FleetEvent[] = [];
  /** The other lines of output of the hosts, from both output streams. */
  readonly logLines: string[] = [];
  readonly runs: EngineRun[] = [];
  readonly effects: ServiceEffect[] = [];
  platformUrl = '';
  private platformProcess: processes.RunningProcess | undefined;

  private constructor(readonly plan: FleetPlan) {}

  /** Starts a fleet and resolves when its configuration is in force on every host. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    try {
      await fleet.startAll();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Changes how the stand-in of a backend server behaves; does nothing when it cannot be reached. */
  async setBackendBehaviour(
    backend: Backend,
    behaviour: object,
  ): Promise<void> {
    await got
      .post(`${backend.server.url}/fault`, {
        json: behaviour,
        retry: {limit: 0},
        timeout: {request: REQUEST_TIMEOUT_MS},
      })
      .catch(() => undefined);
  }

  /** Changes how the stand-in of the platform behaves. */
  async setPlatformBehaviour(behaviour: object): Promise<void> {
    await got.post(`${this.platformUrl}/fault`, {json: behaviour});
  }

  /** Changes the state of a backend server in the platform's list, which takes effect with the lag of the list. */
  async setListedState(name: string, state: 'live' | 'leaving'): Promise<void> {
    await got.post(`${this.platformUrl}/list`, {json: {name, state}});
  }

  /** Restarts every backend server whose process has ended. */
  async reviveBackends(): Promise<void> {
    for (const backend of this.backends) {
      const {exitCode, signalCode} = backend.process.child;
      if (exitCode === null && signalCode === null) continue;
      await this.restartBackend(backend);
    }
  }

  /** Starts a new process for a backend server at its old address. */
  async restartBackend(backend: Backend): Promise<void> {
    const {name, kind, behaviour} = backend;
    const port = Number(new URL(backend.server.url).port);
    const onLine = (line: string) => this.recordStandInLine(name, line);
    const options = {name, kind, port, behaviour, onLine};
    backend.process = await processes.startStandIn(options);
  }

  /** Starts the host with this index: a new one, or a new process for one that has ended. */
  async startHost(index: number): Promise<Host> {
    const {locations} = this.plan;
    const location = locations[index % locations.length];
    const name = `host-${index + 1}`;
    const known = this.hosts.find(host => host.name === name);
    if (known) {
      known.process = this.spawnHost(known);
      return known;
    }
    const [caller, operator, peer] = await processes.freePorts(3);
    const host = {
      name,
      ...location,
      callerUrl: `http://127.0.0.1:${caller}`,
      operatorUrl: `http://127.0.0.1:${operator}`,
      peerAddress: `127.0.0.1:${peer}`,
      peerRelay: await relays.Relay.to(peer),
      platformRelay: await relays.Relay.to(
        Number(new URL(this.platformUrl).port),
      ),
    };
    const started: Host = {...host, process: this.spawnHost(host)};
    this.hosts.push(started);
    return started;
  }

  /** Resolves when the readiness check of a host succeeds; throws when it does not in time. */
  async waitUntilReady(host: Host): Promise<void> {
    for (let i = 0; i < MAX_POLLS; i++) {
      if (await this.isReady(host)) return;
      await timers.setTimeout(READY_POLL_MS);
    }
    throw new Error(
      `expected ${host.name} to become ready, got no success from any readiness check`,
    );
  }

  /** The hosts whose process has not ended. */
  get running(): readonly Host[] {
    return this.hosts.filter(
      host =>
        host.process.child.exitCode === null &&
        host.process.child.signalCode === null,
    );
  }

  /** Sends a request to the operator interface of a host: a POST when there is a body. */
  async callOperator<T>(host: Host, path: string, body?: object): Promise<T> {
    const response = await got(host.operatorUrl + path, {
      method: body ? 'POST' : 'GET',
      json: body,
      headers: {authorization: `Bearer ${OPERATOR_KEY}`},
      retry: {limit: 0},
      timeout: {request: REQUEST_TIMEOUT_MS * 4},
      throwHttpErrors: false,
    });
    return JSON.parse(response.body) as T;
  }

  /** Reads recorded data from a stand-in. */
  async readStandIn<T>(backend: Backend, path: string): Promise<T> {
    return got(backend.server.url + path, {
      timeout: {request: REQUEST_TIMEOUT_MS},
    }).json<T>();
  }

  /** Environment variables for the operators' command-line tool. */
  get operatorEnv(): Readonly<Record<string, string>> {
    return {
      BANYANHALL_OPERATOR_URL: this.hosts.map(h => h.operatorUrl).join(','),
      BANYANHALL_OPERATOR_KEY: OPERATOR_KEY,
    };
  }

  /** Ends every process and closes the relays. */
  async stop(): Promise<void> {
    const all = [
      ...this.hosts.map(host => host.process),
      ...this.backends.map(backend => backend.process),
      ...(this.platformProcess ? [this.platformProcess] : []),
    ];
    for (const {child} of all) {
      // A process that was frozen with SIGSTOP is resumed first.
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(all.map(({exited}) => exited));
    for (const {peerRelay, platformRelay} of this.hosts) {
      peerRelay.close();
      platformRelay.close();
    }
  }

  private async startAll(): Promise<void> {
    const {plan} = this;
    const [port] = await processes.freePorts(1);
    this.platformProcess = await processes.startStandIn({
      name: 'platform',
      kind: 'platform',
      port,
      behaviour: plan.platform,
    });
    this.platformUrl = `http://127.0.0.1:${port}`;
    for (const service of plan.services) await this.startService(service);
    for (let i = 0; i < plan.hosts; i++) await this.startHost(i);
    await Promise.all(this.hosts.map(host => this.waitUntilReady(host)));
    await this.configure();
  }

  private async startService(service: ServicePlan): Promise<void> {
    const kind = service.kind === 'model' ? 'engine' : 'plain';
    for (const [index, behaviour] of service.behaviours.entries()) {
      const name = `${service.name}-${index + 1}`;
      const [port] = await processes.freePorts(1);
      const onLine = (line: string) => this.recordStandInLine(name, line);
      const options = {name, kind, port, behaviour, onLine};
      const started = await processes.startStandIn(options);
      const {slotTokens, maxRunning} = service;
      const location = this.plan.locations[index % this.plan.locations.length];
      const url = `http://127.0.0.1:${port}`;
      this.backends.push({
        name,
        service: service.name,
        kind,
        server: {name, url, ...location, slotTokens, maxRunning},
        behaviour,
        process: started,
      });
    }
  }

  private async configure(): Promise<void> {
    const {profiles, accounts, services} = this.plan;
    const edits: decisions.config.Edit[] = [];
    for (const value of profiles) {
      edits.push({entry: 'profile', name: value.name, value});
    }
    for (const name of accounts) {
      const value = {
        name,
        keySha256: keySha256(name),
        profiles: profiles.map(profile => profile.name),
        maxInFlight: 1000,
        weight: 1,
      };
      edits.push({entry: 'account', name, value});
    }
    for (const {name, kind, fencing} of services) {
      const backendServers = this.backends
        .filter(backend => backend.service === name)
        .map(backend => backend.server);
      const value = {name, kind, fencing, version: 'v1', backendServers};
      edits.push({entry: 'service', name, value});
    }
    await this.commitChange(edits);
  }

  /** Commits a change of the configuration and resolves to its number when it is in force on every host. */
  async commitChange(edits: readonly decisions.config.Edit[]): Promise<number> {
    const [host] = this.hosts;
    const result = await this.callOperator<{
      readonly kind: string;
      readonly number: number;
    }>(host, '/operator/config', {
      changeId: crypto.randomUUID(),
      author: 'trial',
      edits,
    });
    if (result.kind !== 'committed') {
      throw new Error(
        `expected the change of the configuration to be committed, got ${JSON.stringify(result)}`,
      );
    }
    // No delay between polls: the host waits for probes before it answers.
    for (let i = 0; i < MAX_POLLS; i++) {
      const hosts = await this.callOperator<readonly {isInForce: boolean}[]>(
        host,
        `/operator/in-force/${result.number}`,
      );
      if (hosts.every(each => each.isInForce)) return result.number;
    }
    throw new Error(
      'expected the change of the configuration to be in force on every host, got at least one host without it in every poll',
    );
  }

  private spawnHost(host: Omit<Host, 'process'>): processes.RunningProcess {
    const {plan} = this;
    const digest = crypto.createHash('sha256').update(OPERATOR_KEY);
    return processes.start({
      name: host.name,
      script: processes.scriptPath('daemon', 'main.js'),
      args: [
        ...['--host-id', host.name],
        ...['--region', host.region],
        ...['--zone', host.zone],
        ...['--caller-listen', new URL(host.callerUrl).host],
        ...['--operator-listen', new URL(host.operatorUrl).host],
        ...['--peer-listen', host.peerAddress],
        ...['--peer-address', `127.0.0.1:${host.peerRelay.port}`],
        ...['--platform-url', `http://127.0.0.1:${host.platformRelay.port}`],
        ...['--address-keep-ms', String(plan.addressKeepMs)],
        ...['--operator-key-sha256', digest.digest('hex')],
        ...['--timeline-log', plan.keepsTimeline ? 'on' : 'off'],
      ],
      env: {BANYANHALL_FLEET_SECRET: FLEET_SECRET},
      onLine: line => this.recordHostLine(line),
      onErrorLine: line => this.logLines.push(line),
    });
  }

  /** Records a run or an effect from a line of JSON that a stand-in wrote. */
  private recordStandInLine(backend: string, line: string): void {
    const report = JSON.parse(line) as {
      readonly run?: Omit<EngineRun, 'backend'>;
      readonly effect?: Omit<ServiceEffect, 'backend'>;
    };
    if (report.run) this.runs.push({backend, ...report.run});
    if (report.effect) this.effects.push({backend, ...report.effect});
  }

  /** Records a timeline event; any other line counts as a log line. */
  private recordHostLine(line: string): void {
    try {
      this.events.push(JSON.parse(line) as FleetEvent);
    } catch {
      this.logLines.push(line);
    }
  }

  private async isReady(host: Host): Promise<boolean> {
    return got(`${host.callerUrl}/readyz`, {
      retry: {limit: 0},
      timeout: {request: REQUEST_TIMEOUT_MS},
    }).then(
      () => true,
      () => false,
    );
  }
}
