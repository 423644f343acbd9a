import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as relays from './relay.js';

// Guards against a loss of power that the other side learns of by a reset.
test.test('a reset of a silenced connection is not passed on', async () => {
  const accepted: net.Socket[] = [];
  const server = net.createServer({pauseOnConnect: true}, socket => {
    accepted.push(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const relay = await relays.Relay.to(port);
  const client = net.connect(relay.port, '127.0.0.1');
  let isEnded = false;
  client.on('error', () => (isEnded = true));
  client.on('close', () => (isEnded = true));
  // More than the buffers hold, so that the relay is still writing.
  client.write(Buffer.alloc(32_000_000));
  await new Promise(resolve => setTimeout(resolve, 300));
  relay.setState('dark');
  accepted[0].resetAndDestroy();
  await new Promise(resolve => setTimeout(resolve, 300));
  const wasEnded = isEnded;
  client.destroy();
  relay.close();
  server.close();
  assert.equal(wasEnded, false);
});

// Guards against runs late behind a cut that no trial shows, as their bytes are lost with the connection.
test.test('what a link held is passed on after a reset', async () => {
  const received: string[] = [];
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', chunk => received.push(String(chunk)));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const relay = await relays.Relay.to(port);
  const pause = () => new Promise(resolve => setTimeout(resolve, 50));
  const client = net.connect(relay.port, '127.0.0.1');
  client.write('before');
  await pause();
  relay.setState('hang');
  client.write('held');
  await pause();
  client.resetAndDestroy();
  await pause();
  assert.deepEqual(received, ['before']);
  relay.setState('open');
  await pause();
  relay.close();
  server.close();
  assert.deepEqual(received, ['before', 'held']);
});
