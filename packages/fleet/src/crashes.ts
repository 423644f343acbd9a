import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import type * as routers from './router.js';
import type * as timelines from './timeline.js';

const EXPIRE_INTERVAL_MS = 60_000;
/** The most prompt parts of which the last answer is remembered. */
export const MAX_ANSWERED_PARTS = 4096;
/** The most requests of which the last completion is remembered. */
export const MAX_COMPLETED = 4096;
/** About so many hosts send their records to a host that joins. */
const SENDERS_TO_JOINER = 8;

/** Dependencies of `Crashes`; `targets` returns the hosts to send news to, other than `except`. */
export interface CrashesOptions {
  readonly host: string;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly timeline: timelines.Timeline;
  readonly targets: (except: string) => readonly string[];
}

/** Whether a request may run, and for one that is not clear by which parts and crashes. */
export interface Standing {
  readonly status: decisions.suspects.SuspectStatus;
  /** The prompt parts that it is judged by; empty when it is judged as a whole. */
  readonly parts: readonly string[];
  readonly crashIds: readonly string[];
  /** How long a refused request has to wait until one like it is tried again, in milliseconds. */
  readonly retryAfterMs: number;
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

type CrashNews = Pick<
  peers.messages.MessageBodies['news'],
  'crashes' | 'cleared'
>;

/** Tracks suspect requests, which were in flight when backend servers crashed, and shares them with other hosts. */
export class Crashes {
  private suspects = decisions.suspects.SuspectRequests.empty;
  private parts = decisions.suspectparts.SuspectParts.empty;
  /** When the last answer to a request with each part began or ended, the least recent first. */
  private readonly answeredMs = new Map<string, number>();
  /** When each request last completed, by fingerprint, the least recent first. */
  private readonly completedMs = new Map<string, number>();
  /** Requests in flight, by backend server; each has a key of its own, as several may have one id. */
  private readonly inFlight = new Map<
    string,
    Map<RequestIdentity, decisions.suspects.InFlightRequest>
  >();
  private timer: NodeJS.Timeout | undefined;
  private crashCount = 0;

  constructor(private readonly options: CrashesOptions) {}

