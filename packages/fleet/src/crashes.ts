import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const EXPIRE_EVERY_MS = 60_000;

/** What `Crashes` needs from the rest of the host. */
export interface CrashesOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly targets: (except: string) => readonly string[];
}

/** Which requests were in flight when backend servers crashed, shared with the other hosts. */
export class Crashes {
  private suspects = decisions.suspects.SuspectRequests.empty;
  /** Requests in flight by backend server, and by their ids. */
  private readonly inFlight = new Map<
    string,
    Map<string, decisions.suspects.InFlightRequest>
  >();
  private timer: NodeJS.Timeout | undefined;
  private count = 0;

  constructor(private readonly options: CrashesOptions) {}

  /** Starts dropping old records. */
  start(): void {
    this.timer = setInterval(() => {
      const nowMs = this.options.clock.nowMs();
      this.suspects = this.suspects.expire(nowMs);
    }, EXPIRE_EVERY_MS);
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** The number of crashes on record. */
  get size(): number {
    return this.suspects.allCrashes().length;
  }

  /** How a request with this fingerprint is to be treated. */
  standing(fingerprint: string): decisions.suspects.SuspectStatus {
    return this.suspects.statusOf(fingerprint);
  }

  /** Notes that a request is in flight on a backend server; call the result when it no longer is. */
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
   * A backend server crashed: everything in flight on it is suspect, here and
   * on the other hosts. Each request in flight leads here; the first one
   * reports for all.
   */
  crashed(server: string): void {
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

  /** A request ran to its end: it is cleared of earlier crashes. */
  completed(fingerprint: string): void {
    if (this.suspects.statusOf(fingerprint) === 'clear') return;
    const atMs = this.options.clock.nowMs();
    this.suspects = this.suspects.complete(fingerprint, atMs);
    this.tell({crashes: [], cleared: [{fingerprint, atMs}]}, '');
  }

  /** Takes in what another host says. */
  onNews(from: string, news: peers.messages.MessageBodies['news']): void {
    this.add(news.crashes, from);
    const before = this.suspects;
    for (const {fingerprint, atMs} of news.cleared) {
      this.suspects = this.suspects.complete(fingerprint, atMs);
    }
    if (this.suspects !== before) {
      this.tell({crashes: [], cleared: news.cleared}, from);
    }
  }

  /** Tells a host everything on record, for one that has just joined. */
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
    if (this.suspects !== before) this.tell({crashes, cleared: []}, from);
  }

  private tell(
    news: Omit<peers.messages.MessageBodies['news'], 'members'>,
    except: string,
  ): void {
    for (const host of this.options.targets(except)) {
      const body = {members: [], ...news};
      this.options.router.send(host, {kind: 'news', body});
    }
  }
}
