import * as assert from 'node:assert/strict';
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
