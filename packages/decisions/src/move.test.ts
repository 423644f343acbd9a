import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as evidences from './evidence.js';
import * as moves from './move.js';

const SEED = 20261204;
const DEADLINE_MS = 120_000;
const NONE = evidences.Evidence.none;

const READY: moves.Observations = {
  serversReady: true,
  serversRestored: true,
  isSettled: true,
};

const started = moves.createMove('m', 's', 'v1', 'v2', 'o', 0, DEADLINE_MS);

/** Returns evidence of a candidate that performs as well as the current version. */
function goodEvidence(nowMs: number): evidences.Evidence {
  let evidence = NONE;
  for (let i = 0; i < 300; i++) {
    const isCandidate = i % 2 === 0;
    const times = {firstTokenMs: 100, tokenMs: 20};
    const sample = {route: 'gate', isCandidate, isFailure: false, ...times};
    evidence = evidence.add(sample, nowMs);
  }
  return evidence;
}

/** Advances a move every second until its deadline and returns its states in order. */
function driveToDeadline(
  evidence: (nowMs: number) => evidences.Evidence,
  observations: moves.Observations,
): readonly moves.Move[] {
  const states = [started];
  for (let nowMs = 0; nowMs <= DEADLINE_MS; nowMs += 1000) {
    const last = states[states.length - 1];
    const next = moves.advance(last, evidence(nowMs), observations, nowMs);
    if (next) states.push(next);
  }
  return states;
}

test.test(
  'a move with enough evidence ramps up step by step and finishes in time',
  () => {
    const states = driveToDeadline(goodEvidence, READY);
    const last = states[states.length - 1];
    assert.equal(last.phase, 'finished');
    assert.ok(last.stepAtMs <= DEADLINE_MS);
    const shares = states
      .filter(s => s.phase === 'ramp')
      .map(moves.candidateShare);
    assert.deepEqual(shares, moves.CANDIDATE_SHARES);
  },
);

test.test('a move without evidence is rolled back before its deadline', () => {
  const states = driveToDeadline(() => NONE, READY);
  const last = states[states.length - 1];
  assert.equal(last.phase, 'taken-back');
  assert.equal(last.reason, 'not proved in time');
});

test.test('a candidate gets no traffic until servers are ready', () => {
  const states = driveToDeadline(goodEvidence, {...READY, serversReady: false});
  assert.ok(states.every(state => moves.candidateShare(state) === 0));
  assert.equal(states[states.length - 1].phase, 'taken-back');
});

test.test('a regression rolls the move back at once', () => {
  const ramp: moves.Move = {...started, phase: 'ramp', step: 3};
  let evidence = goodEvidence(0);
  for (let i = 0; i < 10; i++) {
    const times = {firstTokenMs: 0, tokenMs: 0};
    const sample = {route: 'gate', isCandidate: true, isFailure: true};
    evidence = evidence.add({...sample, ...times}, 0);
  }
  const next = moves.advance(ramp, evidence, READY, 1000);
  assert.equal(next?.phase, 'taking-back');
  assert.match(next?.reason ?? '', /failures/);
});

test.test('a settled move is not rolled back', () => {
  const settled: moves.Move = {...started, phase: 'settle'};
  assert.equal(moves.rollBack(settled, 'operator', 0), undefined);
});

test.test('a second driver waits until the lease of the first one ends', () => {
  const first = moves.takeOver(started, 'h1', 0) as moves.Move;
  assert.equal(moves.takeOver(first, 'h2', 1000), undefined);
  const second = moves.takeOver(first, 'h2', moves.DRIVER_LEASE_MS);
  assert.equal(second?.fence, first.fence + 1);
});

test.test('shares of an older driver are ignored', () => {
  const common = {moveId: 'm', service: 's', to: 'v2', untilMs: 0};
  const newer = {...common, fence: 2, share: 0};
  const older = {...common, fence: 1, share: 0.9};
  assert.equal(moves.newerShare(newer, older), newer);
  assert.equal(moves.newerShare(older, newer), newer);
});

test.test('an unsettled move counts as rolled back at its deadline', () => {
  const ramp: moves.Move = {...started, phase: 'ramp'};
  assert.equal(moves.effectivePhase(ramp, DEADLINE_MS - 1), 'ramp');
  assert.equal(moves.effectivePhase(ramp, DEADLINE_MS), 'taken-back');
});

test.test('a move is settled or rolled back at its deadline', () => {
  const round = fc.record({
    waitMs: fc.integer({min: 100, max: 9000}),
    observations: fc.record({
      serversReady: fc.boolean(),
      serversRestored: fc.boolean(),
      isSettled: fc.boolean(),
    }),
    hasEvidence: fc.boolean(),
  });
  const property = fc.property(fc.array(round, {maxLength: 80}), rounds => {
    let move: moves.Move = started;
    let nowMs = 0;
    for (const {waitMs, observations, hasEvidence} of rounds) {
      nowMs += waitMs;
      const evidence = hasEvidence ? goodEvidence(nowMs) : NONE;
      const next = moves.advance(move, evidence, observations, nowMs) ?? move;
      const isBackward = move.phase === 'taking-back' && next.phase === 'ramp';
      assert.ok(!isBackward && !(moves.isFinal(move) && next !== move));
      if (next.phase === 'settle' && move.phase !== 'settle') {
        assert.ok(nowMs < moves.settleDeadlineMs(move));
      }
      move = next;
    }
    const phase = moves.effectivePhase(move, DEADLINE_MS);
    const decided = ['finished', 'taken-back', 'settle', 'taking-back'];
    assert.ok(decided.includes(phase), phase);
  });
  fc.assert(property, {seed: SEED});
});
