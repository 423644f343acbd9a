// Compares the fleet with the schedulers of baseline.ts in the scenarios of
// scenarios.ts (`npm run measure`).

import * as fs from 'node:fs';
import * as util from 'node:util';

import * as decisions from '@banyanhall/decisions';
import * as hdr from 'hdr-histogram-js';

import * as arrivals from './arrivals.js';
import * as baselines from './baseline.js';
import * as callers from './caller.js';
import * as figures from './figures.js';
import * as fleets from './fleet.js';
import * as loads from './load.js';
import * as plans from './plans.js';
import * as reports from './report.js';
import * as scenarios from './scenarios.js';

const HOSTS = 8;
const DEFAULT_SECONDS = 45;
const SLOT_TOKENS = 16_384;
const MAX_RUNNING = 16;
/** The length of the prefixes of `loads.prompt`. */
const PREFIX_CHARS = 1024;
const US_PER_MS = 1000;
const MAX_HISTOGRAM_US = 600_000_000;
/** Output tokens per second of a stand-in engine with a slow factor of 1 and a full batch: 60 per stream, slowed down by 3% for each further stream. */
const ENGINE_TOKENS_PER_S = (60 * MAX_RUNNING) / (1 + 0.03 * (MAX_RUNNING - 1));
/** The slow factors of the engines of each model service. */
const SLOW_FACTORS = {
  'tray-scribe': [1.4, 1.4, 2, 2, 3.2],
  redacteur: [1.4, 2, 3.2, 4.4],
} as const;

/** A profile with its share of the requests; answers have at most `maxTokens`. */
interface RequestKind {
  readonly profile: string;
  readonly tier: number;
  readonly share: number;
  readonly deadlineMs: number;
  readonly maxTokens: number;
}

const REQUEST_KINDS: readonly RequestKind[] = [
  {profile: 'gate', tier: 1, share: 0.3, deadlineMs: 8000, maxTokens: 100},
  {profile: 'clerk', tier: 2, share: 0.3, deadlineMs: 15_000, maxTokens: 200},
  {profile: 'batch', tier: 3, share: 0.4, deadlineMs: 30_000, maxTokens: 400},
];
const MIN_TOKENS = 4;

/** A request and its outcome; `atMs` is its arrival since the start. */
interface MeasuredRequest {
  readonly kind: RequestKind;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly atMs: number;
  readonly outcome: callers.Outcome;
}

const POLICIES: Readonly<
  Record<string, (fleet: fleets.Fleet) => baselines.Sender>
> = {
  ours: fleet => new callers.Caller(fleet.hosts.map(host => host.callerUrl)),
  'round-robin': baselines.roundRobin,
  'least-loaded': baselines.leastLoaded,
};

/** The figures of one tier; latencies are the 50th, 95th and 99th percentile. `late` counts all requests that are neither in time nor refused, failed ones included. */
export interface TierFigures {
  readonly tier: number;
  readonly offered: number;
  readonly inTime: number;
  readonly refused: number;
  readonly late: number;
  readonly goodputShare: number;
  readonly firstTokenMs: readonly number[];
  readonly gapMs: readonly number[];
}

/** The figures of one run, as they are written to the JSON report. */
export interface RunFigures {
  readonly policy: string;
  readonly scenario: string;
  readonly seed: number;
  readonly seconds: number;
  readonly offeredTokensPerS: number;
  readonly capacityTokensPerS: number;
  /** Output tokens of whole answers in time, divided by the smaller of the tokens offered and the tokens that the capacity allows until the last answer. */
  readonly goodputOfCapacity: number;
  /** Prompt tokens that engines computed, that is, did not take from their caches. */
  readonly prefillTokens: number;
  /** The share spent on requests without a whole answer in time. */
  readonly wastedPrefillShare: number;
  /** The share spent on prefixes that the service had computed before. */
  readonly repeatedPrefillShare: number;
  /** Characters of prompts and answers of requests dispatched to another region. */
  readonly bytesAcrossRegions: number;
  readonly tiers: readonly TierFigures[];
}

function plan(): fleets.FleetPlan {
  const model = (name: keyof typeof SLOW_FACTORS): fleets.ServicePlan => ({
    name,
    kind: 'model',
    fencing: 'checked',
    behaviours: SLOW_FACTORS[name].map(slowFactor => ({slowFactor})),
    slotTokens: SLOT_TOKENS,
    maxRunning: MAX_RUNNING,
  });
  const plain = (name: string): fleets.ServicePlan => ({
    ...{name, kind: 'plain', fencing: 'ignored'},
    ...{behaviours: [{}, {}], slotTokens: 64, maxRunning: 16},
  });
  return {
    ...plans.DEFAULT_PLAN,
    hosts: HOSTS,
    services: [
      ...[model('tray-scribe'), plain('tray-ledger')],
      ...[model('redacteur'), plain('caisse')],
    ],
    keepsTimeline: true,
  };
}

