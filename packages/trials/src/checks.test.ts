import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as standins from '@banyanhall/standins';

import type * as callers from './caller.js';
import * as checks from './checks.js';
import type * as fleets from './fleet.js';

const EMPTY_RECORD: checks.TrialRecord = {
  sentRequests: [],
  events: [],
  runs: [],
  effects: [],
  leaving: [],
  plannedStops: [],
  killerMarks: [],
};

const WHOLE_OUTCOME: callers.Outcome = {
  verdict: 'ran',
  failure: '',
  text: '',
  isWhole: true,
  firstTokenMs: 1,
  durationMs: 10,
  gapsMs: [],
  resumes: 0,
  status: 200,
};

function sentRequest(
  key: string,
  outcome: Partial<callers.Outcome>,
  change: Partial<checks.SentRequest> = {},
): checks.SentRequest {
  return {
    key,
    kind: 'plain',
    prompt: '',
    maxTokens: 0,
    sentAtMs: 0,
    outcome: {...WHOLE_OUTCOME, ...outcome},
    ...change,
  };
}

let seq = 0;

function event(
  kind: string,
  requestId: string,
  atMs: number,
  detail: fleets.FleetEvent['detail'] = {},
): fleets.FleetEvent {
  seq++;
  return {host: 'h1', seq, atMs, kind, requestId, detail};
}

function run(streamId: string, promptTail = ''): fleets.EngineRun {
  const tokens = {promptTokens: 1, cachedTokens: 0};
  return {
    backend: 'e1',
    streamId,
    version: 'v1',
    atMs: 0,
    promptTail,
    ...tokens,
  };
}

function effect(key: string): fleets.ServiceEffect {
  return {backend: 'p1', key, atMs: 0};
}

/** The names of the promises that a record violates. */
function broken(change: Partial<checks.TrialRecord>): readonly string[] {
  const violations = checks.check({...EMPTY_RECORD, ...change});
  return [...new Set(violations.map(violation => violation.promise))];
}

test.test('a correct record has no violations', () => {
  const prompt = 'request 7';
  const text = standins.batch.answerText(prompt, 3);
  const chat = {kind: 'chat' as const, prompt, maxTokens: 3};
  assert.deepEqual(
    broken({
      sentRequests: [sentRequest('7', {text}, chat), sentRequest('k', {})],
      runs: [run('r1', prompt)],
      effects: [effect('k')],
      events: [event('dispatched', 'r1', 0), event('answered', 'r1', 5)],
    }),
    [],
  );
});

test.test('a stream that ran twice is a violation', () => {
  assert.deepEqual(broken({runs: [run('r1'), run('r1')]}), ['dispatched-once']);
});

test.test('a second dispatch without not-admitted is a violation', () => {
  const events = [event('dispatched', 'r1', 0), event('dispatched', 'r1', 1)];
  assert.deepEqual(broken({events}), ['dispatched-once']);
  const refused = event('not-admitted', 'r1', 0);
  const proved = [events[0], refused, event('dispatched', 'r1', 1)];
  assert.deepEqual(broken({events: proved}), []);
});

test.test('a second effect of a key is a violation', () => {
  assert.deepEqual(broken({effects: [effect('k'), effect('k')]}), [
    'effect-once',
  ]);
});

test.test('the verdict not-run for a request that ran is a violation', () => {
  const sentRequests = [sentRequest('k', {verdict: 'not-run', isWhole: false})];
  assert.deepEqual(broken({sentRequests, effects: [effect('k')]}), [
    'not-run-is-true',
  ]);
});

test.test('not-run is allowed after a request that may have run', () => {
  const sentRequests = [
    sentRequest('k', {verdict: 'may-have-run', isWhole: false}),
    sentRequest('k', {verdict: 'not-run', isWhole: false}),
  ];
  assert.deepEqual(broken({sentRequests, effects: [effect('k')]}), []);
});

test.test('a whole answer with the wrong text is a violation', () => {
  const chat = {kind: 'chat' as const, prompt: 'request 7', maxTokens: 3};
  const sentRequests = [sentRequest('7', {text: 'other'}, chat)];
  assert.deepEqual(broken({sentRequests}), ['whole-answers']);
});

test.test('a grant to a lower tier during shedding is a violation', () => {
  const events = [
    event('received', 'low', 0, {tier: 3, service: 's'}),
    event('received', 'high', 10, {tier: 1, service: 's'}),
    event('refused', 'high', 1000, {reason: 'overloaded'}),
    event('granted', 'low', 2000),
  ];
  assert.deepEqual(broken({events}), ['tier-order']);
});

test.test('a dispatch to a leaving backend server is a violation', () => {
  const leaving = [{name: 'e1', fromMs: 100, toMs: 900}];
  const events = [event('dispatched', 'r1', 500, {server: 'e1'})];
  assert.deepEqual(broken({events, leaving}), ['leaving-gets-nothing']);
});

test.test('a request interrupted by a planned stop is a violation', () => {
  const plannedStops = [{name: 'h1', fromMs: 0, toMs: 100}];
  const outcome = {verdict: 'none' as const, isWhole: false};
  assert.deepEqual(
    broken({sentRequests: [sentRequest('k', outcome)], plannedStops}),
    ['planned-stop-cuts-nothing'],
  );
});

test.test('a third run of a killer request is a violation', () => {
  const killerMarks = ['k1'];
  const runs = ['a', 'b', 'c'].map(id => run(id, 'request k1'));
  assert.deepEqual(broken({killerMarks, runs}), ['killer-refused']);
});
