import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';

import * as decisions from '@banyanhall/decisions';

import * as callers from './caller.js';
import * as checks from './checks.js';
import * as faultKinds from './faultkinds.js';
import * as fleets from './fleet.js';
import * as loads from './load.js';
import * as plans from './plans.js';

const HOSTS = 5;
const REQUESTS_PER_S = 25;
const FAULT_MS = 3500;
const REST_MS = 2500;
const PAIR_SHARE = 0.4;
const CREDIT_TRIES = 5;
const CREDIT_PAUSE_MS = 400;
const MS_PER_MINUTE = 60_000;

/** How a trial with faults ended. */
export interface FaultReport {
  readonly seed: number;
  readonly attempts: number;
  readonly whole: number;
  readonly faultCounts: ReadonlyMap<string, number>;
  readonly breaches: readonly checks.Breach[];
}

interface State {
  readonly fleet: fleets.Fleet;
  readonly random: decisions.random.Random;
  readonly caller: callers.Caller;
  readonly attempts: checks.Attempt[];
  readonly leaving: checks.Window[];
  readonly stops: checks.Window[];
  readonly killers: string[];
  readonly faultCounts: Map<string, number>;
}

/** Runs a fleet for `durationMs` under load while faults come and go, one by one and in pairs. */
export async function run(
  seed: number,
  durationMs: number,
  only?: string,
): Promise<FaultReport> {
  const fleet = await fleets.Fleet.start({
    ...plans.COOPERATIVE,
    hosts: HOSTS,
    platform: {listLagMs: 1000},
    keepsTimeline: true,
  });
  const state: State = {
    fleet,
    random: decisions.random.seeded(seed),
    caller: new callers.Caller(fleet.hosts.map(host => host.callerUrl)),
    ...{attempts: [], leaving: [], stops: [], killers: []},
    faultCounts: new Map(),
  };
  try {
    const untilMs = Date.now() + durationMs;
    const load = sendLoad(state, seed, untilMs);
    while (Date.now() < untilMs) await oneRound(state, only);
    await load;
    return reportOf(seed, state);
  } finally {
    await fleet.stop();
  }
}

async function oneRound(state: State, only?: string): Promise<void> {
  const {random, fleet} = state;
  const names = only ? [only] : Object.keys(faultKinds.FAULTS);
  const count = !only && random() < PAIR_SHARE ? 2 : 1;
  const chosen = decisions.random.sample(names, count, random);
  const scene = sceneOf(state);
  const stopsBefore = state.stops.length;
  const heals: (() => Promise<void>)[] = [];
  for (const name of chosen) {
    state.faultCounts.set(name, (state.faultCounts.get(name) ?? 0) + 1);
    heals.push(await faultKinds.FAULTS[name](scene));
  }
  await timers.setTimeout(FAULT_MS + random() * FAULT_MS);
  await Promise.all(heals.map(heal => heal()));
  await Promise.all(fleet.hosts.map(host => fleet.ready(host)));
  if (count > 1) state.stops.length = stopsBefore;
  await fleet.reviveBackends();
  await timers.setTimeout(REST_MS);
}

function sceneOf(state: State): faultKinds.Scene {
  const {fleet, random, leaving, stops, killers, attempts} = state;
  const any = <T>(items: readonly T[]): T =>
    items[Math.floor(random() * items.length)];
  return {
    ...{fleet, leaving, stops, killers},
    serial: attempts.length,
    host: any(fleet.hosts),
    engine: any(fleet.backends.filter(({kind}) => kind === 'engine')),
    plain: any(fleet.backends.filter(({kind}) => kind === 'plain')),
    sendKiller: mark => sendChat(state, 'gate', killerPrompt(mark), 20, mark),
  };
}

function killerPrompt(mark: string): string {
  return `KILL-ENGINE request ${mark}`;
}

async function sendLoad(
  state: State,
  seed: number,
  untilMs: number,
): Promise<void> {
  const random = decisions.random.seeded(seed + 1);
  const pending: Promise<void>[] = [];
  for (let serial = 0; Date.now() < untilMs; serial++) {
    const isCredit = random() < 0.4;
    const prompt = loads.prompt(random, serial);
    const tokens = loads.outputTokens(random);
    const profile = random() < 0.4 ? 'gate' : 'batch';
    pending.push(
      isCredit
        ? sendCredit(state)
        : sendChat(state, profile, prompt, tokens, String(serial)),
    );
    await timers.setTimeout((-Math.log(1 - random()) * 1000) / REQUESTS_PER_S);
  }
  await Promise.all(pending);
}

async function sendChat(
  state: State,
  profile: string,
  prompt: string,
  maxTokens: number,
  key: string,
): Promise<void> {
  const sentAtMs = Date.now();
  const account = plans.COOPERATIVE.accounts[0];
  const service = 'tray-scribe';
  const order = {account, profile, service, prompt, maxTokens};
  const told = await state.caller.chat({...order, timeoutMs: 40_000});
  const attempt = {key, kind: 'chat' as const, prompt, maxTokens, sentAtMs};
  state.attempts.push({...attempt, told});
}

/** A credit is sent again with its key until its caller knows that it ran, or that it can't know. */
async function sendCredit(state: State): Promise<void> {
  const key = crypto.randomUUID();
  for (let i = 0; i < CREDIT_TRIES; i++) {
    const sentAtMs = Date.now();
    const told = await state.caller.plain(
      plans.COOPERATIVE.accounts[1],
      'credit',
      'tray-ledger/credits',
      {amount: 1},
      key,
    );
    const attempt = {key, kind: 'plain' as const, prompt: '', maxTokens: 0};
    state.attempts.push({...attempt, sentAtMs, told});
    if (told.isWhole) return;
    await timers.setTimeout(CREDIT_PAUSE_MS);
  }
}

function reportOf(seed: number, state: State): FaultReport {
  const {fleet, attempts, leaving, stops, killers, faultCounts} = state;
  const {events, runs, effects} = fleet;
  const record = {attempts, events, runs, effects, leaving, stops, killers};
  return {
    seed,
    attempts: attempts.length,
    whole: attempts.filter(({told}) => told.isWhole).length,
    faultCounts,
    breaches: checks.check(record),
  };
}

/** The report as text: a count for each fault and each promise, and what was broken. */
export function reportText(report: FaultReport): string {
  const {seed, attempts, whole, faultCounts, breaches} = report;
  const faults = [...faultCounts].map(([name, n]) => `  ${n} x ${name}`);
  const promises = Object.keys(checks.CHECKS).map(promise => {
    const broken = breaches.filter(breach => breach.promise === promise);
    return `  ${broken.length} breaches of ${promise}`;
  });
  const found = breaches.map(({promise, what}) => `  ${promise}: ${what}`);
  return [
    `seed ${seed}: ${attempts} attempts, ${whole} whole answers`,
    ...['faults:', ...faults, 'promises:', ...promises, ...found],
  ].join('\n');
}

async function main(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      minutes: {type: 'string', default: '2'},
      only: {type: 'string'},
    },
  });
  const durationMs = Number(values.minutes) * MS_PER_MINUTE;
  const report = await run(Number(values.seed), durationMs, values.only);
  console.log(reportText(report));
  process.exit(report.breaches.length === 0 ? 0 : 1);
}

if (process.argv[1]?.endsWith('faults.js')) await main();
