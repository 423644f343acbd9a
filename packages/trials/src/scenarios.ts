// The scenarios of measure.ts.

import type * as fleets from './fleet.js';

/** The load, as a share of the capacity, and a fault; measure.ts injects it after one third of the run and ends it after two thirds. */
export interface Scenario {
  readonly load: number;
  readonly injectFault: (fleet: fleets.Fleet) => Promise<void>;
  readonly endFault: (fleet: fleets.Fleet) => Promise<void>;
}

async function noFault(): Promise<void> {
  // The scenario has no fault, or one that lasts to the end of the run.
}

/** The keeper of the cell of the first service; the first running host when none is found. */
async function findKeeper(fleet: fleets.Fleet): Promise<fleets.Host> {
  const [{name}] = fleet.plan.services;
  for (const host of fleet.running) {
    const status = await fleet.callOperator<{
      readonly cells: readonly {readonly cell: string}[];
    }>(host, '/operator/status');
    if (status.cells.some(({cell}) => cell === name)) return host;
  }
  return fleet.running[0];
}

/** The scenarios by name, which `--scenario` takes. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'steady-70': {load: 0.7, injectFault: noFault, endFault: noFault},
  'burst-150': {load: 1.5, injectFault: noFault, endFault: noFault},
  'engine-slow': {
    load: 0.7,
    injectFault: fleet =>
      fleet.setBackendBehaviour(fleet.backends[0], {slowFactor: 20}),
    endFault: noFault,
  },
  'runner-killed': {
    load: 0.7,
    injectFault: async fleet => {
      fleet.backends[0].process.child.kill('SIGKILL');
    },
    endFault: noFault,
  },
  'host-killed': {
    load: 1.2,
    injectFault: async fleet => {
      (await findKeeper(fleet)).process.child.kill('SIGKILL');
    },
    endFault: noFault,
  },
  'table-away': {
    load: 0.7,
    injectFault: fleet => fleet.setPlatformBehaviour({isDown: true}),
    endFault: fleet => fleet.setPlatformBehaviour({isDown: false}),
  },
};
