import * as decisions from '@banyanhall/decisions';

import * as arrivals from './arrivals.js';
import type * as callers from './caller.js';
import * as figures from './figures.js';

/** A mixed load at a steady rate; arrivals do not wait for answers. */
export interface LoadPlan {
  readonly caller: callers.Caller;
  readonly accounts: readonly string[];
  readonly model: string;
  readonly plain: string;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** One request and what its caller was told. */
export interface RequestResult {
  readonly profile: string;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly outcome: callers.Outcome;
}

interface RequestKind {
  readonly profile: string;
  readonly share: number;
  readonly deadlineMs: number;
}

/** The mix of requests: the profiles with their share of the load. */
export const REQUEST_MIX: readonly RequestKind[] = [
  {profile: 'gate', share: 0.3, deadlineMs: 8000},
  {profile: 'clerk', share: 0.25, deadlineMs: 15_000},
  {profile: 'batch', share: 0.3, deadlineMs: 30_000},
  {profile: 'credit', share: 0.15, deadlineMs: 5000},
];

const PREFIX_COUNT = 20;
const PREFIX_CHARS = 1024;
const MIN_OUTPUT_TOKENS = 4;
const MAX_OUTPUT_TOKENS = 400;
const MAX_TAIL_CHARS = 1600;
const LARGE_ACCOUNT_SHARE = 0.6;

/** A prompt with a shared prefix (few are common, most are rare) and a tail of its own. */
export function prompt(
  random: decisions.random.Random,
  serial: number,
): string {
  const rank = Math.floor(PREFIX_COUNT ** random());
  const prefix = `route ${rank} `.repeat(PREFIX_CHARS).slice(0, PREFIX_CHARS);
  const tail = 'return '.repeat(
    Math.floor((MAX_TAIL_CHARS / 7) * random() ** 3),
  );
  return `${prefix}${tail}request ${serial}`;
}

/** A length of an answer; lengths differ a hundredfold and short ones are common. */
export function outputTokens(random: decisions.random.Random): number {
  const spread = MAX_OUTPUT_TOKENS / MIN_OUTPUT_TOKENS;
  return Math.round(MIN_OUTPUT_TOKENS * spread ** (random() ** 1.5));
}

function pickKind(random: decisions.random.Random): RequestKind {
  let left = random();
  for (const kind of REQUEST_MIX) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return REQUEST_MIX[0];
}

/** Sends the load and resolves when every request has ended. */
export async function run(plan: LoadPlan): Promise<readonly RequestResult[]> {
  const random = decisions.random.seeded(plan.seed);
  return arrivals.send({...plan, random}, serial =>
    sendOne(plan, random, serial),
  );
}

async function sendOne(
  plan: LoadPlan,
  random: decisions.random.Random,
  serial: number,
): Promise<RequestResult> {
  const {profile, deadlineMs} = pickKind(random);
  const isLarge = random() < LARGE_ACCOUNT_SHARE;
  const index = isLarge ? 0 : Math.floor(random() * plan.accounts.length);
  const account = plan.accounts[index];
  if (profile === 'credit') {
    const path = `${plan.plain}/credits`;
    const outcome = await plan.caller.plain(account, profile, path, {serial});
    return {profile, deadlineMs, promptTokens: 0, outputTokens: 1, outcome};
  }
  const text = prompt(random, serial);
  const maxTokens = outputTokens(random);
  const outcome = await plan.caller.chat({
    ...{account, profile, service: plan.model, prompt: text, maxTokens},
    timeoutMs: deadlineMs + 5000,
  });
  const promptTokens = decisions.prefix.tokens(text);
  return {profile, deadlineMs, promptTokens, outputTokens: maxTokens, outcome};
}

/** A table of the results by profile. */
export function table(results: readonly RequestResult[]): string {
  const header = figures.row(
    ...['profile', 'offered', 'in time', 'refused', 'other'],
    ...['first p50', 'p95', 'gap p50', 'p95'],
  );
  const rows = REQUEST_MIX.map(({profile}) => {
    const own = results.filter(result => result.profile === profile);
    const good = own.filter(isInTime);
    const refused = own.filter(r => r.outcome.verdict === 'not-run');
    const first = own.map(r => r.outcome.firstTokenMs).filter(ms => ms > 0);
    const gaps = own.flatMap(r => r.outcome.gapsMs);
    return figures.row(
      ...[profile, own.length, good.length, refused.length],
      own.length - good.length - refused.length,
      ...[figures.quantile(first, 0.5), figures.quantile(first, 0.95)],
      ...[figures.quantile(gaps, 0.5), figures.quantile(gaps, 0.95)],
    );
  });
  return [header, ...rows, failures(results)].join('\n');
}

/** The failures that callers were told, by type and verdict. */
export function failures(results: readonly RequestResult[]): string {
  const counts = new Map<string, number>();
  for (const {profile, outcome} of results) {
    if (outcome.isWhole) continue;
    const key = `${profile}: ${outcome.failure} (${outcome.verdict})`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const lines = [...counts].map(([key, count]) => `${count} x ${key}`);
  return lines.length === 0 ? 'no failures' : lines.join('\n');
}

/** True for a whole answer inside its deadline. */
export function isInTime(each: RequestResult): boolean {
  return each.outcome.isWhole && each.outcome.durationMs <= each.deadlineMs;
}
