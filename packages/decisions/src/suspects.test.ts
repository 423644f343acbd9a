import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as suspects from './suspects.js';

const SEED = 20261204;

/** How long requests run before a crash, in milliseconds. */
const RUN_MS = 200;

function crash(
  crashId: string,
  atMs: number,
  backendServer: string,
  ...fingerprints: readonly string[]
): suspects.Crash {
  const requests = fingerprints.map(fingerprint => ({
    fingerprint,
    dispatchedMs: atMs - RUN_MS,
    parts: [],
    hasBegun: false,
  }));
  return {crashId, atMs, backendServer, requests};
}

const once = suspects.SuspectRequests.empty.add(
  crash('c1', 0, 's1', 'bad', 'good'),
);

test.test('one crash makes a request suspect, two make it refused', () => {
  const twice = once.add(crash('c2', 9000, 's2', 'bad'));
  assert.equal(twice.statusOf('bad'), 'refused');
  assert.equal(twice.statusOf('good'), 'suspect');
  assert.equal(twice.statusOf('other'), 'clear');
});

test.test('reports of one crash by several hosts count once', () => {
  const both = once.add(crash('c2', 100, 's1', 'bad'));
  assert.equal(both.statusOf('bad'), 'suspect');
});

test.test(
  'a crash of a later attempt on the same runner counts separately',
  () => {
    const twice = once.add(crash('c2', 700, 's1', 'bad'));
    assert.equal(twice.statusOf('bad'), 'refused');
  },
);

// Guards against a request that is refused since equal ones were at two backend servers that lost power together.
test.test('crashes of requests that ran at the same time count once', () => {
  const both = once.add(crash('c2', 100, 's2', 'bad'));
  assert.equal(both.statusOf('bad'), 'suspect');
  assert.equal(
    both.add(crash('c3', 700, 's3', 'bad')).statusOf('bad'),
    'refused',
  );
});

// Guards against a repeated request that runs alone, or is refused, after each loss of a backend server.
test.test('a completion shortly before outweighs one crash', () => {
  const credited = once.complete('good', -1000);
  assert.equal(credited.statusOf('good'), 'clear');
  const again = credited.add(crash('c2', 9000, 's2', 'good'));
  assert.equal(again.statusOf('good'), 'suspect');
  const thrice = again.add(crash('c3', 18_000, 's3', 'good'));
  assert.equal(thrice.statusOf('good'), 'refused');
  assert.equal(thrice.complete('good', 19_000).statusOf('good'), 'clear');
});

test.test('a refused request is tried after longer and longer times', () => {
  const twice = once.add(crash('c2', 9000, 's2', 'bad'));
  assert.equal(twice.retryAtMs('bad'), 19_000);
  const thrice = twice.add(crash('c3', 20_000, 's3', 'bad'));
  assert.equal(thrice.retryAtMs('bad'), 40_000);
});

test.test('a suspect request that completes is cleared', () => {
  const cleared = once.complete('good', 100);
  assert.equal(cleared.statusOf('good'), 'clear');
  assert.equal(cleared.statusOf('bad'), 'suspect');
});

test.test('expired crashes are dropped', () => {
  const later = once.expire(suspects.CRASH_RETENTION_MS + 1);
  assert.equal(later.statusOf('bad'), 'clear');
});

test.test('only the latest crash reports are kept', () => {
  const count = suspects.MAX_REPORTS + 1;
  const crashes = Array.from({length: count}, (_, i) =>
    crash(`c${i}`, i, `s${i}`, `f${i}`),
  );
  for (const order of [crashes, [...crashes].reverse()]) {
    const known = order.reduce(
      (all, one) => all.add(one),
      suspects.SuspectRequests.empty,
    );
    assert.equal(known.allCrashes().length, suspects.MAX_REPORTS);
    assert.equal(known.statusOf('f0'), 'clear');
    assert.equal(known.statusOf('f1'), 'suspect');
  }
});

test.test('the order and repetition of crash reports do not matter', () => {
  const report = fc.record({
    id: fc.integer({min: 0, max: 9}),
    server: fc.constantFrom('s1', 's2'),
  });
  const property = fc.property(fc.array(report, {maxLength: 20}), reports => {
    const crashes = reports.map(({id, server}) =>
      crash(`${server}-${id}`, id * 10_000, server, 'f'),
    );
    const forward = crashes.reduce(
      (s, c) => s.add(c),
      suspects.SuspectRequests.empty,
    );
    const backward = [...crashes, ...crashes].reduceRight(
      (s, c) => s.add(c),
      suspects.SuspectRequests.empty,
    );
    assert.equal(forward.statusOf('f'), backward.statusOf('f'));
  });
  fc.assert(property, {seed: SEED});
});
