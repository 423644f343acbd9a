import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import * as fc from 'fast-check';

import * as keepers from './keeper.js';
import * as slotsModule from './slots.js';
import * as timelines from './timeline.js';

const SEED = 20261204;
const RUNS = 60;
const ZONES = ['z1', 'z2', 'z3'];
const SERVERS_EACH = 6;

interface TestHost {
  readonly name: string;
  readonly keeper: keepers.Keeper;
  readonly slots: slotsModule.Slots;
}

/** A message between test hosts. */
interface Sent {
  readonly from: string;
  readonly to: string;
  readonly item: peers.messages.Message;
}

const ACCOUNT: decisions.config.Account = {
  name: 'a',
  keySha256: '',
  profiles: [],
  maxInFlight: 1,
  weight: 1,
};

/** A service with a cell in each of three zones. */
const SERVICE: decisions.config.Service = {
  name: 's',
  kind: 'model',
  version: 'v1',
  fencing: 'checked',
  backendServers: ZONES.flatMap(zone =>
    Array.from({length: SERVERS_EACH}, (_, i) => ({
      name: `${zone}-${i}`,
      url: 'http://none',
      region: 'r',
      zone,
      slotTokens: 1000,
      maxRunning: 1,
    })),
  ),
};

/** Hosts that exchange messages in order through one queue, on a clock set by the test. */
class TestFleet {
  readonly clock = new decisions.clock.FakeClock(0);
  readonly hosts = new Map<string, TestHost>();
  members: readonly decisions.membership.Member[];
  service = SERVICE;
  /** The service as hosts see it that have not yet read its last change. */
  readonly serviceSeenBy = new Map<string, decisions.config.Service>();
  private readonly queue: Sent[] = [];

  constructor(names: readonly string[]) {
    this.members = names.map((host, i) => ({
      host,
      region: 'r',
      zone: ZONES[i % ZONES.length],
      callerUrl: '',
      peerAddress: '',
      incarnation: 1,
      state: 'serving',
    }));
    for (const name of names) this.hosts.set(name, this.host(name));
    for (const {slots} of this.hosts.values()) slots.onMembers();
    this.deliver();
    this.clock.advance(decisions.cell.RECOVERY_MS);
  }

  /** Delivers messages until none is left. */
  deliver(): void {
    for (;;) {
      const sent = this.queue.shift();
      if (!sent) return;
      const host = this.hosts.get(sent.to);
      if (host) receive(host, sent);
    }
  }

  /** Removes a host; the others detect it at once. */
  kill(name: string): void {
    this.hosts.delete(name);
    this.members = this.members.filter(member => member.host !== name);
    for (const {keeper, slots} of this.hosts.values()) {
      keeper.onHostGone(name);
      slots.onMembers();
    }
    this.deliver();
  }

  /** The number of tickets that wait in any cell with a lower tier than `tier`. */
  waitingBelow(tier: number): number {
    let count = 0;
    for (const {keeper} of this.hosts.values()) {
      for (const ticket of keeper.waitingTickets()) {
        if (ticket.tier > tier) count++;
      }
    }
    return count;
  }

  private host(name: string): TestHost {
    const router = {
      send: (to: string, item: peers.messages.Message) => {
        this.queue.push({from: name, to, item});
        return true;
      },
    };
    const zone = this.members.find(m => m.host === name)?.zone ?? '';
    const common = {
      host: name,
      clock: this.clock,
      router: router as never,
      timeline: new timelines.Timeline(name),
      config: () =>
        decisions.config.Config.restore(1, [
          {
            ...{entry: 'service', name: this.service.name},
            value: this.serviceSeenBy.get(name) ?? this.service,
          },
        ]),
      serving: () => this.members,
    };
    const none = {} as never;
    return {
      name,
      keeper: new keepers.Keeper({...common, backends: none, serverList: none}),
      slots: new slotsModule.Slots({...common, region: 'r', zone}),
    };
  }
}

function receive({keeper, slots}: TestHost, {from, item}: Sent): void {
  const handlers: Partial<Record<string, () => void>> = {
    ask: () => keeper.onAsk(from, item.body as never),
    withdraw: () => keeper.onWithdraw(from, item.body as never),
    done: () => keeper.onDone(from, item.body as never),
    hold: () => keeper.onHold(from, item.body as never),
    grant: () => slots.onGrant(from, item.body as never),
    refuse: () => slots.onRefuse(from, item.body as never),
  };
  handlers[item.kind]?.();
}

