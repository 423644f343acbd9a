/*
 * Helpers for the HTTP listeners of a host.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

/** The maximum number of connections that wait to be accepted. */
const BACKLOG = 4096;
/** The pause between two tries to start a listener. */
const START_RETRY_MS = 100;

/** Listens on ip:port; rejects when the server fails to listen, such as on an address in use. */
export function listen(server: http.Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.removeListener('error', onError);
      resolve();
    };
    const onError = (error: Error) => {
      server.removeListener('listening', onListening);
      reject(error);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen({host, port: Number(port), backlog: BACKLOG});
  });
}

/** Calls `start` until it succeeds; rejects with its last error once `timeoutMs` have passed. */
export async function startWithin(
  timeoutMs: number,
  start: () => Promise<unknown>,
  onFailure: (error: Error) => void,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    try {
      await start();
      return;
    } catch (error) {
      if (performance.now() >= endMs) throw error;
      onFailure(error as Error);
    }
    await timers.setTimeout(START_RETRY_MS);
  }
}

/** Sends a complete response with a body. */
export function respond(
  response: http.ServerResponse,
  status: number,
  body: string,
  type = 'text/plain',
): void {
  response.writeHead(status, {
    'Content-Type': type,
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}
