import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as selfsigned from 'selfsigned';

import * as linksModule from './links.js';
import type * as messages from './messages.js';

interface TestHost {
  readonly links: linksModule.Links;
  readonly address: string;
  readonly received: string[];
  readonly downPeers: string[];
}

/** Starts the links of a host on loopback and records what they report. */
async function listen(
  host: string,
  overrides: Partial<linksModule.LinkOptions> = {},
): Promise<TestHost> {
  const received: string[] = [];
  const downPeers: string[] = [];
  const links = new linksModule.Links({
    host,
    secret: 'shared',
    onMessage: (from, message) => {
      if (message.kind === 'detach') {
        received.push(`${from}: ${message.body.streamId}`);
      }
    },
    onLinkDown: peer => downPeers.push(peer),
    ...overrides,
  });
  const port = await links.listen('127.0.0.1:0');
  return {links, address: `127.0.0.1:${port}`, received, downPeers};
}

function detachMessage(streamId: string): messages.Message {
  return {kind: 'detach', body: {streamId}};
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5));
}

function close(...hosts: readonly TestHost[]): void {
  for (const {links} of hosts) links.close();
}

test.test('one link carries messages in order in both directions', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  for (const id of ['1', '2', '3'])
    a.links.send('b', b.address, detachMessage(id));
  await waitUntil(() => b.received.length === 3);
  assert.deepEqual(b.received, ['a: 1', 'a: 2', 'a: 3']);
  b.links.send('a', 'no address is needed', detachMessage('4'));
  await waitUntil(() => a.received.length === 1);
  close(a, b);
});

test.test('a host with a wrong secret is rejected', async () => {
  const [a, b] = [await listen('a', {secret: 'wrong'}), await listen('b')];
  a.links.send('b', b.address, detachMessage('1'));
  await waitUntil(() => a.downPeers.length === 1);
  assert.deepEqual(b.received, []);
  close(a, b);
});

test.test('a link that cannot be opened is reported as down', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  b.links.close();
  a.links.send('b', b.address, detachMessage('1'));
  await waitUntil(() => a.downPeers.includes('b'));
  close(a);
});

test.test('the next message reopens a dropped link', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  a.links.send('b', b.address, detachMessage('1'));
  await waitUntil(() => b.received.length === 1);
  a.links.drop('b');
  a.links.send('b', b.address, detachMessage('2'));
  await waitUntil(() => b.received.length === 2);
  close(a, b);
});

// Guards against hosts that open links at once and close each other's, with the messages on them.
test.test('links that are opened at the same time are both kept', async () => {
  const replaced: string[] = [];
  const onLinkReplaced = (peer: string) => replaced.push(peer);
  const a = await listen('a', {onLinkReplaced});
  const b = await listen('b', {onLinkReplaced});
  a.links.send('b', b.address, detachMessage('1'));
  b.links.send('a', a.address, detachMessage('2'));
  await waitUntil(() => a.received.length + b.received.length === 2);
  a.links.send('b', b.address, detachMessage('3'));
  b.links.send('a', a.address, detachMessage('4'));
  await waitUntil(() => a.received.length + b.received.length === 4);
  assert.deepEqual([a.downPeers, b.downPeers, replaced], [[], [], []]);
  close(a, b);
});

// Guards against a host whose requests stay lost on a link that its peer has given up, as it is not told to send them again.
test.test('a link that its peer opens anew replaces the old one', async () => {
  const replaced: string[] = [];
  const a = await listen('a', {onLinkReplaced: peer => replaced.push(peer)});
  const [b, restarted] = [await listen('b'), await listen('b')];
  a.links.send('b', b.address, detachMessage('1'));
  await waitUntil(() => b.received.length === 1);
  await timers.setTimeout(1100);
  restarted.links.send('a', a.address, detachMessage('2'));
  await waitUntil(() => a.received.length === 1);
  assert.deepEqual([replaced, a.downPeers], [['b'], []]);
  a.links.send('b', b.address, detachMessage('3'));
  await waitUntil(() => restarted.received.length === 1);
  assert.deepEqual(b.received, ['a: 1']);
  close(a, b, restarted);
});

test.test(
  'hosts with TLS exchange messages and reject a host without it',
  async () => {
    const pems = await selfsigned.generate(
      [{name: 'commonName', value: '127.0.0.1'}],
      {
        extensions: [
          {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
        ],
      },
    );
    const tls = {
      ca: Buffer.from(pems.cert),
      cert: Buffer.from(pems.cert),
      key: Buffer.from(pems.private),
    };
    const [a, b] = [await listen('a', {tls}), await listen('b', {tls})];
    a.links.send('b', b.address, detachMessage('1'));
    await waitUntil(() => b.received.length === 1);
    const withoutTls = await listen('c');
    withoutTls.links.send('b', b.address, detachMessage('2'));
    await waitUntil(() => withoutTls.downPeers.length === 1);
    assert.equal(b.received.length, 1);
    close(a, b, withoutTls);
  },
);

/** Forwards connections to a port after a delay, as where first packets are lost; resolves to its address. */
async function delayed(port: number, delayMs: number): Promise<string> {
  const server = net.createServer({pauseOnConnect: true}, inbound => {
    inbound.on('error', () => undefined);
    setTimeout(() => {
      const outbound = net.connect(port, '127.0.0.1');
      outbound.on('error', () => inbound.destroy());
      outbound.on('close', () => inbound.destroy());
      inbound.on('close', () => outbound.destroy());
      inbound.pipe(outbound).pipe(inbound);
    }, delayMs);
  });
  server.unref();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

// Guards against hosts that close each other's links again and again, as each takes over a second to open.
test.test(
  'links that are opened slowly at the same time are kept',
  async () => {
    const replaced: string[] = [];
    const onLinkReplaced = (peer: string) => replaced.push(peer);
    const a = await listen('a', {onLinkReplaced});
    const b = await listen('b', {onLinkReplaced});
    const portOf = ({address}: TestHost) => Number(address.split(':')[1]);
    const [toA, toB] = [
      await delayed(portOf(a), 1200),
      await delayed(portOf(b), 1200),
    ];
    for (let i = 0; i < 60; i++) {
      a.links.send('b', toB, detachMessage(`a${i}`));
      b.links.send('a', toA, detachMessage(`b${i}`));
      await timers.setTimeout(50);
    }
    await timers.setTimeout(1300);
    assert.deepEqual([replaced, a.downPeers, b.downPeers], [[], [], []]);
    assert.equal(a.received.length + b.received.length, 120);
    close(a, b);
  },
);
