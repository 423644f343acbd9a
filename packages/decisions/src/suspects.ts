/** A request is refused once it was in flight at this many crashes. */
export const CRASHES_TO_REFUSE = 2;

/** How long crashes and completions are kept, in milliseconds. */
export const CRASH_RETENTION_MS = 3_600_000;

/** The number of crash reports kept; the latest ones are kept. */
export const MAX_REPORTS = 512;

/** An answer given this long before a crash, or less, counts against one crash, in milliseconds. */
export const CREDIT_MS = 60_000;

/** Crashes of several backend servers with less than this between them may have one cause, such as a loss of power, in milliseconds. */
const COMMON_CAUSE_MS = 1000;

/** How long after its last crash a refused request is tried again, in milliseconds; doubles with each further crash. */
const FIRST_TRIAL_MS = 10_000;

/** The longest time until a refused request is tried again, in milliseconds. */
const MAX_TRIAL_MS = 1_800_000;

/** The greatest difference between the clocks of two hosts, in milliseconds. */
export const MAX_SKEW_MS = 200;

/** A request that was in flight when a backend server crashed. */
export interface InFlightRequest {
  readonly fingerprint: string;
  readonly dispatchedMs: number;
  /** The prompt parts that other requests may share. */
  readonly parts: readonly string[];
  /** True when the backend server had begun to answer. */
  readonly hasBegun: boolean;
}

/** One host's report of a backend server's crash, with the requests that this host had in flight there. */
export interface Crash {
  readonly crashId: string;
  readonly backendServer: string;
  readonly atMs: number;
  readonly requests: readonly InFlightRequest[];
}

/** The status of a request: a `suspect` one runs alone on a runner, a `refused` one is not run at all. */
export type SuspectStatus = 'clear' | 'suspect' | 'refused';

/**
 * The suspect requests: fingerprints of requests that were in flight when
 * backend servers crashed. Adding crashes is commutative and idempotent, so
 * hosts may exchange reports in any order and any number of times. A
 * completion cancels the earlier crashes of its fingerprint, and outweighs one
 * crash soon after it, which clears requests that were in flight by coincidence.
 */
export class SuspectRequests {
  private constructor(
    private readonly crashes: ReadonlyMap<string, Crash>,
    private readonly completedMs: ReadonlyMap<string, number>,
  ) {}

  /** No crashes and no completions. */
  static readonly empty = new SuspectRequests(new Map(), new Map());

  /** Adds a crash; one that is already known changes nothing, nor does one that is older than all of `MAX_REPORTS` known ones. */
  add(crash: Crash): SuspectRequests {
    if (this.crashes.has(crash.crashId)) return this;
    const crashes = new Map(this.crashes).set(crash.crashId, crash);
    if (crashes.size <= MAX_REPORTS) {
      return new SuspectRequests(crashes, this.completedMs);
    }
    const oldest = [...crashes.values()].reduce((a, b) =>
      compareReports(a, b) <= 0 ? a : b,
    );
    if (oldest === crash) return this;
    crashes.delete(oldest.crashId);
    const kept = new Set(
      [...crashes.values()].flatMap(({requests}) =>
        requests.map(({fingerprint}) => fingerprint),
      ),
    );
    const completed = [...this.completedMs].filter(([f]) => kept.has(f));
    return new SuspectRequests(crashes, new Map(completed));
  }

  /** Records that a request with this fingerprint completed at `atMs`; ignored unless a crash with it is known. */
  complete(fingerprint: string, atMs: number): SuspectRequests {
    const known = this.completedMs.get(fingerprint) ?? -Infinity;
    if (atMs <= known || this.crashesOf(fingerprint).length === 0) return this;
    const completedMs = new Map(this.completedMs).set(fingerprint, atMs);
    return new SuspectRequests(this.crashes, completedMs);
  }

  /** Drops crashes older than `CRASH_RETENTION_MS`, and with them all completions of that age. */
  expire(nowMs: number): SuspectRequests {
    const oldestMs = nowMs - CRASH_RETENTION_MS;
    if ([...this.crashes.values()].every(c => c.atMs >= oldestMs)) return this;
    const crashes = [...this.crashes].filter(([, c]) => c.atMs >= oldestMs);
    const completed = [...this.completedMs].filter(([, ms]) => ms >= oldestMs);
    return new SuspectRequests(new Map(crashes), new Map(completed));
  }

  /** True when the fingerprint was at a crash since its last completion on record. */
  isAccused(fingerprint: string): boolean {
    return this.openCrashesOf(fingerprint).length > 0;
  }

