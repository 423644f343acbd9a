import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as selfsigned from 'selfsigned';

import * as linksModule from './links.js';
import type * as messages from './messages.js';

interface End {
  readonly links: linksModule.Links;
  readonly address: string;
  readonly received: string[];
  readonly downs: string[];
}

/** One host's links, listening on loopback. */
async function listen(
  host: string,
  change: Partial<linksModule.LinkOptions> = {},
): Promise<End> {
  const received: string[] = [];
  const downs: string[] = [];
  const links = new linksModule.Links({
    host,
    secret: 'shared',
    onMessage: (from, item) => {
      if (item.kind === 'detach') {
        received.push(`${from}: ${item.body.streamId}`);
      }
    },
    onLinkDown: peer => downs.push(peer),
    ...change,
  });
  const port = await links.listen('127.0.0.1:0');
  return {links, address: `127.0.0.1:${port}`, received, downs};
}

function note(streamId: string): messages.Message {
  return {kind: 'detach', body: {streamId}};
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5));
}

function close(...ends: readonly End[]): void {
  for (const {links} of ends) links.close();
}

test.test('messages arrive in order, both ways on one link', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  for (const id of ['1', '2', '3']) a.links.send('b', b.address, note(id));
  await until(() => b.received.length === 3);
  assert.deepEqual(b.received, ['a: 1', 'a: 2', 'a: 3']);
  b.links.send('a', 'no address is needed', note('4'));
  await until(() => a.received.length === 1);
  close(a, b);
});

test.test('a host without the secret is turned away', async () => {
  const [a, b] = [await listen('a', {secret: 'wrong'}), await listen('b')];
  a.links.send('b', b.address, note('1'));
  await until(() => a.downs.length === 1);
  assert.deepEqual(b.received, []);
  close(a, b);
});

test.test('a link that can not be opened is reported down', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  b.links.close();
  a.links.send('b', b.address, note('1'));
  await until(() => a.downs.includes('b'));
  close(a);
});

test.test('a dropped link is opened again with the next message', async () => {
  const [a, b] = [await listen('a'), await listen('b')];
  a.links.send('b', b.address, note('1'));
  await until(() => b.received.length === 1);
  a.links.drop('b');
  a.links.send('b', b.address, note('2'));
  await until(() => b.received.length === 2);
  close(a, b);
});

test.test(
  'hosts with certificates talk, one without is turned away',
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
    a.links.send('b', b.address, note('1'));
    await until(() => b.received.length === 1);
    const plain = await listen('c');
    plain.links.send('b', b.address, note('2'));
    await until(() => plain.downs.length === 1);
    assert.equal(b.received.length, 1);
    close(a, b, plain);
  },
);
