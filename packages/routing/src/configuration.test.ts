import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as configuration from './configuration.js';

function route(
  pathPrefix: string,
  change: Partial<configuration.Route> = {},
): configuration.Route {
  return {
    name: pathPrefix,
    authority: 'api.example',
    pathPrefix,
    repeatability: 'idempotent',
    isResumable: false,
    splits: [{service: 's', weight: 1}],
    timeoutMs: 1000,
    objectiveMs: 200,
    callerPatienceMs: Infinity,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
    allowedRegions: undefined,
    ...change,
  };
}

function account(
  name: string,
  priority: number | undefined,
): configuration.Account {
  const keys = [`key-${name}`];
  return {
    ...{name, keys, priority},
    ...{tokensPerS: 0, burstTokens: 0, plainTokens: 0},
    allowedRegions: undefined,
  };
}

function of(
  routes: readonly configuration.Route[],
  accounts: readonly configuration.Account[] = [],
): configuration.Configuration {
  return new configuration.Configuration({
    version: 1,
    ...{routes, accounts, services: [], needsKeys: true},
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

test.test('a request matches the longest path prefix of its authority', () => {
  const found = of([route('/a/'), route('/a/b/'), route('/')]);
  assert.equal(found.route('API.example', '/a/b/c')?.name, '/a/b/');
  assert.equal(found.route('api.example', '/a/bc')?.name, '/a/');
  assert.equal(found.route('other.example', '/a/'), undefined);
});

test.test('an account is found by any of its API keys', () => {
  const found = of([], [account('x', 1)]);
  assert.equal(found.account('key-x')?.name, 'x');
  assert.equal(found.account('key-y'), undefined);
});

test.test(
  'accounts with equal priorities do not override route priorities',
  () => {
    assert.ok(!of([], [account('x', 1), account('y', 1)]).hasAccountPriorities);
    assert.ok(of([], [account('x', 1), account('y', 0)]).hasAccountPriorities);
  },
);

test.test('services are picked by weight', () => {
  const splits = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  assert.equal(configuration.pickSplit(splits, 0.89), 'a');
  assert.equal(configuration.pickSplit(splits, 0.91), 'b');
  assert.equal(configuration.pickSplit(splits, 1), 'b');
});
