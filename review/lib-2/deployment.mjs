// Starts a small deployment for a case: a store, three backend servers of one
// plain service, one in each zone, and three hosts.
import * as site from './site.mjs';

export const ZONES = {
  'zagazig-a': 'delta-east',
  'giza-a': 'cairo-giza',
  'minya-a': 'upper-minya',
};
export const SERVICE = 'ledger';
export const KEY = 'i9n73hh2b9wu3fexd9dn';
export const OTHER_KEY = 'n2ctnfzs989anu6wsjnb';

const ROUTE = {
  ...{authority: site.AUTHORITY, 'timeout-ms': 1200, 'target-latency-ms': 200},
  ...{priority: 2, service: SERVICE, public: false, 'session-affinity': false},
};
const ROUTES = [
  {
    ...{name: 'r-post', 'path-prefix': '/post/', ...ROUTE},
    ...{'route-kind': 'non_idempotent', 'max-attempts': 1},
  },
  {
    ...{name: 'r-look', 'path-prefix': '/look/', ...ROUTE},
    ...{'route-kind': 'idempotent', 'max-attempts': 2},
  },
];

/** A desired state (JSON); `idleRoutes` more routes get no traffic. */
export function desiredState({version, keys = [KEY, OTHER_KEY], idleRoutes = 0, tenant = {}}) {
  const idle = Array.from({length: idleRoutes}, (_, i) => ({
    ...{name: `r-idle-${i}`, 'path-prefix': `/idle-${i}/`, ...ROUTE},
    ...{'route-kind': 'idempotent', 'max-attempts': 2},
  }));
  return JSON.stringify({
    version,
    'route-table': [...ROUTES, ...idle],
    services: [
      {
        ...{name: SERVICE, 'health-path': '/healthz', 'max-connections': 100},
        ...{protocol: 'h1', 'tls-context': false},
      },
    ],
    limits: {
      ...{'max-header-bytes': 16384, 'max-body-bytes': 4194304},
      ...{'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
    },
    tenants: [
      {
        ...{name: 'hule930', 'api-keys': keys, priority: 1, unit: 'token'},
        ...{'uncached-tokens': 200, 'rate-per-s': 58016, burst: 65520},
        ...tenant,
      },
    ],
  });
}

/** Starts the store, the backend servers of version v1 and the hosts; resolves once all hosts are ready. */
export async function start({atEnd, note}, {state, nameOf = zone => `edge-${zone}-1`, beforeHosts = () => undefined}) {
  const prefix = site.addressPrefix();
  const folder = site.temporaryFolder(atEnd);
  const store = new site.Store();
  atEnd(() => store.close());
  const runners = [];
  /** Starts one backend server in each zone. */
  const startRunners = async (version, options = {}) => {
    const started = [];
    for (const zone of Object.keys(ZONES)) {
      const number = runners.length + 1;
      const runner = new site.Runner({
        ...{id: `i-${version}-${number}`, service: SERVICE, zone, version},
        ...{ip: `${prefix}.${100 + number}`, ...options},
      });
      await runner.start(store);
      atEnd(() => runner.stop());
      runners.push(runner);
      started.push(runner);
    }
    return started;
  };
  const first = await startRunners('v1');
  store.put('op', 'config', state);
  const newHost = async (name, zone, number) => {
    const ip = `${prefix}.${number}`;
    const storeAddress = await store.listenFor(name, ip);
    const host = new site.Host({name, ip, zone, zones: ZONES, folder, storeAddress});
    atEnd(() => host.child?.kill('SIGKILL'));
    return host;
  };
  await beforeHosts({store, newHost, prefix});
  const hosts = [];
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    const host = await newHost(nameOf(zone, i), zone, i + 1);
    host.start();
    hosts.push(host);
  }
  for (const host of hosts) await host.untilReady();
  // Traffic starts 12 s after the machines do at the users' sites; here all is local.
  await site.sleep(3000);
  for (const host of hosts) {
    const answer = await site.send(host.ip, {path: '/look/a', key: KEY});
    if (answer.status !== 200) {
      throw new site.CannotRun(`${host.name} answers ${answer.status}`);
    }
  }
  note('hosts', hosts.map(({name, ip}) => `${name} ${ip}`).join(', '));
  note('look-ups name at the start:');
  for (const host of hosts) note(' ', host.name, (await host.lookup()).join(' '));
  return {store, hosts, runners, first, startRunners};
}

/** Sends requests to the hosts in turn, a third of them idempotent, until `stop` is called; that resolves to what clients saw. */
export function startLoad(hosts, perS, key = KEY) {
  const sent = [];
  let isOver = false;
  const done = (async () => {
    const startMs = site.nowMs();
    for (let i = 0; !isOver; i++) {
      const host = hosts[i % hosts.length];
      const request =
        i % 3 === 0
          ? {path: '/look/a', key}
          : {path: '/post/a', method: 'POST', body: 'x'.repeat(200), key};
      sent.push(site.send(host.ip, request).then(answer => ({...answer, host: host.name})));
      const waitMs = startMs + ((i + 1) * 1000) / perS - site.nowMs();
      if (waitMs > 0) await site.sleep(waitMs);
    }
  })();
  return {
    sent,
    stop: async () => {
      isOver = true;
      await done;
      return Promise.all(sent);
    },
  };
}

/** Counts values. */
export function counts(values) {
  const found = {};
  for (const value of values) found[value] = (found[value] ?? 0) + 1;
  return JSON.stringify(found);
}

/** The rollout lines of the hosts' logs, in order of time. */
export function rolloutLines(hosts) {
  return hosts
    .flatMap(host => host.events('rollout'))
    .map(line => JSON.parse(line))
    .sort((a, b) => a.time - b.time)
    .map(({time, host, to, state, reason}) => `  ${time} ${host} ${to} ${state}: ${reason}`);
}