/** Output tokens per second of all engines. */
function capacity(): number {
  const factors = Object.values(SLOW_FACTORS).flat();
  return factors.reduce((sum, slow) => sum + ENGINE_TOKENS_PER_S / slow, 0);
}

/** A random answer length, log-uniform up to the limit of the kind. */
function drawTokens(
  kind: RequestKind,
  random: decisions.random.Random,
): number {
  const spread = kind.maxTokens / MIN_TOKENS;
  return Math.round(MIN_TOKENS * spread ** random());
}

/** The mean of `drawTokens` over all kinds. */
function meanTokens(): number {
  return REQUEST_KINDS.reduce((sum, {share, maxTokens}) => {
    const spread = maxTokens / MIN_TOKENS;
    return sum + (share * MIN_TOKENS * (spread - 1)) / Math.log(spread);
  }, 0);
}

/** Runs one scenario under one policy and returns the figures. The fault is injected after one third of the run and ended after two thirds, unless it lasts to the end. */
export async function run(
  policy: string,
  scenarioName: string,
  seed: number,
  seconds: number,
): Promise<RunFigures> {
  const scenario = scenarios.SCENARIOS[scenarioName];
  const fleet = await fleets.Fleet.start(plan());
  const sender = POLICIES[policy](fleet);
  try {
    const requestsPerS = (scenario.load * capacity()) / meanTokens();
    const thirdMs = (seconds * 1000) / 3;
    const injectTimer = setTimeout(
      () => void scenario.injectFault(fleet),
      thirdMs,
    );
    const endTimer = setTimeout(
      () => void scenario.endFault(fleet),
      2 * thirdMs,
    );
    const random = decisions.random.seeded(seed);
    const sent = await arrivals.send(
      {random, requestsPerS, durationMs: seconds * 1000},
      (serial, dueMs) => sendOne(sender, random, serial, dueMs),
    );
    clearTimeout(injectTimer);
    clearTimeout(endTimer);
    return figuresOf(policy, scenarioName, seed, seconds, sent, fleet);
  } finally {
    sender.close();
    await fleet.stop();
  }
}

async function sendOne(
  sender: baselines.Sender,
  random: decisions.random.Random,
  serial: number,
  atMs: number,
): Promise<MeasuredRequest> {
  const kind = kindAt(random());
  const maxTokens = drawTokens(kind, random);
  const prompt = loads.prompt(random, serial);
  const {accounts} = plans.DEFAULT_PLAN;
  const isLargeAccount = random() < 0.6;
  const account = accounts[isLargeAccount ? 0 : serial % accounts.length];
  const service = random() < 0.6 ? 'tray-scribe' : 'redacteur';
  const {profile, deadlineMs} = kind;
  const chatRequest = {account, profile, service, prompt, maxTokens};
  const outcome = await sender.chat({...chatRequest, timeoutMs: deadlineMs});
  return {kind, service, prompt, maxTokens, atMs, outcome};
}

/** The kind of request for a random value from 0 to 1, by the shares of the kinds. */
function kindAt(value: number): RequestKind {
  let left = value;
  for (const kind of REQUEST_KINDS) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return REQUEST_KINDS[0];
}

function isInTime({kind, outcome}: MeasuredRequest): boolean {
  return outcome.isWhole && outcome.durationMs <= kind.deadlineMs;
}

function figuresOf(
  policy: string,
  scenario: string,
  seed: number,
  seconds: number,
  sent: readonly MeasuredRequest[],
  fleet: fleets.Fleet,
): RunFigures {
  const good = sent.filter(isInTime);
  const sum = (all: readonly MeasuredRequest[]) =>
    all.reduce((total, each) => total + each.maxTokens, 0);
  const lastMs = Math.max(...sent.map(s => s.atMs + s.outcome.durationMs));
  const capacityTokensPerS = capacity();
  const achievableTokens = Math.min(
    sum(sent),
    (capacityTokensPerS * lastMs) / 1000,
  );
  return {
    ...{policy, scenario, seed, seconds, capacityTokensPerS},
    offeredTokensPerS: sum(sent) / seconds,
    goodputOfCapacity: sum(good) / achievableTokens,
    ...prefillFigures(sent, fleet),
    bytesAcrossRegions: crossRegionBytes(sent, fleet),
    tiers: REQUEST_KINDS.map(kind =>
      tierFigures(
        kind.tier,
        sent.filter(s => s.kind === kind),
      ),
    ),
  };
}

function tierFigures(
  tier: number,
  sent: readonly MeasuredRequest[],
): TierFigures {
  const inTime = sent.filter(isInTime).length;
  const refused = sent.filter(s => s.outcome.verdict === 'not-run').length;
  const first = sent.map(s => s.outcome.firstTokenMs).filter(ms => ms > 0);
  return {
    ...{tier, offered: sent.length, inTime, refused},
    late: sent.length - inTime - refused,
    goodputShare: inTime / Math.max(1, sent.length),
    firstTokenMs: percentiles(first),
    gapMs: percentiles(sent.flatMap(s => s.outcome.gapsMs)),
  };
}

