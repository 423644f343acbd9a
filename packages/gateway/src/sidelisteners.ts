/*
 * The HTTP listeners of a host beside that of callers' requests: look-ups,
 * readiness and metrics. Their connections are bounded like those of callers.
 */
import * as http from 'node:http';

import * as callerconnections from './callerconnections.js';
import * as listeners from './listeners.js';

/** Creates a server that passes each request's target to `handle` and ignores request bodies; it responds with 400 if `handle` throws, such as for a target that is no URL. */
export function createServer(
  options: Omit<callerconnections.CallerConnectionsOptions, 'server'>,
  handle: (target: string, response: http.ServerResponse) => void,
): http.Server {
  const server = http.createServer({headersTimeout: 0, requestTimeout: 0});
  const connections = new callerconnections.CallerConnections({
    ...{...options, server},
  });
  server.on('request', (request, response) => {
    const nowMs = options.clock.monotonicMs();
    const incoming = connections.begin(
      ...([request, response, '', nowMs, () => undefined] as const),
    );
    if (!incoming) return;
    if (incoming.body.hasEnded) {
      response.shouldKeepAlive = false;
      listeners.respond(response, 431, '');
      return;
    }
    incoming.body.end('cut');
    connections.onRead(request, incoming);
    try {
      handle(request.url ?? '', response);
    } catch {
      listeners.respond(response, 400, '');
    }
  });
  return server;
}
