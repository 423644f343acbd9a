// Not a case: a roll-out of a version that turns bad late (`late`), or that
// fails one request in ten (`tenth`). Exits with 1 if EXPOSURE was broken.
import * as deployment from './deployment.mjs';
import * as site from './site.mjs';

const MODE = process.argv[2];
const DURATION_S = 12;
const isBad = {
  late: atMs => atMs >= 0.75 * DURATION_S * 1000 && Math.random() < 0.45,
  tenth: () => Math.random() < 0.1,
}[MODE];
let folder;

await site.runCase((folder = site.temporaryFolder(() => undefined)), async run => {
  const {note} = run;
  const {store, hosts, runners, startRunners} = await deployment.start(run, {
    state: deployment.desiredState({version: 7}),
  });
  const load = deployment.startLoad(hosts, 60);
  await site.sleep(4000);
  const orderMs = site.nowMs();
  const body = {service: deployment.SERVICE, to: 'v2', 'duration-s': DURATION_S};
  store.put('op', 'rollout/ledger', JSON.stringify(body));
  await startRunners('v2', {
    answer: (_, response) => {
      if (isBad(site.nowMs() - orderMs)) response.writeHead(500);
      response.end('v2\n');
    },
  });
  await site.sleep(DURATION_S * 1000);
  await load.stop();
  const ran = runners
    .flatMap(({version, ran}) => ran.map(each => ({...each, version})))
    .filter(({atMs}) => atMs >= orderMs && atMs <= orderMs + DURATION_S * 1000);
  const countOf = group => new Set(group.map(each => each.requestId)).size;
  const candidate = countOf(ran.filter(({version}) => version === 'v2'));
  const allowed = 0.1 * countOf(ran) + 50;
  note(`${MODE}: ${candidate} of ${countOf(ran)} requests reached v2, ${allowed.toFixed(1)} allowed; ${store.get('status', 'rollout/ledger')}; record in ${folder}`);
  return candidate <= allowed;
});
