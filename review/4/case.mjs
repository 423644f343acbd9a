// Faulty runners break some streams off inside an event; the framing of the
// HTTP answer is whole.
import {main, send, sleep} from '../lib/site.mjs';
import * as plain from '../lib/plain.mjs';

const REQUESTS_PER_S = 80;
const TIMEOUT_MS = 5000;
const EVENTS = 13;
const EVENT_MS = 20;
/** sites/tray-loop.toml, troubles: `garble`, share = 0.6, x = 0.03, for_s = 5.0; here 3 of 5 runners, 1 answer in 34. */
const FAULTY_RUNNERS = 3;
const SPOILED_EVERY = 34;
const FAULT_MS = 4900;

const route = (name, fields) => ({
  ...{name, authority: plain.AUTHORITY, 'path-prefix': `/${name}/`},
  ...{service: plain.SERVICE, 'route-kind': 'streaming', priority: 0},
  ...{'timeout-ms': TIMEOUT_MS, 'target-latency-ms': 600},
  ...{'itl-target-ms': 250, ...fields},
});
const event = (id, n) => `id: ${n}\ndata: ${id} piece ${n} of ${EVENTS}\n\n`;

await main(import.meta.url, async (site, isTroubled) => {
  const {store} = site;
  const zone = 'zagazig-a';
  const routes = [
    route('draft', {resumable: true, 'max-attempts': 2}),
    route('digest', {'max-attempts': 1}),
  ];
  store.put('op', 'config', plain.desiredState(1, routes));
  let isFaulty = false;
  let count = 0;
  for (const i of [1, 2, 3, 4, 5]) {
    const fields = {id: `r-${i}`, service: plain.SERVICE, zone, version: 'v1'};
    await site.addRunner({...fields, capacity: 12}, (request, response) => {
      const id = request.headers['x-banyanhall-request-id'];
      const isSpoiled =
        isFaulty && i <= FAULTY_RUNNERS && ++count % SPOILED_EVERY === 0;
      response.writeHead(200, {'Content-Type': 'text/event-stream'});
      let next = Number(request.headers['last-event-id'] ?? 0) + 1;
      const timer = setInterval(() => {
        if (isSpoiled && next === 5) {
          clearInterval(timer);
          site.record('broken-off', {id, server: `r-${i}`, inside: next});
          return void response.end(event(id, next).slice(0, 20));
        }
        response.write(event(id, next));
        if (next++ < EVENTS) return;
        clearInterval(timer);
        response.end();
      }, EVENT_MS);
      response.once('close', () => clearInterval(timer));
    });
  }
  for (const i of [1, 2, 3]) await site.addHost(`edge-${i}`, zone);
  const {hosts} = site;
  for (const host of hosts) host.start();
  for (const host of hosts) await host.waitUntilReady();
  await sleep(3000);
  const outcomes = [];
  let sent = 0;
  const sendOne = async () => {
    const id = `r${++sent}`;
    const host = hosts[sent % hosts.length];
    const prefix = sent % 2 === 0 ? '/draft/' : '/digest/';
    site.record('sent', {id, host: host.name, prefix});
    const answer = await send({
      ...{port: host.callerPort, path: prefix + id, method: 'POST'},
      timeoutMs: TIMEOUT_MS,
      headers: {
        Host: plain.AUTHORITY,
        'X-Banyanhall-Request-Id': id,
        'X-Banyanhall-Key': plain.KEY,
        'X-Banyanhall-Deadline-Ms': String(TIMEOUT_MS),
      },
    });
    // `send` gives status 0 for an answer that was cut off.
    const whole = Array.from({length: EVENTS}, (_, i) => event(id, i + 1)).join('');
    const isComplete = answer.status === 200;
    const isWrong = isComplete && answer.text !== whole;
    outcomes.push({id, prefix, isComplete, isWrong});
    site.record('answer', {id, status: answer.status, isWrong});
    if (isWrong) site.record('wrong', {id, end: JSON.stringify(answer.text.slice(-60))});
  };
  const calls = [];
  const run = async forMs => {
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs) {
      calls.push(sendOne());
      await sleep(1000 / REQUESTS_PER_S);
    }
  };
  await run(3000);
  isFaulty = isTroubled;
  site.record(isTroubled ? 'faulty' : 'calm');
  await run(FAULT_MS);
  isFaulty = false;
  await run(2000);
  await Promise.all(calls);
  const wrong = outcomes.filter(({isWrong}) => isWrong);
  const resumable = wrong.filter(({prefix}) => prefix === '/draft/');
  const figures =
    `${outcomes.length} streams; ${wrong.length} complete for the client but not whole, ` +
    `${resumable.length} of them resumable`;
  site.record('figures', {figures: JSON.stringify(figures)});
  console.log(figures);
  return wrong.length > 0 ? 'ORDER' : undefined;
});
