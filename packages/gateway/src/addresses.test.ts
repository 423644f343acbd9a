import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as decisions from '@banyanhall/decisions';

import * as addresses from './addresses.js';

function member(
  host: string,
  cores: number,
  zone = 'a',
): decisions.membership.Member {
  return {
    ...{host, cores, zone, region: 'r', callerUrl: host, peerAddress: ''},
    ...{incarnation: 1, state: 'serving'},
  };
}

const UNLIKE = [
  ...Array.from({length: 2}, (_, i) => member(`large-${i}`, 1.35)),
  ...Array.from({length: 9}, (_, i) => member(`small-${i}`, 0.324)),
];

function told(caller: string): readonly string[] {
  const question = {zone: 'a', region: 'r', caller};
  return addresses.selectHosts(UNLIKE, question).map(({host}) => host);
}

test.test('hosts alike are all told, near ones only', () => {
  const serving = [member('a', 1), member('b', 1.2), member('c', 1, 'z')];
  const question = {zone: 'a', region: 'r', caller: 'x'};
  const found = addresses.selectHosts(serving, question).map(({host}) => host);
  assert.deepEqual([...found].sort(), ['a', 'b']);
});

test.test('a zone without enough hosts is helped by its region', () => {
  const serving = [member('a', 1), member('c', 1, 'z')];
  const question = {zone: 'a', region: 'r', caller: 'x'};
  assert.equal(addresses.selectHosts(serving, question).length, 2);
});

test.test(
  'large hosts get more callers than small ones, each host some',
  () => {
    const count = new Map<string, number>();
    for (let i = 0; i < 1000; i++) {
      for (const host of told(`caller-${i}`)) {
        count.set(host, (count.get(host) ?? 0) + 1);
      }
    }
    const of = (kind: string) =>
      [...count].filter(([host]) => host.startsWith(kind)).map(([, n]) => n);
    assert.equal(count.size, UNLIKE.length);
    assert.ok(Math.min(...of('large')) >= 1.5 * Math.max(...of('small')));
  },
);

test.test('a caller that asks again is told the same', () => {
  assert.deepEqual(told('caller'), told('caller'));
  assert.equal(told('caller').length, 5);
});
