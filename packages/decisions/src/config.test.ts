import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as configs from './config.js';
import * as policy from './policy.js';

const PROFILE: configs.Profile = {
  name: 'gate',
  tier: 1,
  deadlineMs: 1000,
  idempotent: true,
  versions: [],
};

const ACCOUNT: configs.Account = {
  name: 'depot',
  keySha256: 'k1',
  profiles: ['gate'],
  maxInFlight: 1,
  weight: 1,
};

function change(
  number: number,
  ...edits: readonly configs.Edit[]
): configs.Change {
  return {number, changeId: `c${number}`, author: 'a', atMs: 0, edits};
}

const first = configs.Config.empty.apply(
  change(
    1,
    {entry: 'profile', name: 'gate', value: PROFILE},
    {entry: 'account', name: 'depot', value: ACCOUNT},
  ),
);

test.test('a configuration accepts only the next change', () => {
  assert.throws(() => first.apply(change(1)), RangeError);
  assert.throws(() => first.apply(change(3)), RangeError);
  assert.equal(first.apply(change(2)).number, 2);
});

test.test('an edit without a value removes the entry', () => {
  const second = first.apply(change(2, {entry: 'account', name: 'depot'}));
  assert.equal(second.get('account', 'depot'), undefined);
  assert.equal(second.accountForKey('k1'), undefined);
  assert.equal(first.accountForKey('k1')?.name, 'depot');
});

test.test('a configuration is rebuilt from its edits', () => {
  const restored = configs.Config.restore(first.number, first.toEdits());
  assert.deepEqual(restored.toEdits(), first.toEdits());
});

test.test('a rejected policy query returns the type of failure', () => {
  const query = {
    keySha256: 'k1',
    profile: '',
    service: 'none',
    kind: 'model',
  } as const;
  const failureType = (change: Partial<policy.PolicyQuery>) => {
    const found = policy.resolvePolicy(first, {...query, ...change});
    return 'kind' in found ? found.type : 'fine';
  };
  assert.equal(failureType({keySha256: 'k2'}), 'unauthorized');
  assert.equal(failureType({profile: 'other'}), 'unknown-profile');
  assert.equal(failureType({}), 'unknown-service');
});
