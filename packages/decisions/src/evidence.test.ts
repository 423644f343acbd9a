import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as evidences from './evidence.js';

/** Creates a successful candidate sample, changed by `change`. */
function sample(change: Partial<evidences.Sample> = {}): evidences.Sample {
  return {
    route: 'gate',
    isCandidate: true,
    isFailure: false,
    firstTokenMs: 100,
    tokenMs: 20,
    ...change,
  };
}

/** Adds `count` equal samples, 100 ms apart. */
function after(
  evidence: evidences.Evidence,
  count: number,
  change: Partial<evidences.Sample>,
  fromMs = 0,
): evidences.Evidence {
  let next = evidence;
  for (let i = 0; i < count; i++) {
    next = next.add(sample(change), fromMs + i * 100);
  }
  return next;
}

/** The maximum number of requests before a candidate that fails them all is found. */
const MAX_REQUESTS_TO_DETECT = 10;

const gateControl = after(evidences.Evidence.none, 50, {isCandidate: false});
const control = after(gateControl, 50, {isCandidate: false, route: 'batch'});

test.test('a failing candidate is found within 10 requests', () => {
  const bad = after(control, MAX_REQUESTS_TO_DETECT, {isFailure: true}, 5000);
  assert.equal(bad.regression?.metric, 'failures');
});

test.test('a slow candidate is found within 10 requests', () => {
  const slow = after(
    control,
    MAX_REQUESTS_TO_DETECT,
    {firstTokenMs: 300, tokenMs: 60},
    5000,
  );
  assert.equal(slow.regression?.metric, 'first-token');
});

test.test('a regression on one route names the route', () => {
  let evidence = control;
  for (let i = 0; i < 40; i++) {
    const route = i % 4 === 0 ? 'batch' : 'gate';
    const isFailure = route === 'batch';
    evidence = evidence.add(sample({route, isFailure}), 5000 + i);
  }
  assert.equal(evidence.regression?.route, 'batch');
});

test.test('a regression that starts late is found as quickly', () => {
  const good = after(control, 500, {}, 5000);
  assert.equal(good.regression, undefined);
  assert.ok(
    after(good, MAX_REQUESTS_TO_DETECT, {isFailure: true}, 60_000).regression,
  );
});

test.test('a slowdown of both versions is not a regression', () => {
  let evidence = control;
  for (let i = 0; i < 400; i++) {
    const firstTokenMs = 100 + i;
    const isCandidate = i % 2 === 0;
    const fresh = sample({
      isCandidate,
      firstTokenMs,
      tokenMs: firstTokenMs / 5,
    });
    evidence = evidence.add(fresh, 5000 + i * 100);
  }
  assert.equal(evidence.regression, undefined);
});

test.test('times are not compared with stale control samples', () => {
  const stale = 5000 + evidences.CONTROL_AGE_MS;
  const slow = after(control, 30, {firstTokenMs: 900, tokenMs: 90}, stale);
  assert.equal(slow.regression, undefined);
});
