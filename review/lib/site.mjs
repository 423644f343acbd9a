// A small deployment on loopback: host processes of the deploy file, and
// stand-ins for the store, the runners and the clients.
import childProcess from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';

import {Store} from './store.mjs';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** The bounds of the site file sites/tray-loop.toml, as DEPLOY.md prints them. */
const BOUNDS = {
  'seed-staleness-s': 3,
  'addr-reuse-s': 2,
  'connected-ms': 3000,
  'ack-timeout-ms': 4000,
  'sync-s': 4,
  'drain-ms': 2500,
  'grace-s': 8,
  'skew-ms': 200,
  'propagation-ms': 2500,
  'downgrade-ms': 250,
  'partition-max-ms': 5000,
  'fail-closed': false,
  'revocation-ms': 5000,
  'retry-budget': 0.2,
  'budget-window-s': 10,
  'budget-slack': 54,
  'quota-window-s': 8,
  'quota-overshoot': 0.1,
  'quota-tolerance': 190000,
  'canary-share': 0.1,
  'canary-tolerance': 50,
  'rollback-ms': 5000,
  'recovery-s': 12,
  'stream-lag-ms': 200,
  'retry-after-s': 10,
  ttl_max_s: 5,
};
export const bound = name => BOUNDS[name];

const FIRST_PORT = 10_000;
let nextPort = FIRST_PORT + ((process.pid * 97) % 18_000);

/** Returns ports of loopback that are free now, one after the other. */
async function freePorts(count) {
  for (;;) {
    const first = nextPort;
    nextPort += count;
    if (nextPort > 29_000) nextPort = FIRST_PORT;
    const ports = Array.from({length: count}, (_, i) => first + i);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) return ports;
  }
}

