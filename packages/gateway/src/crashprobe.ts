import * as net from 'node:net';

const CRASH_PROBE_MS = 250;

/** True when nothing accepts connections at the address: what was running there has crashed. */
export function refusesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const settle = (isDead: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isDead);
    };
    const timer = setTimeout(() => settle(false), CRASH_PROBE_MS);
    socket.once('connect', () => settle(false));
    socket.once('error', () => settle(true));
  });
}
