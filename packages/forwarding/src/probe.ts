import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

const CONNECT_TIMEOUT_MS = 250;
/** How long a connection that stands may go without an answer. */
const ANSWER_TIMEOUT_MS = 250;
/** The start of any HTTP response. */
const RESPONSE_START = 'HTTP/';

/**
 * What a probe of a connection shows: `answered` if the backend server answers;
 * `mute` if the connection only stands, as at a server that is paused or behind
 * a network that holds up data; `reset` if it stood and was reset, `refused` if
 * it never stood, and `timeout` if nothing came.
 */
export type ProbeResult = 'answered' | 'mute' | 'reset' | 'refused' | 'timeout';

/**
 * Probes a connection that is being opened, and closes it: with a request for
 * `healthPath`, any response to which is an answer, or without one by closing its sending
 * side, which a backend server answers by closing the other.
 */
export function probe(
  connection: stream.Duplex,
  healthPath = '',
): Promise<ProbeResult> {
  return new Promise(resolve => {
    let isConnected = false;
    const settle = (result: ProbeResult) => {
      timer.clear();
      resolve(result);
      connection.destroy();
    };
    const {setReadTimeout} = decisions.reads;
    let timer = setReadTimeout(() => settle('timeout'), CONNECT_TIMEOUT_MS);
    const onConnect = () => {
      isConnected = true;
      timer.clear();
      timer = setReadTimeout(() => settle('mute'), ANSWER_TIMEOUT_MS);
      connection.on('data', (bytes: Buffer) => {
        const start = bytes.toString('latin1', 0, RESPONSE_START.length);
        settle(RESPONSE_START.startsWith(start) ? 'answered' : 'reset');
      });
      if (healthPath === '') return void connection.end();
      connection.write(
        `GET ${healthPath} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n`,
      );
    };
    connection.on('error', () => settle(isConnected ? 'reset' : 'refused'));
    connection.on('end', () =>
      settle(healthPath === '' ? 'answered' : 'reset'),
    );
    const {connecting} = connection as {readonly connecting?: boolean};
    if (connecting === false) onConnect();
    else connection.once('connect', onConnect);
  });
}
