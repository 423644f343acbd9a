import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';

import * as fallbacks from './fallback.js';
import * as slotsModule from './slots.js';
import * as timelines from './timeline.js';

const SERVICE: decisions.config.Service = {
  ...{name: 's', kind: 'plain', version: 'v1', fencing: 'ignored'},
  backendServers: ['a', 'b', 'c'].map(name => ({
    ...{name, url: 'http://none', region: 'r', zone: 'z'},
    ...{slotTokens: 1000, maxRunning: 4},
  })),
};

/** The slots of a host whose keepers never answer. */
function slotsAlone(clock: decisions.clock.Clock): slotsModule.Slots {
  return new slotsModule.Slots({
    ...{host: 'h', region: 'r', zone: 'z', clock},
    router: {send: () => true} as never,
    timeline: new timelines.Timeline('h'),
    config: () => decisions.config.Config.restore(1, []),
    serving: () => [],
  });
}

function requestOf(requestId: string): slotsModule.SlotRequest {
  return {
    ...{requestId, service: SERVICE, tier: 1, deadlineMs: 1000},
    account: {
      ...{name: 'a', keySha256: '', profiles: []},
      ...{maxInFlight: 1, weight: 1},
    },
    ...{promptTokens: 0, outputTokens: 10, chain: [], version: ''},
    isSuspect: false,
  };
}

// Guards against a full server that draws the requests of all hosts while their keeper does not answer.
test.test('a server that turns requests away does not draw others', () => {
  const clock = new decisions.clock.FakeClock(0);
  const slots = slotsAlone(clock);
  const random = decisions.random.seeded(1);
  const counts = new Map<string, number>();
  for (let i = 0; i < 12; i++) {
    const request = requestOf(`r${i}`);
    const server = fallbacks.chooseServer(request, {
      ...{region: 'r', random, limitPerSOf: () => undefined},
      heldOn: name => slots.heldOn(name),
      hasFailedLately: name => slots.hasFailedLately(name),
    });
    assert.ok(server);
    counts.set(server.name, (counts.get(server.name) ?? 0) + 1);
    slots.adopt(request, server);
    if (server.name !== 'a') continue;
    slots.done(`r${i}`, {kind: 'not-admitted', isLeaving: false});
  }
  assert.ok((counts.get('a') ?? 0) <= 4, JSON.stringify([...counts]));
});

// Guards against a server that is passed over for long after it failed a request.
test.test('a failed attempt counts for half a second', () => {
  const clock = new decisions.clock.FakeClock(0);
  const slots = slotsAlone(clock);
  const fail = (id: string) => {
    slots.adopt(requestOf(id), SERVICE.backendServers[0]);
    slots.done(id, {kind: 'unreachable'});
  };
  fail('r1');
  assert.ok(slots.hasFailedLately('a'));
  assert.ok(!slots.hasFailedLately('b'));
  clock.advance(500);
  assert.ok(!slots.hasFailedLately('a'));
  fail('r2');
  slots.adopt(requestOf('r3'), SERVICE.backendServers[0]);
  slots.done('r3', {
    kind: 'completed',
    measured: {
      ...{prefillTokens: 0, outputTokens: 10},
      ...{firstTokenMs: 1, durationMs: 2},
    },
  });
  assert.ok(!slots.hasFailedLately('a'));
});
