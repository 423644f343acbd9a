import type * as stream from 'node:stream';

const CONNECT_TIMEOUT_MS = 250;
/** How long a connection that stands may take to be closed by the backend server. */
const ANSWER_TIMEOUT_MS = 250;

/**
 * What a probe of a connection shows: `answered` if the backend server closes
 * it in turn, `mute` if it only stands, as at a server that is paused or behind
 * a network that holds up data; `reset` if it stood and was reset, `refused` if
 * it never stood, and `timeout` if nothing came.
 */
export type ProbeResult = 'answered' | 'mute' | 'reset' | 'refused' | 'timeout';

/** Probes a connection that is being opened by closing its sending side, and closes it. */
export function probe(connection: stream.Duplex): Promise<ProbeResult> {
  return new Promise(resolve => {
    let isConnected = false;
    const settle = (result: ProbeResult) => {
      clearTimeout(timer);
      resolve(result);
      connection.destroy();
    };
    let timer = setTimeout(() => settle('timeout'), CONNECT_TIMEOUT_MS);
    const onConnect = () => {
      isConnected = true;
      clearTimeout(timer);
      timer = setTimeout(() => settle('mute'), ANSWER_TIMEOUT_MS);
      connection.end();
      connection.on('data', () => settle('answered'));
    };
    connection.on('error', () => settle(isConnected ? 'reset' : 'refused'));
    connection.on('end', () => settle('answered'));
    const {connecting} = connection as {readonly connecting?: boolean};
    if (connecting === false) onConnect();
    else connection.once('connect', onConnect);
  });
}
