import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import * as platform from '@banyanhall/platform';

import * as configs from './configs.js';
import * as timelines from '@banyanhall/fleet/timeline.js';

interface Fixture {
  readonly store: platform.fake.FakePlatform;
  readonly clock: decisions.clock.FakeClock;
  readonly host: configs.Configs;
}

/** Creates the configuration of a host, optionally on a shared store. */
function createFixture(
  store = new platform.fake.FakePlatform(),
  reachesMost = true,
): Fixture {
  const clock = new decisions.clock.FakeClock(1000);
  const host = new configs.Configs({
    table: store.table,
    objects: store.objects,
    clock,
    timeline: new timelines.Timeline('h1'),
    router: {send: () => true} as never,
    targets: () => [],
    reachesMost: () => reachesMost,
    onChange: () => undefined,
  });
  return {store, clock, host};
}

const PROFILE: decisions.config.Profile = {
  name: 'gate',
  tier: 1,
  deadlineMs: 1000,
  idempotent: true,
  versions: [],
};

function request(changeId: string, expectedNumber?: number) {
  const edit = {entry: 'profile' as const, name: 'gate', value: PROFILE};
  return {changeId, author: 'o', expectedNumber, edits: [edit]};
}

test.test('a change whose reply was lost takes effect once', async () => {
  const {store, host} = createFixture();
  store.faults.push('lost-reply');
  const first = await host.append(request('c1'));
  const again = await host.append(request('c1'));
  assert.deepEqual(first, {kind: 'committed', number: 1});
  assert.deepEqual(again, first);
  assert.equal(host.current.number, 1);
});

test.test(
  'of two concurrent changes one commits and the other gets a conflict',
  async () => {
    const store = new platform.fake.FakePlatform();
    const [a, b] = [createFixture(store).host, createFixture(store).host];
    const results = await Promise.all([
      a.append(request('a', 0)),
      b.append(request('b', 0)),
    ]);
    const kinds = results.map(result => result.kind).sort();
    assert.deepEqual(kinds, ['committed', 'conflict']);
    const conflict = results.find(result => result.kind === 'conflict');
    assert.equal(conflict?.kind === 'conflict' && conflict.since.length, 1);
  },
);

test.test('without the store a change is refused', async () => {
  const {store, host} = createFixture();
  store.isDown = true;
  assert.equal((await host.append(request('c1'))).kind, 'unavailable');
});

test.test('another host learns a change by polling', async () => {
  const store = new platform.fake.FakePlatform();
  await createFixture(store).host.append(request('c1'));
  const other = createFixture(store).host;
  await other.sync();
  assert.equal(other.current.get('profile', 'gate')?.tier, 1);
});

test.test('a change that was already applied is ignored', async () => {
  const {host} = createFixture();
  await host.append(request('c1'));
  await host.append(request('c2'));
  const old = await host.changeAt(1);
  host.applyChanges([old as decisions.config.Change]);
  assert.equal(host.current.number, 2);
});

test.test(
  'a host cut off from the store is not fresh while others confirm a newer number',
  async () => {
    const {store, clock, host} = createFixture();
    await host.sync();
    assert.ok(host.isFresh);
    store.isDown = true;
    clock.advance(configs.CONFIRM_TIMEOUT_MS);
    host.onConfigState('h2', {configNumber: 1, configAgeMs: 100});
    assert.ok(!host.isFresh);
  },
);

test.test('a host that does not reach most hosts is not fresh', async () => {
  const {store, clock, host} = createFixture(undefined, false);
  await host.sync();
  store.isDown = true;
  clock.advance(configs.CONFIRM_TIMEOUT_MS);
  assert.ok(!host.isFresh);
});

test.test(
  'a store outage at all hosts leaves the configuration fresh',
  async () => {
    const {store, clock, host} = createFixture();
    await host.sync();
    store.isDown = true;
    clock.advance(3_600_000);
    host.onConfigState('h2', {configNumber: 0, configAgeMs: 3_600_000});
    assert.ok(host.isFresh);
  },
);

test.test('a recent confirmation by a peer counts for this host', async () => {
  const {store, clock, host} = createFixture();
  await host.sync();
  store.isDown = true;
  clock.advance(configs.CONFIRM_TIMEOUT_MS);
  host.onConfigState('h2', {configNumber: 0, configAgeMs: 100});
  assert.ok(host.isFresh);
});
