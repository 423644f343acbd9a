// The fault trial (`npm run faults`): random faults on a fleet of real processes
// under load, followed by the checks of checks.ts.

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
/** Faults last from once to twice this time. */
const MIN_FAULT_MS = 3500;
/** The time without faults after each round. */
const RECOVERY_MS = 2500;
/** The share of rounds with two faults instead of one. */
const FAULT_PAIR_SHARE = 0.4;
const CREDIT_TRIES = 5;
const CREDIT_RETRY_DELAY_MS = 400;
const MS_PER_MINUTE = 60_000;

/** The result of a fault trial. */
export interface FaultReport {
  readonly seed: number;
  readonly requestCount: number;
  readonly wholeAnswerCount: number;
  /** How often each kind of fault was injected. */
  readonly faultCounts: ReadonlyMap<string, number>;
  readonly violations: readonly checks.Violation[];
}

/** The state of a running trial; the lists are those of `checks.TrialRecord`. */
interface TrialState {
  readonly fleet: fleets.Fleet;
  readonly random: decisions.random.Random;
  readonly caller: callers.Caller;
  readonly sentRequests: checks.SentRequest[];
  readonly leaving: checks.TimeWindow[];
  readonly plannedStops: checks.TimeWindow[];
  readonly killerMarks: string[];
  readonly faultCounts: Map<string, number>;
}

/** Runs a fleet under load for `durationMs` and injects faults, single ones and pairs, or just the kind `only`. */
export async function run(
  seed: number,
  durationMs: number,
  only?: string,
): Promise<FaultReport> {
  const fleet = await fleets.Fleet.start({
    ...plans.DEFAULT_PLAN,
    hosts: HOSTS,
    platform: {listLagMs: 1000},
    keepsTimeline: true,
  });
  const state: TrialState = {
    fleet,
    random: decisions.random.seeded(seed),
    caller: new callers.Caller(fleet.hosts.map(host => host.callerUrl)),
    ...{sentRequests: [], leaving: [], plannedStops: [], killerMarks: []},
    faultCounts: new Map(),
  };
  try {
    const untilMs = Date.now() + durationMs;
    const load = sendLoad(state, seed, untilMs);
    while (Date.now() < untilMs) await runRound(state, only);
    await load;
    return buildReport(seed, state);
  } finally {
    await fleet.stop();
  }
}

/** Injects one or two faults, ends them, and waits until the fleet has recovered. */
async function runRound(state: TrialState, only?: string): Promise<void> {
  const {random, fleet} = state;
  const names = only ? [only] : Object.keys(faultKinds.FAULTS);
  const count = !only && random() < FAULT_PAIR_SHARE ? 2 : 1;
  const chosen = decisions.random.sample(names, count, random);
  const context = faultContext(state);
  const plannedStopsBefore = state.plannedStops.length;
  const endFaults: (() => Promise<void>)[] = [];
  for (const name of chosen) {
    state.faultCounts.set(name, (state.faultCounts.get(name) ?? 0) + 1);
    endFaults.push(await faultKinds.FAULTS[name](context));
  }
  await timers.setTimeout(MIN_FAULT_MS + random() * MIN_FAULT_MS);
  await Promise.all(endFaults.map(endFault => endFault()));
  await Promise.all(fleet.hosts.map(host => fleet.waitUntilReady(host)));
  // Planned stops are checked only when no other fault was active.
  if (count > 1) state.plannedStops.length = plannedStopsBefore;
  await fleet.reviveBackends();
  await timers.setTimeout(RECOVERY_MS);
}

function faultContext(state: TrialState): faultKinds.FaultContext {
  const {fleet, random, leaving, plannedStops, killerMarks, sentRequests} =
    state;
  const pickOne = <T>(items: readonly T[]): T =>
    items[Math.floor(random() * items.length)];
  return {
    ...{fleet, leaving, plannedStops, killerMarks},
    serial: sentRequests.length,
    host: pickOne(fleet.hosts),
    engine: pickOne(fleet.backends.filter(({kind}) => kind === 'engine')),
    plain: pickOne(fleet.backends.filter(({kind}) => kind === 'plain')),
    sendKiller: mark => sendChat(state, 'gate', killerPrompt(mark), 20, mark),
  };
}

function killerPrompt(mark: string): string {
  return `KILL-ENGINE request ${mark}`;
}

async function sendLoad(
  state: TrialState,
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
  state: TrialState,
  profile: string,
  prompt: string,
  maxTokens: number,
  key: string,
): Promise<void> {
  const sentAtMs = Date.now();
  const account = plans.DEFAULT_PLAN.accounts[0];
  const service = 'tray-scribe';
  const chatRequest = {account, profile, service, prompt, maxTokens};
  const outcome = await state.caller.chat({...chatRequest, timeoutMs: 40_000});
  const sentRequest = {key, kind: 'chat' as const, prompt, maxTokens, sentAtMs};
  state.sentRequests.push({...sentRequest, outcome});
}

/** Sends a credit request, and again with the same idempotency key until there is a whole answer, at most `CREDIT_TRIES` times. */
async function sendCredit(state: TrialState): Promise<void> {
  const key = crypto.randomUUID();
  for (let i = 0; i < CREDIT_TRIES; i++) {
    const sentAtMs = Date.now();
    const outcome = await state.caller.plain(
      plans.DEFAULT_PLAN.accounts[1],
      'credit',
      'tray-ledger/credits',
      {amount: 1},
      key,
    );
    const sentRequest = {key, kind: 'plain' as const, prompt: '', maxTokens: 0};
    state.sentRequests.push({...sentRequest, sentAtMs, outcome});
    if (outcome.isWhole) return;
    await timers.setTimeout(CREDIT_RETRY_DELAY_MS);
  }
}

function buildReport(seed: number, state: TrialState): FaultReport {
  const {fleet, sentRequests, leaving, plannedStops, killerMarks, faultCounts} =
    state;
  const {events, runs, effects} = fleet;
  const record = {
    sentRequests,
    events,
    runs,
    effects,
    leaving,
    plannedStops,
    killerMarks,
  };
  return {
    seed,
    requestCount: sentRequests.length,
    wholeAnswerCount: sentRequests.filter(({outcome}) => outcome.isWhole)
      .length,
    faultCounts,
    violations: checks.check(record),
  };
}

/** The report as text: the number of each fault, the violations of each promise, and a line for each violation. */
export function reportText(report: FaultReport): string {
  const {seed, requestCount, wholeAnswerCount, faultCounts, violations} =
    report;
  const faults = [...faultCounts].map(([name, n]) => `  ${n} x ${name}`);
  const promises = Object.keys(checks.CHECKS).map(promise => {
    const broken = violations.filter(
      violation => violation.promise === promise,
    );
    return `  ${broken.length} violations of ${promise}`;
  });
  const found = violations.map(({promise, what}) => `  ${promise}: ${what}`);
  return [
    `seed ${seed}: ${requestCount} requests, ${wholeAnswerCount} whole answers`,
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
  process.exit(report.violations.length === 0 ? 0 : 1);
}

if (process.argv[1]?.endsWith('faults.js')) await main();
