import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

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

const MIXED_SIZES = [
  ...Array.from({length: 2}, (_, i) => member(`large-${i}`, 1.35)),
  ...Array.from({length: 9}, (_, i) => member(`small-${i}`, 0.324)),
];

function selectedHosts(caller: string): readonly string[] {
  const query = {zone: 'a', region: 'r', caller};
  return addresses.selectHosts(MIXED_SIZES, query).map(({host}) => host);
}

test.test('all hosts of equal size in the zone are returned', () => {
  const serving = [member('a', 1), member('b', 1.2), member('c', 1, 'z')];
  const query = {zone: 'a', region: 'r', caller: 'x'};
  const found = addresses.selectHosts(serving, query).map(({host}) => host);
  assert.deepEqual([...found].sort(), ['a', 'b']);
});

test.test('hosts of the region are added when the zone has too few', () => {
  const serving = [member('a', 1), member('c', 1, 'z')];
  const query = {zone: 'a', region: 'r', caller: 'x'};
  assert.equal(addresses.selectHosts(serving, query).length, 2);
});

test.test(
  'large hosts get more callers than small ones, and every host gets some',
  () => {
    const count = new Map<string, number>();
    for (let i = 0; i < 1000; i++) {
      for (const host of selectedHosts(`caller-${i}`)) {
        count.set(host, (count.get(host) ?? 0) + 1);
      }
    }
    const of = (kind: string) =>
      [...count].filter(([host]) => host.startsWith(kind)).map(([, n]) => n);
    assert.equal(count.size, MIXED_SIZES.length);
    assert.ok(Math.min(...of('large')) >= 1.5 * Math.max(...of('small')));
  },
);

test.test('the same caller gets the same hosts again', () => {
  assert.deepEqual(selectedHosts('caller'), selectedHosts('caller'));
  assert.equal(selectedHosts('caller').length, 5);
});

// Guards against callers that are sent to hosts without links to the backend servers (RECOVER).
test.test('hosts that are cut off are left out until they are back', () => {
  const clock = new decisions.clock.FakeClock(0);
  const cutOff = new addresses.CutOffHosts(clock);
  const serving = [member('a', 1), member('b', 1), member('c', 1)];
  const usable = () => cutOff.usable(serving).map(({host}) => host);
  cutOff.onState('a', true);
  cutOff.onState('b', false);
  assert.deepEqual(usable(), ['b', 'c']);
  cutOff.onState('a', false);
  assert.deepEqual(usable(), ['a', 'b', 'c']);
  cutOff.onState('a', true);
  clock.advance(3001);
  assert.deepEqual(usable(), ['a', 'b', 'c']);
  for (const {host} of serving) cutOff.onState(host, true);
  assert.deepEqual(usable(), ['a', 'b', 'c']);
});
