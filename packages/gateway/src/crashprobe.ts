import * as net from 'node:net';

const CONNECT_TIMEOUT_MS = 250;

/**
 * Checks by connecting whether a backend server has crashed. Resolves to true
 * when the connection attempt at the ip:port `address` fails, and to false
 * when it succeeds or times out.
 */
export function refusesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const settle = (isRefused: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isRefused);
    };
    const timer = setTimeout(() => settle(false), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => settle(false));
    socket.once('error', () => settle(true));
  });
}
