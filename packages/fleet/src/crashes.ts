import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const EXPIRE_INTERVAL_MS = 60_000;

/** Dependencies of `Crashes`; `targets` lists the hosts to send news to, without `except`. */
export interface CrashesOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly targets: (except: string) => readonly string[];
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
  private count = 0;

  constructor(private readonly options: CrashesOptions) {}

  /** Starts expiring old crash records. */
  start(): void {
    this.timer = setInterval(() => {
      const nowMs = this.options.clock.nowMs();
      this.suspects = this.suspects.expire(nowMs);
    }, EXPIRE_INTERVAL_MS);
  }

  /** Stops expiring records. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The number of crash records. */
  get size(): number {
    return this.suspects.allCrashes().length;
  }

  /** Whether requests with this fingerprint are clear, suspect or refused. */
  statusOf(fingerprint: string): decisions.suspects.SuspectStatus {
    return this.suspects.statusOf(fingerprint);
  }

  /** Records a request as in flight on a backend server; the returned function removes it. */
  trackInFlight(
    server: string,
    requestId: string,
    fingerprint: string,
  ): () => void {
    const requests = this.inFlight.get(server) ?? new Map();
    this.inFlight.set(server, requests);
    const dispatchedMs = this.options.clock.nowMs();
    requests.set(requestId, {fingerprint, dispatchedMs});
    return () => requests.delete(requestId);
  }

  /**
   * Marks every request in flight on a crashed backend server as suspect, here
   * and on other hosts. Called for each failed request; the first call records
   * the crash for all of them.
   */
  recordCrash(server: string): void {
    const requests = this.inFlight.get(server);
    if (!requests || requests.size === 0) return;
    const nowMs = this.options.clock.nowMs();
    this.count++;
    const crash: decisions.suspects.Crash = {
      crashId: `${this.options.host}/${nowMs}/${this.count}`,
      backendServer: server,
      atMs: nowMs,
      requests: [...requests.values()],
    };
    requests.clear();
    this.options.timeline.record('crash', '', {
      server,
      requests: crash.requests.length,
    });
    this.add([crash], '');
  }

  /** Clears the fingerprint of a request that completed from earlier crashes. */
  recordCompletion(fingerprint: string): void {
    if (this.suspects.statusOf(fingerprint) === 'clear') return;
    const atMs = this.options.clock.nowMs();
    this.suspects = this.suspects.complete(fingerprint, atMs);
    this.sendNews({crashes: [], cleared: [{fingerprint, atMs}]}, '');
  }

  /** Merges crash news from another host and passes on what is new. */
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

  /** Sends all records to a host that has just joined. */
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