  /** Starts to expire old crashes and completions periodically. */
  start(): void {
    this.timer = setInterval(() => {
      const nowMs = this.options.clock.nowMs();
      this.suspects = this.suspects.expire(nowMs);
      const oldestMs = nowMs - decisions.suspects.CRASH_RETENTION_MS;
      this.parts = this.parts.expire(oldestMs);
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

  /** The prompt parts whose requests are refused now. */
  get refusedParts(): readonly string[] {
    return this.parts.refusedParts(this.options.clock.nowMs());
  }

  /** The number of parts of which the last answer is remembered. */
  get rememberedParts(): number {
    return this.answeredMs.size;
  }

  /** The number of requests of which the last completion is remembered. */
  get rememberedRequests(): number {
    return this.completedMs.size;
  }

  /** Returns whether requests with this fingerprint are clear, suspect or refused. */
  statusOf(fingerprint: string): decisions.suspects.SuspectStatus {
    const status = this.suspects.statusOf(fingerprint);
    const isTried =
      status === 'refused' &&
      this.options.clock.nowMs() >= this.suspects.retryAtMs(fingerprint);
    return isTried ? 'suspect' : status;
  }

  /** Returns the standing of a request by its fingerprint and its parts, whichever is worse. */
  standingOf(request: Omit<RequestIdentity, 'requestId'>): Standing {
    const nowMs = this.options.clock.nowMs();
    const whole = this.statusOf(request.fingerprint);
    const found = this.parts.statusOf(request.parts, nowMs);
    const isWorse = SEVERITY[whole] > SEVERITY[found.status];
    if (isWorse) {
      const retryAfterMs =
        whole === 'refused'
          ? this.suspects.retryAtMs(request.fingerprint) - nowMs
          : 0;
      return {status: whole, parts: [], crashIds: [], retryAfterMs};
    }
    const {status, parts, crashIds, retryAtMs} = found;
    const retryAfterMs = Math.max(0, retryAtMs - nowMs);
    return {status, parts, crashIds, retryAfterMs};
  }

  /** Records a request as in flight on a backend server. */
  trackInFlight(server: string, request: RequestIdentity): TrackedRequest {
    const {fingerprint, parts} = request;
    const key = {...request};
    const requests =
      this.inFlight.get(server) ??
      new Map<RequestIdentity, decisions.suspects.InFlightRequest>();
    this.inFlight.set(server, requests);
    const dispatchedMs = this.options.clock.nowMs();
    const entry = {fingerprint, dispatchedMs, parts};
    requests.set(key, {...entry, hasBegun: false});
    return {
      markBegun: () => {
        if (!requests.has(key)) return;
        requests.set(key, {...entry, hasBegun: true});
        const atMs = this.options.clock.nowMs();
        for (const part of parts) this.rememberAnswer(part, atMs);
      },
      end: () => {
        requests.delete(key);
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
      crashId: decisions.suspects.crashIdOf(
        ...([this.options.host, nowMs, this.crashCount] as const),
      ),
      backendServer: server,
      atMs: nowMs,
      requests: [...requests.values()],
    };
    const unbegun = [...requests].filter(([, request]) => !request.hasBegun);
    requests.clear();
    this.options.timeline.record('crash', '', {
      ...{server, crashId: crash.crashId, requests: crash.requests.length},
      unbegun: unbegun.map(([{requestId}]) => requestId).join(' '),
      parts: [...new Set(unbegun.flatMap(([, {parts}]) => parts))].join(' '),
    });
    this.add([crash], '');
  }

  /** Records that a request completed, so that earlier crashes no longer make it or its parts suspect, and tells other hosts. */
  recordCompletion(fingerprint: string, parts: readonly string[] = []): void {
    const atMs = this.options.clock.nowMs();
    const answered = parts.filter(part => this.parts.isAccused(part));
    for (const part of parts) this.rememberAnswer(part, atMs);
    remember(this.completedMs, MAX_COMPLETED, fingerprint, atMs);
    const cleared = answered.map(part => clearedPart(part, atMs));
    if (this.suspects.isAccused(fingerprint)) {
      cleared.push({fingerprint, atMs, part: ''});
    }
    if (cleared.length > 0) this.clear(cleared, '');
  }

  /** Merges crash news from another host and passes it on if any of it is new. */
  onNews(from: string, news: peers.messages.MessageBodies['news']): void {
    const nowMs = this.options.clock.nowMs();
    const {crashes, cleared} = notAfter(nowMs, news);
    this.add(crashes, from);
    for (const {part, atMs} of cleared) {
      if (part !== '') this.rememberAnswer(part, atMs);
    }
    this.clear(cleared, from);
  }

  /** Sends what is on record to a host that has joined or can be reached again; `serving` is the number of hosts, of which only some send. */
  onJoin(joined: string, serving: number): void {
    const draw = `${joined}|${this.options.host}`;
    const share = SENDERS_TO_JOINER / Math.max(1, serving);
    if (decisions.rendezvous.hashFraction(draw) < share) this.sendAll(joined);
  }

  /** Sends all crashes and completions on record to a host that has just joined. */
  sendAll(host: string): void {
    const cleared = [
      ...[...this.suspects.completions].map(([fingerprint, atMs]) => {
        return {fingerprint, atMs, part: ''};
      }),
      ...[...this.parts.answers].map(([part, atMs]) => clearedPart(part, atMs)),
    ];
    const crashes = this.suspects.allCrashes();
    if (crashes.length === 0) return;
    const body = {members: [], crashes, cleared, statements: []};
    this.options.router.send(host, {kind: 'news', body});
  }

  private add(
    crashes: readonly decisions.suspects.Crash[],
    from: string,
  ): void {
    const before = this.suspects;
    this.suspects = crashes.reduce((s, crash) => s.add(crash), before);
    if (this.suspects === before) return;
    this.parts = crashes.reduce((p, crash) => p.add(crash), this.parts);
    this.sendNews({crashes, cleared: []}, from);
    this.vouch(crashes);
  }

  /** Tells when the requests at crashes last completed, and when their parts were last answered; another host may not know. */
  private vouch(crashes: readonly decisions.suspects.Crash[]): void {
    const requests = crashes.flatMap(crash => crash.requests);
    const accused = new Set(requests.flatMap(({parts}) => parts));
    const cleared = [...accused].flatMap(part => {
      const atMs = this.answeredMs.get(part);
      return atMs === undefined ? [] : [clearedPart(part, atMs)];
    });
    for (const fingerprint of new Set(requests.map(r => r.fingerprint))) {
      const atMs = this.completedMs.get(fingerprint);
      if (atMs !== undefined) cleared.push({fingerprint, atMs, part: ''});
    }
    if (cleared.length > 0) this.clear(cleared, '');
  }

  private clear(
    cleared: readonly peers.messages.Cleared[],
    from: string,
  ): void {
    const {suspects, parts} = this;
    for (const {fingerprint, part, atMs} of cleared) {
      if (part === '') {
        this.suspects = this.suspects.complete(fingerprint, atMs);
      } else {
        this.parts = this.parts.answer(part, atMs);
      }
    }
    if (this.suspects === suspects && this.parts === parts) return;
    this.sendNews({crashes: [], cleared}, from);
  }

  private rememberAnswer(part: string, atMs: number): void {
    remember(this.answeredMs, MAX_ANSWERED_PARTS, part, atMs);
  }

  private sendNews(news: CrashNews, except: string): void {
    for (const host of this.options.targets(except)) {
      const body = {members: [], statements: [], ...news};
      this.options.router.send(host, {kind: 'news', body});
    }
  }
}

const SEVERITY: Readonly<Record<decisions.suspects.SuspectStatus, number>> = {
  clear: 0,
  suspect: 1,
  refused: 2,
};

/** Moves news back in time that seems to be from later than now, as the clocks of hosts may differ, for example after a boot. */
function notAfter(nowMs: number, {crashes, cleared}: CrashNews): CrashNews {
  const lastMs = Math.max(...[...crashes, ...cleared].map(({atMs}) => atMs));
  const aheadMs = lastMs - nowMs;
  if (aheadMs <= decisions.suspects.MAX_SKEW_MS) return {crashes, cleared};
  const earlier = <T extends {readonly atMs: number}>(one: T): T => ({
    ...one,
    atMs: one.atMs - aheadMs,
  });
  return {
    crashes: crashes.map(crash => ({
      ...earlier(crash),
      requests: crash.requests.map(request => ({
        ...request,
        dispatchedMs: request.dispatchedMs - aheadMs,
      })),
    })),
    cleared: cleared.map(earlier),
  };
}

/** Sets the latest time of a key, as the most recent of at most `most`. */
function remember(
  times: Map<string, number>,
  most: number,
  key: string,
  atMs: number,
): void {
  const known = times.get(key) ?? -Infinity;
  times.delete(key);
  times.set(key, Math.max(known, atMs));
  if (times.size <= most) return;
  for (const oldest of times.keys()) {
    times.delete(oldest);
    return;
  }
}

function clearedPart(part: string, atMs: number): peers.messages.Cleared {
  return {fingerprint: '', atMs, part};
}
