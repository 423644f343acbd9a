import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const EXPIRE_INTERVAL_MS = 60_000;

/** Dependencies of `Crashes`; `targets` returns the hosts to send news to, other than `except`. */
export interface CrashesOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly targets: (except: string) => readonly string[];
}

/** A request that is tracked while it is in flight on a backend server. */
export interface TrackedRequest {
  /** Records that the backend server has begun to answer. */
  markBegun(): void;
  /** Ends the tracking. */
  end(): void;
}

/** What identifies a request in crash records. */
export interface RequestIdentity {
  readonly requestId: string;
  readonly fingerprint: string;
  /** The prompt parts that other requests may share. */
  readonly parts: readonly string[];
}

/** Tracks suspect requests, which were in flight when backend servers crashed, and shares them with other hosts. */
export class Crashes {
  private suspects = decisions.suspects.SuspectRequests.empty;
  /** Requests in flight, by backend server and request id. */
  private readonly inFlight = new Map<
    string,
    Map<string, decisions.suspects.InFlightRequest>
  >();
  private timer: NodeJS.Timeout | undefined;
  private crashCount = 0;

  constructor(private readonly options: CrashesOptions) {}

  /** Starts to expire old crashes and completions periodically. */
  start(): void {
    this.timer = setInterval(() => {
      const nowMs = this.options.clock.nowMs();
      this.suspects = this.suspects.expire(nowMs);
    }, EXPIRE_INTERVAL_MS);
  }

  /** Stops the periodic expiry. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The number of crashes on record. */
  get size(): number {
    return this.suspects.allCrashes().length;
  }

  /** Returns whether requests with this fingerprint are clear, suspect or refused. */
  statusOf(fingerprint: string): decisions.suspects.SuspectStatus {
    return this.suspects.statusOf(fingerprint);
  }

  /** Records a request as in flight on a backend server. */
  trackInFlight(server: string, request: RequestIdentity): TrackedRequest {
    const {requestId, fingerprint, parts} = request;
    const requests =
      this.inFlight.get(server) ??
      new Map<string, decisions.suspects.InFlightRequest>();
    this.inFlight.set(server, requests);
    const dispatchedMs = this.options.clock.nowMs();
    const entry = {fingerprint, dispatchedMs, parts};
    requests.set(requestId, {...entry, hasBegun: false});
    return {
      markBegun: () => {
        if (!requests.has(requestId)) return;
        requests.set(requestId, {...entry, hasBegun: true});
      },
      end: () => {
        requests.delete(requestId);
        const isLast = requests.size === 0;
        if (isLast && this.inFlight.get(server) === requests) {
          this.inFlight.delete(server);
        }
      },
    };
  }

  /**
   * Marks every request in flight on a crashed backend server as suspect, here
   * and on other hosts. Called for each request that fails in the crash; the
   * first call records all of them, and the later ones find none in flight.
   */
  recordCrash(server: string): void {
    const requests = this.inFlight.get(server);
    if (!requests || requests.size === 0) return;
    const nowMs = this.options.clock.nowMs();
    this.crashCount++;
    const crash: decisions.suspects.Crash = {
      crashId: `${this.options.host}/${nowMs}/${this.crashCount}`,
      backendServer: server,
      atMs: nowMs,
      requests: [...requests.values()],
    };
    const unbegun = [...requests].filter(([, request]) => !request.hasBegun);
    requests.clear();
    this.options.timeline.record('crash', '', {
      ...{server, crashId: crash.crashId, requests: crash.requests.length},
      unbegun: unbegun.map(([requestId]) => requestId).join(' '),
      parts: [...new Set(unbegun.flatMap(([, {parts}]) => parts))].join(' '),
    });
    this.add([crash], '');
  }

  /** Records that a request completed, so that earlier crashes no longer make its fingerprint suspect, and tells other hosts. */
  recordCompletion(fingerprint: string): void {
    if (this.suspects.statusOf(fingerprint) === 'clear') return;
    const atMs = this.options.clock.nowMs();
    this.suspects = this.suspects.complete(fingerprint, atMs);
    this.sendNews({crashes: [], cleared: [{fingerprint, atMs}]}, '');
  }

  /** Merges crash news from another host and passes it on if any of it is new. */
  onNews(from: string, news: peers.messages.MessageBodies['news']): void {
    this.add(news.crashes, from);
    const before = this.suspects;
    for (const {fingerprint, atMs} of news.cleared) {
      this.suspects = this.suspects.complete(fingerprint, atMs);
    }
    if (this.suspects !== before) {
      this.sendNews({crashes: [], cleared: news.cleared}, from);
    }
  }

  /** Sends all crashes and completions on record to a host that has just joined. */
  sendAll(host: string): void {
    const cleared = [...this.suspects.completions].map(
      ([fingerprint, atMs]) => ({fingerprint, atMs}),
    );
    const crashes = this.suspects.allCrashes();
    const body = {members: [], crashes, cleared};
    this.options.router.send(host, {kind: 'news', body});
  }

  private add(
    crashes: readonly decisions.suspects.Crash[],
    from: string,
  ): void {
    const before = this.suspects;
    this.suspects = crashes.reduce((s, crash) => s.add(crash), before);
    if (this.suspects !== before) this.sendNews({crashes, cleared: []}, from);
  }

  private sendNews(
    news: Omit<peers.messages.MessageBodies['news'], 'members'>,
    except: string,
  ): void {
    for (const host of this.options.targets(except)) {
      const body = {members: [], ...news};
      this.options.router.send(host, {kind: 'news', body});
    }
  }
}
