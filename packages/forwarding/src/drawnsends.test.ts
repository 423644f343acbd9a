// Sends over own links and through other hosts, to a backend server that refuses, copies its answers and breaks off, drawn at random.

import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import * as fc from 'fast-check';

import type * as headers from './headers.js';
import * as pathsModule from './paths.js';
import * as upstreams from './upstream.js';

const FIRST_SEED = Number(process.env.FIRST_SEED ?? 57);
/** The cases of each lane. */
const RANDOM_RUNS = Number(process.env.RANDOM_RUNS ?? 4);
/** Lanes of cases that are played side by side, each with a seed of its own. */
const LANES = 10;
/** The most time for a case, the search for a smaller counterexample included. */
const CASE_MS = 5000;
const REQUESTS = 4;
const OTHER_HOSTS = 2;
/** Longer than this host's own link is tried alone. */
const SLOW_MS = 200;
const HANG_MS = 100;
const NAMES: headers.HeaderNames = {
  ...{requestId: 'x-id', key: 'x-key', account: 'x-account'},
  ...{remainingMs: 'x-left', expectedServer: 'x-server'},
  ...{serverId: 'x-server-id', signature: 'x-signature'},
  ...{notRun: 'x-not-run', load: 'x-load', lastEventId: 'last-event-id'},
  statements: {
    ...{limit: 'x-limit', leaving: 'x-leaving'},
    ...{brittle: 'x-brittle', retryAfter: 'retry-after'},
  },
  reserved: [],
};

/** Draws records that print as plain objects. */
function record<T extends object>(fields: {
  readonly [K in keyof T]: fc.Arbitrary<T[K]>;
}): fc.Arbitrary<T> {
  return fc.record(fields, {noNullPrototype: true}) as fc.Arbitrary<T>;
}

const LINK = fc.constantFrom(
  ...(['open', 'open', 'open', 'refuse', 'slow', 'hang'] as const),
);
const ARRIVAL = record({
  deed: fc.constantFrom(
    ...(['serve', 'refuse', 'misdirect', 'serve', 'refuse', 'fail'] as const),
    ...(['own-refusal', 'break-before', 'break-after', 'hang'] as const),
  ),
  /** How long the network holds the request back, also after its sender has left. */
  heldMs: fc.constantFrom(0, 0, 0, 30, 150),
  tookMs: fc.nat(30),
  /** `again`: as the request comes again, on any connection. */
  copied: fc.constantFrom(
    ...(['never', 'again', 'later', 'at-once', 'again'] as const),
  ),
  copiedAfterMs: fc.nat(40),
});
const SEND = record({
  request: fc.nat(REQUESTS - 1),
  afterMs: fc.constantFrom(0, 10, 30, 50),
  cancelAfterMs: fc.constantFrom(250, 250, 250, 250, 0, 5, 30, 80),
  isBoundToRegions: fc.boolean(),
});
const RESET = record({afterMs: fc.nat(200), socket: fc.nat(20)});
const LONG = {size: 'max', maxLength: 40} as const;
const CASE = record({
  sends: fc.array(SEND, {...LONG, minLength: 1}),
  /** What the server does with its requests, in the order of arrival; it serves the rest. */
  arrivals: fc.array(ARRIVAL, LONG),
  /** How the links are as they are opened; the rest are open. */
  ownLinks: fc.array(LINK, LONG),
  otherLinks: fc.array(LINK, LONG),
  resets: fc.array(RESET, {maxLength: 5}),
});

type Value<T> = T extends fc.Arbitrary<infer V> ? V : never;
type Arrival = Value<typeof ARRIVAL>;
type Send = Value<typeof SEND>;
type Link = Value<typeof LINK>;
type Case = Value<typeof CASE>;

const SERVED: Arrival = {
  ...{deed: 'serve', heldMs: 0, tookMs: 10, copied: 'never', copiedAfterMs: 0},
};

/** What the cases of a test met. */
class Met {
  refusals = 0;
  copies = 0;
  /** Copies that were written while a request was under way on their connection. */
  copiesUnderWay = 0;
  /** Requests that came again after a refusal. */
  repeats = 0;
  carried = 0;
  readonly results = new Map<string, number>();
}

/** How a link ends the lookup of its address, and with that begins to connect. */
const LINKS: Readonly<
  Record<Link, (done: (error: Error | null) => void) => void>
> = {
  open: done => done(null),
  refuse: done => done(new Error('refused')),
  slow: done => void setTimeout(() => done(null), SLOW_MS),
  hang: () => undefined,
};

function connect(port: number, link: Link): net.Socket {
  return net.connect({
    ...{host: 'server', port, autoSelectFamily: false, allowHalfOpen: true},
    lookup: (_, __, callback) =>
      LINKS[link](error => callback(error, '127.0.0.1', 4)),
  });
}

