// A rollout to a version that fails on one route only, of which few requests
// come. No other disruption.
import {bound, main, sleep} from '../lib/site.mjs';
import * as plain from '../lib/plain.mjs';

const REQUESTS_PER_S = 60;
const DURATION_S = 20;
/** Every so many requests, one is on the second route. */
const RARE_EVERY = 60;
const RARE_PREFIX = '/month/';

await main(import.meta.url, async (site, isTroubled) => {
  const {store} = site;
  const zone = 'zagazig-a';
  const rare = {
    ...{name: 'month', authority: plain.AUTHORITY, 'path-prefix': RARE_PREFIX},
    ...{service: plain.SERVICE, 'route-kind': 'idempotent', 'max-attempts': 2},
    ...{'timeout-ms': 1200, 'target-latency-ms': 243, priority: 0},
  };
  store.put('op', 'config', plain.desiredState(1, [rare]));
  for (const i of [1, 2, 3]) await plain.addRunner(site, `old-${i}`, 'v1', zone);
  for (const i of [1, 2, 3]) await site.addHost(`edge-${i}`, zone);
  const {hosts} = site;
  site.onLog = (name, event) => {
    if (event.event !== 'rollout') return;
    site.record('log', {host: name, state: event.state, reason: event.reason});
  };
  for (const host of hosts) host.start();
  for (const host of hosts) await host.waitUntilReady();
  await sleep(3000);
  const load = new plain.Load(
    ...[site, REQUESTS_PER_S, () => hosts],
    i => (i % RARE_EVERY === 0 ? RARE_PREFIX : '/look/'),
  );
  await sleep(10_000);
  const rollout = new plain.Rollout(site, 'v1', 'v2', DURATION_S);
  let total = 0;
  let toBad = 0;
  let failed = 0;
  let isCounting = false;
  site.onRunnerAnswer = (runner, status) => {
    if (!isCounting) return;
    total++;
    if (runner.version === 'v2') toBad++;
    if (status >= 500) failed++;
  };
  isCounting = true;
  await rollout.order(async () => {
    for (const i of [1, 2, 3]) {
      const isBad = path => isTroubled && path.startsWith(RARE_PREFIX);
      await plain.addRunner(site, `new-${i}`, 'v2', zone, isBad);
    }
  });
  await sleep(rollout.orderedMs + DURATION_S * 1000 - performance.now());
  isCounting = false;
  await load.stop();
  const allowed = bound('canary-share') * total + bound('canary-tolerance');
  const figures =
    `${toBad} of ${total} requests reached the new version, ` +
    `a bad one may get ${allowed.toFixed(0)}; ${failed} failures; ` +
    `status ${rollout.states.join(', ')}`;
  site.record('figures', {figures: JSON.stringify(figures)});
  console.log(figures);
  return isTroubled && toBad > allowed ? 'EXPOSURE' : undefined;
});
