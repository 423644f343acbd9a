/** Serves the caller API over HTTP: health checks, host addresses, chat and plain services. */
import * as decisions from '@banyanhall/decisions';
import Koa from 'koa';

import * as chat from './chat.js';
import type * as api from './api.js';
import * as parse from './parse.js';

const SERVICE_PATH_PATTERN = /^\/services\/([^/]+)(\/.*)?$/;
/** Non-standard status for a request whose caller disconnected, as nginx uses it. */
const CLIENT_CLOSED_REQUEST_STATUS = 499;

type Handler = (ctx: Koa.Context, host: api.CallerApi) => Promise<void>;

const ROUTES: Readonly<Record<string, Handler>> = {
  'GET /healthz': async ctx => {
    ctx.body = {status: 'ok'};
  },
  'GET /readyz': async (ctx, host) => {
    ctx.status = host.isReady ? 200 : 503;
    ctx.body = {ready: host.isReady};
  },
  'GET /v1/addresses': async (ctx, host) => {
    const response = host.addresses();
    ctx.set('cache-control', `max-age=${Math.floor(response.keepMs / 1000)}`);
    ctx.body = {addresses: response.urls, keepMs: response.keepMs};
  },
  'POST /v1/chat/completions': chat.handleChat,
};

/** Creates the HTTP application for callers. Failures are sent with their status, verdict and a JSON body. */
export function createApp(host: api.CallerApi): Koa {
  const koa = new Koa();
  koa.silent = true;
  koa.use(async ctx => {
    try {
      await route(ctx, host);
      host.requestEnded(undefined);
    } catch (error) {
      const failure = toFailure(error);
      host.requestEnded(failure);
      writeFailure(ctx, failure);
    }
  });
  return koa;
}

async function route(ctx: Koa.Context, host: api.CallerApi): Promise<void> {
  const handler = ROUTES[`${ctx.method} ${ctx.path}`];
  if (handler) return handler(ctx, host);
  const match = SERVICE_PATH_PATTERN.exec(ctx.path);
  if (match) return plain(ctx, host, match[1], match[2] ?? '/');
  parse.refuse('unknown-service', `no route for path ${ctx.path}`);
}

/** Forwards a request to a plain service. */
async function plain(
  ctx: Koa.Context,
  host: api.CallerApi,
  service: string,
  path: string,
): Promise<void> {
  const {method} = ctx;
  if (method !== 'GET' && method !== 'POST') {
    return parse.refuse('invalid-request', 'expected method GET or POST');
  }
  const keySha256 = parse.keySha256(ctx);
  const body = await parse.body(ctx);
  const fullPath = path + ctx.search;
  const response = await host.plain({
    keySha256,
    profile: ctx.get('banyanhall-profile'),
    service,
    method,
    path: fullPath,
    body,
    contentType: ctx.get('content-type') || 'application/json',
    requestKey: parse.requestKey(ctx),
    digest: parse.digestOfParts(service, method, fullPath, body),
    signal: chat.disconnectSignal(ctx),
  });
  ctx.status = response.status;
  ctx.type = response.contentType;
  ctx.set('banyanhall-verdict', 'ran');
  if (response.isReplay) ctx.set('banyanhall-replayed', 'true');
  ctx.body = response.body;
}

/** Maps an error to a failure. Unexpected errors may have occurred after dispatch, so their verdict is `may-have-run`. */
function toFailure(error: unknown): decisions.verdict.Failure {
  if (error instanceof decisions.verdict.FailureError) return error.failure;
  const message = 'internal error in the host';
  return decisions.verdict.failure('internal', message, 'may-have-run');
}

/** Writes a failure, unless the response has started or the connection is closed. */
function writeFailure(
  ctx: Koa.Context,
  failure: decisions.verdict.Failure,
): void {
  if (ctx.headerSent || !ctx.writable) return;
  ctx.status = decisions.verdict.HTTP_STATUS[failure.type];
  if (ctx.status === CLIENT_CLOSED_REQUEST_STATUS) ctx.message = 'caller left';
  ctx.set('banyanhall-verdict', failure.verdict);
  if (failure.retryAfterMs) {
    ctx.set('retry-after', String(Math.ceil(failure.retryAfterMs / 1000)));
  }
  ctx.body = chat.errorBody(failure);
}
