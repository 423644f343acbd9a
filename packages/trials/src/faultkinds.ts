import * as timers from 'node:timers/promises';

import type * as checks from './checks.js';
import type * as fleets from './fleet.js';

/** What a fault may act on, and where it notes what must hold meanwhile. */
export interface Scene {
  readonly fleet: fleets.Fleet;
  /** A host that may be hit, the same one for the whole fault. */
  readonly host: fleets.Host;
  readonly engine: fleets.Backend;
  readonly plain: fleets.Backend;
  readonly serial: number;
  readonly leaving: checks.Window[];
  readonly stops: checks.Window[];
  readonly killers: string[];
  /** Sends the request that crashes an engine; resolves when it has ended. */
  readonly sendKiller: (mark: string) => Promise<void>;
}

/** A kind of fault: `start` brings it about, the returned function heals it. */
export type FaultKind = (scene: Scene) => Promise<() => Promise<void>>;

const LIST_LAG_MS = 1000;
/** How long a leaving backend server may still get new work. */
const LEAVING_BOUND_MS = 3000;
const KILLER_SENDS = 4;
const KILLER_PAUSE_MS = 400;

function nothing(): Promise<void> {
  return Promise.resolve();
}

function backendFault(
  pick: (scene: Scene) => fleets.Backend,
  on: object,
  off: object,
): FaultKind {
  return async scene => {
    await scene.fleet.fault(pick(scene), on);
    return () => scene.fleet.fault(pick(scene), off);
  };
}

function platformFault(on: object, off: object): FaultKind {
  return async scene => {
    await scene.fleet.platformFault(on);
    return () => scene.fleet.platformFault(off);
  };
}

function relayFault(
  pick: (host: fleets.Host) => fleets.Host['peerRelay'],
  state: 'silent' | 'cut',
): FaultKind {
  return async ({host}) => {
    pick(host).setState(state);
    return async () => pick(host).setState('open');
  };
}

const killHost: FaultKind = async ({fleet, host}) => {
  host.process.child.kill('SIGKILL');
  await host.process.exited;
  return () => restart(fleet, host);
};

async function restart(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
  await fleet.startHost(fleet.hosts.indexOf(host));
}

const freezeHost: FaultKind = async ({host}) => {
  host.process.child.kill('SIGSTOP');
  return async () => {
    host.process.child.kill('SIGCONT');
  };
};

const stopHost: FaultKind = async ({fleet, host, stops}) => {
  const fromMs = Date.now();
  host.process.child.kill('SIGTERM');
  return async () => {
    await host.process.exited;
    stops.push({name: host.name, fromMs, toMs: Date.now()});
    await restart(fleet, host);
  };
};

function crashBackend(pick: (scene: Scene) => fleets.Backend): FaultKind {
  return async scene => {
    const backend = pick(scene);
    backend.process.child.kill('SIGKILL');
    await backend.process.exited;
    return () => scene.fleet.restartBackend(backend);
  };
}

/** The list says that a backend server is leaving, which itself still takes everything. */
const leavingInList: FaultKind = async ({fleet, engine, leaving}) => {
  const {name} = engine;
  await fleet.listed(name, 'leaving');
  const fromMs = Date.now() + LIST_LAG_MS + LEAVING_BOUND_MS;
  return async () => {
    leaving.push({name, fromMs, toMs: Date.now()});
    await fleet.listed(name, 'live');
  };
};

/** A caller sends a request that crashes backend servers again and again. */
const killerRequest: FaultKind = async scene => {
  const {fleet, killers, serial, sendKiller} = scene;
  const mark = `killer-${serial}`;
  killers.push(mark);
  for (let i = 0; i < KILLER_SENDS; i++) {
    await sendKiller(mark);
    await timers.setTimeout(KILLER_PAUSE_MS);
    await fleet.reviveBackends();
  }
  return nothing;
};

/** The kinds of faults by name. */
export const FAULTS: Readonly<Record<string, FaultKind>> = {
  'host killed': killHost,
  'host frozen': freezeHost,
  'host stopped': stopHost,
  'host links silent': relayFault(host => host.peerRelay, 'silent'),
  'host links cut': relayFault(host => host.peerRelay, 'cut'),
  'host cut from store': relayFault(host => host.platformRelay, 'cut'),
  'engine crashed': crashBackend(scene => scene.engine),
  'engine silent': backendFault(
    scene => scene.engine,
    {isSilent: true},
    {isSilent: false},
  ),
  'engine slow': backendFault(
    scene => scene.engine,
    {slowFactor: 10},
    {slowFactor: 1},
  ),
  'engine refusing': backendFault(
    scene => scene.engine,
    {isRefusing: true},
    {isRefusing: false},
  ),
  'engine leaving in list': leavingInList,
  'ledger crashed': crashBackend(scene => scene.plain),
  'ledger loses replies': backendFault(
    scene => scene.plain,
    {losesReplies: true},
    {losesReplies: false},
  ),
  'store down': platformFault({isDown: true}, {isDown: false}),
  'store slow': platformFault({delayMs: 400}, {delayMs: 2}),
  'store loses replies': platformFault({lostReplies: 0.4}, {lostReplies: 0}),
  'killer request': killerRequest,
};
