import type * as http from 'node:http';

import type Koa from 'koa';

import * as batches from './batch.js';
import * as server from './server.js';

const STEP_MS = 10;
const KEEP_FINISHED_MS = 60_000;
const KILL_MARK = 'KILL-ENGINE';
const KILL_DELAY_MS = 100;
const CACHE_EVENT_LOSS = 10;

/** What an engine remembers of each request that it ran, for checks. */
export interface RunRecord {
  readonly streamId: string;
  readonly version: string;
  readonly atMs: number;
  readonly promptTail: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

interface Versions {
  readonly fence: number;
  readonly versions: readonly string[];
}

interface ChatBody {
  readonly model: string;
  readonly messages: readonly {readonly content: string}[];
  readonly max_tokens: number;
}

/** A model engine that batches continuously, for tests. */
export class EngineStandIn {
  private readonly batch: batches.Batch;
  private readonly runs: RunRecord[] = [];
  private versions: Versions;
  private lastLoad = {running: 0, usedTokens: 0, isLeaving: false};
  private readonly cacheEvents: object[] = [];

  constructor(
    behaviour: Partial<batches.EngineBehaviour> = {},
    versions: readonly string[] = ['v1'],
  ) {
    this.batch = new batches.Batch({...batches.HEALTHY, ...behaviour});
    this.versions = {fence: 0, versions};
  }

  /** Serves on loopback. */
  async listen(port: number): Promise<http.Server> {
    const listening = await server.serve(this.routes(), port);
    let lastMs = performance.now();
    const stepping = setInterval(() => {
      const nowMs = performance.now();
      this.batch.step(nowMs - lastMs);
      this.batch.removeEnded(Date.now() - KEEP_FINISHED_MS);
      lastMs = nowMs;
    }, STEP_MS);
    const reporting = setInterval(
      () => this.report(),
      this.batch.behaviour.loadLagMs,
    );
    listening.on('close', () => {
      clearInterval(stepping);
      clearInterval(reporting);
    });
    return listening;
  }

  private report(): void {
    this.lastLoad = {
      running: this.batch.running.length,
      usedTokens: this.batch.usedTokens,
      isLeaving: this.batch.behaviour.isLeaving,
    };
  }

  private routes(): server.Routes {
    return {
      'POST /v1/chat/completions': (ctx, body) =>
        this.chat(ctx, body as unknown as ChatBody),
      'GET /v1/streams/*': ctx => this.resume(ctx),
      'DELETE /v1/streams/*': ctx => this.cancel(ctx),
      'GET /v1/load': ctx => {
        ctx.body = this.lastLoad;
      },
      'GET /v1/versions': ctx => {
        ctx.body = this.versions;
      },
      'PUT /v1/versions': (ctx, body) =>
        this.order(ctx, body as unknown as Versions),
      'GET /v1/cache-events': ctx => {
        ctx.body = this.cacheEvents.slice(Number(ctx.query.after ?? 0));
      },
      'GET /runs': ctx => {
        ctx.body = this.runs;
      },
      'POST /fault': (ctx, body) => {
        if (body.crash) process.exit(1);
        this.batch.behaviour = {...this.batch.behaviour, ...body};
        ctx.body = this.batch.behaviour;
      },
    };
  }

  private async chat(ctx: Koa.Context, body: ChatBody): Promise<void> {
    const {isLeaving, isRefusing} = this.batch.behaviour;
    const version = body.model.split('@')[1] ?? this.versions.versions[0];
    if (isLeaving || isRefusing || !this.versions.versions.includes(version)) {
      ctx.status = 503;
      ctx.body = {error: {code: 'not_admitted', leaving: isLeaving}};
      return;
    }
    const prompt = body.messages.map(m => m.content).join('\n');
    if (prompt.includes(KILL_MARK)) {
      setTimeout(() => process.exit(1), KILL_DELAY_MS);
    }
    const id = ctx.get('x-request-id');
    const nowMs = Date.now();
    const stream = this.batch.add(id, version, prompt, body.max_tokens, nowMs);
    this.note(stream, nowMs);
    if (stream.isFailing) {
      stream.state = 'finished';
      ctx.status = 500;
      ctx.body = {error: {code: 'internal'}};
      return;
    }
    await this.send(ctx, stream, 0);
  }

  private note(stream: batches.Stream, nowMs: number): void {
    const run: RunRecord = {
      streamId: stream.id,
      version: stream.version,
      atMs: nowMs,
      promptTail: stream.prompt.slice(-40),
      promptTokens: stream.promptTokens,
      cachedTokens: stream.cachedTokens,
    };
    this.runs.push(run);
    console.log(JSON.stringify({run}));
    const isLost = this.runs.length % CACHE_EVENT_LOSS === 0;
    if (!isLost) {
      this.cacheEvents.push({streamId: stream.id, tokens: stream.promptTokens});
    }
  }

  private async resume(ctx: Koa.Context): Promise<void> {
    const stream = this.batch.streams.get(ctx.path.split('/')[3]);
    if (!stream || stream.state === 'cancelled') {
      ctx.status = 404;
      return;
    }
    await this.send(ctx, stream, Number(ctx.query.offset ?? 0));
  }

  private cancel(ctx: Koa.Context): void {
    const stream = this.batch.streams.get(ctx.path.split('/')[3]);
    if (stream && stream.state !== 'finished') stream.state = 'cancelled';
    ctx.status = 204;
  }

  private order(ctx: Koa.Context, order: Versions): void {
    const isOld = order.fence < this.versions.fence;
    if (isOld && this.batch.behaviour.checksFence) {
      ctx.status = 409;
      ctx.body = this.versions;
      return;
    }
    this.versions = {fence: order.fence, versions: order.versions};
    ctx.body = this.versions;
  }

  /** Sends a stream from an offset on, as it grows; a closed connection does not end the stream itself. */
  private async send(
    ctx: Koa.Context,
    stream: batches.Stream,
    from: number,
  ): Promise<void> {
    const {res} = ctx;
    ctx.respond = false;
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.flushHeaders();
    let offset = from;
    while (!res.destroyed) {
      if (!this.batch.behaviour.isSilent) {
        const fresh = stream.text.slice(offset);
        if (fresh !== '') res.write(partEvent(offset, fresh));
        offset += fresh.length;
        if (stream.state === 'finished') {
          res.end(endEvent(stream, offset));
          return;
        }
        if (stream.state === 'cancelled') return void res.destroy();
      }
      await new Promise(resolve => setTimeout(resolve, STEP_MS));
    }
  }
}

function partEvent(offset: number, content: string): string {
  const data = {choices: [{delta: {content}, finish_reason: null}]};
  return `id: ${offset}\ndata: ${JSON.stringify(data)}\n\n`;
}

function endEvent(stream: batches.Stream, length: number): string {
  const data = {
    choices: [{delta: {}, finish_reason: 'stop'}],
    usage: {
      prompt_tokens: stream.promptTokens,
      completion_tokens: stream.maxTokens,
      prompt_tokens_details: {cached_tokens: stream.cachedTokens},
    },
    length,
  };
  return `id: ${length}\ndata: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
}
