import * as standins from '@banyanhall/standins';

import type * as callers from './caller.js';
import type * as fleets from './fleet.js';

/** One attempt of a caller: what it sent and what it was told. */
export interface Attempt {
  /** The request key of a call to a plain service, or the mark at the end of a prompt. */
  readonly key: string;
  readonly kind: 'plain' | 'chat';
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sentAtMs: number;
  readonly told: callers.Told;
}

/** A time in which something must not happen. */
export interface Window {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** All that was seen in a trial. */
export interface Record {
  readonly attempts: readonly Attempt[];
  readonly events: readonly fleets.FleetEvent[];
  readonly runs: readonly fleets.DoneRun[];
  readonly effects: readonly fleets.DoneEffect[];
  /** When backend servers must get nothing new, as they were leaving. */
  readonly leaving: readonly Window[];
  /** When hosts were stopped as planned and nothing else went wrong. */
  readonly stops: readonly Window[];
  /** Marks of requests that crash backend servers. */
  readonly killers: readonly string[];
}

/** A promise that was broken, with what shows it. */
export interface Breach {
  readonly promise: Promised;
  readonly what: string;
}

/** The promises that are checked. */
export type Promised =
  | 'dispatched-once'
  | 'effect-once'
  | 'not-run-is-true'
  | 'whole-answers'
  | 'tier-order'
  | 'leaving-gets-nothing'
  | 'planned-stop-cuts-nothing'
  | 'killer-refused'
  | 'engine-hidden';

/** How long after a higher tier was refused no lower tier may be granted that waited then. */
const TIER_WINDOW_MS = 100;

type Check = (record: Record) => readonly string[];

/** The check of each promise; every one returns what breaks it. */
export const CHECKS: Readonly<globalThis.Record<Promised, Check>> = {
  'dispatched-once': record => {
    const counts = count(record.runs.map(run => run.streamId));
    const ran = over(counts, 1).map(id => `${id} ran ${counts.get(id)} times`);
    return [...ran, ...dispatchedTwice(record.events)];
  },
  'effect-once': record => {
    const counts = count(record.effects.map(effect => effect.key));
    return over(counts, 1).map(key => `${key} had ${counts.get(key)} effects`);
  },
  'not-run-is-true': record => {
    const ran = new Set([
      ...record.effects.map(effect => effect.key),
      ...record.runs.map(run => markOf(run.promptTail)),
    ]);
    return [...byKey(record.attempts)]
      .filter(([key, attempts]) => ran.has(key) && attempts.every(isNotRun))
      .map(([key]) => `${key} ran, every attempt was told not-run`);
  },
  'whole-answers': record =>
    record.attempts
      .filter(({kind, told}) => kind === 'chat' && told.isWhole)
      .filter(({prompt, maxTokens, told}) => {
        return told.text !== standins.batch.answerText(prompt, maxTokens);
      })
      .map(({key, told}) => `${key} got ${told.text.length} other characters`),
  'tier-order': record => tierInversions(record.events),
  'leaving-gets-nothing': record =>
    record.leaving.flatMap(({name, fromMs, toMs}) =>
      record.events
        .filter(
          ({kind, detail}) => kind === 'dispatched' && detail.server === name,
        )
        .filter(({atMs}) => atMs >= fromMs && atMs <= toMs)
        .map(({requestId, atMs}) => {
          return `${requestId} went to ${name} ${atMs - fromMs} ms too late`;
        }),
    ),
  'planned-stop-cuts-nothing': record =>
    record.stops.flatMap(({name, fromMs, toMs}) =>
      record.attempts
        .filter(({sentAtMs, told}) => {
          const endedAtMs = sentAtMs + told.durationMs;
          return sentAtMs <= toMs && endedAtMs >= fromMs;
        })
        .filter(({told}) => told.verdict === 'none' && !told.isWhole)
        .map(
          ({key, told}) =>
            `${key} was cut off as ${name} stopped: ${told.failure}`,
        ),
    ),
  'killer-refused': record => {
    const killed = record.runs.filter(run => {
      return record.killers.includes(markOf(run.promptTail));
    });
    const counts = count(killed.map(run => markOf(run.promptTail)));
    return over(counts, 2).map(mark => `${mark} ran ${counts.get(mark)} times`);
  },
  'engine-hidden': record =>
    record.attempts
      .filter(({told}) => told.status > 0 && !told.isWhole)
      .filter(({told}) => /-\d+@|127\.0\.0\.1/.test(told.failure))
      .map(({key, told}) => `${key} was told ${told.failure}`),
};

/** Holds a record against every promise. */
export function check(record: Record): readonly Breach[] {
  return (Object.keys(CHECKS) as Promised[]).flatMap(promise =>
    CHECKS[promise](record).map(what => ({promise, what})),
  );
}

/** The mark at the end of a prompt. */
export function markOf(promptTail: string): string {
  return /request (\S+)$/.exec(promptTail)?.[1] ?? '';
}

function isNotRun({told}: Attempt): boolean {
  return told.verdict === 'not-run';
}

function byKey(attempts: readonly Attempt[]): Map<string, Attempt[]> {
  const groups = new Map<string, Attempt[]>();
  for (const attempt of attempts) {
    const group = groups.get(attempt.key) ?? [];
    groups.set(attempt.key, [...group, attempt]);
  }
  return groups;
}

function count(values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}

function over(
  counts: ReadonlyMap<string, number>,
  limit: number,
): readonly string[] {
  return [...counts].filter(([, n]) => n > limit).map(([value]) => value);
}

/** Requests that were dispatched again without a proof that they did not run. */
function dispatchedTwice(
  events: readonly fleets.FleetEvent[],
): readonly string[] {
  const open = new Map<string, number>();
  const breaches: string[] = [];
  for (const {kind, requestId} of inOrder(events)) {
    const dispatches = open.get(requestId) ?? 0;
    if (kind === 'not-admitted') open.set(requestId, dispatches - 1);
    if (kind !== 'dispatched') continue;
    open.set(requestId, dispatches + 1);
    if (dispatches > 0) breaches.push(`${requestId} was dispatched twice`);
  }
  return breaches;
}

interface Wait {
  readonly tier: number;
  readonly service: string;
  readonly fromMs: number;
  toMs: number;
  isGranted: boolean;
}

/** Grants of a lower tier that waited while a higher one was refused as overloaded. */
function tierInversions(
  events: readonly fleets.FleetEvent[],
): readonly string[] {
  const waits = new Map<string, Wait>();
  for (const {kind, requestId, atMs, detail} of inOrder(events)) {
    if (kind === 'received') {
      const {tier, service} = detail;
      waits.set(requestId, {
        tier: Number(tier),
        service: String(service),
        fromMs: atMs,
        toMs: Infinity,
        isGranted: false,
      });
    }
    const wait = waits.get(requestId);
    if (!wait || (kind !== 'granted' && kind !== 'refused')) continue;
    wait.toMs = atMs;
    wait.isGranted = kind === 'granted';
  }
  return events
    .filter(
      ({kind, detail}) => kind === 'refused' && detail.reason === 'overloaded',
    )
    .flatMap(({requestId, atMs}) => {
      const refused = waits.get(requestId);
      const inverted = [...waits].filter(([, wait]) => {
        const isLower =
          refused &&
          wait.service === refused.service &&
          wait.tier > refused.tier;
        const isSpanning =
          wait.fromMs < atMs - TIER_WINDOW_MS &&
          wait.toMs > atMs + TIER_WINDOW_MS;
        return isLower && isSpanning && wait.isGranted;
      });
      return inverted.map(
        ([id]) => `${id} was kept while ${requestId} was shed`,
      );
    });
}

function inOrder(
  events: readonly fleets.FleetEvent[],
): readonly fleets.FleetEvent[] {
  return [...events].sort(
    (a, b) => a.atMs - b.atMs || a.host.localeCompare(b.host) || a.seq - b.seq,
  );
}
