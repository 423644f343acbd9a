/**
 * HTTP stand-in for an inference engine: chat requests, resumable streams, load
 * and version endpoints, and `POST /fault` to change its behaviour.
 */
import type * as http from 'node:http';

import type Koa from 'koa';

import * as batches from './batch.js';
import * as server from './server.js';

/** Interval between steps of the batch, and between writes to a stream. */
const STEP_MS = 10;

/** An ended stream is kept, and can be resumed, until this long after its start. */
const ENDED_STREAM_TTL_MS = 60_000;

/** A request whose prompt contains this text ends the process after `KILL_DELAY_MS`. */
const KILL_MARKER = 'KILL-ENGINE';
const KILL_DELAY_MS = 100;

/** Every n-th run loses its cache event. */
const CACHE_EVENT_LOSS_INTERVAL = 10;

/** Record of a request that the engine ran; served at `/runs` and printed as a JSON line, for checks. */
export interface RunRecord {
  readonly streamId: string;
  readonly version: string;
  readonly atMs: number;
  /** The last 40 characters of the prompt. */
  readonly promptTail: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** The loaded versions and the fencing number of the request that set them. */
interface Versions {
  readonly fence: number;
  readonly versions: readonly string[];
}

/** The body of a chat request; `model` is `MODEL` or `MODEL@VERSION`. */
interface ChatBody {
  readonly model: string;
  readonly messages: readonly {readonly content: string}[];
  readonly max_tokens: number;
}

/** Stand-in for an inference engine with continuous batching. */
export class EngineStandIn {
  private readonly batch: batches.Batch;
  private readonly runs: RunRecord[] = [];
  private versions: Versions;
  /** What `/v1/load` returns; updated every `loadLagMs`, so it lags behind. */
  private reportedLoad = {running: 0, usedTokens: 0, isLeaving: false};
  private readonly cacheEvents: object[] = [];

  constructor(
    behaviour: Partial<batches.EngineBehaviour> = {},
    versions: readonly string[] = ['v1'],
  ) {
    this.batch = new batches.Batch({...batches.HEALTHY, ...behaviour});
    this.versions = {fence: 0, versions};
  }

  /** Serves on loopback; resolves once it listens. Steps stop when the server closes. */
  async listen(port: number): Promise<http.Server> {
    const listening = await server.serve(this.routes(), port);
    let lastMs = performance.now();
    const stepTimer = setInterval(() => {
      const nowMs = performance.now();
      this.batch.step(nowMs - lastMs);
      this.batch.removeEnded(Date.now() - ENDED_STREAM_TTL_MS);
      lastMs = nowMs;
    }, STEP_MS);
    const reportTimer = setInterval(
      () => this.updateReportedLoad(),
      this.batch.behaviour.loadLagMs,
    );
    listening.on('close', () => {
      clearInterval(stepTimer);
      clearInterval(reportTimer);
    });
    return listening;
  }

  private updateReportedLoad(): void {
    this.reportedLoad = {
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
        ctx.body = this.reportedLoad;
      },
      'GET /v1/versions': ctx => {
        ctx.body = this.versions;
      },
      'PUT /v1/versions': (ctx, body) =>
        this.setVersions(ctx, body as unknown as Versions),
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

  /** Starts a stream for a chat request and sends it, or rejects the request with 503. */
  private async chat(ctx: Koa.Context, body: ChatBody): Promise<void> {
    const {isLeaving, isRefusing} = this.batch.behaviour;
    const version = body.model.split('@')[1] ?? this.versions.versions[0];
    if (isLeaving || isRefusing || !this.versions.versions.includes(version)) {
      ctx.status = 503;
      ctx.body = {error: {code: 'not_admitted', leaving: isLeaving}};
      return;
    }
    const prompt = body.messages.map(m => m.content).join('\n');
    if (prompt.includes(KILL_MARKER)) {
      setTimeout(() => process.exit(1), KILL_DELAY_MS);
    }
    const id = ctx.get('x-request-id');
    const nowMs = Date.now();
    const stream = this.batch.add(id, version, prompt, body.max_tokens, nowMs);
    this.recordRun(stream, nowMs);
    if (stream.isFailing) {
      stream.state = 'finished';
      ctx.status = 500;
      ctx.body = {error: {code: 'internal'}};
      return;
    }
    await this.send(ctx, stream, 0);
  }

  /** Records a run and, unless it is lost, its cache event. */
  private recordRun(stream: batches.Stream, nowMs: number): void {
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
    const isLost = this.runs.length % CACHE_EVENT_LOSS_INTERVAL === 0;
    if (!isLost) {
      this.cacheEvents.push({streamId: stream.id, tokens: stream.promptTokens});
    }
  }

  /** Sends a stream from the offset of the query on; 404 when the stream is unknown or cancelled. */
  private async resume(ctx: Koa.Context): Promise<void> {
    const stream = this.batch.streams.get(ctx.path.split('/')[3]);
    if (!stream || stream.state === 'cancelled') {
      ctx.status = 404;
      return;
    }
    await this.send(ctx, stream, Number(ctx.query.offset ?? 0));
  }

  /** Cancels a stream that has not finished; succeeds also when the stream is unknown. */
  private cancel(ctx: Koa.Context): void {
    const stream = this.batch.streams.get(ctx.path.split('/')[3]);
    if (stream && stream.state !== 'finished') stream.state = 'cancelled';
    ctx.status = 204;
  }

  /** Sets the versions; rejects a stale fence with 409 if the behaviour checks it. */
  private setVersions(ctx: Koa.Context, request: Versions): void {
    const isStale = request.fence < this.versions.fence;
    if (isStale && this.batch.behaviour.checksFence) {
      ctx.status = 409;
      ctx.body = this.versions;
      return;
    }
    this.versions = {fence: request.fence, versions: request.versions};
    ctx.body = this.versions;
  }

  /** Sends the text of a stream from character `from` on, as it grows; the stream continues when the connection closes. */
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
        const newText = stream.text.slice(offset);
        if (newText !== '') res.write(chunkEvent(offset, newText));
        offset += newText.length;
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

/** Server-sent event with text that starts at character `offset` of the answer. */
function chunkEvent(offset: number, content: string): string {
  const data = {choices: [{delta: {content}, finish_reason: null}]};
  return `id: ${offset}\ndata: ${JSON.stringify(data)}\n\n`;
}

/** The last server-sent events of an answer of `length` characters, with its token usage. */
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
