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

/** Adds `count` equal samples from `fromMs` on, 100 ms apart. */
function addSamples(
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

/** The number of requests in which a bad candidate must be found. */
const MAX_REQUESTS_TO_DETECT = 10;

const gateControl = addSamples(evidences.Evidence.none, 50, {
  isCandidate: false,
});
const control = addSamples(gateControl, 50, {
  isCandidate: false,
  route: 'batch',
});

test.test('a failing candidate is found within 10 requests', () => {
  const bad = addSamples(
    control,
    MAX_REQUESTS_TO_DETECT,
    {isFailure: true},
    5000,
  );
  assert.equal(bad.regression?.metric, 'failures');
});

test.test('a slow candidate is found within 10 requests', () => {
  const slow = addSamples(
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

test.test('a regression that starts late is found within 10 requests', () => {
  const good = addSamples(control, 500, {}, 5000);
  assert.equal(good.regression, undefined);
  assert.ok(
    addSamples(good, MAX_REQUESTS_TO_DETECT, {isFailure: true}, 60_000)
      .regression,
  );
});

test.test('a slowdown of both versions is not a regression', () => {
  let evidence = control;
  for (let i = 0; i < 400; i++) {
    const firstTokenMs = 100 + i;
    const isCandidate = i % 2 === 0;
    const slower = sample({
      isCandidate,
      firstTokenMs,
      tokenMs: firstTokenMs / 5,
    });
    evidence = evidence.add(slower, 5000 + i * 100);
  }
  assert.equal(evidence.regression, undefined);
});

test.test('times are not compared with stale control samples', () => {
  const staleMs = 5000 + evidences.MAX_CONTROL_AGE_MS;
  const slow = addSamples(
    control,
    30,
    {firstTokenMs: 900, tokenMs: 90},
    staleMs,
  );
  assert.equal(slow.regression, undefined);
});
