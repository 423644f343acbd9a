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

/** Claims a key; resolves to the failure type, `replay` or `claimed`. */
async function claimOutcome(
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
  const all = await Promise.all([
    claimOutcome(claimsOn(store)),
    claimOutcome(claimsOn(store)),
  ]);
  assert.deepEqual(all.sort(), ['claimed', 'outcome-unknown']);
});

test.test(
  'a claim whose commit reply was lost is recognized by its token',
  async () => {
    const store = new platform.fake.FakePlatform();
    store.faults.push('lost-reply');
    const host = claimsOn(store);
    assert.equal(await claimOutcome(host), 'claimed');
    assert.equal(await claimOutcome(host), 'outcome-unknown');
  },
);

// The reply to the commit is lost and so is the read that should settle its outcome.
// The commit is repeated and conflicts with the row that it wrote the first time.
test.test(
  'a claim that conflicts with its own earlier commit is recognized',
  async () => {
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
    assert.equal(await claimOutcome(host), 'claimed');
  },
);

test.test('a commit whose request was lost is retried', async () => {
  const store = new platform.fake.FakePlatform();
  store.faults.push('lost-request');
  assert.equal(await claimOutcome(claimsOn(store)), 'claimed');
});

test.test('without the store nothing is claimed', async () => {
  const store = new platform.fake.FakePlatform();
  store.isDown = true;
  assert.equal(await claimOutcome(claimsOn(store)), 'store-unavailable');
});

test.test(
  'a key used again with other arguments conflicts, the same key of another account does not',
  async () => {
    const host = claimsOn(new platform.fake.FakePlatform());
    assert.equal(await claimOutcome(host), 'claimed');
    assert.equal(
      await claimOutcome(host, {digest: 'e'}),
      'idempotency-conflict',
    );
    assert.equal(await claimOutcome(host, {account: 'b'}), 'claimed');
  },
);

test.test('an answered key is replayed', async () => {
  const store = new platform.fake.FakePlatform();
  const host = claimsOn(store);
  const claim = (await host.claim(request())) as claims.Claim;
  assert.ok(await host.answer(claim, RECEIPT));
  assert.equal(await claimOutcome(claimsOn(store)), 'replay');
});

test.test('a released key can be claimed again', async () => {
  const host = claimsOn(new platform.fake.FakePlatform());
  const claim = (await host.claim(request())) as claims.Claim;
  assert.ok(await host.release(claim));
  assert.equal(await claimOutcome(host), 'claimed');
});

test.test('concurrent claims are written in one commit', async () => {
  const store = new platform.fake.FakePlatform();
  const host = claimsOn(store);
  const keys = Array.from({length: 50}, (_, i) => `k${i}`);
  const all = await Promise.all(
    keys.map(requestKey => claimOutcome(host, {requestKey})),
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
          Array.from({length: hosts}, () => claimOutcome(claimsOn(store))),
        );
        const claimed = all.filter(each => each === 'claimed').length;
        assert.ok(claimed <= 1, all.join());
      },
    );
    await fc.assert(property, {seed: SEED});
  },
);
