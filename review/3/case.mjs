// Faulty runners answer some requests with bytes that are no answer: by turns a
// switch of protocols that nobody asked for, and a control byte in the head.
import {main, send, sleep} from '../lib/site.mjs';
import * as plain from '../lib/plain.mjs';

const REQUESTS_PER_S = 250;
const ROUTE_TIMEOUT_MS = 1200;
/** How long clients wait; longer than the route allows. */
const DEADLINE_MS = 4000;
/** RULES.md, CONFIG: an answer is due half a second after the route's timeout. */
const LATE_MS = 500;
/** sites/tray-loop.toml, troubles: `garble`, share = 0.6, x = 0.03, for_s = 5.0; here 3 of 5 runners, 1 answer in 34. */
const FAULTY_RUNNERS = 3;
const SPOILED_EVERY = 34;
const FAULT_MS = 4900;
const SPOILED = {
  switch: () =>
    'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
  control: (id, signature) =>
    `HTTP/1.1 200 O\x01\r\nX-Banyanhall-Request-Id: ${id}\r\n` +
    `X-Banyanhall-Upstream-Signature: ${signature}\r\nContent-Length: 2\r\n\r\nok`,
};

const route = (name, kind) => ({
  ...{name, authority: plain.AUTHORITY, 'path-prefix': `/${name}/`},
  ...{service: plain.SERVICE, 'route-kind': kind, 'max-attempts': 1},
  ...{'timeout-ms': ROUTE_TIMEOUT_MS, 'target-latency-ms': 243, priority: 0},
});

await main(import.meta.url, async (site, isTroubled) => {
  const {store} = site;
  const zone = 'zagazig-a';
  const routes = [route('post', 'non_idempotent'), route('read', 'idempotent')];
  store.put('op', 'config', plain.desiredState(1, routes));
  let isFaulty = false;
  let count = 0;
  let spoiled = 0;
  const kindOf = new Map();
  for (const i of [1, 2, 3, 4, 5]) {
    const fields = {id: `r-${i}`, service: plain.SERVICE, zone, version: 'v1'};
    await site.addRunner({...fields, capacity: 6}, (request, response) => {
      const isSpoiled =
        isFaulty && i <= FAULTY_RUNNERS && ++count % SPOILED_EVERY === 0;
      setTimeout(() => {
        if (isSpoiled) {
          const id = request.headers['x-banyanhall-request-id'];
          const kind = ++spoiled % 2 === 0 ? 'switch' : 'control';
          kindOf.set(id, kind);
          site.record('spoiled', {id, kind});
          const signature = response.getHeader('X-Banyanhall-Upstream-Signature');
          response.socket?.write(SPOILED[kind](id, signature));
          // What is sent next on this connection would get no answer here.
          if (kind === 'control') response.socket?.end();
          return;
        }
        response.writeHead(200, {'Content-Length': 2});
        response.end('ok');
      }, 20);
    });
  }
  for (const i of [1, 2, 3]) await site.addHost(`edge-${i}`, zone);
  const {hosts} = site;
  for (const host of hosts) host.start();
  for (const host of hosts) await host.waitUntilReady();
  await sleep(3000);
  const outcomes = [];
  let next = 0;
  const sendOne = async () => {
    const id = `r${++next}`;
    const host = hosts[next % hosts.length];
    const prefix = next % 2 === 0 ? '/post/' : '/read/';
    const outcome = {id, tookMs: Infinity, status: 0};
    outcomes.push(outcome);
    const sentMs = performance.now();
    site.record('sent', {id, host: host.name, prefix});
    const answer = await send({
      ...{port: host.callerPort, path: prefix + id, timeoutMs: DEADLINE_MS},
      method: next % 2 === 0 ? 'POST' : 'GET',
      headers: {
        Host: plain.AUTHORITY,
        'X-Banyanhall-Request-Id': id,
        'X-Banyanhall-Key': plain.KEY,
        'X-Banyanhall-Deadline-Ms': String(DEADLINE_MS),
      },
    });
    const tookMs = performance.now() - sentMs;
    // An attempt that the client gave up had no answer.
    if (tookMs < DEADLINE_MS - 100) Object.assign(outcome, {tookMs});
    outcome.status = answer.status;
    site.record('answer', {id, status: answer.status, tookMs: Math.round(tookMs)});
  };
  const calls = [];
  const run = async forMs => {
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs) {
      calls.push(sendOne());
      await sleep(1000 / REQUESTS_PER_S);
    }
  };
  await run(4000);
  isFaulty = isTroubled;
  site.record(isTroubled ? 'faulty' : 'calm');
  await run(FAULT_MS);
  isFaulty = false;
  await run(4000);
  await Promise.all(calls);
  const open = outcomes.filter(({tookMs}) => tookMs > ROUTE_TIMEOUT_MS);
  const late = open.filter(({tookMs}) => tookMs > ROUTE_TIMEOUT_MS + LATE_MS);
  const never = late.filter(({tookMs}) => tookMs === Infinity);
  const figures =
    `${outcomes.length} requests; ${open.length} unanswered at the route's timeout, ` +
    `${late.length} of them half a second later, ${never.length} never answered ` +
    `(${never.filter(({id}) => kindOf.get(id) === 'switch').length} after a switch, ` +
    `${never.filter(({id}) => kindOf.get(id) === 'control').length} after a control byte)`;
  site.record('figures', {figures: JSON.stringify(figures)});
  console.log(figures);
  return late.length * 2 > open.length ? 'CONFIG' : undefined;
});