/** One request at the server, on a connection. */
interface Exchange {
  readonly id: string;
  readonly attempt: number;
  readonly arrival: Arrival;
  readonly answer: (status: number, ...headers: readonly string[]) => void;
  readonly breakOff: () => void;
}

/** The server of a case, and what arrives there. */
class Play {
  /** The attempts that ran. */
  readonly ran = new Set<number>();
  /** The requests that one connection carried twice. */
  readonly carriedTwice: string[] = [];
  readonly server: net.Server;
  readonly sockets: net.Socket[] = [];
  private readonly refused = new Set<string>();
  /** Copies to be written as their request comes again. */
  private readonly owed = new Map<string, (() => void)[]>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly arrivals: Arrival[];

  constructor(
    {arrivals}: Case,
    private readonly met: Met,
  ) {
    this.arrivals = [...arrivals];
    this.server = net.createServer({noDelay: true}, socket =>
      this.onConnection(socket),
    );
  }

  /** Does `task` after a delay; `settle` waits for it. */
  later(ms: number, task: () => void): void {
    const done = timers.setTimeout(ms).then(task);
    this.tasks.add(done);
    void done.finally(() => this.tasks.delete(done));
  }

  async settle(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
  }

  private onConnection(socket: net.Socket): void {
    const carried = new Set<string>();
    let underWay = 0;
    const write = (text: string, isCopy: boolean) => {
      if (socket.destroyed) return;
      if (isCopy) this.met.copies++;
      if (isCopy && underWay > 0) this.met.copiesUnderWay++;
      socket.write(text);
    };
    socket.on('error', () => undefined);
    // Each head arrives in one read.
    socket.on('data', data => {
      const head = String(data);
      if (!head.startsWith('GET /request')) {
        return void socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      }
      const value = (name: string) =>
        new RegExp(`^${name}: (.*)\r$`, 'm').exec(head)?.[1] ?? '';
      const id = value('X-Id');
      const attempt = Number(value('X-Attempt'));
      if (carried.has(id)) this.carriedTwice.push(id);
      carried.add(id);
      underWay++;
      if (this.refused.has(id)) this.met.repeats++;
      for (const copy of this.owed.get(id) ?? []) copy();
      this.owed.delete(id);
      const arrival = this.arrivals.shift() ?? SERVED;
      const exchange: Exchange = {
        ...{id, attempt, arrival, breakOff: () => socket.destroy()},
        answer: (status, ...lines) => {
          const body = `ran ${attempt}`;
          const fields = [`X-Id: ${id}`, `Content-Length: ${body.length}`];
          const answer = [`HTTP/1.1 ${status} Drawn`, ...fields, ...lines];
          const text = `${answer.join('\r\n')}\r\n\r\n${body}`;
          underWay--;
          const copy = () => write(text, true);
          const copies: Readonly<Record<Arrival['copied'], () => void>> = {
            never: () => write(text, false),
            again: () => {
              write(text, false);
              this.owed.set(id, [...(this.owed.get(id) ?? []), copy]);
            },
            later: () => {
              write(text, false);
              this.later(arrival.copiedAfterMs, copy);
            },
            'at-once': () => write(text + text, true),
          };
          copies[arrival.copied]();
        },
      };
      this.later(arrival.heldMs, () => DEEDS[arrival.deed](exchange, this));
    });
    socket.on('end', () => socket.end());
  }

  /** Runs a request and does `end` when it has run. */
  run({attempt, arrival}: Exchange, end: () => void): void {
    this.ran.add(attempt);
    this.later(arrival.tookMs, end);
  }

  refuse({id, arrival}: Exchange, answer: () => void): void {
    this.later(arrival.tookMs, () => {
      this.met.refusals++;
      this.refused.add(id);
      answer();
    });
  }
}

const DEEDS: Readonly<
  Record<Arrival['deed'], (exchange: Exchange, play: Play) => void>
> = {
  serve: (exchange, play) => play.run(exchange, () => exchange.answer(200)),
  fail: (exchange, play) => play.run(exchange, () => exchange.answer(500)),
  'own-refusal': (exchange, play) =>
    play.run(exchange, () => exchange.answer(503)),
  refuse: (exchange, play) =>
    play.refuse(exchange, () => exchange.answer(503, 'X-Not-Run: 1')),
  misdirect: (exchange, play) =>
    play.refuse(exchange, () => exchange.answer(421)),
  'break-before': ({breakOff}) => breakOff(),
  'break-after': (exchange, play) => play.run(exchange, exchange.breakOff),
  hang: (exchange, play) =>
    play.later(HANG_MS, () => play.run(exchange, () => undefined)),
};

