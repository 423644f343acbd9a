/*
 * Finds the prompt parts that crash backend servers, from what the requests at
 * crashes have in common and which parts other requests were answered with.
 */
import * as suspects from './suspects.js';

/** A part is refused once it is the best explanation of this many crashes. */
export const CRASHES_TO_REFUSE = 2;

/** The least weight of a part's crashes for it to be refused; a crash that any of n parts may have caused weighs 1/n. */
const MIN_WEIGHT = 1;

/** How long each crash makes its parts suspect, in milliseconds. */
export const SUSPICION_MS = 15_000;

/** How long after its last crash a refused part is tried again, in milliseconds; doubles with each further crash. */
export const FIRST_TRIAL_MS = 30_000;

/** The longest time until a refused part is tried again, in milliseconds. */
const MAX_TRIAL_MS = 1_800_000;

/** The number of crash reports kept; the latest ones are kept. */
export const MAX_REPORTS = 256;

/** Reports of one backend server within this time are of the same crash, in milliseconds. */
const MIN_RESTART_MS = 1000;

/** So many crashes during requests with one part that ran at the same time have one cause; two may well be the part's. */
const COMMON_CAUSE_CRASHES = 3;

/** The status of a request by its parts, and what it is based on. */
export interface PartsStatus {
  readonly status: suspects.SuspectStatus;
  /** The parts that make the request suspect or refused. */
  readonly parts: readonly string[];
  /** The ids of the reports of the crashes behind it. */
  readonly crashIds: readonly string[];
  /** When a refused part is tried again; 0 unless refused. */
  readonly retryAtMs: number;
}

const CLEAR: PartsStatus = {
  status: 'clear',
  parts: [],
  crashIds: [],
  retryAtMs: 0,
};

/** A crash, merged from the reports of all hosts, with the parts of the requests that had no answer yet. */
interface CrashEvent {
  /** The first one first. */
  readonly reports: readonly suspects.Crash[];
  readonly firstMs: number;
  readonly lastMs: number;
  /** The last dispatches of requests with each part, one for each host. */
  readonly parts: ReadonlyMap<string, readonly suspects.Dispatch[]>;
}

/** The best explanation of some crashes: parts that were at all of them and can't be told apart yet. */
interface Explanation {
  readonly parts: readonly string[];
  readonly events: readonly CrashEvent[];
  /** How many of the crashes count; those with one cause count once. */
  readonly crashes: number;
}

const NONE_EXPLAINED: ReadonlySet<CrashEvent> = new Set();

/** What the crashes and answers on record say about parts. */
interface Findings {
  readonly explanations: readonly Explanation[];
  /** The crashes without an explanation. */
  readonly unexplained: readonly CrashEvent[];
}

/**
 * The suspect parts. A backend server crashes when it begins an answer, so only
 * requests without an answer are considered. An answered request clears its
 * parts of earlier crashes; a crash that one part explains does not count
 * against the others. Backend servers that go away together, as in a loss of
 * power, count as one crash. Reports and answers may be added in any order and any
 * number of times.
 */
export class SuspectParts {
  private knownFindings: Findings | undefined;
  private knownCrashes: CrashIndex | undefined;

  private constructor(
    private readonly reports: ReadonlyMap<string, suspects.Crash>,
    /** When a request with the part was last answered. */
    private readonly answeredMs: ReadonlyMap<string, number>,
  ) {}

  /** No reports and no answers. */
  static readonly empty = new SuspectParts(new Map(), new Map());

  /** Adds the report of a crash; one that is already known changes nothing. */
  add(crash: suspects.Crash): SuspectParts {
    if (this.reports.has(crash.crashId)) return this;
    if (candidateParts(crash).length === 0) return this;
    const reports = [...this.reports.values(), crash].sort(
      suspects.compareReports,
    );
    return this.withReports(reports.slice(-MAX_REPORTS));
  }

  /** Records that a request with this part was answered at `atMs`; ignored unless the part was at a crash since its last answer. */
  answer(part: string, atMs: number): SuspectParts {
    if (!this.isAccused(part)) return this;
    if (atMs <= (this.answeredMs.get(part) ?? -Infinity)) return this;
    const answeredMs = new Map(this.answeredMs).set(part, atMs);
    return new SuspectParts(this.reports, answeredMs);
  }

  /** Drops the reports from before `oldestMs`, and the answers with parts that no other report has. */
  expire(oldestMs: number): SuspectParts {
    const reports = [...this.reports.values()];
    if (reports.every(report => report.atMs >= oldestMs)) return this;
    return this.withReports(reports.filter(({atMs}) => atMs >= oldestMs));
  }

  /** True when the part was at a crash since its last answer on record. */
  isAccused(part: string): boolean {
    return this.crashes.of(part, NONE_EXPLAINED).length > 0;
  }