function isFree(port) {
  const server = net.createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** A host: one process of the role in the deploy file, started again by `start` after its end. */
export class HostProcess {
  child = undefined;
  lines = [];

  constructor(site, name, ports, folder) {
    Object.assign(this, {site, name, ports, folder});
    this.settings = path.join(folder, `${name}.conf`);
  }

  start() {
    const [command, ...args] = this.site.command;
    this.child = childProcess.spawn(command, args, {
      cwd: ROOT,
      env: {
        ...{PATH: process.env.PATH, HOME: process.env.HOME},
        BANYANHALL_BOOT: this.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    readline.createInterface({input: child.stdout}).on('line', line => {
      fs.appendFileSync(path.join(this.folder, `${this.name}.log`), `${line}\n`);
      let event;
      try {
        event = JSON.parse(line);
      } catch {
        return;
      }
      this.site.onLog(this.name, event);
    });
    child.stderr.on('data', () => undefined);
    this.ended = new Promise(resolve => child.once('exit', resolve));
  }

  get callerPort() {
    return this.ports[0];
  }

  /** True when the host's readiness check is answered with 200. */
  async isReady() {
    const answer = await send({
      port: this.ports[1],
      path: '/api/readyz',
      timeoutMs: 1000,
    });
    return answer.status === 200;
  }

  async waitUntilReady(withinMs = 15_000) {
    const endMs = performance.now() + withinMs;
    while (!(await this.isReady())) {
      if (performance.now() > endMs) {
        throw new CantRun(`${this.name} is not ready`);
      }
      await sleep(50);
    }
  }

  signal(name) {
    this.child.kill(name);
  }

  async kill() {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}

/** Thrown when the case can't run; the script exits with 2. */
export class CantRun extends Error {}

/** A runner: an HTTP server that registers itself in the store and counts what it runs. */
export class Runner {
  isGone = false;
  #server;
  #sequence = 0;
  #timer;

  /** `serve(request, response, body, runner)` handles a request; by default all are answered after `workMs`. */
  constructor(site, fields, serve) {
    Object.assign(this, {site, serve}, fields);
    this.state = 'healthy';
    this.active = 0;
    this.#server = http.createServer({keepAlive: true}, (request, response) => {
      void this.#onRequest(request, response);
    });
    this.#server.keepAliveTimeout = 15_000;
  }

  async register() {
    await new Promise(resolve =>
      this.#server.listen(0, '127.0.0.1', resolve),
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.born = Date.now();
    this.write();
    this.#timer = setInterval(() => this.write(), 1200);
  }

  write() {
    if (this.isGone) return;
    const {service, address, zone, version, capacity, state, born} = this;
    const entry = {service, address, zone, version, capacity, state, born};
    this.site.store.put(
      'servers',
      this.id,
      JSON.stringify({
        ...entry,
        ...{'warmup-left-ms': 0, sequence: ++this.#sequence},
      }),
    );
  }

  /** Reports `draining`, serves on for drain-ms and a little longer, and leaves. */
  async drain() {
    this.state = 'draining';
    this.write();
    await sleep(bound('drain-ms') + 500);
    this.stop();
  }

  /** Ends at once. */
  stop() {
    if (this.isGone) return;
    this.isGone = true;
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    this.site.store.put('servers', this.id, undefined);
  }

  async #onRequest(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const id = request.headers['x-banyanhall-request-id'] ?? '';
    response.setHeader('X-Banyanhall-Request-Id', id);
    response.setHeader('X-Banyanhall-Endpoint-Id', this.id);
    response.setHeader('Keep-Alive', 'timeout=15');
    if (request.url === '/healthz') {
      return void response
        .writeHead(this.state === 'healthy' ? 200 : 503)
        .end();
    }
    const expected = request.headers['x-banyanhall-expected-endpoint'];
    if (expected !== undefined && expected !== this.id) {
      return void response.writeHead(421, {'Content-Length': 0}).end();
    }
    if (this.active >= this.capacity + (this.queue ?? 24)) {
      response.setHeader('X-Banyanhall-Not-Executed', '1');
      return void response.writeHead(503, {'Content-Length': 0}).end();
    }
    this.active++;
    response.once('close', () => this.active--);
    const signature = `${this.id}.${id}`;
    response.setHeader('X-Banyanhall-Upstream-Signature', signature);
    const running = Math.min(this.active, this.capacity);
    const waiting = this.active - running;
    const load = `${running},${waiting},${this.capacity}`;
    response.setHeader('X-Banyanhall-Endpoint-Load', load);
    this.site.record('run', {id, server: this.id, version: this.version});
    await this.serve(request, response, Buffer.concat(chunks), this);
  }
}

/** Sends one request; status 0 when no whole answer came. */
export function send({port, path: target, method = 'GET', headers, body, timeoutMs, agent}) {
  return new Promise(resolve => {
    let status = 0;
    const request = http.request(
      {
        ...{host: '127.0.0.1', port, path: target, method, headers},
        agent: agent ?? false,
        signal: AbortSignal.timeout(timeoutMs),
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          status = response.complete ? response.statusCode : 0;
          const text = Buffer.concat(chunks).toString();
          resolve({status, text, headers: response.headers});
        });
      },
    );
    request.on('error', error =>
      resolve({status: 0, text: String(error.code ?? error), headers: {}}),
    );
    request.end(body);
  });
}

/** A deployment of host processes with stand-ins. */
export class Site {
  store = new Store();
  hosts = [];
  runners = [];
  onLog = () => {};
  #startMs = performance.now();
  #recordFile;

  constructor(caseFolder) {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'case-'));
    this.#recordFile = fs.openSync(path.join(caseFolder, 'record.txt'), 'w');
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  }

  /** Seconds since the start. */
  get nowS() {
    return (performance.now() - this.#startMs) / 1000;
  }

  /** Writes one line to record.txt. */
  record(kind, fields = {}) {
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    fs.writeSync(this.#recordFile, `${this.nowS.toFixed(3)} ${kind} ${text}\n`);
  }

  /** Adds a host in `zone`; each has a path of its own to the store. */
  async addHost(name, zone = 'zagazig-a', zones = {[zone]: 'delta-east'}) {
    const ports = await freePorts(6);
    const host = new HostProcess(this, name, ports, this.folder);
    const at = i => `127.0.0.1:${ports[i]}`;
    const storeAddress = await this.store.listen(name);
    const lines = [
      `node-id=${name}`,
      'role=host\nnode-class=edge\nserves=edge,registry\nip=127.0.0.1',
      `zone=${zone}\nregion=${zones[zone]}`,
      ...Object.entries(zones).map(([z, r]) => `zones.${z}=${r}`),
      `bind.ingress=${at(0)}\nbind.readiness=${at(1)}\nbind.registry=${at(2)}`,
      `bind.admin=${at(5)}\ninternal-ports=${ports[3]},${ports[4]}`,
      'seed-nodes=\nbootstrap=true\ncounts-as-loss=false',
      'limits.cpu-quota=0.675\nlimits.cpus=1\nlimits.memory-mb=350',
      'limits.max-fds=4100\nlimits.bandwidth-mbps=1000.0\nlimits.disk-mb=0',
      'discovery=platform\ningress-kind=registry\nheartbeat-ms=1200',
      'fault-tolerance.host-count=1\nfault-tolerance.zones=0',
      ...Object.entries(BOUNDS).map(([n, value]) => `bounds.${n}=${value}`),
      `provider.address=${storeAddress}`,
      'provider.form=table\nprovider.writes-per-s=400',
      'provider.reads-per-s=2000\nprovider.retention-s=20',
    ];
    fs.writeFileSync(host.settings, `${lines.join('\n')}\n`);
    this.hosts.push(host);
    return host;
  }

  async addRunner(fields, serve) {
    const runner = new Runner(this, fields, serve);
    this.runners.push(runner);
    await runner.register();
    return runner;
  }

  /** Ends all processes that this site started. */
  async stop() {
    for (const {child} of this.hosts) {
      if (!child || child.exitCode !== null || child.signalCode !== null) {
        continue;
      }
      child.kill('SIGKILL');
    }
    await Promise.all(this.hosts.map(host => host.ended));
    for (const runner of this.runners) runner.stop();
    this.store.close();
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Runs a case: `play(site, isTroubled)` resolves to a text if the rule was broken, or to undefined. Exits with 1, 0 or 2. */
export async function main(metaUrl, play) {
  const caseFolder = path.dirname(fileURLToPath(metaUrl));
  const isTroubled = process.env.TROUBLE !== '0';
  const site = new Site(caseFolder);
  let status = 2;
  const giveUp = setTimeout(() => {
    console.log('the case took too long');
    for (const {child} of site.hosts) child?.kill('SIGKILL');
    process.exit(2);
  }, 118_000);
  for (const name of ['SIGTERM', 'SIGINT', 'uncaughtException']) {
    process.once(name, reason => {
      for (const {child} of site.hosts) child?.kill('SIGKILL');
      console.log(reason.stack ?? reason);
      process.exit(2);
    });
  }
  try {
    const broken = await play(site, isTroubled);
    status = broken === undefined ? 0 : 1;
    const text = broken === undefined ? 'rule held' : `rule broken: ${broken}`;
    site.record('verdict', {text});
    console.log(text);
  } catch (error) {
    site.record('cannot-run', {error: error.stack ?? error});
    console.log(error.stack ?? error);
  }
  await site.stop();
  clearTimeout(giveUp);
  process.exit(status);
}
