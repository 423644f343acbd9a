// The host that drives a rollout is frozen for 3.9 s; another one takes over and
// rolls the version back, which has turned bad meanwhile. Then the first wakes.
import {bound, CantRun, main, sleep} from '../lib/site.mjs';
import * as plain from '../lib/plain.mjs';

const REQUESTS_PER_S = 100;
const DURATION_S = 20;
/** sites/tray-loop.toml: `node_freeze`, for_s = 4.0. */
const FREEZE_MS = 3900;
/** Seconds after the order. */
const FREEZE_AT_S = 14.2;
const BAD_FROM_S = 16.8;
/** How long requests are judged, from the order. */
const JUDGED_S = 45;
/** RULES.md, EXPOSURE. */
const BAD_ANSWERS = 50;

await main(import.meta.url, async (site, isTroubled) => {
  const {store} = site;
  const zone = 'zagazig-a';
  store.put('op', 'config', plain.desiredState(1));
  for (const i of [1, 2, 3]) await plain.addRunner(site, `old-${i}`, 'v1', zone);
  for (const i of [1, 2, 3]) await site.addHost(`edge-${i}`, zone);
  const {hosts} = site;
  // The host that decides on the share of traffic logs it.
  let driver;
  site.onLog = (name, event) => {
    if (event.event !== 'rollout') return;
    site.record('log', {host: name, state: event.state, reason: event.reason});
    if (event.reason?.startsWith('share')) driver = name;
  };
  for (const host of hosts) host.start();
  for (const host of hosts) await host.waitUntilReady();
  await sleep(3000);
  const load = new plain.Load(site, REQUESTS_PER_S, () => hosts);
  await sleep(4000);
  const rollout = new plain.Rollout(site, 'v1', 'v2', DURATION_S);
  const sinceOrderS = () => (performance.now() - rollout.orderedMs) / 1000;
  const isBad = () => sinceOrderS() >= BAD_FROM_S;
  const badMs = [];
  /** When each request reached the new version. */
  const runs = [];
  site.onRunnerAnswer = (runner, status, request) => {
    if (runner.version !== 'v2') return;
    const id = request.headers['x-banyanhall-request-id'];
    runs.push({id, atMs: performance.now()});
    if (status < 500) return;
    badMs.push(performance.now());
    site.record('bad', {id, server: runner.id, count: badMs.length});
  };
  await rollout.order(async () => {
    for (const i of [1, 2, 3]) {
      await plain.addRunner(site, `new-${i}`, 'v2', zone, isBad);
    }
  });
  await sleep(FREEZE_AT_S * 1000 - sinceOrderS() * 1000);
  if (!driver) throw new CantRun('no host drives the rollout');
  let frozen = '';
  if (isTroubled) {
    const host = hosts.find(({name}) => name === driver);
    frozen = host.name;
    host.signal('SIGSTOP');
    site.record('frozen', {host: host.name});
    await sleep(FREEZE_MS);
    host.signal('SIGCONT');
    site.record('awake', {host: host.name});
  }
  await sleep((JUDGED_S - sinceOrderS()) * 1000);
  await load.stop();
  const limitMs = (badMs[BAD_ANSWERS - 1] ?? Infinity) + bound('rollback-ms');
  const sent = new Map(load.outcomes.map(outcome => [outcome.id, outcome]));
  const late = runs.filter(({id}) => {
    const {sentMs, host} = sent.get(id);
    // The frozen host is in touch again later; it isn't counted at all.
    return sentMs > limitMs && host !== frozen;
  });
  const figures =
    `${badMs.length} bad answers, ${late.length} requests of machines in touch ` +
    `later than rollback-ms after the ${BAD_ANSWERS}th; ` +
    `status ${rollout.states.join(', ')}`;
  site.record('figures', {figures: JSON.stringify(figures)});
  console.log(figures);
  return late.length > 0 ? 'EXPOSURE' : undefined;
});
