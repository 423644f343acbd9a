import type * as http from 'node:http';

import type Koa from 'koa';

import * as server from './server.js';

/** The behaviour of the platform; tests set it at the start and change it with `POST /fault`. */
export interface PlatformBehaviour {
  /** Rejects all calls of hosts with 503. */
  readonly isDown: boolean;
  /** Added to the duration of each call. */
  readonly delayMs: number;
  /** Probability that a table commit takes effect but its reply is lost, from 0 to 1. */
  readonly lostReplies: number;
  /** Rate limits of writes and reads, in calls per second. */
  readonly writesPerS: number;
  readonly readsPerS: number;
  /** Time until a change of the host list is visible. */
  readonly listLagMs: number;
}

const HEALTHY: PlatformBehaviour = {
  isDown: false,
  delayMs: 2,
  lostReplies: 0,
  writesPerS: 500,
  readsPerS: 2000,
  listLagMs: 5000,
};

/** A call is rejected if the rate limit would delay it by more than this. */
const MAX_QUEUE_WAIT_MS = 800;

/** A row of the table; `version` is that of the commit that wrote it. */
interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Writes that take effect atomically if every condition holds; a write without a value deletes the row. */
interface Commit {
  /** The expected versions of rows; 0 means that the row does not exist. */
  readonly conditions: readonly {
    readonly key: string;
    readonly version: number;
  }[];
  readonly writes: readonly {readonly key: string; readonly value?: unknown}[];
}

/** An entry of the host list. */
interface ListedHost {
  readonly name: string;
  readonly state: string;
}

/** Rate limiter that spaces calls evenly by delaying them, and rejects those that would wait too long. */
class RateLimiter {
  private nextMs = 0;

  /** Reserves the next call at `ratePerS` calls per second; returns its delay in milliseconds, or undefined if it is rejected. */
  reserve(ratePerS: number, nowMs: number): number | undefined {
    const startMs = Math.max(this.nextMs, nowMs);
    if (startMs - nowMs > MAX_QUEUE_WAIT_MS) return undefined;
    this.nextMs = startMs + 1000 / ratePerS;
    return startMs - nowMs;
  }
}

/** Stand-in for the platform: table store, object store and a host list that lags behind. */
export class PlatformStandIn {
  private readonly rows = new Map<string, Row>();
  private readonly objects = new Map<string, string>();
  /** States of hosts by name, without lag. */
  private readonly hostStates = new Map<string, string>();
  /** The host list as hosts see it. */
  private publishedHosts: readonly ListedHost[] = [];
  private behaviour: PlatformBehaviour;
  private version = 0;
  private readonly writeLimiter = new RateLimiter();
  private readonly readLimiter = new RateLimiter();
  private counts = {writes: 0, reads: 0, rows: 0};

  constructor(behaviour: Partial<PlatformBehaviour> = {}) {
    this.behaviour = {...HEALTHY, ...behaviour};
  }

  /** Serves on loopback; resolves once it listens. */
  listen(port: number): Promise<http.Server> {
    return server.serve(
      {
        'POST /table/read': (ctx, body) => this.read(ctx, body),
        'POST /table/scan': (ctx, body) => this.scan(ctx, body),
        'POST /table/commit': (ctx, body) =>
          this.commit(ctx, body as unknown as Commit),
        'POST /objects/put': async (ctx, body) => {
          if (!(await this.admit(ctx, 'writes'))) return;
          this.objects.set(String(body.key), String(body.body));
          ctx.body = {};
        },
        'POST /objects/get': async (ctx, body) => {
          if (!(await this.admit(ctx, 'reads'))) return;
          ctx.body = {body: this.objects.get(String(body.key))};
        },
        'POST /hosts': async ctx => {
          if (await this.admit(ctx, 'reads')) ctx.body = this.publishedHosts;
        },
        'POST /list': (ctx, body) => this.setHostState(ctx, body),
        'GET /counts': ctx => {
          ctx.body = {...this.counts, rows: this.rows.size};
        },
        'POST /fault': (ctx, body) => {
          this.behaviour = {...this.behaviour, ...body};
          ctx.body = this.behaviour;
        },
      },
      port,
    );
  }

  /** Delays a call by `delayMs` and the rate limiter and returns true, or answers 503 and returns false. */
  private async admit(
    ctx: Koa.Context,
    kind: 'writes' | 'reads',
  ): Promise<boolean> {
    const {isDown, delayMs, writesPerS, readsPerS} = this.behaviour;
    const waitMs =
      kind === 'writes'
        ? this.writeLimiter.reserve(writesPerS, Date.now())
        : this.readLimiter.reserve(readsPerS, Date.now());
    if (isDown || waitMs === undefined) {
      ctx.status = 503;
      ctx.body = {committed: false};
      return false;
    }
    this.counts[kind]++;
    await new Promise(resolve => setTimeout(resolve, waitMs + delayMs));
    return true;
  }

  /** Returns the rows of the given keys that exist. */
  private async read(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    if (!(await this.admit(ctx, 'reads'))) return;
    const keys = body.keys as readonly string[];
    ctx.body = keys.flatMap(key => this.rows.get(key) ?? []);
  }

  /** Returns the first `limit` rows after `afterKey` with a prefix, in key order. */
  private async scan(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    if (!(await this.admit(ctx, 'reads'))) return;
    const prefix = String(body.prefix);
    const after = String(body.afterKey);
    ctx.body = [...this.rows.values()]
      .filter(row => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, Number(body.limit));
  }

  /** Commits the writes, or returns the keys whose conditions fail. */
  private async commit(ctx: Koa.Context, commit: Commit): Promise<void> {
    if (!(await this.admit(ctx, 'writes'))) return;
    const keys = commit.conditions
      .filter(c => (this.rows.get(c.key)?.version ?? 0) !== c.version)
      .map(c => c.key);
    if (keys.length > 0) {
      ctx.body = {kind: 'conflict', keys};
      return;
    }
    this.version++;
    for (const {key, value} of commit.writes) {
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, {key, value, version: this.version});
    }
    ctx.body = {kind: 'committed', version: this.version};
    if (Math.random() < this.behaviour.lostReplies) {
      ctx.respond = false;
      ctx.res.destroy();
    }
  }

  /** Sets the state of a host; the list shows it after `listLagMs`. */
  private setHostState(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): void {
    this.hostStates.set(String(body.name), String(body.state));
    const published = [...this.hostStates].map(([name, state]) => ({
      name,
      state,
    }));
    const publish = () => {
      this.publishedHosts = published;
    };
    setTimeout(publish, this.behaviour.listLagMs).unref();
    ctx.body = {};
  }
}
