/** How many crashes a request may be present at before it is refused. */
export const CRASHES_TO_REFUSE = 2;

/** How long a fingerprint stays on record after its last crash, in milliseconds. */
export const SUSPECT_KEEP_MS = 3_600_000;

/** A request that was in flight at a crash, and when it was dispatched. */
export interface InFlightRequest {
  readonly fingerprint: string;
  readonly dispatchedMs: number;
}

/** A crash of one backend server as one host saw it, with that host's requests in flight on it. */
export interface Crash {
  readonly crashId: string;
  readonly backendServer: string;
  readonly atMs: number;
  readonly requests: readonly InFlightRequest[];
}

/** How a request is to be treated. */
export type SuspectStatus = 'clear' | 'suspect' | 'refused';

/**
 * Fingerprints of requests that were in flight when backend servers crashed.
 * Merging is commutative and idempotent, so hosts may exchange crashes in
 * any order and any number of times. A fingerprint that completed since its
 * last crash is clear again: that is how bystanders are released.
 */
export class SuspectRequests {
  private constructor(
    private readonly crashes: ReadonlyMap<string, Crash>,
    private readonly completedMs: ReadonlyMap<string, number>,
  ) {}

  /** No crash was seen. */
  static readonly empty = new SuspectRequests(new Map(), new Map());

  /** Adds a crash; one that is known already changes nothing. */
  add(crash: Crash): SuspectRequests {
    if (this.crashes.has(crash.crashId)) return this;
    const crashes = new Map(this.crashes).set(crash.crashId, crash);
    return new SuspectRequests(crashes, this.completedMs);
  }

  /** Records that a request with this fingerprint ran to its end. */
  complete(fingerprint: string, atMs: number): SuspectRequests {
    const known = this.completedMs.get(fingerprint) ?? -Infinity;
    if (atMs <= known || this.crashesOf(fingerprint).length === 0) return this;
    const completedMs = new Map(this.completedMs).set(fingerprint, atMs);
    return new SuspectRequests(this.crashes, completedMs);
  }

  /** Drops what is older than `SUSPECT_KEEP_MS`. */
  expire(nowMs: number): SuspectRequests {
    const oldestMs = nowMs - SUSPECT_KEEP_MS;
    if ([...this.crashes.values()].every(c => c.atMs >= oldestMs)) return this;
    const crashes = [...this.crashes].filter(([, c]) => c.atMs >= oldestMs);
    const completed = [...this.completedMs].filter(([, ms]) => ms >= oldestMs);
    return new SuspectRequests(new Map(crashes), new Map(completed));
  }

  /** How a request with this fingerprint is to be treated. */
  statusOf(fingerprint: string): SuspectStatus {
    const since = this.completedMs.get(fingerprint) ?? -Infinity;
    const crashes = this.crashesOf(fingerprint);
    const count = distinct(
      crashes.filter(crash => crash.atMs > since),
      fingerprint,
    );
    if (count >= CRASHES_TO_REFUSE) return 'refused';
    return count > 0 ? 'suspect' : 'clear';
  }

  /** When each fingerprint last ran to its end, for a host that joins. */
  get completions(): ReadonlyMap<string, number> {
    return this.completedMs;
  }

  /** All crashes on record, for a host that joins. */
  allCrashes(): readonly Crash[] {
    return [...this.crashes.values()];
  }

  private crashesOf(fingerprint: string): readonly Crash[] {
    return this.allCrashes().filter(crash =>
      crash.requests.some(request => request.fingerprint === fingerprint),
    );
  }
}

/**
 * Counts crashes that a fingerprint was present at. Several hosts report the
 * same crash; a request that was dispatched after the last crash of its
 * backend server was present at another one.
 */
function distinct(crashes: readonly Crash[], fingerprint: string): number {
  const sorted = [...crashes].sort((a, b) => a.atMs - b.atMs);
  const lastMs = new Map<string, number>();
  let count = 0;
  for (const {backendServer, atMs, requests} of sorted) {
    const previousMs = lastMs.get(backendServer) ?? -Infinity;
    const isLater = requests.some(request => {
      const isSame = request.fingerprint === fingerprint;
      return isSame && request.dispatchedMs > previousMs;
    });
    if (isLater) count++;
    lastMs.set(backendServer, atMs);
  }
  return count;
}
