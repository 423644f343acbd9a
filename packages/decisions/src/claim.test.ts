import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as claims from './claim.js';

const row = {state: 'claimed', digest: 'd', token: 't', atMs: 0} as const;
const receipt = {status: 200, contentType: 'text/plain', body: 'ok'};

test.test('only the request that holds the token may be dispatched', () => {
  assert.equal(claims.decide(row, 't', 'd').kind, 'dispatch');
  assert.equal(claims.decide(row, 'other', 'd').kind, 'outcome-unknown');
});

test.test('a different digest under the same key is a conflict', () => {
  assert.equal(claims.decide(row, 't', 'other').kind, 'conflict');
});

test.test('an answered claim is replayed, even to its holder', () => {
  const answered = {...row, state: 'answered' as const, receipt};
  assert.equal(claims.decide(answered, 't', 'd').kind, 'replay');
});

test.test(
  'equal request keys of different accounts have different claim keys',
  () => {
    assert.notEqual(claims.claimKey('a/b', 'c'), claims.claimKey('a', 'b/c'));
  },
);
