/** The HTTP server and router that all stand-ins share. */
import * as http from 'node:http';

import Koa from 'koa';
import rawBody from 'raw-body';

/** Handles one route; `body` is the parsed JSON body, or an empty object when it is not valid JSON. */
export type Handler = (
  ctx: Koa.Context,
  body: Readonly<Record<string, unknown>>,
) => Promise<void> | void;

/** Handlers by `METHOD /path`. A path that ends in `*` matches by prefix, after exact paths and in the order of the table. */
export type Routes = Readonly<Record<string, Handler>>;

/** Serves routes on loopback and resolves once it listens; port 0 takes a free port. */
export function serve(routes: Routes, port: number): Promise<http.Server> {
  const koa = new Koa();
  koa.silent = true;
  koa.use(async ctx => {
    const handler = findHandler(routes, ctx.method, ctx.path);
    if (!handler) return;
    const text = await rawBody(ctx.req, {encoding: 'utf8'});
    await handler(ctx, parseBody(text));
  });
  const server = http.createServer(koa.callback());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** The port on which a server listens; 0 when it does not. */
export function portOf(server: http.Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}

function findHandler(
  routes: Routes,
  method: string,
  path: string,
): Handler | undefined {
  const exact = routes[`${method} ${path}`];
  if (exact) return exact;
  const wildcard = Object.keys(routes).find(route => {
    if (!route.endsWith('*')) return false;
    return `${method} ${path}`.startsWith(route.slice(0, -1));
  });
  return wildcard ? routes[wildcard] : undefined;
}

function parseBody(text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return {};
  }
}