function percentiles(valuesMs: readonly number[]): readonly number[] {
  const histogram = hdr.build({highestTrackableValue: MAX_HISTOGRAM_US});
  for (const ms of valuesMs) histogram.recordValue(Math.round(ms * US_PER_MS));
  return [50, 95, 99].map(p => histogram.getValueAtPercentile(p) / US_PER_MS);
}

/** The prefill figures of `RunFigures`. */
function prefillFigures(sent: readonly MeasuredRequest[], fleet: fleets.Fleet) {
  const bySerial = new Map(sent.map(s => [serialOf(s.prompt), s]));
  const seenPrefixes = new Set<string>();
  let prefillTokens = 0;
  let wastedTokens = 0;
  let repeatedTokens = 0;
  const runs = [...fleet.runs].sort((a, b) => a.atMs - b.atMs);
  for (const run of runs) {
    const request = bySerial.get(serialOf(run.promptTail));
    if (!request) continue;
    const uncachedTokens = run.promptTokens - run.cachedTokens;
    prefillTokens += uncachedTokens;
    if (!isInTime(request)) wastedTokens += uncachedTokens;
    const prefix = `${request.service} ${request.prompt.slice(0, PREFIX_CHARS)}`;
    const prefixTokens = PREFIX_CHARS / decisions.prefixcache.CHARS_PER_TOKEN;
    if (seenPrefixes.has(prefix)) {
      repeatedTokens += Math.max(0, prefixTokens - run.cachedTokens);
    }
    seenPrefixes.add(prefix);
  }
  const divisor = Math.max(1, prefillTokens);
  return {
    prefillTokens,
    wastedPrefillShare: wastedTokens / divisor,
    repeatedPrefillShare: repeatedTokens / divisor,
  };
}

/** The mark at the end of a prompt; empty when there is none. */
function serialOf(prompt: string): string {
  return /request (\S+)$/.exec(prompt)?.[1] ?? '';
}

function crossRegionBytes(
  sent: readonly MeasuredRequest[],
  fleet: fleets.Fleet,
): number {
  const region = new Map([
    ...fleet.hosts.map(host => [host.name, host.region] as const),
    ...fleet.backends.map(b => [b.name, b.server.region] as const),
  ]);
  const bytes = new Map(
    sent.map(s => [
      serialOf(s.prompt),
      s.prompt.length + s.outcome.text.length,
    ]),
  );
  const serials = new Map(
    fleet.runs.map(run => [run.streamId, serialOf(run.promptTail)]),
  );
  return fleet.events
    .filter(event => event.kind === 'dispatched')
    .filter(event => {
      const to = region.get(String(event.detail.server));
      return to !== region.get(event.host);
    })
    .reduce((sum, {requestId}) => {
      return sum + (bytes.get(serials.get(requestId) ?? '') ?? 0);
    }, 0);
}

/** The figures as a text table with a summary. */
export function figuresText(result: RunFigures): string {
  const {policy, scenario, seed, tiers} = result;
  const percent = (share: number) => `${(100 * share).toFixed(1)}%`;
  const header = figures.row(
    ...['tier', 'offered', 'in time', 'refused', 'late', 'goodput'],
    ...['first p50', 'p95', 'p99', 'gap p50', 'p95', 'p99'],
  );
  const rows = tiers.map(t =>
    figures.row(
      ...[t.tier, t.offered, t.inTime, t.refused, t.late],
      percent(t.goodputShare),
      ...[...t.firstTokenMs, ...t.gapMs],
    ),
  );
  return [
    `${policy} ${scenario} seed ${seed}: offered ${result.offeredTokensPerS.toFixed(0)} of ${result.capacityTokensPerS.toFixed(0)} tokens/s, goodput ${percent(result.goodputOfCapacity)} of what the capacity allows`,
    `prefill ${result.prefillTokens} tokens, wasted ${percent(result.wastedPrefillShare)}, repeated ${percent(result.repeatedPrefillShare)}, across regions ${result.bytesAcrossRegions} bytes`,
    ...[header, ...rows],
  ].join('\n');
}

async function main(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      policy: {type: 'string', default: Object.keys(POLICIES).join(',')},
      scenario: {type: 'string', default: 'steady-70,burst-150'},
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string', default: String(DEFAULT_SECONDS)},
      json: {type: 'boolean'},
      report: {type: 'string'},
    },
  });
  const results: RunFigures[] = [];
  for (const scenario of values.scenario.split(',')) {
    for (const policy of values.policy.split(',')) {
      for (const seed of values.seed.split(',')) {
        const result = await run(
          policy,
          scenario,
          Number(seed),
          Number(values.seconds),
        );
        results.push(result);
        console.log(values.json ? JSON.stringify(result) : figuresText(result));
      }
    }
  }
  if (!values.report) return;
  fs.writeFileSync(`${values.report}.json`, JSON.stringify(results, null, 1));
  fs.writeFileSync(`${values.report}.html`, reports.html(results));
}

await main();
