import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as suspectparts from './suspectparts.js';
import type * as suspects from './suspects.js';

const SEED = 20261204;
const RUN_MS = 100;

/** Builds the report of a crash with one unanswered request for each list of parts. */
function crash(
  atMs: number,
  requests: readonly (readonly string[])[],
  change: Partial<suspects.Crash> = {},
): suspects.Crash {
  return {
    crashId: `c${atMs}`,
    backendServer: `s${atMs}`,
    atMs,
    requests: requests.map(parts => {
      const dispatchedMs = atMs - RUN_MS;
      return {fingerprint: '', dispatchedMs, parts, hasBegun: false};
    }),
    ...change,
  };
}

function of(...crashes: readonly suspects.Crash[]): suspectparts.SuspectParts {
  return crashes.reduce(
    (known, one) => known.add(one),
    suspectparts.SuspectParts.empty,
  );
}

/** Statuses of requests with these parts, at the time of the last crash. */
function statuses(
  known: suspectparts.SuspectParts,
  nowMs: number,
  ...requests: readonly (readonly string[])[]
): readonly suspects.SuspectStatus[] {
  return requests.map(parts => known.statusOf(parts, nowMs).status);
}

test.test('two crashes refuse the only part that they share', () => {
  const known = of(
    crash(1000, [['first', 'bad', 'x']]),
    crash(3000, [['first', 'y', 'bad']]),
  ).answer('first', 2000);
  const found = statuses(known, 3000, ['first'], ['z', 'bad'], ['first', 'x']);
  assert.deepEqual(found, ['clear', 'refused', 'clear']);
});

test.test('one crash makes its parts suspect for a while', () => {
  const known = of(crash(1000, [['a', 'b']]));
  assert.deepEqual(statuses(known, 1000, ['a'], ['c']), ['suspect', 'clear']);
  const laterMs = 1001 + suspectparts.SUSPICION_MS;
  assert.deepEqual(statuses(known, laterMs, ['a']), ['clear']);
});

test.test('an answer clears a part, before or after the crash', () => {
  const known = of(crash(50_000, [['a', 'b', 'c']]))
    .answer('a', 60_000)
    .answer('b', 40_000);
  const found = statuses(known, 50_000, ['a'], ['b'], ['c']);
  assert.deepEqual(found, ['clear', 'clear', 'suspect']);
});

test.test('requests whose answer had begun accuse nobody', () => {
  const {requests} = crash(1000, [['a']]);
  const begun = requests.map(request => ({...request, hasBegun: true}));
  const known = of(crash(1000, [], {requests: begun}));
  assert.deepEqual(statuses(known, 1000, ['a']), ['clear']);
});

test.test('two parts at once are both refused', () => {
  const known = of(
    crash(1000, [['a']]),
    crash(2000, [['b']]),
    crash(3000, [['a'], ['c']]),
    crash(4000, [['b'], ['d']]),
  );
  const found = statuses(known, 4000, ['a'], ['b'], ['c'], ['d']);
  assert.deepEqual(found, ['refused', 'refused', 'clear', 'clear']);
});

test.test(
  'parts that were at the same crashes are refused together and suspect alone',
  () => {
    const known = of(crash(1000, [['a', 'b']]), crash(2000, [['a', 'b']]));
    const found = statuses(known, 2000, ['a', 'b'], ['a'], ['b']);
    assert.deepEqual(found, ['refused', 'suspect', 'suspect']);
    const apart = known.answer('a', 3000);
    assert.deepEqual(statuses(apart, 3000, ['a'], ['b']), ['clear', 'refused']);
  },
);

test.test('crashes with many possible parts do not refuse one', () => {
  const parts = (i: number) => ['p', `a${i}`, `b${i}`, `c${i}`, `d${i}`];
  const known = of(crash(1000, [parts(1)]), crash(2000, [parts(2)]));
  assert.deepEqual(statuses(known, 2000, ['p']), ['suspect']);
});

test.test('reports of one crash by several hosts count once', () => {
  const known = of(
    crash(1000, [['a']], {backendServer: 's'}),
    crash(1050, [['a']], {backendServer: 's'}),
  );
  assert.deepEqual(statuses(known, 1050, ['a']), ['suspect']);
});