  /** Returns the status of requests with these parts at `nowMs`. */
  statusOf(parts: readonly string[], nowMs: number): PartsStatus {
    if (this.reports.size === 0 || parts.length === 0) return CLEAR;
    const own = new Set(parts);
    let status = CLEAR;
    for (const {parts: blamed, ...found} of this.findings.explanations) {
      const {events} = found;
      const shared = blamed.filter(part => own.has(part));
      if (shared.length === 0) continue;
      const crashIds = events.flatMap(crashIdsOf);
      const retryAtMs = retryAt(found);
      const isRefused = shared.length === blamed.length && nowMs < retryAtMs;
      if (isRefused)
        return {status: 'refused', parts: shared, crashIds, retryAtMs};
      status = {status: 'suspect', parts: shared, crashIds, retryAtMs: 0};
    }
    if (status !== CLEAR) return status;
    for (const event of this.findings.unexplained) {
      const shared = parts.filter(
        part =>
          this.isBlamed(part, event) &&
          nowMs - event.lastMs <= this.suspicionMs(part),
      );
      if (shared.length === 0) continue;
      const crashIds = crashIdsOf(event);
      return {status: 'suspect', parts: shared, crashIds, retryAtMs: 0};
    }
    return CLEAR;
  }

  /** The parts that are refused at `nowMs`. */
  refusedParts(nowMs: number): readonly string[] {
    return this.findings.explanations
      .filter(found => nowMs < retryAt(found))
      .flatMap(({parts}) => parts);
  }

  /** When requests with the accused parts were last answered, for sending to a host that joins. */
  get answers(): ReadonlyMap<string, number> {
    return this.answeredMs;
  }

  /** How long a part is suspect after a crash that it does not explain; longer after several at once, of which it may be the cause. */
  private suspicionMs(part: string): number {
    return SUSPICION_MS * this.crashes.of(part, NONE_EXPLAINED).length;
  }

  private isBlamed(part: string, event: CrashEvent): boolean {
    const events = this.crashes.of(part, NONE_EXPLAINED);
    return events.includes(event) && this.crashes.score(part, events) > 0;
  }

  private withReports(reports: readonly suspects.Crash[]): SuspectParts {
    const accused = new Set(reports.flatMap(candidateParts));
    const answered = [...this.answeredMs].filter(([p]) => accused.has(p));
    const byId = reports.map(report => [report.crashId, report] as const);
    return new SuspectParts(new Map(byId), new Map(answered));
  }

  private get findings(): Findings {
    this.knownFindings ??= explain(this.crashes);
    return this.knownFindings;
  }

  /** The crashes since each part was last answered, less those that a recent answer outweighs. */
  private get crashes(): CrashIndex {
    this.knownCrashes ??= new CrashIndex(
      mergeReports([...this.reports.values()]),
      this.answeredMs,
    );
    return this.knownCrashes;
  }
}

/** Crashes by the parts that may have caused them. */
class CrashIndex {
  private readonly eventsByPart = new Map<string, CrashEvent[]>();
  private readonly credited = new Set<string>();
  /** How many parts may have caused each crash. */
  private readonly possibleParts = new Map<CrashEvent, number>();

  constructor(
    readonly events: readonly CrashEvent[],
    answeredMs: ReadonlyMap<string, number>,
  ) {
    for (const event of events) {
      let possible = 0;
      for (const part of event.parts.keys()) {
        const answered = answeredMs.get(part) ?? -Infinity;
        if (event.lastMs <= answered) continue;
        const known = this.eventsByPart.get(part) ?? [];
        if (
          known.length === 0 &&
          event.lastMs - answered <= suspects.CREDIT_MS
        ) {
          this.credited.add(part);
        }
        this.eventsByPart.set(part, [...known, event]);
        if (!this.credited.has(part)) possible++;
      }
      this.possibleParts.set(event, possible);
    }
  }

  get parts(): readonly string[] {
    return [...this.eventsByPart.keys()];
  }

  /** The crashes at which the part was since it was last answered, without `explained` ones. */
  of(part: string, explained: ReadonlySet<CrashEvent>): readonly CrashEvent[] {
    const events = this.eventsByPart.get(part) ?? [];
    return events.filter(event => !explained.has(event));
  }

  /** The number of these crashes of a part, where those with one cause count once, less one if it was answered shortly before. */
  score(part: string, events: readonly CrashEvent[]): number {
    return this.credited.has(part)
      ? suspects.countApart(events) - 1
      : countInTurn(part, events);
  }

  /** The sum over crashes of the share of one of the parts that may have caused each. */
  weight(events: readonly CrashEvent[]): number {
    return events.reduce(
      (sum, event) => sum + 1 / Math.max(1, this.possibleParts.get(event) ?? 1),
      0,
    );
  }
}

