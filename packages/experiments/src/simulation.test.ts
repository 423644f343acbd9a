import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as workloads from './workloads.js';
import * as simulations from './simulation.js';

const SEED = 11;
/** The earned share of a less urgent kind may exceed that of a more urgent one by this much. */
const MAX_INVERSION = 0.15;
/** Minimum share of the available slots in use while tickets wait. */
const MIN_USE_WHILE_WAITING = 0.97;

function summary(name: workloads.WorkloadName): simulations.Summary {
  return simulations.summarize(workloads.WORKLOADS[name], SEED);
}

for (const name of Object.keys(
  workloads.WORKLOADS,
) as workloads.WorkloadName[]) {
  test.test(
    `${name}: a kind earns at least about the share of the next less urgent kind`,
    () => {
      const {shareByKind} = summary(name);
      const [urgent, short, least] = workloads.WORKLOADS[name].kinds.map(
        kind => shareByKind[kind.name],
      );
      assert.ok(urgent >= short - MAX_INVERSION);
      assert.ok(short >= least - MAX_INVERSION);
    },
  );
}

test.test('overload: slots are in use while tickets wait', () => {
  assert.ok(summary('overload').useWhileWaiting >= MIN_USE_WHILE_WAITING);
});

test.test('crash: recovered engines are used again', () => {
  assert.ok(summary('crash').useWhileWaiting >= MIN_USE_WHILE_WAITING);
});

test.test('the same seed gives the same outcomes', () => {
  const workload = workloads.WORKLOADS.calm;
  assert.deepEqual(
    simulations.simulate(workload, SEED),
    simulations.simulate(workload, SEED),
  );
});