/** Returns paths to the server over links as they are drawn. */
function pathsTo(
  port: number,
  {ownLinks, otherLinks}: Case,
  {sockets}: Play,
  met: Met,
): pathsModule.Paths {
  const open = (links: Link[]) => {
    const socket = connect(port, links.shift() ?? 'open');
    sockets.push(socket);
    return socket;
  };
  const [own, others] = [[...ownLinks], [...otherLinks]];
  return new pathsModule.Paths({
    clock: decisions.clock.systemClock,
    carriers: {
      open: (_, tried) => {
        if (tried.size === OTHER_HOSTS) return undefined;
        const host = `h${tried.size}`;
        const idle = {startIdle: () => 0, stopIdle: () => 0};
        const connection = Object.assign(open(others), {
          carrier: host,
          ...idle,
        });
        connection.once('connect', () => met.carried++);
        return {host, connection};
      },
      failureOf: () => 'unreachable',
    },
    ...{isListed: () => true, healthPathOf: () => '/health'},
    connect: () => open(own),
    onChange: () => undefined,
  });
}

/** Plays a case; throws if a verdict is untrue or a connection carries a request twice. */
async function playCase(drawn: Case, met: Met): Promise<void> {
  const play = new Play(drawn, met);
  const {server, sockets} = play;
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const paths = pathsTo(port, drawn, play, met);
  paths.start();
  const upstream = new upstreams.Upstream(NAMES, paths);
  const carriedBy = Array.from({length: REQUESTS}, () => new WeakSet());
  const send = async ({request, ...each}: Send, attempt: number) => {
    const id = `r${request}`;
    const outbound = {
      ...{address: `127.0.0.1:${port}`, method: 'GET', path: '/request'},
      headers: ['X-Id', id, 'X-Attempt', String(attempt)],
      ...{body: Buffer.alloc(0), requestId: id, carriedBy: carriedBy[request]},
      ...(each.isBoundToRegions && {allowedRegions: ['r']}),
    };
    const signal = AbortSignal.timeout(each.cancelAfterMs);
    const result = await upstream.send(outbound, signal);
    const body =
      result.kind === 'answer' ? await upstreams.readBody(result) : undefined;
    return {attempt, result, body: body?.toString()};
  };
  const reset = async () => {
    for (const {afterMs, socket} of drawn.resets) {
      await timers.setTimeout(afterMs);
      const open = sockets.filter(({destroyed}) => !destroyed);
      open[socket % open.length]?.destroy(new Error('reset'));
    }
  };
  try {
    const sent = [];
    const resets = reset();
    for (const [attempt, each] of drawn.sends.entries()) {
      await timers.setTimeout(each.afterMs);
      sent.push(send(each, attempt));
    }
    const ended = await Promise.all([...sent]);
    await resets;
    await play.settle();
    for (const {attempt, result, body} of ended) {
      const hasRun = play.ran.has(attempt);
      const isFailed = result.kind === 'failed';
      const verdict = isFailed ? `${result.verdict} ${result.cause}` : 'answer';
      const seen = `${verdict} for attempt ${attempt}, which ${hasRun ? 'ran' : 'did not run'}`;
      met.results.set(verdict, (met.results.get(verdict) ?? 0) + 1);
      const isNotRun = isFailed && result.verdict === 'not-run';
      assert.ok(!(isNotRun && hasRun), seen);
      assert.ok(isFailed || hasRun, seen);
      assert.ok(body === undefined || body === `ran ${attempt}`, seen);
    }
    assert.deepEqual(play.carriedTwice, [], 'carried twice by a connection');
  } finally {
    paths.stop();
    upstream.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

// Guards against "not run" for an attempt that ran, and against a connection that carries a request twice, whatever links and copies there are (TWICE, REFUSED).
test.test('whatever links and copies do, verdicts are true', async () => {
  const met = new Met();
  const lanes = Array.from({length: LANES}, (_, lane) =>
    fc.assert(
      fc.asyncProperty(CASE, drawn => playCase(drawn, met)),
      {
        ...{seed: FIRST_SEED + lane, numRuns: RANDOM_RUNS},
        ...{includeErrorInReport: true, markInterruptAsFailure: true},
        interruptAfterTimeLimit: RANDOM_RUNS * CASE_MS,
      },
    ),
  );
  const ended = await Promise.allSettled(lanes);
  console.log(JSON.stringify({...met, results: [...met.results].sort()}));
  for (const lane of ended) if (lane.status === 'rejected') throw lane.reason;
  const cases = LANES * RANDOM_RUNS;
  assert.ok(met.refusals >= cases, 'too few refusals');
  assert.ok(met.repeats >= cases, 'too few requests came again');
  assert.ok(met.carried >= cases, 'too few links through other hosts');
  assert.ok(met.copies >= cases, 'too few copies');
  assert.ok(met.copiesUnderWay > 0, 'no copy met a request');
});
