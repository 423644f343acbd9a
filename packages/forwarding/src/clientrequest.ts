import * as http from 'node:http';
import type * as net from 'node:net';

/** The statuses of final responses that HTTP defines. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** True for the status of a final response; any other one is no answer. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/**
 * True if a connection that has ended was reset. Node.js reports a reset that
 * arrives with the last bytes as a normal end; only the missing remote address
 * tells them apart.
 */
export function wasReset(socket: net.Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Opens a request like `http.request`, for clients that wait for a response or
 * an error. Emits an error where Node.js closes the connection with neither, as
 * for a response that switches the protocol, and fails a response that a reset
 * has cut, which may look whole if it has no length.
 */
export function request(
  url: URL,
  options: http.RequestOptions,
  onResponse?: (response: http.IncomingMessage) => void,
): http.ClientRequest {
  const opened = http.request(url, options, onResponse);
  let hasEnded = false;
  const markEnded = () => {
    hasEnded = true;
  };
  opened.once('response', response => {
    markEnded();
    const {socket} = response;
    const onEnd = () => {
      if (response.complete || !wasReset(socket)) return;
      response.destroy(new Error('connection was reset'));
    };
    socket.prependOnceListener('end', onEnd);
    response.once('close', () => socket.removeListener('end', onEnd));
  });
  opened.on('error', markEnded);
  opened.once('close', () => {
    if (hasEnded) return;
    const message = 'connection closed without a response';
    opened.emit('error', new Error(message));
  });
  return opened;
}
