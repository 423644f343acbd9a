import * as decisions from '@banyanhall/decisions';
import Koa from 'koa';

import * as chat from './chat.js';
import type * as gateway from './api.js';
import * as parse from './parse.js';

const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;
const CLIENT_CLOSED_STATUS = 499;

type Handler = (ctx: Koa.Context, host: gateway.CallerApi) => Promise<void>;

const ROUTES: Readonly<Record<string, Handler>> = {
  'GET /healthz': async ctx => {
    ctx.body = {status: 'ok'};
  },
  'GET /readyz': async (ctx, host) => {
    ctx.status = host.isReady ? 200 : 503;
    ctx.body = {ready: host.isReady};
  },
  'GET /v1/addresses': async (ctx, host) => {
    const answer = host.addresses();
    ctx.set('cache-control', `max-age=${Math.floor(answer.keepMs / 1000)}`);
    ctx.body = {addresses: answer.urls, keepMs: answer.keepMs};
  },
  'POST /v1/chat/completions': chat.handle,
};

/** The HTTP application for callers. */
export function createApp(host: gateway.CallerApi): Koa {
  const koa = new Koa();
  koa.silent = true;
  koa.use(async ctx => {
    try {
      await route(ctx, host);
      host.requestEnded(undefined);
    } catch (error) {
      const failure = failureOf(error);
      host.requestEnded(failure);
      writeFailure(ctx, failure);
    }
  });
  return koa;
}

async function route(ctx: Koa.Context, host: gateway.CallerApi): Promise<void> {
  const handler = ROUTES[`${ctx.method} ${ctx.path}`];
  if (handler) return handler(ctx, host);
  const match = SERVICE_PATH.exec(ctx.path);
  if (match) return plain(ctx, host, match[1], match[2] ?? '/');
  parse.refuse('unknown-service', `nothing is served at ${ctx.path}`);
}

async function plain(
  ctx: Koa.Context,
  host: gateway.CallerApi,
  service: string,
  path: string,
): Promise<void> {
  const {method} = ctx;
  if (method !== 'GET' && method !== 'POST') {
    return parse.refuse('invalid-request', 'only GET and POST are served');
  }
  const keySha256 = parse.keySha256(ctx);
  const body = await parse.body(ctx);
  const fullPath = path + ctx.search;
  const answer = await host.plain({
    keySha256,
    profile: ctx.get('banyanhall-profile'),
    service,
    method,
    path: fullPath,
    body,
    contentType: ctx.get('content-type') || 'application/json',
    requestKey: parse.requestKey(ctx),
    digest: parse.digestOfParts(service, method, fullPath, body),
    signal: chat.callerSignal(ctx),
  });
  ctx.status = answer.status;
  ctx.type = answer.contentType;
  ctx.set('banyanhall-verdict', 'ran');
  if (answer.isReplay) ctx.set('banyanhall-replayed', 'true');
  ctx.body = answer.body;
}

function failureOf(error: unknown): decisions.verdict.Failure {
  if (error instanceof decisions.verdict.FailureError) return error.failure;
  const message = 'the request failed inside the host';
  return decisions.verdict.failure('internal', message, 'may-have-run');
}

function writeFailure(
  ctx: Koa.Context,
  failure: decisions.verdict.Failure,
): void {
  if (ctx.headerSent || !ctx.writable) return;
  ctx.status = decisions.verdict.HTTP_STATUS[failure.type];
  if (ctx.status === CLIENT_CLOSED_STATUS) ctx.message = 'caller left';
  ctx.set('banyanhall-verdict', failure.verdict);
  if (failure.retryAfterMs) {
    ctx.set('retry-after', String(Math.ceil(failure.retryAfterMs / 1000)));
  }
  ctx.body = chat.errorBody(failure);
}
