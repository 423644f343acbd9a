import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import * as forwarding from '@banyanhall/forwarding';

import * as addresses from './addresses.js';
import * as badinputs from './badinputs.js';
import * as dispatchers from './dispatcher.js';
import type * as logs from './logs.js';
import * as metrics from './metrics.js';
import * as regionsModule from './regions.js';
import type * as requests from './request.js';

/** Dispatches a request that may use only region `a` to servers of these zones, whose slots are granted in turn; returns what was sent and given back. */
async function dispatch(zones: readonly string[]) {
  const sent: string[] = [];
  const returned: string[] = [];
  const servers = zones.map((zone, i) => ({name: `s${i}`, zone, region: 'a'}));
  const directory = {
    pool: () => ({backendServers: servers}),
    entry: (id: string) => ({id, zone: zones[Number(id[1])]}),
  };
  let grants = 0;
  const slots = {
    acquire: () => {
      const server = servers[grants++];
      const failure = decisions.verdict.failure('no-backend-server', '');
      return server
        ? Promise.resolve({ticketId: server.name, server, heldBackMs: 0})
        : Promise.reject(new decisions.verdict.FailureError(failure));
    },
    done: (id: string, {kind}: {readonly kind: string}) =>
      returned.push(`${id} ${kind}`),
  };
  const dispatcher = new dispatchers.Dispatcher({
    ...{clock: decisions.clock.systemClock, directory, slots},
    dialect: {names: {lastEventId: 'last-event-id'}},
    upstream: {
      send: ({address}: {readonly address: string}) => sent.push(address),
    },
    crashes: {standingOf: () => ({status: 'clear'})},
    ...{cold: {trySend: () => true}, limits: {describe: () => ''}},
    rollouts: {usesCandidate: () => false},
    statements: {valueOf: () => undefined},
    shutdown: {abortWhen: () => () => undefined, hasTimeFor: () => true},
    metrics: new metrics.Metrics(),
    regions: new regionsModule.Regions({
      ...{region: 'b', directory: directory as never},
      regionByZone: new Map(['a', 'b'].map(each => [each, each])),
      metrics: new metrics.Metrics(),
    }),
  } as never);
  const nowMs = decisions.clock.systemClock.monotonicMs();
  const accepted = {
    ...{received: {id: 'r', headers: {}, arrivedMs: nowMs}, route: {}},
    ...{deadlineMs: nowMs + 1000, firstByteDeadlineMs: nowMs + 1000},
    ...{service: 's', tier: 1, onTimeDeadlineMs: nowMs + 1000},
    allowedRegions: ['a'],
  } as unknown as requests.AcceptedRequest;
  const caller = {disconnectSignal: new AbortController().signal};
  const holding = new forwarding.buffers.BufferAccount(1000).open();
  const charged = Promise.resolve(undefined);
  const result = await dispatcher.dispatch(
    ...([accepted, caller as never, charged, holding] as const),
  );
  return {result, sent, returned};
}

// Guards against a send to a backend server that its entry shows in another region by now, and against its slot being kept.
test.test('a slot outside the regions is given back unused', async () => {
  const {result, sent, returned} = await dispatch(['b', 'unknown']);
  assert.deepEqual(sent, []);
  assert.deepEqual(returned, ['s0 cancelled', 's1 cancelled']);
  assert.ok(result.kind === 'rejection');
  const {status, reason, retryAfterMs = 0, detail} = result;
  assert.deepEqual([status, reason], [503, 'no-server-in-regions']);
  assert.ok(retryAfterMs > 0);
  assert.match(detail ?? '', /regions a$/);
});

// Guards against callers of restricted names that are sent to other regions, as their own hosts are few or cut off.
test.test('address look-ups keep to the regions of a name', () => {
  const cutOff = new addresses.CutOffHosts(new decisions.clock.FakeClock(0));
  const serving = ['a', 'b', 'b', 'c', 'c'].map((region, i) => ({
    ...{host: `${region}${i}`, region, zone: region, callerUrl: ''},
    ...{peerAddress: '', incarnation: 1, state: 'serving' as const},
  }));
  for (const {host, region} of serving) {
    if (region !== 'c') cutOff.onState(host, true);
  }
  const find = (allowed: readonly string[] | undefined) => {
    const configuration = {regionsOfName: () => allowed} as never;
    const query = {name: 'n', zone: 'x', region: 'a', caller: ''};
    return addresses
      .hostsForCaller(serving, query, cutOff, configuration)
      .map(({region}) => region)
      .sort()
      .join('');
  };
  assert.equal(find(['b']), 'abb');
  assert.equal(find([]), 'a');
  assert.equal(find(undefined), 'cc');
});

// Guards against a restriction that is not noticed to name no known region, or that fills the log.
test.test('unknown regions are logged once for each content', () => {
  const lines: logs.Fields[] = [];
  const log = {
    event: (_: string, __: string, fields = {}) => lines.push(fields),
  };
  const badInputs = new badinputs.BadInputs(log as never);
  const report = (...allowedRegions: readonly string[]) => {
    const fields = {routes: [{allowedRegions}], accounts: []};
    const known = new Map([['z', 'a']]);
    regionsModule.reportMistakes({fields} as never, known, badInputs);
  };
  report('a');
  for (let i = 0; i < 3; i++) report('a', 'x');
  assert.deepEqual(
    lines.map(({detail}) => detail),
    ['region x is not known'],
  );
});
