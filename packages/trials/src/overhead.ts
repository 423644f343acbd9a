// The overhead that a host adds to a request (`npm run overhead`).

import * as http from 'node:http';

import type * as operators from '@banyanhall/operators';
import got from 'got';

import * as figures from './figures.js';
import * as fleets from './fleet.js';
import * as plans from './plans.js';

const WARM_UP_REQUESTS = 500;
const REQUESTS = 3000;
const WORKERS = 4;

interface Target {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

const agent = new http.Agent({keepAlive: true});

/** Sends `count` requests from concurrent workers and returns their latencies in milliseconds. */
async function send(target: Target, count: number): Promise<readonly number[]> {
  const timesMs: number[] = [];
  let remaining = count;
  const worker = async () => {
    while (remaining > 0) {
      remaining--;
      const startedMs = performance.now();
      await got(target.url, {headers: target.headers, agent: {http: agent}});
      timesMs.push(performance.now() - startedMs);
    }
  };
  await Promise.all(Array.from({length: WORKERS}, worker));
  return timesMs;
}

/** Compares requests to a plain service through one host with requests sent directly to its backend server: latency, and processor time of the host. */
async function main(): Promise<void> {
  const fleet = await fleets.Fleet.start({
    ...plans.DEFAULT_PLAN,
    hosts: 1,
    services: [
      {
        ...{name: 'balance', kind: 'plain', fencing: 'ignored'},
        behaviours: [{delayMs: 0}],
        ...{slotTokens: 64, maxRunning: 16},
      },
    ],
  });
  const [host] = fleet.hosts;
  const direct = {url: `${fleet.backends[0].server.url}/balance`, headers: {}};
  const viaHost = {
    url: `${host.callerUrl}/services/balance/balance`,
    headers: {
      authorization: 'Bearer key-depot',
      'banyanhall-profile': 'gate',
    },
  };
  const cpuMs = async () => {
    const status = await fleet.callOperator<operators.api.Status>(
      host,
      '/operator/status',
    );
    return status.usage.cpuMs;
  };
  try {
    await send(direct, WARM_UP_REQUESTS);
    await send(viaHost, WARM_UP_REQUESTS);
    const directMs = await send(direct, REQUESTS);
    const beforeMs = await cpuMs();
    const viaHostMs = await send(viaHost, REQUESTS);
    const cpuMsPerRequest = ((await cpuMs()) - beforeMs) / REQUESTS;
    const [directMedianMs, viaHostMedianMs] = [directMs, viaHostMs].map(t =>
      figures.quantile(t, 0.5),
    );
    console.log(`direct: median ${directMedianMs.toFixed(2)} ms`);
    console.log(`through one host: median ${viaHostMedianMs.toFixed(2)} ms`);
    console.log(
      `added: ${(viaHostMedianMs - directMedianMs).toFixed(2)} ms, processor ${cpuMsPerRequest.toFixed(2)} ms a request`,
    );
  } finally {
    agent.destroy();
    await fleet.stop();
  }
}

await main();
