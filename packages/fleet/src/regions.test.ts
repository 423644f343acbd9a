// Restrictions to regions over hosts that exchange messages which may be lost, late or of an older version.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as fallbacks from './fallback.js';
import * as keepers from './keeper.js';
import * as slotsModule from './slots.js';
import * as timelines from './timeline.js';

const REGIONS = ['a', 'b', 'c'];
const TICK_MS = 50;
const TICKS = 160;

type Ticket = peers.messages.Ticket;

/** How messages between hosts are treated. */
interface Network {
  readonly lossShare: number;
  readonly maxDelayMs: number;
  /** The hosts that run a version without the field; the others are new. */
  readonly oldHosts: ReadonlySet<string>;
}

/** A service with servers in zones of their regions: one cell, or with over 16 servers one for each zone. */
function service(serversEach: number): decisions.config.Service {
  const backendServers = REGIONS.flatMap(region =>
    Array.from({length: serversEach}, (_, i) => ({
      ...{name: `${region}${i}`, url: '', region, zone: `z${region}`},
      ...{slotTokens: Infinity, maxRunning: 2},
    })),
  );
  const kind = 'plain' as const;
  const fencing = 'ignored' as const;
  return {name: 's', kind, version: '', fencing, backendServers};
}

/** Removes what a host of an older version does not state or read. */
function withoutRegions(ticket: Ticket): Ticket {
  return {...ticket, allowedRegions: [], hasAllowedRegions: false};
}

function asOld({kind, body}: peers.messages.Message): peers.messages.Message {
  if (kind === 'ask') {
    return {kind, body: {...body, ticket: withoutRegions(body.ticket)}};
  }
  if (kind !== 'hold') return {kind, body} as peers.messages.Message;
  const held = body.held.map(each => ({
    ...{...each, ticket: withoutRegions(each.ticket)},
  }));
  return {kind, body: {...body, held}};
}