/** Leaves the servers of these zones in the service of all hosts, as when others are evacuated. */
function keepZones(fleet: TestFleet, zones: readonly string[]): void {
  const {backendServers} = fleet.service;
  fleet.service = {
    ...fleet.service,
    backendServers: backendServers.filter(({zone}) => zones.includes(zone)),
  };
  for (const {keeper, slots} of fleet.hosts.values()) {
    keeper.onConfig();
    slots.onMembers();
  }
  fleet.deliver();
}

/** A slot request of a test and its result, once it has one. */
interface TestRequest {
  readonly id: string;
  readonly host: TestHost;
  readonly tier: number;
  grant?: slotsModule.Grant;
  failure?: string;
}

let serial = 0;

/** Requests a slot through a host and records the result when it arrives. */
function ask(
  fleet: TestFleet,
  host: TestHost,
  tier: decisions.config.Tier,
  leftMs: number,
  outputTokens = 100,
  signal = new AbortController().signal,
): TestRequest {
  serial++;
  const asked: TestRequest = {id: `r${serial}`, host, tier};
  const slotRequest = {
    requestId: asked.id,
    service: fleet.serviceSeenBy.get(host.name) ?? SERVICE,
    account: ACCOUNT,
    tier,
    deadlineMs: fleet.clock.monotonicMs() + leftMs,
    promptTokens: 10,
    outputTokens,
    chain: [],
    version: '',
    isSuspect: false,
  };
  void host.slots.acquire(slotRequest, signal).then(
    grant => {
      asked.grant = grant;
    },
    (error: decisions.verdict.FailureError) => {
      asked.failure = error.failure.type;
    },
  );
  return asked;
}

/** Returns the host at an index, which wraps around. */
function hostAt(fleet: TestFleet, index: number): TestHost {
  const hosts = [...fleet.hosts.values()];
  return hosts[index % hosts.length];
}

const settled = () => new Promise(resolve => setImmediate(resolve));

const NAMES = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];

test.test(
  'an idle fleet grants a slot at once in the zone of the host',
  async () => {
    const fleet = new TestFleet(NAMES);
    const asked = ask(fleet, hostAt(fleet, 0), 3, 60_000);
    fleet.deliver();
    await settled();
    assert.equal(asked.grant?.server.zone, 'z1');
  },
);

test.test(
  'a request is refused only after every cell has shed lower tiers',
  async () => {
    const fleet = new TestFleet(NAMES);
    const low: TestRequest[] = [];
    for (let i = 0; i < 60; i++) {
      low.push(ask(fleet, hostAt(fleet, i), 3, 60_000));
      fleet.deliver();
    }
    await settled();
    assert.ok(low.filter(each => !each.grant && !each.failure).length > 10);
    const high = ask(fleet, hostAt(fleet, 0), 1, 2800);
    fleet.deliver();
    await settled();
    assert.equal(high.failure, 'overloaded');
    assert.equal(fleet.waitingBelow(1), 0);
  },
);

test.test('a caller that has already disconnected gets no slot', async () => {
  const fleet = new TestFleet(NAMES);
  const disconnected = AbortSignal.abort();
  const asked = ask(fleet, hostAt(fleet, 0), 2, 60_000, 100, disconnected);
  fleet.deliver();
  await settled();
  assert.equal(asked.failure, 'cancelled');
});

test.test(
  'the last host still grants and releases slots while it leaves',
  async () => {
    const fleet = new TestFleet(['h1']);
    const all: TestRequest[] = [];
    for (let i = 0; i < 30; i++) {
      all.push(ask(fleet, hostAt(fleet, 0), 2, 60_000));
    }
    fleet.deliver();
    fleet.members = [];
    await finishAll(fleet, all);
    assert.ok(all.every(each => each.grant));
  },
);

// Guards against refusals while other servers are free, and slots that stay taken, as hosts read the list at different times.
test.test(
  'a slot on a server that its host does not list is exchanged',
  async () => {
    const fleet = new TestFleet(['h1', 'h2', 'h3', 'h4', 'h5', 'h6']);
    const {backendServers} = SERVICE;
    const key = decisions.celltopology.parseCellName('s@z1');
    const keeper = decisions.celltopology.keeperOf(key, fleet.members);
    const [behind, ahead] = keeper === 'h1' ? ['h4', 'h1'] : ['h1', 'h4'];
    const listed = backendServers.filter(({name}) => name !== 'z1-0');
    fleet.serviceSeenBy.set(behind, {...SERVICE, backendServers: listed});
    const askMany = async (name: string, count: number) => {
      const host = fleet.hosts.get(name) ?? hostAt(fleet, 0);
      const all = Array.from({length: count}, () =>
        ask(fleet, host, 1, 10_000),
      );
      fleet.deliver();
      await settled();
      return all.map(({grant, failure}) => failure ?? grant?.server.name);
    };
    const granted = await askMany(behind, 5);
    assert.deepEqual(granted.sort(), ['z1-1', 'z1-2', 'z1-3', 'z1-4', 'z1-5']);
    assert.deepEqual(await askMany(ahead, 1), ['z1-0']);
  },
);

