import * as util from 'node:util';

import * as workloads from './workloads.js';
import * as simulations from './simulation.js';

/** Exit status for invalid arguments. */
const USAGE_STATUS = 2;

/** Simulates the selected workloads with seeds 1 to N and prints a line for each run. */
function main(): void {
  const {values} = util.parseArgs({
    options: {
      pattern: {type: 'string', default: ''},
      seeds: {type: 'string', default: '3'},
      json: {type: 'boolean', default: false},
    },
  });
  const names = Object.keys(workloads.WORKLOADS) as workloads.WorkloadName[];
  const selected = values.pattern === '' ? names : values.pattern.split(',');
  const seeds = Number(values.seeds);
  const unknown = selected.filter(name => !(name in workloads.WORKLOADS));
  if (unknown.length > 0 || !(seeds >= 1)) {
    console.error(
      `usage: experiment [--pattern ${names.join(',')}] [--seeds N] [--json]`,
    );
    process.exitCode = USAGE_STATUS;
    return;
  }
  for (const name of selected as readonly workloads.WorkloadName[]) {
    for (let seed = 1; seed <= seeds; seed++) {
      const summary = simulations.summarize(workloads.WORKLOADS[name], seed);
      if (values.json) console.log(JSON.stringify({name, seed, ...summary}));
      else console.log(formatLine(name, seed, summary));
    }
  }
}

function formatLine(
  name: string,
  seed: number,
  summary: simulations.Summary,
): string {
  const percent = (share: number) => `${Math.round(share * 1000) / 10}%`;
  const kinds = Object.entries(summary.shareByKind).map(
    ([kind, share]) =>
      `${kind} ${percent(share)} (largest ${percent(summary.largestShareByKind[kind])})`,
  );
  const use = `slots in use while tickets wait ${percent(summary.useWhileWaiting)}`;
  const total = `${summary.requests} requests, ${percent(summary.share)} of their value earned`;
  return [`${name} ${seed}: ${total}`, ...kinds, use].join('; ');
}

main();
