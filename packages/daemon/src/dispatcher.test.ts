import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';

import * as dispatchers from './dispatcher.js';
import * as timelines from '@banyanhall/fleet/timeline.js';

const SERVER = {name: 's1', url: 'http://none'} as never;

const REQUEST = {
  requestId: 'r1',
  terms: {service: {name: 's'}, profile: {name: 'gate'}},
  fingerprint: 'f',
  wanted: {requestId: 'r1', deadlineMs: 1000},
  signal: new AbortController().signal,
  clear: () => undefined,
} as unknown as dispatchers.Prepared;

interface Rig {
  readonly dispatcher: dispatchers.Dispatcher;
  readonly outcomes: string[];
  readonly failures: string[];
  readonly crashed: string[];
}

/** A dispatcher whose slots are granted at once. */
function rig(isFresh = true): Rig {
  const outcomes: string[] = [];
  const failures: string[] = [];
  const crashed: string[] = [];
  const options = {
    slots: {
      acquire: async () => ({ticketId: 'r1', server: SERVER}),
      done: (_: string, outcome: {kind: string}) => outcomes.push(outcome.kind),
    },
    claims: {},
    crashes: {
      standing: () => 'clear',
      enter: () => () => undefined,
      crashed: (server: string) => crashed.push(server),
    },
    samples: {
      add: (_: unknown, version: string, shown: {isFailure: boolean}) => {
        if (shown.isFailure) failures.push(version);
      },
    },
    timeline: new timelines.Timeline('h1'),
    clock: new decisions.clock.FakeClock(0),
    isFresh: () => isFresh,
    chooseVersion: () => 'v2',
  };
  const dispatcher = new dispatchers.Dispatcher(options as never);
  return {dispatcher, outcomes, failures, crashed};
}

/** Runs a request whose calls break in turn with these kinds; resolves to how it ended. */
async function run(
  {dispatcher}: Rig,
  ...kinds: readonly backends.engine.BackendErrorKind[]
): Promise<{readonly told: string; readonly calls: number}> {
  let calls = 0;
  const send = async () => {
    const kind = kinds[calls];
    calls++;
    if (kind) throw new backends.engine.BackendError(kind, 'scripted');
    return 'answer';
  };
  const told = await dispatcher.run(REQUEST, send).then(
    () => 'answered',
    (error: decisions.verdict.FailureError) =>
      `${error.failure.type} ${error.failure.verdict}`,
  );
  return {told, calls};
}

test.test('a proven not-run is tried again', async () => {
  const result = await run(rig(), 'unreachable', 'not-admitted');
  assert.deepEqual(result, {told: 'answered', calls: 3});
});

test.test('a request that may have run is not tried again', async () => {
  for (const kind of ['broken', 'failed', 'gone'] as const) {
    const result = await run(rig(), kind);
    assert.deepEqual(result, {told: 'backend-failed may-have-run', calls: 1});
  }
});

test.test(
  'a version that answers with an error is held against it',
  async () => {
    const one = rig();
    await run(one, 'failed');
    assert.deepEqual(one.failures, ['v2']);
  },
);

test.test('a refusal is not held against a version', async () => {
  const one = rig();
  await run(one, 'not-admitted');
  assert.deepEqual(one.failures, []);
});

test.test('a backend server that is gone has crashed', async () => {
  const one = rig();
  await run(one, 'gone');
  assert.deepEqual(one.crashed, ['s1']);
  assert.deepEqual(one.outcomes, ['crashed']);
});

test.test('a host that lost touch dispatches nothing', async () => {
  const result = await run(rig(false));
  assert.deepEqual(result, {told: 'host-stopping not-run', calls: 0});
});
