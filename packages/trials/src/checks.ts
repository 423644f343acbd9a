// Checks the promises to callers against what was recorded in a fault trial.

import * as standins from '@banyanhall/standins';

import type * as callers from './caller.js';
import type * as fleets from './fleet.js';

/** One request that a caller sent, with its outcome. A request that is sent again counts again. */
export interface SentRequest {
  /** The idempotency key of a request to a plain service, or the mark at the end of a prompt. */
  readonly key: string;
  readonly kind: 'plain' | 'chat';
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sentAtMs: number;
  readonly outcome: callers.Outcome;
}

/** A period in which a rule holds for the host or backend server `name`; times are Unix times. */
export interface TimeWindow {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What callers, hosts and stand-ins recorded in a trial. */
export interface TrialRecord {
  readonly sentRequests: readonly SentRequest[];
  readonly events: readonly fleets.FleetEvent[];
  readonly runs: readonly fleets.EngineRun[];
  readonly effects: readonly fleets.ServiceEffect[];
  /** Periods in which backend servers were leaving and must get no new requests. */
  readonly leaving: readonly TimeWindow[];
  /** Planned stops of hosts during which no other fault was active. */
  readonly plannedStops: readonly TimeWindow[];
  /** Marks of the killer requests, which crash the backend servers they run on. */
  readonly killerMarks: readonly string[];
}

/** A violated promise and the observation that shows it. */
export interface Violation {
  readonly promise: PromiseName;
  readonly what: string;
}

/** The names of the promises that are checked. */
export type PromiseName =
  | 'dispatched-once'
  | 'effect-once'
  | 'not-run-is-true'
  | 'whole-answers'
  | 'tier-order'
  | 'leaving-gets-nothing'
  | 'planned-stop-cuts-nothing'
  | 'killer-refused'
  | 'engine-hidden';

/** A request of a lower tier counts as waiting during a refusal when it waited from more than this time before the refusal to more than this time after it. */
const TIER_TOLERANCE_MS = 100;

type Check = (record: TrialRecord) => readonly string[];

/** The check of each promise; returns a line for each violation. */
export const CHECKS: Readonly<globalThis.Record<PromiseName, Check>> = {
  // No stream runs twice on engines, and no request is dispatched again before its
  // earlier dispatch was reported as not admitted.
  'dispatched-once': record => {
    const counts = count(record.runs.map(run => run.streamId));
    const ran = keysAbove(counts, 1).map(
      id => `${id} ran ${counts.get(id)} times`,
    );
    return [...ran, ...unprovenRedispatches(record.events)];
  },
  // Requests with the same idempotency key have one effect at most.
  'effect-once': record => {
    const counts = count(record.effects.map(effect => effect.key));
    return keysAbove(counts, 1).map(
      key => `${key} had ${counts.get(key)} effects`,
    );
  },
  // A request did not run when all its verdicts are `not-run`.
  'not-run-is-true': record => {
    const ran = new Set([
      ...record.effects.map(effect => effect.key),
      ...record.runs.map(run => markOf(run.promptTail)),
    ]);
    return [...groupByKey(record.sentRequests)]
      .filter(
        ([key, sentRequests]) => ran.has(key) && sentRequests.every(isNotRun),
      )
      .map(([key]) => `${key} ran, every verdict was not-run`);
  },
  // A whole answer has the text that stand-in engines give for the prompt.
  'whole-answers': record =>
    record.sentRequests
      .filter(({kind, outcome}) => kind === 'chat' && outcome.isWhole)
      .filter(({prompt, maxTokens, outcome}) => {
        return outcome.text !== standins.batch.answerText(prompt, maxTokens);
      })
      .map(
        ({key, outcome}) =>
          `${key} got ${outcome.text.length} characters of another text`,
      ),
  // No request is shed while one of a lower tier waits and is granted a slot later.
  'tier-order': record => tierInversions(record.events),
  // A leaving backend server gets no requests.
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
  // Each request that is in flight during a planned stop of a host ends with a whole
  // answer or a verdict.
  'planned-stop-cuts-nothing': record =>
    record.plannedStops.flatMap(({name, fromMs, toMs}) =>
      record.sentRequests
        .filter(({sentAtMs, outcome}) => {
          const endedAtMs = sentAtMs + outcome.durationMs;
          return sentAtMs <= toMs && endedAtMs >= fromMs;
        })
        .filter(({outcome}) => outcome.verdict === 'none' && !outcome.isWhole)
        .map(
          ({key, outcome}) =>
            `${key} was cut off as ${name} stopped: ${outcome.failure}`,
        ),
    ),
  // A killer request runs twice at most; after the second crash it is refused.
  'killer-refused': record => {
    const killed = record.runs.filter(run => {
      return record.killerMarks.includes(markOf(run.promptTail));
    });
    const counts = count(killed.map(run => markOf(run.promptTail)));
    return keysAbove(counts, 2).map(
      mark => `${mark} ran ${counts.get(mark)} times`,
    );
  },
  // Errors that callers get name no backend server and no address on loopback.
  'engine-hidden': record =>
    record.sentRequests
      .filter(({outcome}) => outcome.status > 0 && !outcome.isWhole)
      .filter(({outcome}) => /-\d+@|127\.0\.0\.1/.test(outcome.failure))
      .map(({key, outcome}) => `${key} got the error ${outcome.failure}`),
};

/** Checks a record for violations of every promise. */
export function check(record: TrialRecord): readonly Violation[] {
  return (Object.keys(CHECKS) as PromiseName[]).flatMap(promise =>
    CHECKS[promise](record).map(what => ({promise, what})),
  );
}

/** The mark at the end of a prompt, which tells requests apart; empty when there is none. */
export function markOf(promptTail: string): string {
  return /request (\S+)$/.exec(promptTail)?.[1] ?? '';
}

function isNotRun({outcome}: SentRequest): boolean {
  return outcome.verdict === 'not-run';
}

function groupByKey(
  sentRequests: readonly SentRequest[],
): Map<string, SentRequest[]> {
  const groups = new Map<string, SentRequest[]>();
  for (const sentRequest of sentRequests) {
    const group = groups.get(sentRequest.key) ?? [];
    groups.set(sentRequest.key, [...group, sentRequest]);
  }
  return groups;
}

function count(values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}

function keysAbove(
  counts: ReadonlyMap<string, number>,
  limit: number,
): readonly string[] {
  return [...counts].filter(([, n]) => n > limit).map(([value]) => value);
}

/** Requests that were dispatched again before the earlier dispatch was reported as not admitted. */
function unprovenRedispatches(
  events: readonly fleets.FleetEvent[],
): readonly string[] {
  const openDispatches = new Map<string, number>();
  const violations: string[] = [];
  for (const {kind, requestId} of sortedByTime(events)) {
    const dispatches = openDispatches.get(requestId) ?? 0;
    if (kind === 'not-admitted') openDispatches.set(requestId, dispatches - 1);
    if (kind !== 'dispatched') continue;
    openDispatches.set(requestId, dispatches + 1);
    if (dispatches > 0) violations.push(`${requestId} was dispatched twice`);
  }
  return violations;
}

/** The time that a request waited, from its arrival to its grant or refusal. */
interface SlotWait {
  readonly tier: number;
  readonly service: string;
  readonly fromMs: number;
  toMs: number;
  isGranted: boolean;
}

/** Requests that were granted a slot although one of a higher tier of the same service was shed while they waited. */
function tierInversions(
  events: readonly fleets.FleetEvent[],
): readonly string[] {
  const waits = new Map<string, SlotWait>();
  for (const {kind, requestId, atMs, detail} of sortedByTime(events)) {
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
          wait.fromMs < atMs - TIER_TOLERANCE_MS &&
          wait.toMs > atMs + TIER_TOLERANCE_MS;
        return isLower && isSpanning && wait.isGranted;
      });
      return inverted.map(
        ([id]) => `${id} was kept while ${requestId} was shed`,
      );
    });
}

function sortedByTime(
  events: readonly fleets.FleetEvent[],
): readonly fleets.FleetEvent[] {
  return [...events].sort(
    (a, b) => a.atMs - b.atMs || a.host.localeCompare(b.host) || a.seq - b.seq,
  );
}
