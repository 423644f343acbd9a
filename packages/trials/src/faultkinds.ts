// The faults that faults.ts injects.

import * as timers from 'node:timers/promises';

import type * as checks from './checks.js';
import type * as fleets from './fleet.js';

/** The targets of a fault, and the lists of `checks.TrialRecord` in which it records periods and marks. */
export interface FaultContext {
  readonly fleet: fleets.Fleet;
  /** The host that faults of hosts act on. */
  readonly host: fleets.Host;
  /** The model engine that faults of engines act on. */
  readonly engine: fleets.Backend;
  /** The backend server of a plain service that its faults act on. */
  readonly plain: fleets.Backend;
  /** A number that makes the mark of a killer request unique. */
  readonly serial: number;
  readonly leaving: checks.TimeWindow[];
  readonly plannedStops: checks.TimeWindow[];
  readonly killerMarks: string[];
  /** Sends a request that crashes the engine it runs on; resolves when it has ended. */
  readonly sendKiller: (mark: string) => Promise<void>;
}

/** A kind of fault: the call injects it, the returned function ends it. */
export type FaultKind = (context: FaultContext) => Promise<() => Promise<void>>;

/** How far the platform's list of backend servers lags; must equal `listLagMs` in faults.ts. */
const LIST_LAG_MS = 1000;
/** How long a backend server may still get requests after the list shows it as leaving. */
const MAX_LEAVING_DELAY_MS = 3000;
/** How often a killer request is sent; it is refused after two crashes. */
const KILLER_SENDS = 4;
const KILLER_DELAY_MS = 400;

function noop(): Promise<void> {
  return Promise.resolve();
}

function backendFault(
  pick: (context: FaultContext) => fleets.Backend,
  on: object,
  off: object,
): FaultKind {
  return async context => {
    await context.fleet.setBackendBehaviour(pick(context), on);
    return () => context.fleet.setBackendBehaviour(pick(context), off);
  };
}

function platformFault(on: object, off: object): FaultKind {
  return async context => {
    await context.fleet.setPlatformBehaviour(on);
    return () => context.fleet.setPlatformBehaviour(off);
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
  return () => restartHost(fleet, host);
};

async function restartHost(
  fleet: fleets.Fleet,
  host: fleets.Host,
): Promise<void> {
  await fleet.startHost(fleet.hosts.indexOf(host));
}

const freezeHost: FaultKind = async ({host}) => {
  host.process.child.kill('SIGSTOP');
  return async () => {
    host.process.child.kill('SIGCONT');
  };
};

const stopHost: FaultKind = async ({fleet, host, plannedStops}) => {
  const fromMs = Date.now();
  host.process.child.kill('SIGTERM');
  return async () => {
    await host.process.exited;
    plannedStops.push({name: host.name, fromMs, toMs: Date.now()});
    await restartHost(fleet, host);
  };
};

function crashBackend(
  pick: (context: FaultContext) => fleets.Backend,
): FaultKind {
  return async context => {
    const backend = pick(context);
    backend.process.child.kill('SIGKILL');
    await backend.process.exited;
    return () => context.fleet.restartBackend(backend);
  };
}

/** Marks a backend server as leaving in the platform's list while the server itself still accepts requests. */
const leavingInList: FaultKind = async ({fleet, engine, leaving}) => {
  const {name} = engine;
  await fleet.setListedState(name, 'leaving');
  const fromMs = Date.now() + LIST_LAG_MS + MAX_LEAVING_DELAY_MS;
  return async () => {
    leaving.push({name, fromMs, toMs: Date.now()});
    await fleet.setListedState(name, 'live');
  };
};

/** Sends the same killer request several times and restarts the crashed backend servers after each time. */
const killerRequest: FaultKind = async context => {
  const {fleet, killerMarks, serial, sendKiller} = context;
  const mark = `killer-${serial}`;
  killerMarks.push(mark);
  for (let i = 0; i < KILLER_SENDS; i++) {
    await sendKiller(mark);
    await timers.setTimeout(KILLER_DELAY_MS);
    await fleet.reviveBackends();
  }
  return noop;
};

/** The kinds of faults by name; the names are arguments of `npm run faults` and stand in the fault matrix. */
export const FAULTS: Readonly<Record<string, FaultKind>> = {
  'host killed': killHost,
  'host frozen': freezeHost,
  'host stopped': stopHost,
  'host links silent': relayFault(host => host.peerRelay, 'silent'),
  'host links cut': relayFault(host => host.peerRelay, 'cut'),
  'host cut from store': relayFault(host => host.platformRelay, 'cut'),
  'engine crashed': crashBackend(context => context.engine),
  'engine silent': backendFault(
    context => context.engine,
    {isSilent: true},
    {isSilent: false},
  ),
  'engine slow': backendFault(
    context => context.engine,
    {slowFactor: 10},
    {slowFactor: 1},
  ),
  'engine refusing': backendFault(
    context => context.engine,
    {isRefusing: true},
    {isRefusing: false},
  ),
  'engine leaving in list': leavingInList,
  'ledger crashed': crashBackend(context => context.plain),
  'ledger loses replies': backendFault(
    context => context.plain,
    {losesReplies: true},
    {losesReplies: false},
  ),
  'store down': platformFault({isDown: true}, {isDown: false}),
  'store slow': platformFault({delayMs: 400}, {delayMs: 2}),
  'store loses replies': platformFault({lostReplies: 0.4}, {lostReplies: 0}),
  'killer request': killerRequest,
};