// Guards against grants of a new backend server that were lost until the request was repeated.
test.test('a server that is added takes a waiting request', async () => {
  const fleet = new TestFleet(['h1']);
  const all: TestRequest[] = [];
  for (let i = 0; i < 40; i++) {
    all.push(ask(fleet, hostAt(fleet, 0), 2, 60_000));
  }
  fleet.deliver();
  await settled();
  const granted = () => all.filter(each => each.grant).length;
  const before = granted();
  assert.ok(before < all.length);
  const added = {...SERVICE.backendServers[0], name: 'z1-added'};
  const backendServers = [...SERVICE.backendServers, added];
  fleet.service = {...SERVICE, backendServers};
  hostAt(fleet, 0).keeper.onConfig();
  fleet.deliver();
  await settled();
  assert.equal(granted(), before + 1);
});

/** Releases granted slots until no more are granted. */
async function finishAll(fleet: TestFleet, all: readonly TestRequest[]) {
  const done = new Set<TestRequest>();
  for (;;) {
    fleet.deliver();
    await settled();
    const ready = all.filter(each => each.grant && !done.has(each));
    if (ready.length === 0) return;
    for (const each of ready) {
      done.add(each);
      each.host.slots.done(each.id, {kind: 'cancelled'});
    }
  }
}

test.test(
  'waiting requests are granted by the next keeper when theirs is lost',
  async () => {
    const fleet = new TestFleet(NAMES);
    const all: TestRequest[] = [];
    const host = hostAt(fleet, 0);
    for (let i = 0; i < 30; i++) all.push(ask(fleet, host, 2, 60_000));
    fleet.deliver();
    for (const name of NAMES.slice(1, 5)) fleet.kill(name);
    fleet.clock.advance(decisions.cell.RECOVERY_MS);
    await finishAll(fleet, all);
    assert.ok(all.every(each => each.grant));
  },
);

/** A step of the random test; `kills` is 0 in about one step of a hundred, which then removes a host. */
const step = fc.record({
  host: fc.nat(20),
  tier: fc.constantFrom<decisions.config.Tier>(1, 2, 3),
  leftMs: fc.integer({min: 500, max: 15_000}),
  output: fc.integer({min: 10, max: 400}),
  waitMs: fc.integer({min: 0, max: 300}),
  finishes: fc.nat(3),
  kills: fc.integer({min: 0, max: 99}),
});

test.test(
  'no request is shed while one of a lower tier waits in any cell',
  async () => {
    const property = fc.asyncProperty(
      fc.array(step, {minLength: 30, maxLength: 150}),
      async steps => {
        const fleet = new TestFleet(NAMES);
        const all: TestRequest[] = [];
        for (const s of steps) {
          fleet.clock.advance(s.waitMs);
          if (s.kills === 0 && fleet.hosts.size > 2) {
            fleet.kill(hostAt(fleet, s.host).name);
          }
          const host = hostAt(fleet, s.host);
          const before = new Set(all.filter(each => each.failure));
          all.push(ask(fleet, host, s.tier, s.leftMs, s.output));
          fleet.deliver();
          for (const each of all.filter(a => a.grant).slice(0, s.finishes)) {
            each.host.slots.done(each.id, {kind: 'cancelled'});
            fleet.deliver();
          }
          await settled();
          const refused = all.filter(
            each => each.failure === 'overloaded' && !before.has(each),
          );
          for (const each of refused) {
            assert.equal(fleet.waitingBelow(each.tier), 0, each.id);
          }
        }
      },
    );
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  },
);

// Guards against requests that wait where no backend server is left, for a second or for ever.
test.test('requests that wait in an evacuated zone move', async () => {
  const fleet = new TestFleet(NAMES);
  const host = hostAt(fleet, 0);
  const asked = Array.from({length: 8}, () => ask(fleet, host, 1, 60_000));
  fleet.deliver();
  await settled();
  assert.ok(asked.some(({grant}) => !grant));
  keepZones(fleet, ['z2', 'z3']);
  await settled();
  assert.ok(asked.every(({grant}) => grant));
  const waiting = Array.from({length: 20}, () => ask(fleet, host, 1, 60_000));
  fleet.deliver();
  keepZones(fleet, []);
  await settled();
  const refused = waiting.filter(({grant}) => !grant);
  assert.ok(refused.length > 0);
  assert.ok(refused.every(({failure}) => failure === 'no-backend-server'));
});
