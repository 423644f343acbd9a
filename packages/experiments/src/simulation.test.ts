import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as loads from './workloads.js';
import * as plays from './simulation.js';

const SEED = 11;
/** A less urgent kind may earn this much more of its worth than a more urgent one. */
const TOLERATED_INVERSION = 0.15;
/** The part of the slots that has to be in use while something waits for one. */
const USED_WHILE_WAITING = 0.97;

function summary(name: loads.WorkloadName): plays.Summary {
  return plays.summarize(loads.WORKLOADS[name], SEED);
}

for (const name of Object.keys(loads.WORKLOADS) as loads.WorkloadName[]) {
  test.test(`${name}: urgent kinds are served before others`, () => {
    const {shareByKind} = summary(name);
    const [urgent, short, least] = loads.WORKLOADS[name].kinds.map(
      kind => shareByKind[kind.name],
    );
    assert.ok(urgent >= short - TOLERATED_INVERSION);
    assert.ok(short >= least - TOLERATED_INVERSION);
  });
}

test.test('overload: slots do not stand empty while something waits', () => {
  assert.ok(summary('overload').useWhileWaiting >= USED_WHILE_WAITING);
});

test.test('crash: engines that are back are used again', () => {
  assert.ok(summary('crash').useWhileWaiting >= USED_WHILE_WAITING);
});

test.test('the same seed gives the same play', () => {
  const load = loads.WORKLOADS.calm;
  assert.deepEqual(plays.simulate(load, SEED), plays.simulate(load, SEED));
});