  /** Returns the status of requests with this fingerprint. One whose answer had begun at its only crash is clear. */
  statusOf(fingerprint: string): SuspectStatus {
    const crashes = this.openCrashesOf(fingerprint);
    const count = this.countOf(fingerprint, crashes);
    if (count >= CRASHES_TO_REFUSE) return 'refused';
    const isCandidate = crashes.some(({requests}) =>
      requests.some(r => r.fingerprint === fingerprint && !r.hasBegun),
    );
    return isCandidate && count > 0 ? 'suspect' : 'clear';
  }

  /** Returns when a request with a refused fingerprint is tried again, as a suspect one. */
  retryAtMs(fingerprint: string): number {
    const crashes = this.openCrashesOf(fingerprint);
    const lastMs = Math.max(...crashes.map(({atMs}) => atMs));
    const doublings = this.countOf(fingerprint, crashes) - CRASHES_TO_REFUSE;
    return lastMs + Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * 2 ** doublings);
  }

  /** The time at which each fingerprint last completed, for sending to a host that joins. */
  get completions(): ReadonlyMap<string, number> {
    return this.completedMs;
  }

  /** Returns all known crashes, for sending to a host that joins. */
  allCrashes(): readonly Crash[] {
    return [...this.crashes.values()];
  }

  /** The crashes since the last completion. */
  private openCrashesOf(fingerprint: string): readonly Crash[] {
    const sinceMs = this.completedMs.get(fingerprint) ?? -Infinity;
    return this.crashesOf(fingerprint).filter(({atMs}) => atMs > sinceMs);
  }

  /** The number of these crashes, where those with one cause count once, less one if the request completed shortly before. */
  private countOf(fingerprint: string, crashes: readonly Crash[]): number {
    const sorted = [...crashes].sort(compareReports);
    const completedMs = this.completedMs.get(fingerprint) ?? -Infinity;
    const isCredited =
      sorted.length > 0 && sorted[0].atMs - completedMs <= CREDIT_MS;
    return isCredited
      ? countApart(sorted.map(({atMs}) => ({firstMs: atMs, lastMs: atMs}))) - 1
      : countDistinctCrashes(sorted, fingerprint);
  }

  private crashesOf(fingerprint: string): readonly Crash[] {
    return this.allCrashes().filter(crash =>
      crash.requests.some(request => request.fingerprint === fingerprint),
    );
  }
}

/**
 * Counts the distinct crashes with a fingerprint in flight. Several hosts may
 * report the same crash, so a report counts as another crash only if the
 * request was dispatched after the previous report for that backend server. It
 * also has to be dispatched after the crash that was counted before: equal
 * requests at backend servers that lose power together show nothing about it.
 */
function countDistinctCrashes(
  crashes: readonly Crash[],
  fingerprint: string,
): number {
  const lastMs = new Map<string, number>();
  let countedMs = -Infinity;
  let count = 0;
  for (const {backendServer, atMs, requests} of crashes) {
    const previousMs = lastMs.get(backendServer) ?? -Infinity;
    const sinceMs = Math.max(previousMs, countedMs);
    const isOtherCrash = requests.some(request => {
      const hasFingerprint = request.fingerprint === fingerprint;
      return hasFingerprint && request.dispatchedMs > sinceMs;
    });
    if (isOtherCrash) {
      count++;
      countedMs = atMs;
    }
    lastMs.set(backendServer, atMs);
  }
  return count;
}

/** Counts crashes in the order of time; those that follow each other within `COMMON_CAUSE_MS` count as one. */
export function countApart(
  crashes: readonly {readonly firstMs: number; readonly lastMs: number}[],
): number {
  let lastMs = -Infinity;
  let count = 0;
  for (const crash of crashes) {
    if (crash.firstMs - lastMs > COMMON_CAUSE_MS) count++;
    lastMs = Math.max(lastMs, crash.lastMs);
  }
  return count;
}

/** Names the report of a crash; unique among all hosts. */
export function crashIdOf(host: string, atMs: number, number: number): string {
  return `${host}/${atMs}/${number}`;
}

/** Returns the host that reported a crash. */
export function reporterOf({crashId}: Crash): string {
  return crashId.split('/', 1)[0];
}

/** When a host dispatched a request, by its own clock. */
export interface Dispatch {
  readonly host: string;
  readonly atMs: number;
}

/** Returns true if a request was certainly dispatched after a crash, of which these are the reports, the first one first. */
export function wasAfterCrash(
  {host, atMs}: Dispatch,
  reports: readonly Crash[],
): boolean {
  if (reports.length === 0) return true;
  const own = reports.find(report => reporterOf(report) === host);
  return atMs > (own ? own.atMs : reports[0].atMs + MAX_SKEW_MS);
}

/** Orders the reports of crashes by time. */
export function compareReports(a: Crash, b: Crash): number {
  return a.atMs - b.atMs || (a.crashId < b.crashId ? -1 : 1);
}
