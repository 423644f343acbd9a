import * as http from 'node:http';

import Koa from 'koa';
import rawBody from 'raw-body';

/** A handler of one route; `body` is the parsed JSON of the request, or an empty object. */
export type Handler = (
  ctx: Koa.Context,
  body: Readonly<Record<string, unknown>>,
) => Promise<void> | void;

/** Handlers by `METHOD /path`; a path ending in `*` matches every longer one. */
export type Routes = Readonly<Record<string, Handler>>;

/** Serves routes on loopback; resolves to the server once it listens. */
export function serve(routes: Routes, port: number): Promise<http.Server> {
  const koa = new Koa();
  koa.silent = true;
  koa.use(async ctx => {
    const handler = find(routes, ctx.method, ctx.path);
    if (!handler) return;
    const text = await rawBody(ctx.req, {encoding: 'utf8'});
    await handler(ctx, parsed(text));
  });
  const server = http.createServer(koa.callback());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** The port that a server listens on. */
export function portOf(server: http.Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}

function find(
  routes: Routes,
  method: string,
  path: string,
): Handler | undefined {
  const exact = routes[`${method} ${path}`];
  if (exact) return exact;
  const wild = Object.keys(routes).find(route => {
    if (!route.endsWith('*')) return false;
    return `${method} ${path}`.startsWith(route.slice(0, -1));
  });
  return wild ? routes[wild] : undefined;
}

function parsed(text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return {};
  }
}
