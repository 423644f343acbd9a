// A local fleet to try out (`npm start`).

import * as util from 'node:util';

import * as callers from './caller.js';
import * as fleets from './fleet.js';
import * as loads from './load.js';
import * as plans from './plans.js';

const LOAD_MS = 10_000;
const REQUESTS_PER_S = 25;
const SEED = 1;

/** Starts 3 daemons with the stand-ins, sends a mixed load and prints its results; keeps running unless `--once` is given. */
async function main(): Promise<void> {
  const {values} = util.parseArgs({options: {once: {type: 'boolean'}}});
  console.log('starting 3 daemons, 9 backend servers and the platform ...');
  const fleet = await fleets.Fleet.start(plans.DEFAULT_PLAN);
  const stop = async (status: number) => {
    await fleet.stop();
    process.exit(status);
  };
  process.once('SIGINT', () => void stop(0));
  const urls = fleet.hosts.map(host => host.callerUrl);
  const results = await loads.run({
    caller: new callers.Caller(urls),
    accounts: plans.DEFAULT_PLAN.accounts,
    model: 'tray-scribe',
    plain: 'tray-ledger',
    requestsPerS: REQUESTS_PER_S,
    durationMs: LOAD_MS,
    seed: SEED,
  });
  console.log(loads.table(results));
  const isGood = results.every(result => result.outcome.isWhole);
  if (values.once) return stop(isGood ? 0 : 1);
  console.log(`\nserving on ${urls.join(', ')}; Ctrl-C ends it. Try:\n`);
  console.log(
    `curl -N ${urls[0]}/v1/chat/completions -H 'Authorization: Bearer key-sharqia' -H 'Banyanhall-Profile: gate' -d '{"model": "tray-scribe", "stream": true, "max_tokens": 20, "messages": [{"role": "user", "content": "Is the pickup at gate 4 on time?"}]}'`,
  );
}

await main();
