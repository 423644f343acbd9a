import * as util from 'node:util';

import * as loads from './workloads.js';
import * as plays from './simulation.js';

const USAGE_STATUS = 2;

function main(): void {
  const {values} = util.parseArgs({
    options: {
      pattern: {type: 'string', default: ''},
      seeds: {type: 'string', default: '3'},
      json: {type: 'boolean', default: false},
    },
  });
  const names = Object.keys(loads.WORKLOADS) as loads.WorkloadName[];
  const wanted = values.pattern === '' ? names : values.pattern.split(',');
  const seeds = Number(values.seeds);
  const unknown = wanted.filter(name => !(name in loads.WORKLOADS));
  if (unknown.length > 0 || !(seeds >= 1)) {
    console.error(
      `usage: experiment [--pattern ${names.join(',')}] [--seeds N]`,
    );
    process.exitCode = USAGE_STATUS;
    return;
  }
  for (const name of wanted as readonly loads.WorkloadName[]) {
    for (let seed = 1; seed <= seeds; seed++) {
      const summary = plays.summarize(loads.WORKLOADS[name], seed);
      if (values.json) console.log(JSON.stringify({name, seed, ...summary}));
      else console.log(lineOf(name, seed, summary));
    }
  }
}

function lineOf(name: string, seed: number, summary: plays.Summary): string {
  const percent = (share: number) => `${Math.round(share * 1000) / 10}%`;
  const kinds = Object.entries(summary.shareByKind).map(
    ([kind, share]) =>
      `${kind} ${percent(share)} (largest ${percent(summary.largestShareByKind[kind])})`,
  );
  const use = `slots in use while some wait ${percent(summary.useWhileWaiting)}`;
  const total = `${summary.requests} requests, ${percent(summary.share)}`;
  return [`${name} ${seed}: ${total}`, ...kinds, use].join('; ');
}

main();
