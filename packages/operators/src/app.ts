/**
 * Serves the operator API over HTTP. Every route requires the operator key
 * as a bearer token.
 */
import * as crypto from 'node:crypto';

import type * as decisions from '@banyanhall/decisions';
import Koa from 'koa';
import rawBody from 'raw-body';

import type * as api from './api.js';
import * as configfile from './configfile.js';

const MAX_BODY_BYTES = 16_777_216;
const DEFAULT_HISTORY_LIMIT = 20;

/** Handles a matched request; `argument` is the path parameter, or empty. */
type Handler = (
  ctx: Koa.Context,
  host: api.OperatorApi,
  argument: string,
) => Promise<void> | void;

interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly handle: Handler;
}

const CHANGE_STATUS: Readonly<Record<api.ChangeResult['kind'], number>> = {
  committed: 200,
  conflict: 409,
  invalid: 400,
  unavailable: 503,
  unknown: 504,
};

const ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: /^\/operator\/config$/,
    handle: (ctx, host) => {
      const current = host.config();
      ctx.body = {number: current.number, entries: current.toEdits()};
    },
  },
  {method: 'POST', path: /^\/operator\/config$/, handle: handleChange},
  {
    method: 'GET',
    path: /^\/operator\/config\/history$/,
    handle: async (ctx, host) => {
      const limit = Number(ctx.query.limit ?? DEFAULT_HISTORY_LIMIT);
      ctx.body = await host.history(limit);
    },
  },
  {
    method: 'GET',
    path: /^\/operator\/config\/(\d+)$/,
    handle: async (ctx, host, number) => {
      const found = await host.changeAt(Number(number));
      if (found) ctx.body = found;
    },
  },
  {
    method: 'GET',
    path: /^\/operator\/in-force\/(\d+)$/,
    handle: async (ctx, host, number) => {
      ctx.body = await host.inForce(Number(number));
    },
  },
  {
    method: 'GET',
    path: /^\/operator\/status$/,
    handle: (ctx, host) => {
      ctx.body = host.status();
    },
  },
  {
    method: 'GET',
    path: /^\/operator\/timeline$/,
    handle: (ctx, host) => {
      ctx.body = host.timeline(Number(ctx.query.after ?? 0));
    },
  },
  {
    method: 'GET',
    path: /^\/operator\/moves$/,
    handle: async (ctx, host) => {
      ctx.body = await host.moves();
    },
  },
  {
    method: 'POST',
    path: /^\/operator\/moves$/,
    handle: async (ctx, host) => {
      const request = (await json(ctx)) as api.MoveRequest;
      writeMoveResult(ctx, await host.startMove(request));
    },
  },
  {
    method: 'POST',
    path: /^\/operator\/moves\/([^/]+)\/take-back$/,
    handle: async (ctx, host, id) => {
      const {author} = (await json(ctx)) as {readonly author: string};
      writeMoveResult(ctx, await host.rollBackMove(id, author));
    },
  },
];

/**
 * Creates the HTTP application for operators. `keySha256` is the SHA-256
 * digest of the operator key in hex. Requests without the key get 401, unknown
 * paths 404, malformed JSON 400, and any other error 503.
 */
export function createApp(host: api.OperatorApi, keySha256: string): Koa {
  const koa = new Koa();
  koa.silent = true;
  koa.use(async ctx => {
    if (!hasOperatorKey(ctx, keySha256)) {
      ctx.status = 401;
      ctx.body = {
        error: {message: 'expected the operator key as a bearer token'},
      };
      return;
    }
    try {
      await route(ctx, host);
    } catch (error) {
      ctx.status = error instanceof SyntaxError ? 400 : 503;
      const message = error instanceof Error ? error.message : String(error);
      ctx.body = {error: {message}};
    }
  });
  return koa;
}

async function route(ctx: Koa.Context, host: api.OperatorApi): Promise<void> {
  for (const {method, path, handle} of ROUTES) {
    const match = ctx.method === method && path.exec(ctx.path);
    if (match) return handle(ctx, host, match[1] ?? '');
  }
}

function hasOperatorKey(ctx: Koa.Context, keySha256: string): boolean {
  const key = ctx.get('authorization').replace(/^Bearer /i, '');
  const digest = crypto.createHash('sha256').update(key).digest();
  const expected = Buffer.from(keySha256, 'hex');
  return (
    digest.length === expected.length &&
    crypto.timingSafeEqual(digest, expected)
  );
}

async function handleChange(
  ctx: Koa.Context,
  host: api.OperatorApi,
): Promise<void> {
  const request = (await json(ctx)) as api.ChangeRequest;
  const edits: readonly decisions.config.Edit[] = request.edits ?? [];
  const mistakes = configfile.validateEdits(edits);
  const result: api.ChangeResult =
    mistakes.length > 0
      ? {kind: 'invalid', mistakes}
      : await host.change(request);
  ctx.status = CHANGE_STATUS[result.kind];
  ctx.body = result;
}

function writeMoveResult(ctx: Koa.Context, result: api.MoveResult): void {
  ctx.status = result.kind === 'accepted' ? 200 : 409;
  ctx.body = result;
}

async function json(ctx: Koa.Context): Promise<unknown> {
  const text = await rawBody(ctx.req, {
    limit: MAX_BODY_BYTES,
    encoding: 'utf8',
  });
  return JSON.parse(text) as unknown;
}
