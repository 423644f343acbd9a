import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as routing from '@banyanhall/routing';

import * as requests from './request.js';

const DIALECT: requests.Dialect = {
  names: {
    requestId: 'x-id',
    key: 'x-key',
    account: 'x-account',
    remainingMs: 'x-left',
    expectedServer: 'x-server',
    serverId: 'x-server-id',
    signature: 'x-signature',
    notRun: 'x-not-run',
    load: 'x-load',
    statements: {
      ...{limit: 'x-limit', leaving: 'x-leaving'},
      ...{brittle: 'x-brittle', retryAfter: 'retry-after'},
    },
    lastEventId: 'last-event-id',
    reserved: ['x-reserved'],
  },
  parseDemand: () => undefined,
};

function configurationWith(
  ...priorities: readonly number[]
): routing.configuration.Configuration {
  return new routing.configuration.Configuration({
    version: 1,
    routes: [
      {
        ...{name: 'r', authority: 'api.example', pathPrefix: '/a/'},
        ...{repeatability: 'idempotent', isResumable: false, isPublic: false},
        splits: [{service: 's', weight: 1}],
        ...{timeoutMs: 1000, objectiveMs: 200, callerPatienceMs: Infinity},
        ...{priority: 2, maxAttempts: 1},
        allowedRegions: undefined,
      },
    ],
    services: [],
    accounts: priorities.map((priority, i) => ({
      ...{name: `t${i}`, keys: [`k${i}`], priority},
      ...{tokensPerS: 0, burstTokens: 0, plainTokens: 0},
      allowedRegions: undefined,
    })),
    needsKeys: true,
    limits: {
      ...{maxHeaderBytes: 1, maxBodyBytes: 1},
      ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
    },
  });
}

function received(
  rawHeaders: readonly string[],
  callerTimeoutMs?: number,
): requests.ReceivedRequest {
  const headers: Record<string, string> = {};
  for (let i = 0; i < rawHeaders.length; i += 2) {
    headers[rawHeaders[i].toLowerCase()] = rawHeaders[i + 1];
  }
  return {
    ...{id: '1', method: 'GET', target: '/a/b?c', authority: 'api.example'},
    ...{headers, rawHeaders, body: Buffer.alloc(0), arrivedMs: 5000},
    callerTimeoutMs,
  };
}

function accept(
  configuration: routing.configuration.Configuration | undefined,
  request: requests.ReceivedRequest,
) {
  return requests.accept(configuration, request, DIALECT, 0, text => text);
}

function accepted(
  configuration: routing.configuration.Configuration,
  request: requests.ReceivedRequest,
): requests.AcceptedRequest {
  const found = accept(configuration, request);
  assert.equal(found.kind, 'accepted');
  return found as requests.AcceptedRequest;
}

function statusOf(found: ReturnType<typeof accept>): number {
  return found.kind === 'rejection' ? found.status : 200;
}

test.test(
  'requests are rejected with 503 while there is no configuration',
  () => {
    assert.equal(statusOf(accept(undefined, received([]))), 503);
  },
);

test.test('unknown or missing keys are rejected with 401', () => {
  const current = configurationWith(1);
  assert.equal(statusOf(accept(current, received(['X-Key', 'no']))), 401);
  assert.equal(statusOf(accept(current, received([]))), 401);
});

test.test(
  'the deadline is the earlier of the caller and route timeouts',
  () => {
    const current = configurationWith(1);
    const key = ['X-Key', 'k0'];
    assert.equal(accepted(current, received(key, 400)).deadlineMs, 5400);
    assert.equal(accepted(current, received(key, 9000)).deadlineMs, 6000);
    assert.equal(accepted(current, received(key)).deadlineMs, 6000);
  },
);

test.test(
  'account priorities override the route priority only if accounts differ in priority',
  () => {
    const of = (...priorities: readonly number[]) =>
      accepted(configurationWith(...priorities), received(['X-Key', 'k0']));
    assert.equal(of(1, 1).tier, 3);
    assert.equal(of(0, 1).tier, 1);
    assert.equal(of(0, 1).urgency, 2);
  },
);

test.test('keys and reserved headers are not forwarded', () => {
  const request = accepted(
    configurationWith(1),
    received([
      ...['X-Key', 'k0', 'X-Reserved', '1', 'X-Account', 'forged'],
      ...['X-Own', 'kept', 'Connection', 'X-Hop', 'X-Hop', '1'],
    ]),
  );
  const sent = requests.outboundHeaders(request, DIALECT, {'x-left': '100'});
  assert.deepEqual(sent, [
    ...['X-Own', 'kept', 'x-account', 't0', 'x-left', '100'],
  ]);
});