/** Plays random slot requests; returns what was granted or refused, and the restriction. */
async function play(
  t: test.TestContext,
  seed: number,
  network: Network,
  pool: decisions.config.Service,
) {
  t.mock.timers.enable({apis: ['setInterval']});
  const random = decisions.random.seeded(seed);
  const clock = new decisions.clock.FakeClock(0);
  let members = Array.from({length: 6}, (_, i) => ({
    ...{host: `h${i}`, region: REGIONS[i % 3], zone: `z${REGIONS[i % 3]}`},
    ...{callerUrl: '', peerAddress: '', incarnation: 1},
    state: 'serving' as const,
  }));
  const due: {atMs: number; deliver: () => void}[] = [];
  const parts = members.map(({host, region, zone}) => {
    const send = (to: string, item: peers.messages.Message) => {
      const isLost = to !== host && random() < network.lossShare;
      const isOld = network.oldHosts.has(host) || network.oldHosts.has(to);
      const delayMs = to === host ? 0 : random() * network.maxDelayMs;
      const message = isOld ? asOld(item) : item;
      const deliver = () => receive(to, host, message);
      if (!isLost) due.push({atMs: clock.monotonicMs() + delayMs, deliver});
      return true;
    };
    const common = {
      ...{host, region, zone, clock, router: {send} as never},
      timeline: new timelines.Timeline(host),
      config: () =>
        decisions.config.Config.restore(1, [
          {entry: 'service', name: 's', value: pool},
        ]),
      serving: () => members,
    };
    const slots: slotsModule.Slots = new slotsModule.Slots({
      ...common,
      chooseWithoutKeeper: slotRequest =>
        fallbacks.chooseServer(slotRequest, {
          ...{region, random, heldOn: server => slots.heldOn(server)},
          limitPerSOf: () => undefined,
        }),
    });
    const serverList = {list: () => Promise.resolve([])};
    const keeper = new keepers.Keeper({...common, serverList} as never);
    return {host, keeper, slots};
  });
  function receive(to: string, from: string, item: peers.messages.Message) {
    const part = parts.find(({host}) => host === to);
    if (!part || !members.some(({host}) => host === to)) return;
    const handlers: Record<string, (from: string, body: never) => void> = {
      ask: (...args) => part.keeper.onAsk(...args),
      withdraw: (...args) => part.keeper.onWithdraw(...args),
      done: (...args) => part.keeper.onDone(...args),
      hold: (...args) => part.keeper.onHold(...args),
      grant: (...args) => part.slots.onGrant(...args),
      refuse: (...args) => part.slots.onRefuse(...args),
      queued: (...args) => part.slots.onQueued(...args),
    };
    handlers[item.kind]?.(from, item.body as never);
  }
  for (const {keeper, slots} of parts) {
    keeper.start();
    slots.start();
    slots.onMembers();
  }
  const results: {
    readonly allowed: readonly string[] | undefined;
    region?: string;
    failure?: string;
  }[] = [];
  for (let tick = 0; tick < TICKS; tick++) {
    if (tick === TICKS / 2) {
      const [gone] = members.splice(Math.floor(random() * 3), 1);
      members = [...members];
      for (const {keeper, slots} of parts) {
        keeper.onHostGone(gone.host);
        slots.onMembers();
      }
    }
    // The last requests have time to end.
    const {host} = members[Math.floor(random() * members.length)];
    const part = parts.find(each => each.host === host);
    if (part && tick < TICKS - 60) {
      const count = 1 + Math.floor(random() * 3);
      const allowed = decisions.random.sample(REGIONS, count, random);
      const result: (typeof results)[number] = {
        allowed: count === 3 ? undefined : allowed,
      };
      results.push(result);
      const abort = new AbortController();
      const slotRequest: slotsModule.SlotRequest = {
        ...{requestId: `${tick}`, service: pool, tier: 2, version: ''},
        account: {
          ...{name: 'a', keySha256: '', profiles: [], maxInFlight: 1},
          weight: 1,
        },
        deadlineMs: clock.monotonicMs() + 1500,
        ...{promptTokens: 0, outputTokens: 10, chain: []},
        ...{isSuspect: random() < 0.1, allowedRegions: result.allowed},
      };
      due.push({
        atMs: slotRequest.deadlineMs,
        deliver: () => abort.abort(new Error('deadline')),
      });
      part.slots.acquire(slotRequest, abort.signal).then(
        ({server, ticketId}) => {
          result.region = server.region;
          const deliver = () => part.slots.done(ticketId, {kind: 'cancelled'});
          due.push({atMs: clock.monotonicMs() + 100, deliver});
        },
        (error: decisions.verdict.FailureError) => {
          result.failure = error.failure.type;
        },
      );
    }
    clock.advance(TICK_MS);
    t.mock.timers.tick(TICK_MS);
    for (;;) {
      due.sort((a, b) => a.atMs - b.atMs);
      if (!(due[0]?.atMs <= clock.monotonicMs())) break;
      due.shift()?.deliver();
      await Promise.resolve();
    }
  }
  for (const {keeper, slots} of parts) {
    keeper.stop();
    slots.stop();
  }
  return results;
}

const SOUND = {lossShare: 0, maxDelayMs: 5, oldHosts: new Set<string>()};
const LOSSY = {...SOUND, lossShare: 0.2, maxDelayMs: 300};
const OLD = {...SOUND, oldHosts: new Set(['h0', 'h1', 'h2', 'h3'])};

// Guards against slots outside the regions of a request, and requests that nobody decides on, as messages are lost or late, keepers move or run an older version.
for (const [name, network] of Object.entries({SOUND, LOSSY, OLD})) {
  for (const serversEach of [2, 6]) {
    for (const seed of [9101, 9102, 9103, 9104]) {
      const title = `slots keep to regions: ${name}, ${3 * serversEach} servers, seed ${seed}`;
      test.test(title, async t => {
        const pool = service(serversEach);
        const results = await play(t, seed, network, pool);
        for (const {allowed, region, failure} of results) {
          assert.ok((region === undefined) !== (failure === undefined));
          if (region === undefined) continue;
          assert.ok(decisions.regions.isAllowed(allowed, region), region);
        }
        const granted = results.filter(each => each.region !== undefined);
        assert.ok(granted.length > 0.9 * results.length, `${granted.length}`);
      });
    }
  }
}