// Guards against a part that is refused for minutes after a loss of power in which its requests ran everywhere.
test.test('crashes of requests that ran at the same time count once', () => {
  const together = [1000, 1030, 1060, 1090].map(atMs => crash(atMs, [['a']]));
  assert.deepEqual(statuses(of(...together), 1090, ['a']), ['suspect']);
  const inTurn = of(...together, crash(2000, [['a']]));
  assert.deepEqual(statuses(inTurn, 2000, ['a']), ['refused']);
});

// Guards against a part that ends many backend servers at once, again and again, as it is clear in between (BUDGET).
test.test('a part at many crashes at once is suspect for longer', () => {
  const together = [0, 30, 60, 90, 120].map(atMs => crash(atMs, [['a']]));
  const {SUSPICION_MS} = suspectparts;
  const known = of(...together);
  assert.deepEqual(statuses(known, 5 * SUSPICION_MS, ['a']), ['suspect']);
  const late = 5 * SUSPICION_MS + 121;
  assert.deepEqual(statuses(known, late, ['a']), ['clear']);
  const answered = known.answer('a', 200);
  assert.deepEqual(statuses(answered, 201, ['a']), ['clear']);
});

// Guards against the same where backend servers go one after the other, faster than their requests are answered.
test.test('crashes of an answered part in a row count once', () => {
  const row = [0, 1, 2, 3].map(i => crash(20_000 + i * 800, [['a']]));
  const answered = of(...row).answer('a', 19_000);
  assert.deepEqual(statuses(answered, 23_000, ['a']), ['clear']);
  assert.deepEqual(statuses(of(...row), 23_000, ['a']), ['refused']);
});

// Guards against a part that nobody has answered yet and that two backend servers had when they lost power: it is refused for 30 s (RECOVER).
test.test(
  'a new part at two backend servers that lose power together',
  {todo: 'KNOWN-RED'},
  () => {
    const both = of(crash(1000, [['a']]), crash(1030, [['a']]));
    assert.deepEqual(statuses(both, 13_000, ['a']), ['suspect']);
  },
);

test.test('a refused part is tried again after longer and longer times', () => {
  const twice = of(crash(1000, [['a']]), crash(2000, [['a']]));
  const {retryAtMs} = twice.statusOf(['a'], 2000);
  assert.equal(retryAtMs, 2000 + suspectparts.FIRST_TRIAL_MS);
  assert.deepEqual(statuses(twice, retryAtMs, ['a']), ['suspect']);
  const again = twice.add(crash(retryAtMs, [['a']]));
  const next = again.statusOf(['a'], retryAtMs);
  assert.equal(next.retryAtMs, retryAtMs + 2 * suspectparts.FIRST_TRIAL_MS);
  const cleared = again.answer('a', retryAtMs + 1);
  assert.deepEqual(statuses(cleared, retryAtMs + 1, ['a']), ['clear']);
});

test.test('a refusal names its parts and crashes', () => {
  const known = of(crash(1000, [['a']]), crash(2000, [['a'], ['b']]));
  const {parts, crashIds} = known.statusOf(['b', 'a'], 2000);
  assert.deepEqual(parts, ['a']);
  assert.deepEqual(crashIds, ['c1000', 'c2000']);
});

test.test('only the latest reports are kept, and old ones expire', () => {
  const count = suspectparts.MAX_REPORTS + 2;
  const crashes = Array.from({length: count}, (_, i) =>
    crash((i + 1) * 1000, [[`p${i}`]]),
  );
  const known = of(...crashes);
  assert.equal(known.isAccused('p0'), false);
  assert.equal(known.isAccused('p2'), true);
  assert.equal(known.expire(Infinity).isAccused('p2'), false);
});

test.test('the order and repetition of reports do not matter', () => {
  const report = fc.record({
    at: fc.integer({min: 0, max: 30}),
    server: fc.constantFrom('s', 't', 'u'),
    parts: fc.array(fc.constantFrom('a', 'b', 'c', 'd'), {maxLength: 3}),
  });
  const property = fc.property(fc.array(report, {maxLength: 12}), reports => {
    const crashes = reports.map(({at, server, parts}, i) =>
      crash(at * 2000, [parts], {backendServer: server, crashId: `c${i}`}),
    );
    const forward = of(...crashes);
    const backward = of(...[...crashes, ...crashes].reverse());
    for (const part of ['a', 'b', 'c', 'd']) {
      assert.deepEqual(
        forward.statusOf([part], 60_000).status,
        backward.statusOf([part], 60_000).status,
      );
    }
  });
  fc.assert(property, {seed: SEED});
});
