import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as test from 'node:test';

import * as linksModule from './links.js';
import * as tunnels from './tunnels.js';

interface Echo {
  readonly address: string;
  readonly sockets: net.Socket[];
  readonly close: () => void;
}

/** Starts a backend server that sends back what it gets. */
async function startEcho(): Promise<Echo> {
  const sockets: net.Socket[] = [];
  const server = net.createServer({allowHalfOpen: true}, socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const close = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {address: `127.0.0.1:${port}`, sockets, close};
}

/** Connects to what a tunnel asks for; counts the most bytes that it buffers. */
function connector() {
  const seen = {mostBytes: 0};
  const accept: tunnels.TunnelAcceptor = (_, address) => {
    const [host, port] = address.split(':');
    const options = {host, port: Number(port), allowHalfOpen: true};
    return {
      connection: net.connect(options),
      onBuffered: bytes => {
        seen.mostBytes = Math.max(seen.mostBytes, bytes);
      },
    };
  };
  return {seen, accept};
}

/** Runs `check` with a way to open tunnels from one host through another. */
async function withHosts(
  onTunnel: tunnels.TunnelAcceptor | undefined,
  check: (open: (address: string) => tunnels.Tunnel) => Promise<void>,
): Promise<void> {
  const create = (host: string, accept?: tunnels.TunnelAcceptor) =>
    new linksModule.Links({
      ...{host, secret: 'shared', onTunnel: accept},
      onMessage: () => undefined,
      onLinkDown: () => undefined,
    });
  const [user, carrier] = [create('a'), create('b', onTunnel)];
  const port = await carrier.listen('127.0.0.1:0');
  try {
    await check(address => user.openTunnel('b', `127.0.0.1:${port}`, address));
  } finally {
    user.close();
    carrier.close();
  }
}

function failureOf(tunnel: tunnels.Tunnel): Promise<tunnels.TunnelError> {
  return new Promise(resolve => tunnel.once('error', resolve as () => void));
}

test.test('bytes go through a tunnel in both directions', async () => {
  const echo = await startEcho();
  const {seen, accept} = connector();
  await withHosts(accept, async open => {
    const tunnel = open(echo.address);
    const sent = Buffer.alloc(3_000_000, 'abc');
    tunnel.end(sent);
    const chunks: Buffer[] = [];
    for await (const chunk of tunnel) chunks.push(chunk as Buffer);
    assert.ok(Buffer.concat(chunks).equals(sent));
  });
  assert.ok(seen.mostBytes < 1_000_000, `buffered ${seen.mostBytes} bytes`);
  echo.close();
});

// Guards against a host whose memory fills with what the user of a tunnel does not read.
test.test('a tunnel that is not read pauses its source', async () => {
  const {seen, accept} = connector();
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.write(Buffer.alloc(30_000_000));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await withHosts(accept, async open => {
    const tunnel = open(`127.0.0.1:${port}`);
    tunnel.on('error', () => undefined);
    await new Promise(resolve => setTimeout(resolve, 500));
    tunnel.destroy();
  });
  server.close();
  assert.ok(seen.mostBytes > 0 && seen.mostBytes < 1_000_000);
});

// Guards against a refusal taken for one of the backend server, or a request sent before its connection stands (TWICE).
test.test('a tunnel that is refused tells why and sends nothing', async () => {
  for (const reason of ['busy', 'cut-off', 'unknown', 'unreachable'] as const) {
    const refuse = () => {
      throw new tunnels.TunnelError(reason, 'refused');
    };
    await withHosts(refuse, async open => {
      const tunnel = open('10.0.0.1:80');
      tunnel.write('request');
      const error = await failureOf(tunnel);
      assert.deepEqual([error.reason, tunnel.connecting], [reason, true]);
    });
  }
});

// Guards against a request that arrives late although it counts as not run, since its tunnel was given up before it stood (TWICE).
test.test(
  'a tunnel that is given up before it stands sends nothing',
  async () => {
    const received: string[] = [];
    const connection = new stream.Duplex({
      read: () => undefined,
      write: (bytes: Buffer, _, callback) => {
        received.push(String(bytes));
        callback();
      },
      destroy: (_, callback) => callback(null),
    });
    let onAccepted: () => void = () => undefined;
    const accepted = new Promise<void>(resolve => (onAccepted = resolve));
    const accept = () => {
      onAccepted();
      return {connection, onBuffered: () => undefined};
    };
    await withHosts(accept, async open => {
      const tunnel = open('10.0.0.1:80');
      tunnel.on('error', () => undefined);
      tunnel.write('request');
      await accepted;
      connection.emit('connect');
      assert.equal(tunnel.connecting, true);
      tunnel.destroy();
      await new Promise(resolve => setTimeout(resolve, 100));
    });
    assert.deepEqual(received, []);
  },
);

test.test(
  'a backend server that refuses the connection is unreachable',
  async () => {
    const echo = await startEcho();
    echo.close();
    await withHosts(connector().accept, async open => {
      const {reason} = await failureOf(open(echo.address));
      assert.equal(reason, 'unreachable');
    });
  },
);

// Guards against requests that fail beside hosts of an older build.
test.test('a host without tunnels says so', async () => {
  await withHosts(undefined, async open => {
    const {reason} = await failureOf(open('10.0.0.1:80'));
    assert.equal(reason, 'unsupported');
  });
});

// Guards against a response that was cut and looks whole (MIXED).
test.test('a reset of the backend server breaks the tunnel', async () => {
  const echo = await startEcho();
  await withHosts(connector().accept, async open => {
    const tunnel = open(echo.address);
    tunnel.write('request');
    await new Promise(resolve => tunnel.once('data', resolve));
    const failure = failureOf(tunnel);
    let hasEnded = false;
    tunnel.once('end', () => (hasEnded = true));
    echo.sockets[0].resetAndDestroy();
    await failure;
    assert.equal(hasEnded, false);
  });
  echo.close();
});

// Guards against a backend server that works on a request whose caller has left (GONE).
test.test('the end of a tunnel closes its connection', async () => {
  const echo = await startEcho();
  await withHosts(connector().accept, async open => {
    const tunnel = open(echo.address);
    tunnel.write('request');
    await new Promise(resolve => tunnel.once('data', resolve));
    const closed = new Promise(resolve =>
      echo.sockets[0].once('close', resolve),
    );
    tunnel.destroy();
    await closed;
  });
  echo.close();
});

/** Writes part of an answer through a tunnel and ends its connection in some way; resolves to whether the tunnel ends as a whole answer does. */
async function endsWhole(
  end: (atServer: net.Socket, atCarrier: stream.Duplex) => void,
): Promise<boolean> {
  const {accept} = connector();
  const carried: stream.Duplex[] = [];
  const acceptRecorded: tunnels.TunnelAcceptor = (from, address) => {
    const accepted = accept(from, address);
    carried.push(accepted.connection);
    return accepted;
  };
  const server = net.createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => end(socket, carried[0]));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  let isWhole = false;
  await withHosts(acceptRecorded, async open => {
    const tunnel = open(`127.0.0.1:${port}`);
    tunnel.on('error', () => undefined);
    tunnel.once('end', () => (isWhole = true));
    tunnel.resume();
    tunnel.write('request');
    await new Promise(resolve => tunnel.once('close', resolve));
  });
  server.close();
  return isWhole;
}

test.test('an answer that ends with its connection ends its tunnel', async () =>
  assert.ok(await endsWhole(server => server.end('whole'))),
);

// Guards against an answer without a length that looks whole, as the carrier reads the reset behind it as its end (MIXED).
test.test(
  'a reset that comes with the last bytes breaks the tunnel',
  async () => {
    for (let i = 0; i < 20; i++) {
      const end = (server: net.Socket) => {
        server.write('part');
        server.resetAndDestroy();
      };
      assert.equal(await endsWhole(end), false, `at connection ${i}`);
    }
  },
);

// Guards against the same where the carrier closes the connection, for room or as it stops (MIXED).
test.test(
  'a connection that its carrier closes breaks the tunnel',
  async () => {
    const end = (server: net.Socket, carrier: stream.Duplex) => {
      server.write('part');
      carrier.once('data', () => carrier.destroy());
    };
    assert.equal(await endsWhole(end), false);
  },
);
