import * as net from 'node:net';

const CONNECT_TIMEOUT_MS = 250;

/**
 * Checks by connecting whether the backend server at the ip:port `address` has
 * crashed. Resolves to true when the connection fails, and to false when it is
 * established or still pending after `CONNECT_TIMEOUT_MS`. The dispatcher calls
 * it after an attempt broke off, to tell a crash from a lost connection.
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
