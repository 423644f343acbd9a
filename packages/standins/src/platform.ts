import type * as http from 'node:http';

import type Koa from 'koa';

import * as server from './server.js';

/** How the platform behaves; tests change it while it runs. */
export interface PlatformBehaviour {
  readonly isDown: boolean;
  readonly delayMs: number;
  /** The share of commits whose reply is lost after they took effect, from 0 to 1. */
  readonly lostReplies: number;
  readonly writesPerS: number;
  readonly readsPerS: number;
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

const MAX_QUEUE_MS = 800;

interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

interface Commit {
  readonly conditions: readonly {
    readonly key: string;
    readonly version: number;
  }[];
  readonly writes: readonly {readonly key: string; readonly value?: unknown}[];
}

interface Listed {
  readonly name: string;
  readonly state: string;
}

/** Spaces calls out to a rate; a call that would wait too long is turned away. */
class RateCap {
  private nextMs = 0;

  /** The time to wait for a place at `perS` calls per second, or undefined when there is none. */
  take(perS: number, nowMs: number): number | undefined {
    const startMs = Math.max(this.nextMs, nowMs);
    if (startMs - nowMs > MAX_QUEUE_MS) return undefined;
    this.nextMs = startMs + 1000 / perS;
    return startMs - nowMs;
  }
}

/** The platform's table service, object store and lagging list, for tests. */
export class PlatformStandIn {
  private readonly rows = new Map<string, Row>();
  private readonly objects = new Map<string, string>();
  private readonly list = new Map<string, string>();
  private shown: readonly Listed[] = [];
  private behaviour: PlatformBehaviour;
  private version = 0;
  private readonly writeCap = new RateCap();
  private readonly readCap = new RateCap();
  private counts = {writes: 0, reads: 0, rows: 0};

  constructor(behaviour: Partial<PlatformBehaviour> = {}) {
    this.behaviour = {...HEALTHY, ...behaviour};
  }

  /** Serves on loopback. */
  listen(port: number): Promise<http.Server> {
    return server.serve(
      {
        'POST /table/read': (ctx, body) => this.read(ctx, body),
        'POST /table/scan': (ctx, body) => this.scan(ctx, body),
        'POST /table/commit': (ctx, body) =>
          this.commit(ctx, body as unknown as Commit),
        'POST /objects/put': async (ctx, body) => {
          if (!(await this.isServed(ctx, 'writes'))) return;
          this.objects.set(String(body.key), String(body.body));
          ctx.body = {};
        },
        'POST /objects/get': async (ctx, body) => {
          if (!(await this.isServed(ctx, 'reads'))) return;
          ctx.body = {body: this.objects.get(String(body.key))};
        },
        'POST /hosts': async ctx => {
          if (await this.isServed(ctx, 'reads')) ctx.body = this.shown;
        },
        'POST /list': (ctx, body) => this.setListed(ctx, body),
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

  private async isServed(
    ctx: Koa.Context,
    kind: 'writes' | 'reads',
  ): Promise<boolean> {
    const {isDown, delayMs, writesPerS, readsPerS} = this.behaviour;
    const waitMs =
      kind === 'writes'
        ? this.writeCap.take(writesPerS, Date.now())
        : this.readCap.take(readsPerS, Date.now());
    if (isDown || waitMs === undefined) {
      ctx.status = 503;
      ctx.body = {committed: false};
      return false;
    }
    this.counts[kind]++;
    await new Promise(resolve => setTimeout(resolve, waitMs + delayMs));
    return true;
  }

  private async read(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    if (!(await this.isServed(ctx, 'reads'))) return;
    const keys = body.keys as readonly string[];
    ctx.body = keys.flatMap(key => this.rows.get(key) ?? []);
  }

  private async scan(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    if (!(await this.isServed(ctx, 'reads'))) return;
    const prefix = String(body.prefix);
    const after = String(body.afterKey);
    ctx.body = [...this.rows.values()]
      .filter(row => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, Number(body.limit));
  }

  private async commit(ctx: Koa.Context, commit: Commit): Promise<void> {
    if (!(await this.isServed(ctx, 'writes'))) return;
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

  private setListed(
    ctx: Koa.Context,
    body: Readonly<Record<string, unknown>>,
  ): void {
    this.list.set(String(body.name), String(body.state));
    const shown = [...this.list].map(([name, state]) => ({name, state}));
    const show = () => {
      this.shown = shown;
    };
    setTimeout(show, this.behaviour.listLagMs).unref();
    ctx.body = {};
  }
}