/** Explains the crashes one part after the other, beginning with the part that explains most of them. */
function explain(index: CrashIndex): Findings {
  const explanations: Explanation[] = [];
  const explained = new Set<CrashEvent>();
  for (;;) {
    const best = bestExplanation(index, explained);
    if (!best) break;
    explanations.push(best);
    for (const event of best.events) explained.add(event);
  }
  const unexplained = index.events.filter(event => !explained.has(event));
  return {explanations, unexplained};
}

function bestExplanation(
  index: CrashIndex,
  explained: ReadonlySet<CrashEvent>,
): Explanation | undefined {
  let events: readonly CrashEvent[] = [];
  let bestScore = 0;
  for (const part of index.parts) {
    const own = index.of(part, explained);
    const score = index.score(part, own);
    if (score < CRASHES_TO_REFUSE || score < bestScore) continue;
    const weight = index.weight(own);
    if (weight < MIN_WEIGHT) continue;
    if (score === bestScore && weight <= index.weight(events)) continue;
    events = own;
    bestScore = score;
  }
  if (events.length === 0) return undefined;
  const parts = [...events[0].parts.keys()].filter(part => {
    const own = index.of(part, explained);
    const isAtAll = events.every(event => own.includes(event));
    return isAtAll && index.score(part, own) >= bestScore;
  });
  return {parts, events, crashes: bestScore};
}

/**
 * Counts crashes of a part that no answer speaks for. Those of requests that
 * were under way at the same time count as one if they are many.
 */
function countInTurn(part: string, events: readonly CrashEvent[]): number {
  const groupSizes: number[] = [];
  let reports: suspects.Crash[] = [];
  for (const event of events) {
    const dispatches = event.parts.get(part) ?? [];
    const isInTurn = dispatches.some(dispatch =>
      suspects.wasAfterCrash(dispatch, reports),
    );
    if (groupSizes.length === 0 || isInTurn) {
      groupSizes.push(0);
      reports = [];
    }
    groupSizes[groupSizes.length - 1]++;
    reports.push(...event.reports);
  }
  return groupSizes.reduce(
    (sum, size) => sum + (size >= COMMON_CAUSE_CRASHES ? 1 : size),
    0,
  );
}

function crashIdsOf({reports}: CrashEvent): readonly string[] {
  return reports.map(({crashId}) => crashId);
}

function candidateParts(crash: suspects.Crash): readonly string[] {
  return crash.requests
    .filter(request => !request.hasBegun)
    .flatMap(request => request.parts);
}

/** Merges the hosts' reports of the same crash, in order of time. A report of requests sent after the last crash of their backend server is of another one. */
function mergeReports(
  reports: readonly suspects.Crash[],
): readonly CrashEvent[] {
  const events: CrashEvent[] = [];
  const lastByServer = new Map<string, number>();
  for (const report of reports) {
    const {backendServer, atMs} = report;
    const index = lastByServer.get(backendServer);
    const last = index === undefined ? undefined : events[index];
    const isSame =
      last !== undefined &&
      (atMs - last.lastMs < MIN_RESTART_MS ||
        report.requests.some(({dispatchedMs}) => dispatchedMs <= last.lastMs));
    const own = dispatchesByPart(report);
    if (last === undefined || index === undefined || !isSame) {
      lastByServer.set(backendServer, events.length);
      events.push({
        ...{reports: [report], firstMs: atMs, lastMs: atMs, parts: own},
      });
      continue;
    }
    const parts = new Map(last.parts);
    for (const [part, dispatches] of own) {
      parts.set(part, [...(parts.get(part) ?? []), ...dispatches]);
    }
    events[index] = {
      reports: [...last.reports, report],
      firstMs: last.firstMs,
      lastMs: Math.max(last.lastMs, atMs),
      parts,
    };
  }
  return events;
}

/** The last dispatch of requests with each part, by the host that reported their crash. */
function dispatchesByPart(
  crash: suspects.Crash,
): ReadonlyMap<string, readonly suspects.Dispatch[]> {
  const host = suspects.reporterOf(crash);
  const lastMs = new Map<string, number>();
  for (const {hasBegun, parts, dispatchedMs} of crash.requests) {
    if (hasBegun) continue;
    for (const part of parts) {
      lastMs.set(part, Math.max(dispatchedMs, lastMs.get(part) ?? -Infinity));
    }
  }
  const byPart = [...lastMs].map(
    ([part, atMs]) => [part, [{host, atMs}]] as const,
  );
  return new Map(byPart);
}

/** When a part that explains these crashes is tried again. */
function retryAt({events, crashes}: Omit<Explanation, 'parts'>): number {
  const lastMs = Math.max(...events.map(event => event.lastMs));
  const doublings = crashes - CRASHES_TO_REFUSE;
  return lastMs + Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * 2 ** doublings);
}
