import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import * as platform from '@banyanhall/platform';
import * as fc from 'fast-check';

import * as claims from './claims.js';
import * as timelines from '@banyanhall/fleet/timeline.js';

const SEED = 20261204;

function claimsOn(store: platform.fake.FakePlatform): claims.Claims {
  const clock = new decisions.clock.FakeClock();
  return new claims.Claims(store.table, clock, new timelines.Timeline('h1'));
}

function request(change: Partial<claims.ClaimRequest> = {}) {
  return {
    account: 'a',
    requestKey: 'k',
    digest: 'd',
    requestId: 'r1',
    ...change,
  };
}

/** The verdict type that an attempt is told, or `claimed`. */
async function told(
  host: claims.Claims,
  change: Partial<claims.ClaimRequest> = {},
): Promise<string> {
  try {
    const claimed = await host.claim(request(change));
    return 'token' in claimed ? 'claimed' : 'replay';
  } catch (error) {
    return (error as decisions.verdict.FailureError).failure.type;
  }
}

const RECEIPT = {status: 200, contentType: 'text/plain', body: 'done'};

test.test('one of two hosts gets the claim', async () => {
  const store = new platform.fake.FakePlatform();
  const all = await Promise.all([told(claimsOn(store)), told(claimsOn(store))]);
  assert.deepEqual(all.sort(), ['claimed', 'outcome-unknown']);
});

test.test('a lost reply is settled by the own token', async () => {
  const store = new platform.fake.FakePlatform();
  store.faults.push('lost-reply');
  const host = claimsOn(store);
  assert.equal(await told(host), 'claimed');
  assert.equal(await told(host), 'outcome-unknown');
});

test.test('a claim that was written twice is still one’s own', async () => {
  const store = new platform.fake.FakePlatform();
  store.faults.push('lost-reply');
  let reads = 0;
  const table: platform.table.Table = {
    ...store.table,
    read: async keys => {
      reads++;
      if (reads === 1) throw new platform.table.StoreError('away');
      return store.table.read(keys);
    },
  };
  const clock = new decisions.clock.FakeClock();
  const host = new claims.Claims(table, clock, new timelines.Timeline('h1'));
  assert.equal(await told(host), 'claimed');
});

test.test('a lost request is sent again', async () => {
  const store = new platform.fake.FakePlatform();
  store.faults.push('lost-request');
  assert.equal(await told(claimsOn(store)), 'claimed');
});

test.test('without the store nothing is claimed', async () => {
  const store = new platform.fake.FakePlatform();
  store.isDown = true;
  assert.equal(await told(claimsOn(store)), 'store-unavailable');
});

test.test(
  'other arguments are a conflict, another account is not',
  async () => {
    const host = claimsOn(new platform.fake.FakePlatform());
    assert.equal(await told(host), 'claimed');
    assert.equal(await told(host, {digest: 'e'}), 'idempotency-conflict');
    assert.equal(await told(host, {account: 'b'}), 'claimed');
  },
);

test.test('an answered key is replayed', async () => {
  const store = new platform.fake.FakePlatform();
  const host = claimsOn(store);
  const claim = (await host.claim(request())) as claims.Claim;
  assert.ok(await host.answer(claim, RECEIPT));
  assert.equal(await told(claimsOn(store)), 'replay');
});

test.test('a released key can be claimed again', async () => {
  const host = claimsOn(new platform.fake.FakePlatform());
  const claim = (await host.claim(request())) as claims.Claim;
  assert.ok(await host.release(claim));
  assert.equal(await told(host), 'claimed');
});

test.test('claims that come together share a commit', async () => {
  const store = new platform.fake.FakePlatform();
  const host = claimsOn(store);
  const keys = Array.from({length: 50}, (_, i) => `k${i}`);
  const all = await Promise.all(
    keys.map(requestKey => told(host, {requestKey})),
  );
  assert.ok(all.every(each => each === 'claimed'));
  assert.equal(store.commitCount, 1);
});

test.test(
  'under lost replies and requests a key is claimed at most once',
  async () => {
    const faults = fc.array(
      fc.constantFrom<platform.fake.CommitFault | undefined>(
        'lost-reply',
        'lost-request',
        'not-committed',
        undefined,
      ),
      {maxLength: 12},
    );
    const property = fc.asyncProperty(
      faults,
      fc.integer({min: 1, max: 4}),
      async (script, hosts) => {
        const store = new platform.fake.FakePlatform();
        store.faults.push(...(script as platform.fake.CommitFault[]));
        const all = await Promise.all(
          Array.from({length: hosts}, () => told(claimsOn(store))),
        );
        const claimed = all.filter(each => each === 'claimed').length;
        assert.ok(claimed <= 1, all.join());
      },
    );
    await fc.assert(property, {seed: SEED});
  },
);
