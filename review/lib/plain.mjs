// A plain service behind a small deployment, with a platform that rolls out
// another version as PROTOCOL.md tells ("The operator's API").
import {bound, send, sleep} from './site.mjs';

export const AUTHORITY = 'ledger.example';
export const SERVICE = 'ledger';
export const KEY = 'key-of-tenant-a';
const TIMEOUT_MS = 1200;
const WORK_MS = 20;

/** The desired state: one idempotent route to the service. */
export function desiredState(version, routes = []) {
  const route = {
    ...{name: 'look', authority: AUTHORITY, 'path-prefix': '/look/'},
    ...{service: SERVICE, 'route-kind': 'idempotent', 'max-attempts': 2},
    ...{'timeout-ms': TIMEOUT_MS, 'target-latency-ms': 243, priority: 0},
  };
  return JSON.stringify({
    version,
    'route-table': [route, ...routes],
    services: [{name: SERVICE, 'max-connections': 100}],
    limits: {
      ...{'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304},
      ...{'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000},
    },
    tenants: [
      {name: 'tenant-a', 'api-keys': [KEY], 'rate-per-s': 0, burst: 0},
    ],
  });
}

/** Starts a runner of a version in a zone; it fails half of the requests for which `isBad(path)` is true. */
export function addRunner(site, id, version, zone, isBad = () => false) {
  let count = 0;
  const fields = {id, service: SERVICE, zone, version, capacity: 6};
  return site.addRunner(fields, (request, response, _, runner) => {
    const isFailure = isBad(request.url) && ++count % 2 === 0;
    setTimeout(() => {
      const status = isFailure ? 500 : 200;
      site.onRunnerAnswer?.(runner, status, request);
      const body = `${status} of ${runner.id}`;
      response.writeHead(status, {'Content-Length': body.length});
      response.end(body);
    }, WORK_MS);
  });
}

/**
 * The platform's side of a rollout: starts the new runners with the order,
 * stops the old ones at once at `completed`, and drains the new ones some
 * seconds after `reverted` if that is still the state then.
 */
export class Rollout {
  /** The states in the order in which the system wrote them. */
  states = [];
  #drainAfterMs = 4000;

  constructor(site, from, to, durationS) {
    Object.assign(this, {site, from, to, durationS});
    site.store.onWrite = (table, key, text, writer) => {
      if (writer !== 'system' || table !== 'status') return;
      if (key === `rollout/${SERVICE}`) this.#onStatus(JSON.parse(text));
    };
  }

  get state() {
    return this.states.at(-1);
  }

  /** Starts `runners()` and writes the order. */
  async order(startRunners) {
    const text = {service: SERVICE, to: this.to, 'duration-s': this.durationS};
    this.site.store.put('op', `rollout/${SERVICE}`, JSON.stringify(text));
    this.orderedMs = performance.now();
    this.site.record('order', text);
    await startRunners();
  }

  #onStatus({state, to}) {
    this.states.push(state);
    this.site.record('status', {state, to});
    if (to !== this.to) return;
    if (state === 'completed') {
      for (const runner of this.#of(this.from)) runner.stop();
    }
    if (state !== 'reverted') return;
    setTimeout(() => {
      if (this.state !== 'reverted') return;
      for (const runner of this.#of(this.to)) void runner.drain();
    }, this.#drainAfterMs);
  }

  #of(version) {
    return this.site.runners.filter(
      runner => runner.version === version && !runner.isGone,
    );
  }
}

/** Sends requests at a rate to hosts in turn until `stop()`; keeps what was answered. */
export class Load {
  outcomes = [];
  #isStopped = false;
  #next = 0;

  /** `hosts()` returns the hosts that clients use now, `prefixOf(i)` the route of a request. */
  constructor(site, perS, hosts, prefixOf = () => '/look/') {
    Object.assign(this, {site, hosts, prefixOf});
    this.done = this.#run(perS);
  }

  async #run(perS) {
    const calls = [];
    const startMs = performance.now();
    for (let i = 0; !this.#isStopped; i++) {
      const dueMs = startMs + (i * 1000) / perS;
      await sleep(Math.max(0, dueMs - performance.now()));
      calls.push(this.#send());
    }
    await Promise.all(calls);
  }

  async stop() {
    this.#isStopped = true;
    await this.done;
  }

  async #send() {
    const id = `r${++this.#next}`;
    const hosts = this.hosts();
    const host = hosts[this.#next % hosts.length];
    const sentMs = performance.now();
    const outcome = {id, host: host.name, sentMs, status: 0};
    this.outcomes.push(outcome);
    this.site.record('sent', {id, host: host.name});
    const answer = await send({
      port: host.callerPort,
      path: `${this.prefixOf(this.#next)}${id}`,
      headers: {
        Host: AUTHORITY,
        'X-Banyanhall-Request-Id': id,
        'X-Banyanhall-Key': KEY,
        'X-Banyanhall-Deadline-Ms': String(TIMEOUT_MS),
      },
      timeoutMs: TIMEOUT_MS + 300,
    });
    outcome.status = answer.status;
    outcome.isServed =
      answer.status === 200 &&
      answer.headers['x-banyanhall-upstream-signature'] !== undefined;
    this.site.record('answer', {id, status: answer.status});
  }
}

/** The share of the requests sent from `fromMs` to `toMs` that were served. */
export function servedShare(outcomes, fromMs, toMs) {
  const sent = outcomes.filter(
    ({sentMs}) => sentMs >= fromMs && sentMs < toMs,
  );
  return sent.filter(({isServed}) => isServed).length / Math.max(1, sent.length);
}

export const RECOVERY_MS = bound('recovery-s') * 1000;
