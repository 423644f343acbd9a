import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as cells from './cell.js';
import * as cellchecker from './cellchecker.js';
import type * as events from './cellevents.js';
import type * as config from './config.js';
import * as runners from './runner.js';
import type * as tickets from './ticket.js';

const SEED = 20261204;
const RUNS = 300;

function server(name: string, maxRunning = 4): config.BackendServer {
  return {
    name,
    url: `http://${name}`,
    region: 'r',
    zone: 'z',
    slotTokens: 4000,
    maxRunning,
  };
}

function ticket(
  id: string,
  change: Partial<tickets.Ticket> = {},
): tickets.Ticket {
  const {deadlineMs = 60_000} = change;
  return {
    id,
    host: 'h1',
    region: 'r',
    account: 'a',
    weight: 1,
    tier: 2,
    deadlineMs,
    firstByMs: deadlineMs,
    onTimeByMs: deadlineMs,
    arrivedMs: 0,
    promptTokens: 100,
    outputTokens: 100,
    chain: [],
    version: '',
    isSuspect: false,
    avoid: [],
    urgency: 0,
    ...change,
  };
}

/** Creates a cell with these backend servers that is not recovering. */
function cellWith(...servers: readonly config.BackendServer[]): cells.Cell {
  const empty = cells.Cell.recovering([], 0);
  const versionsByServer = new Map<string, readonly string[]>();
  return empty.apply({kind: 'configure', servers, versionsByServer}, 0).cell;
}

function ask(asked: tickets.Ticket): events.CellEvent {
  return {kind: 'ask', ticket: asked};
}

/** Returns the ids of the granted tickets. */
function grants(applied: cells.Transition): readonly string[] {
  return applied.effects
    .filter(effect => effect.kind === 'grant')
    .map(effect => effect.ticket.id);
}

/** Returns the runners of the grants. */
function runnersOf(applied: cells.Transition): readonly string[] {
  return applied.effects.flatMap(effect =>
    effect.kind === 'grant' ? [effect.server.name] : [],
  );
}

/** Returns the ids of the refused tickets. */
function refusals(applied: cells.Transition): readonly string[] {
  return applied.effects
    .filter(effect => effect.kind === 'refuse')
    .map(effect => effect.ticket.id);
}

/** Creates a cell whose only slot is held by the ticket `busy`. */
function busyCell(): cells.Cell {
  const applied = cellWith(server('s1', 1)).apply(ask(ticket('busy')), 0);
  assert.deepEqual(grants(applied), ['busy']);
  return applied.cell;
}

/** Releases the slot of a ticket. */
function finish(cell: cells.Cell, ticketId: string, nowMs: number) {
  const outcome = {kind: 'cancelled' as const};
  return cell.apply({kind: 'done', ticketId, outcome}, nowMs);
}

test.test('the more urgent ticket of a tier is granted first', () => {
  const cell = busyCell();
  const waiting = cell
    .apply(ask(ticket('later', {urgency: 2})), 0)
    .cell.apply(ask(ticket('first', {urgency: 0})), 0).cell;
  assert.deepEqual(grants(finish(waiting, 'busy', 1)), ['first']);
});

test.test('a retry is granted on another runner if there is one', () => {
  const cell = cellWith(server('s1'), server('s2'));
  const again = cell.apply(ask(ticket('t', {avoid: ['s1']})), 0);
  assert.deepEqual(runnersOf(again), ['s2']);
  const alone = cellWith(server('s1'));
  const only = alone.apply(ask(ticket('t', {avoid: ['s1']})), 0);
  assert.deepEqual(runnersOf(only), ['s1']);
});

test.test('a ticket that fits is granted at once', () => {
  const applied = cellWith(server('s1')).apply(ask(ticket('t1')), 0);
  assert.deepEqual(grants(applied), ['t1']);
});

test.test(
  'a repeated slot request repeats the grant and takes no second slot',
  () => {
    const first = cellWith(server('s1')).apply(ask(ticket('t1')), 0);
    const second = first.cell.apply(ask(ticket('t1')), 10);
    assert.deepEqual(grants(second), ['t1']);
    assert.equal(second.cell.running.length, 1);
  },
);

test.test('the higher tier is granted first', () => {
  let cell = busyCell();
  cell = cell.apply(ask(ticket('low', {tier: 3})), 0).cell;
  cell = cell.apply(ask(ticket('high', {tier: 1})), 0).cell;
  assert.deepEqual(grants(finish(cell, 'busy', 1)), ['high']);
});

test.test('the earlier deadline in a tier is granted first', () => {
  let cell = busyCell();
  cell = cell.apply(ask(ticket('late', {deadlineMs: 90_000})), 0).cell;
  cell = cell.apply(ask(ticket('soon', {deadlineMs: 50_000})), 0).cell;
  assert.deepEqual(grants(finish(cell, 'busy', 1)), ['soon']);
});

test.test('a large account does not starve a small one of its tier', () => {
  let cell = cellWith(server('s1', 2));
  for (let i = 0; i < 6; i++) {
    const change = {account: 'large', deadlineMs: 40_000, outputTokens: 1000};
    cell = cell.apply(ask(ticket(`l${i}`, change)), 0).cell;
  }
  const small = {account: 'small', deadlineMs: 80_000};
  cell = cell.apply(ask(ticket('s', small)), 0).cell;
  assert.deepEqual(grants(finish(cell, 'l0', 1)), ['s']);
});

test.test('shedding a tier sheds lower tiers first', () => {
  let cell = busyCell();
  cell = cell.apply(ask(ticket('low', {tier: 3})), 0).cell;
  const urgent = ticket('urgent', {tier: 1, deadlineMs: 2600});
  const applied = cell.apply(ask(urgent), 0);
  assert.deepEqual(refusals(applied), ['low', 'urgent']);
});

test.test('lower tiers are rejected for a period after a tier was shed', () => {
  const urgent = ticket('urgent', {tier: 1, deadlineMs: 2600});
  const shed = busyCell().apply(ask(urgent), 0).cell;
  const low = ask(ticket('low', {tier: 3}));
  assert.deepEqual(refusals(shed.apply(low, 10)), ['low']);
  assert.deepEqual(refusals(shed.apply(low, cells.CUTOFF_MS + 10)), []);
});

test.test('a ticket that cannot be answered by its deadline is refused', () => {
  const long = ticket('long', {outputTokens: 3000, deadlineMs: 1000});
  const applied = cellWith(server('s1')).apply(ask(long), 0);
  const [effect] = applied.effects;
  assert.equal(effect.kind === 'refuse' && effect.reason, 'deadline');
});

test.test('a runner too slow for the deadline is not used', () => {
  const slow = {
    kind: 'completed' as const,
    measured: {
      prefillTokens: 100,
      outputTokens: 100,
      firstTokenMs: 1000,
      durationMs: 101_000,
    },
  };
  let cell = cellWith(server('s1'));
  for (let i = 0; i < 20; i++) {
    const id = `w${i}`;
    cell = cell.apply(ask(ticket(id)), 0).cell;
    cell = cell.apply({kind: 'done', ticketId: id, outcome: slow}, 0).cell;
  }
  const versionsByServer = new Map<string, readonly string[]>();
  const servers = [server('s1'), server('s2', 1)];
  cell = cell.apply({kind: 'configure', servers, versionsByServer}, 0).cell;
  const busy = ticket('busy', {tier: 1, deadlineMs: 5000});
  const first = cell.apply(ask(busy), 0);
  assert.equal(first.cell.running[0].runner, 's2');
  const second = ticket('second', {tier: 1, deadlineMs: 9000});
  assert.deepEqual(grants(first.cell.apply(ask(second), 0)), []);
});

test.test('a ticket is refused if the only runner is leaving', () => {
  const event = {kind: 'signal', runner: 's1', sign: 'leaving'} as const;
  const cell = cellWith(server('s1')).apply(event, 0).cell;
  const applied = cell.apply(ask(ticket('t1')), 1);
  const [effect] = applied.effects;
  assert.equal(effect.kind === 'refuse' && effect.reason, 'no-runner');
});

test.test('a stale report does not make a leaving runner live', () => {
  let cell = cellWith(server('s1'), server('s2'));
  cell = cell.apply({kind: 'signal', runner: 's1', sign: 'leaving'}, 0).cell;
  cell = cell.apply({kind: 'signal', runner: 's1', sign: 'live'}, 500).cell;
  assert.equal(cell.runners[0].state, 'leaving');
});

// Guards against a backend server that is never used again since a request met another one at its address.
test.test('a runner that an attempt showed as leaving is tried again', () => {
  const outcome = {kind: 'not-admitted', isLeaving: true} as const;
  let cell = cellWith(server('s1')).apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply({kind: 'done', ticketId: 't1', outcome}, 0).cell;
  const holdMs = runners.LEAVING_HOLD_MS;
  const asked = (id: string) => ask(ticket(id, {deadlineMs: 2 * holdMs}));
  const early = cell.apply(asked('t2'), holdMs - 1);
  assert.equal(early.effects[0].kind, 'refuse');
  const late = early.cell.apply(asked('t3'), holdMs);
  assert.deepEqual(grants(late), ['t3']);
  const completed = {kind: 'completed', measured: measuredWith()} as const;
  const done = {kind: 'done', ticketId: 't3', outcome: completed} as const;
  const after = late.cell.apply(done, holdMs + 1);
  assert.equal(after.cell.runners[0].state, 'live');
});

// Guards against a backend server that left and is tried without a pause from then on.
test.test('a runner that is unreachable after its leave backs off', () => {
  const holdMs = runners.LEAVING_HOLD_MS;
  const leaving = {kind: 'signal', runner: 's1', sign: 'leaving'} as const;
  const unreachable = {...leaving, sign: 'unreachable'} as const;
  let cell = cellWith(server('s1')).apply(leaving, 0).cell;
  cell = cell.apply(unreachable, 1).cell;
  assert.equal(cell.runners[0].state, 'leaving');
  cell = cell.apply(unreachable, holdMs).cell;
  const asked = ask(ticket('t1', {deadlineMs: 2 * holdMs}));
  assert.deepEqual(grants(cell.apply(asked, holdMs + 1)), []);
});

// Guards against a runner whose reports of leaving are overridden by the requests that it still completes.
test.test('a request that completes does not end a leave', () => {
  let cell = cellWith(server('s1')).apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply({kind: 'signal', runner: 's1', sign: 'leaving'}, 1).cell;
  const completed = {kind: 'completed', measured: measuredWith()} as const;
  const done = {kind: 'done', ticketId: 't1', outcome: completed} as const;
  cell = cell.apply(done, 2).cell;
  assert.equal(cell.runners[0].state, 'leaving');
});

// Guards against a runner that is never used again, as no report says that it does not leave.
test.test('a runner that no longer leaves is used again', () => {
  const outcome = {kind: 'not-admitted', isLeaving: true} as const;
  let cell = cellWith(server('s1')).apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply({kind: 'done', ticketId: 't1', outcome}, 0).cell;
  const [refused] = cell.apply(ask(ticket('t2')), 4999).effects;
  assert.equal(refused.kind === 'refuse' && refused.reason, 'no-runner');
  const probed = cell.apply(ask(ticket('t3')), 5000);
  assert.deepEqual(grants(probed), ['t3']);
  const waiting = probed.cell.apply(ask(ticket('t4')), 5001);
  assert.deepEqual(grants(waiting), []);
  const measured = {
    ...{prefillTokens: 100, outputTokens: 100},
    ...{firstTokenMs: 10, durationMs: 20},
  };
  const completed = {kind: 'completed', measured} as const;
  const done = {kind: 'done', ticketId: 't3', outcome: completed} as const;
  const answered = waiting.cell.apply(done, 5020);
  assert.deepEqual(grants(answered), ['t4']);
  assert.equal(answered.cell.runners[0].state, 'live');
});

test.test('a runner that still leaves is not probed soon again', () => {
  const outcome = {kind: 'not-admitted', isLeaving: true} as const;
  let cell = cellWith(server('s1')).apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply({kind: 'done', ticketId: 't1', outcome}, 0).cell;
  cell = cell.apply(ask(ticket('t2')), 5000).cell;
  cell = cell.apply({kind: 'done', ticketId: 't2', outcome}, 5010).cell;
  const [refused] = cell.apply(ask(ticket('t3')), 10_000).effects;
  assert.equal(refused.kind === 'refuse' && refused.reason, 'no-runner');
});

test.test('an unreachable runner is retried after a backoff', () => {
  const outcome = {kind: 'unreachable'} as const;
  let cell = cellWith(server('s1')).apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply({kind: 'done', ticketId: 't1', outcome}, 1).cell;
  const waiting = cell.apply(ask(ticket('t2')), 2);
  assert.deepEqual(grants(waiting), []);
  assert.deepEqual(grants(waiting.cell.apply({kind: 'tick'}, 600)), ['t2']);
});

test.test(
  'a runner that keeps refusing connections is retried every second',
  () => {
    const outcome = {kind: 'unreachable'} as const;
    let cell = cellWith(server('s1'));
    let nowMs = 0;
    for (let i = 0; i < 6; i++) {
      cell = cell.apply(ask(ticket(`t${i}`)), nowMs).cell;
      const tried = cell.apply({kind: 'tick'}, nowMs + 1000);
      assert.equal(tried.cell.running.length, 1, `try ${i}`);
      nowMs += 1000;
      const done = {kind: 'done', ticketId: `t${i}`, outcome} as const;
      cell = tried.cell.apply(done, nowMs).cell;
    }
  },
);

test.test(
  'a ticket waits for a faster runner only while it can meet its objective',
  () => {
    const pace = {prefillTokensPerS: 10_000, decodeTokensPerS: 100};
    const slow = {...server('slow'), slotTokens: 1e6, expectedPace: pace};
    const fast = {
      ...{...server('fast', 1), slotTokens: 1e6},
      expectedPace: {...pace, prefillTokensPerS: 100_000},
    };
    const long = {promptTokens: 8000, onTimeByMs: 600};
    let cell = cellWith(slow, fast).apply(ask(ticket('t1', long)), 0).cell;
    const asked = cell.apply(ask(ticket('t2', long)), 0);
    assert.deepEqual(grants(asked), []);
    const freed = {kind: 'done', ticketId: 't1', outcome: {kind: 'cancelled'}};
    const onFast = asked.cell.apply(freed as events.CellEvent, 100);
    assert.deepEqual(runnersOf(onFast), ['fast']);
    cell = asked.cell.apply({kind: 'tick'}, 540).cell;
    assert.deepEqual(
      cell.running.map(grant => grant.runner),
      ['fast', 'slow'],
    );
  },
);

test.test(
  'slots reported in use by foreign requests are not granted until the report decays',
  () => {
    const roomy = {...server('s1'), slotTokens: 1e6};
    let cell = cellWith(roomy).apply(ask(ticket('t1')), 0).cell;
    cell = cell.apply(ask(ticket('t2')), 0).cell;
    const measured = {
      ...{prefillTokens: 100, outputTokens: 100, inUse: 5},
      ...{firstTokenMs: 50, durationMs: 100},
    };
    const outcome = {kind: 'completed', measured} as const;
    cell = cell.apply({kind: 'done', ticketId: 't1', outcome}, 100).cell;
    const asked = cell.apply(ask(ticket('t3')), 101);
    assert.deepEqual(grants(asked), []);
    assert.deepEqual(grants(asked.cell.apply({kind: 'tick'}, 1700)), ['t3']);
  },
);

test.test('own requests in a report are not counted as foreign', () => {
  const roomy = {...server('s1'), slotTokens: 1e6};
  let cell = cellWith(roomy);
  for (let i = 0; i < 4; i++) {
    cell = cell.apply(ask(ticket(`t${i}`)), 0).cell;
  }
  const measured = {
    ...{prefillTokens: 100, outputTokens: 100, inUse: 4},
    ...{firstTokenMs: 50, durationMs: 100},
  };
  const outcome = {kind: 'completed', measured} as const;
  for (let i = 0; i < 4; i++) {
    const done = {kind: 'done', ticketId: `t${i}`, outcome} as const;
    cell = cell.apply(done, 900 + 200 * i).cell;
  }
  assert.deepEqual(grants(cell.apply(ask(ticket('next')), 1600)), ['next']);
});

test.test(
  'keepers without measurements spread tickets over equal runners',
  () => {
    const servers = Array.from({length: 8}, (_, i) => server(`s${i}`));
    const picked = Array.from({length: 40}, (_, i) =>
      runnersOf(cellWith(...servers).apply(ask(ticket(`t${i}`)), 0)),
    );
    assert.ok(new Set(picked.flat()).size >= 6);
  },
);

test.test('a suspect request runs alone on a runner', () => {
  let cell = cellWith(server('s1'), server('s2'));
  cell = cell.apply(ask(ticket('t1')), 0).cell;
  cell = cell.apply(ask(ticket('odd', {isSuspect: true})), 0).cell;
  const applied = cell.apply(ask(ticket('t2')), 0);
  const runnerOf = (id: string) =>
    applied.cell.running.find(grant => grant.ticket.id === id)?.runner;
  assert.notEqual(runnerOf('odd'), runnerOf('t1'));
  assert.equal(runnerOf('t2'), runnerOf('t1'));
});

test.test('suspect requests run one at a time', () => {
  let cell = cellWith(server('s1'), server('s2'), server('s3'));
  cell = cell.apply(ask(ticket('odd1', {isSuspect: true})), 0).cell;
  const second = cell.apply(ask(ticket('odd2', {isSuspect: true})), 0);
  assert.deepEqual(grants(second), []);
  const sound = second.cell.apply(ask(ticket('t1')), 0);
  assert.deepEqual(grants(sound), ['t1']);
  const outcome = {kind: 'crashed'} as const;
  const done = {kind: 'done', ticketId: 'odd1', outcome} as const;
  assert.deepEqual(grants(sound.cell.apply(done, 10)), ['odd2']);
});

// Guards against requests that are refused for a silent attempt that goes on anyway.
for (const [name, change] of [
  ['a suspect request', {isSuspect: true}],
  ['an optional request', {isOptional: true}],
] as const) {
  test.test(`${name} that is refused sheds nobody else`, () => {
    let cell = cellWith(server('s1', 1));
    cell = cell.apply(ask(ticket('t1')), 0).cell;
    cell = cell.apply(ask(ticket('t2', {tier: 3})), 0).cell;
    const odd = {...change, tier: 1, deadlineMs: 3000} as const;
    const asked = cell.apply(ask(ticket('odd', odd)), 0);
    const late = asked.cell.apply({kind: 'tick'}, 2950);
    const refused = [...asked.effects, ...late.effects]
      .filter(effect => effect.kind === 'refuse')
      .map(effect => effect.ticket.id);
    assert.deepEqual(refused, ['odd']);
    const waiting = late.cell.waiting.map(waitingTicket => waitingTicket.id);
    assert.deepEqual(waiting, ['t2']);
  });
}

test.test('a new keeper grants only after hosts have reported', () => {
  const versionsByServer = new Map<string, readonly string[]>();
  const servers = [server('s1', 1)];
  let cell = cells.Cell.recovering(['h1', 'h2'], 0);
  cell = cell.apply({kind: 'configure', servers, versionsByServer}, 0).cell;
  const asked = cell.apply(ask(ticket('t1')), 10);
  assert.deepEqual(grants(asked), []);
  const old = ticket('old', {host: 'h2'});
  const grant = {ticket: old, runner: 's1', grantedMs: 0};
  cell = asked.cell;
  cell = cell.apply({kind: 'recover', host: 'h2', running: [grant]}, 20).cell;
  const event = {kind: 'recover', host: 'h1', running: []} as const;
  assert.deepEqual(grants(cell.apply(event, 30)), []);
});

test.test(
  'a new keeper stops waiting for hosts after the recovery time',
  () => {
    const versionsByServer = new Map<string, readonly string[]>();
    const servers = [server('s1')];
    let cell = cells.Cell.recovering(['h9'], 0);
    cell = cell.apply({kind: 'configure', servers, versionsByServer}, 0).cell;
    cell = cell.apply(ask(ticket('t1')), 10).cell;
    const applied = cell.apply({kind: 'tick'}, cells.RECOVERY_MS + 1);
    assert.deepEqual(grants(applied), ['t1']);
  },
);

test.test('slots of a lost host are released after the hold time', () => {
  let cell = busyCell().apply({kind: 'host-gone', host: 'h1'}, 0).cell;
  cell = cell.apply(ask(ticket('t2', {host: 'h2'})), 10).cell;
  assert.equal(cell.waiting.length, 1);
  const applied = cell.apply({kind: 'tick'}, cells.ORPHAN_HOLD_MS + 1);
  assert.deepEqual(grants(applied), ['t2']);
});

/** A generated step of a random sequence: an event and the time before it. */
interface Step {
  readonly choice: number;
  readonly id: number;
  readonly tier: config.Tier;
  readonly account: string;
  readonly host: string;
  readonly leftMs: number;
  readonly output: number;
  readonly waitMs: number;
  readonly isSuspect: boolean;
}

const step: fc.Arbitrary<Step> = fc.record({
  choice: fc.integer({min: 0, max: 99}),
  id: fc.integer({min: 0, max: 40}),
  tier: fc.constantFrom<config.Tier>(1, 2, 3),
  account: fc.constantFrom('a', 'b', 'c'),
  host: fc.constantFrom('h1', 'h2'),
  leftMs: fc.integer({min: 200, max: 20_000}),
  output: fc.integer({min: 1, max: 1500}),
  waitMs: fc.integer({min: 0, max: 900}),
  isSuspect: fc.boolean(),
});

/** Maps a generated step to an event at `nowMs`. */
function eventOf(s: Step, nowMs: number): events.CellEvent {
  const ticketId = `t${s.id}`;
  const runner = `s${s.id % 3}`;
  const asked = ticket(ticketId, {
    host: s.host,
    account: s.account,
    tier: s.tier,
    deadlineMs: nowMs + s.leftMs,
    arrivedMs: nowMs,
    outputTokens: s.output,
    isSuspect: s.isSuspect && s.choice % 7 === 0,
  });
  if (s.choice < 55) return ask(asked);
  if (s.choice < 80) {
    return {kind: 'done', ticketId, outcome: {kind: 'cancelled'}};
  }
  if (s.choice < 84) return {kind: 'cancel', ticketId};
  if (s.choice < 88) {
    return {kind: 'done', ticketId, outcome: {kind: 'crashed'}};
  }
  if (s.choice < 90) return {kind: 'host-gone', host: s.host};
  if (s.choice < 93) return {kind: 'signal', runner, sign: 'leaving'};
  if (s.choice < 96) return {kind: 'signal', runner, sign: 'live'};
  return {kind: 'tick'};
}

test.test('random sequences of events keep the invariants of a cell', () => {
  const property = fc.property(
    fc.array(step, {minLength: 1, maxLength: 120}),
    steps => {
      let cell = cellWith(server('s0', 2), server('s1', 3), server('s2', 1));
      let nowMs = 0;
      const cellChecker = new cellchecker.CellChecker();
      for (const s of steps) {
        nowMs += s.waitMs;
        const event = eventOf(s, nowMs);
        const applied = cell.apply(event, nowMs);
        cellChecker.record(event, applied, nowMs);
        cell = applied.cell;
      }
      assert.deepEqual(cellChecker.violations, []);
    },
  );
  fc.assert(property, {seed: SEED, numRuns: RUNS});
});

test.test('the checker reports a second grant', () => {
  const cellChecker = new cellchecker.CellChecker();
  const applied = cellWith(server('s1')).apply(ask(ticket('t1')), 0);
  cellChecker.record({kind: 'tick'}, applied, 0);
  cellChecker.record({kind: 'tick'}, applied, 1);
  assert.match(cellChecker.violations.join(), /granted twice/);
});

test.test('the checker reports a lower tier that waits after a shed', () => {
  const cellChecker = new cellchecker.CellChecker();
  const cell = busyCell().apply(ask(ticket('low', {tier: 3})), 0).cell;
  const refused = ticket('high', {tier: 1});
  const reason = 'overloaded' as const;
  const effect = {kind: 'refuse', ticket: refused, reason} as const;
  const effects = [{...effect, retryAfterMs: 0}];
  cellChecker.record({kind: 'tick'}, {cell, effects}, 0);
  assert.match(cellChecker.violations.join(), /while low waits/);
});

test.test('the checker reports an exceeded budget', () => {
  const cellChecker = new cellchecker.CellChecker();
  let cell = cellWith(server('s1', 1));
  for (const id of ['t1', 't2']) {
    const grant = {ticket: ticket(id), runner: 's1', grantedMs: 0};
    cell = cell.addGrant(grant);
  }
  cellChecker.record({kind: 'tick'}, {cell, effects: []}, 0);
  assert.match(cellChecker.violations.join(), /over its budget/);
});

test.test(
  'a ticket that urgent arrivals will overtake is refused at once with a retry delay',
  () => {
    const pace = {prefillTokensPerS: 100_000, decodeTokensPerS: 100};
    const only = {...server('s1', 2), slotTokens: 1e6, expectedPace: pace};
    let cell = cellWith(only);
    // Urgent requests arrive every 100 ms and run for 99 ms each.
    for (let i = 0; i < 20; i++) {
      const urgent = {tier: 1 as const, outputTokens: 20};
      cell = cell.apply(ask(ticket(`u${i}`, urgent)), i * 100).cell;
      const outcome = {kind: 'cancelled'} as const;
      const done = {kind: 'done', ticketId: `u${i - 1}`, outcome} as const;
      if (i > 0) cell = cell.apply(done, i * 100 + 99).cell;
    }
    cell = cell.apply(ask(ticket('w', {tier: 1, outputTokens: 60})), 2000).cell;
    cell = cell.apply(ask(ticket('x', {tier: 1, outputTokens: 60})), 2000).cell;
    const least = {
      ...{tier: 3 as const, outputTokens: 60},
      ...{deadlineMs: 12_000, firstByMs: 2800, onTimeByMs: 2400},
    };
    const applied = cell.apply(ask(ticket('least', least)), 2000);
    assert.deepEqual(refusals(applied), ['least']);
    const [refused] = applied.effects;
    assert.ok(refused.kind === 'refuse' && refused.retryAfterMs >= 1000);
    assert.ok(refused.retryAfterMs <= (12_000 - 2000) / 3);
  },
);

// The pattern of a calm after a burst: prompts were read faster than expected.
test.test(
  'an idle runner takes work at once whatever it was expected to read',
  () => {
    const only = {...server('s1', 4), slotTokens: 1e6};
    let cell = cellWith(only);
    for (let i = 0; i < 8; i++) {
      // Expected to take 2 s each; answered after 100 ms.
      const id = `t${i}`;
      cell = cell.apply(ask(ticket(id, {promptTokens: 8000})), i * 150).cell;
      const measured = {
        ...{
          prefillTokens: 0,
          outputTokens: 0,
          firstTokenMs: 50,
          durationMs: 100,
        },
      };
      const outcome = {kind: 'completed', measured} as const;
      const done = {kind: 'done', ticketId: id, outcome} as const;
      cell = cell.apply(done, i * 150 + 100).cell;
    }
    const next = ticket('next', {promptTokens: 100, onTimeByMs: 1200 + 600});
    assert.deepEqual(grants(cell.apply(ask(next), 1200)), ['next']);
  },
);

/** States a limit of a runner. */
function limit(
  runner: string,
  limitPerS: number | undefined,
): events.CellEvent {
  return {kind: 'limit', runner, limitPerS};
}

/** Applies events, each at its time, and returns the last transition. */
function applyAll(
  cell: cells.Cell,
  ...all: readonly (readonly [number, events.CellEvent])[]
): cells.Transition {
  let applied: cells.Transition = {cell, effects: []};
  for (const [atMs, event] of all) {
    applied = applied.cell.apply(event, atMs);
  }
  return applied;
}

test.test('a limited runner is granted at the rate that it states', () => {
  let {cell} = cellWith(server('a', 100)).apply(limit('a', 5), 0);
  let granted = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
    const small = {promptTokens: 1, outputTokens: 1};
    const deadlineMs = nowMs + 60_000;
    const asked = ticket(`t${nowMs}`, {...small, deadlineMs});
    const applied = cell.apply(ask(asked), nowMs);
    cell = applied.cell;
    granted += grants(applied).length;
  }
  assert.ok(granted >= 48 && granted <= 51, String(granted));
});

test.test('the other runners take what a limited one may not', () => {
  const limited = cellWith(server('a'), server('b')).apply(limit('a', 1), 0);
  let {cell} = limited;
  const used: string[] = [];
  for (let i = 0; i < 4; i++) {
    const applied = cell.apply(ask(ticket(`t${i}`)), 10);
    cell = applied.cell;
    used.push(...runnersOf(applied));
  }
  assert.deepEqual(used, ['b', 'b', 'b', 'b']);
});

test.test('urgent work gets the next start of a limited runner', () => {
  const {cell} = applyAll(
    cellWith(server('a', 100)),
    [0, limit('a', 1)],
    [10, ask(ticket('low', {tier: 3}))],
    [20, ask(ticket('high', {tier: 1}))],
  );
  const applied = cell.apply({kind: 'tick'}, 1000);
  assert.deepEqual(grants(applied), ['high']);
  const [effect] = applied.effects;
  assert.equal(effect.kind === 'grant' && effect.heldBackMs, 980);
});

test.test('a lifted limit frees the waiting tickets at once', () => {
  const applied = applyAll(
    cellWith(server('a')),
    [0, limit('a', 0)],
    [10, ask(ticket('t1'))],
    [20, ask(ticket('t2'))],
    [30, limit('a', undefined)],
  );
  assert.deepEqual(grants(applied), ['t1', 't2']);
});

test.test('refusals by limited runners are early and tell the wait', () => {
  let {cell} = applyAll(
    cellWith(server('a', 100), server('b', 100)),
    [0, limit('a', 1)],
    [0, limit('b', 1)],
  );
  const waits: number[] = [];
  for (let i = 0; i < 60; i++) {
    const asked = ticket(`t${i}`, {deadlineMs: 8000});
    const applied = cell.apply(ask(asked), 10);
    cell = applied.cell;
    for (const effect of applied.effects) {
      if (effect.kind === 'refuse') waits.push(effect.retryAfterMs);
    }
  }
  assert.ok(waits.length >= 40 && waits.length < 60, String(waits.length));
  assert.ok(Math.min(...waits) >= 2000, String(Math.min(...waits)));
});

test.test('a slot that its host did not use gives its start back', () => {
  const {cell} = applyAll(
    cellWith(server('a')),
    [0, limit('a', 1)],
    [1000, ask(ticket('t1'))],
    [1100, {kind: 'cancel', ticketId: 't1'}],
  );
  assert.deepEqual(grants(cell.apply(ask(ticket('t2')), 1200)), ['t2']);
});

test.test('a slot taken without the keeper counts against the limit', () => {
  const grant = {ticket: ticket('t1'), runner: 'a', grantedMs: 1000};
  const {cell} = applyAll(
    cellWith(server('a')),
    [0, limit('a', 1)],
    [1000, {kind: 'adopt', held: grant}],
  );
  assert.deepEqual(grants(cell.apply(ask(ticket('t2')), 1500)), []);
});

const measuredWith = (inUse?: number) => ({
  ...{prefillTokens: 100, outputTokens: 100, inUse},
  ...{firstTokenMs: 50, durationMs: 100},
});

// Guards against a grant on a runner that accepts nothing from the ticket's host, and against one that waits for it.
test.test('a ticket is not granted on an excluded runner', () => {
  const cell = cellWith(server('s1'), server('s2'));
  const excluded = ['s1'];
  for (let i = 0; i < 5; i++) {
    const asked = cell.apply(ask(ticket(`t${i}`, {excluded})), 0);
    assert.deepEqual(runnersOf(asked), ['s2']);
  }
  const all = ask(ticket('none', {excluded: ['s1', 's2']}));
  const [effect] = cell.apply(all, 0).effects;
  assert.equal(effect.kind === 'refuse' && effect.reason, 'no-runner');
});

// Guards against a request at a brittle runner that has not yet noticed the close of a cancelled one, and rejects it.
test.test('a cancelled ticket occupies a brittle runner for a moment', () => {
  const brittle = {kind: 'brittle', runner: 's1', part: 1} as const;
  const cancelled = {kind: 'done', ticketId: 'busy'} as const;
  const outcome = {kind: 'cancelled'} as const;
  const busy = busyCell().apply(brittle, 0).cell;
  const waiting = busy.apply(ask(ticket('next')), 10).cell;
  const freed = waiting.apply({...cancelled, outcome}, 20);
  assert.deepEqual(grants(freed), []);
  const {cell} = freed.cell.apply({kind: 'tick'}, 100);
  assert.deepEqual(cell.running, []);
  assert.deepEqual(grants(cell.apply({kind: 'tick'}, 130)), ['next']);
});

// Guards against a brittle runner that gets all its slots filled at once after a failure.
test.test('a brittle runner that was down comes back gently', () => {
  const roomy = {...server('s1'), slotTokens: 1e6, maxRunning: 4};
  const brittle = {kind: 'brittle', runner: 's1', part: 1} as const;
  let cell = cellWith(roomy).apply(brittle, 0).cell;
  cell = cell.apply(ask(ticket('t0')), 0).cell;
  const crashed = {kind: 'crashed'} as const;
  const failed = {kind: 'done', ticketId: 't0', outcome: crashed} as const;
  cell = cell.apply(failed, 10).cell;
  for (let i = 1; i <= 12; i++)
    cell = cell.apply(ask(ticket(`t${i}`)), 20).cell;
  const counts: number[] = [];
  for (let nowMs = 600; counts.length < 5; nowMs += 10) {
    cell = cell.apply({kind: 'tick'}, nowMs).cell;
    counts.push(cell.running.length);
    const [{ticket: first}] = cell.running;
    const outcome = {kind: 'completed', measured: measuredWith()} as const;
    const done = {kind: 'done', ticketId: first.id, outcome} as const;
    cell = cell.apply(done, nowMs + 5).cell;
  }
  assert.deepEqual(counts, [1, 2, 3, 4, 4]);
});

// Guards against a runner that is back but not tried, as requests from before its loss hang on until their deadlines (RECOVER).
test.test('a runner that is down is probed beside requests that hang', () => {
  let cell = cellWith(server('s1'));
  for (const id of ['hangs1', 'hangs2', 'silent']) {
    cell = cell.apply(ask(ticket(id)), 0).cell;
  }
  const outcome = {kind: 'silent'} as const;
  cell = cell.apply({kind: 'done', ticketId: 'silent', outcome}, 1000).cell;
  // The first backoff is 500 ms.
  let applied = cell.apply(ask(ticket('early')), 1400);
  assert.deepEqual(grants(applied), []);
  applied = applied.cell.apply({kind: 'tick'}, 1500);
  assert.deepEqual(grants(applied), ['early']);
  // One at a time, until the probe has an outcome.
  applied = applied.cell.apply(ask(ticket('next')), 3000);
  assert.deepEqual(grants(applied), []);
  const done = {kind: 'done' as const, ticketId: 'early', outcome};
  applied = applied.cell.apply(done, 3100);
  assert.deepEqual(grants(applied), []);
  applied = applied.cell.apply({kind: 'tick'}, 4100);
  assert.deepEqual(grants(applied), ['next']);
});

// Guards against a runner that is back but not tried, as the probe was lost in its fall and hangs until its deadline (RECOVER).
test.test('a probe that hangs is followed by another', () => {
  let cell = cellWith(server('s1'));
  cell = cell.apply(ask(ticket('silent')), 0).cell;
  const outcome = {kind: 'silent'} as const;
  cell = cell.apply({kind: 'done', ticketId: 'silent', outcome}, 1000).cell;
  let applied = cell.apply(ask(ticket('hangs')), 1500);
  assert.deepEqual(grants(applied), ['hangs']);
  applied = applied.cell.apply(ask(ticket('next')), 6400);
  assert.deepEqual(grants(applied), []);
  applied = applied.cell.apply({kind: 'tick'}, 6500);
  assert.deepEqual(grants(applied), ['next']);
});

// Guards against requests that are refused for good by the pace of a stall, as nothing runs that could be measured (RECOVER).
test.test('the pace of a stall is forgotten once nothing runs', () => {
  let cell = cellWith(server('s1', 16));
  const short = Array.from({length: 16}, (_, i) =>
    ticket(`short${i}`, {outputTokens: 5}),
  );
  for (const each of short) cell = cell.apply(ask(each), 0).cell;
  for (const {id: ticketId} of short) {
    const measured = {prefillTokens: 0, outputTokens: 5, firstTokenMs: 0};
    const outcome = {
      kind: 'completed' as const,
      measured: {...measured, durationMs: 9000},
    };
    cell = cell.apply({kind: 'done', ticketId, outcome}, 9000).cell;
  }
  const long = (id: string, nowMs: number) =>
    ask(ticket(id, {deadlineMs: nowMs + 10_000}));
  let applied = cell.apply(long('early', 10_000), 10_000);
  assert.deepEqual(refusals(applied), ['early']);
  applied = applied.cell.apply(long('late', 14_000), 14_000);
  assert.deepEqual(grants(applied), ['late']);
  // What no pace allows is still refused.
  const hopeless = ticket('hopeless', {deadlineMs: 30_010});
  applied = cell.apply(ask(hopeless), 30_000);
  assert.deepEqual(refusals(applied), ['hopeless']);
});

// Guards against a sound runner that is put down as requests from before its last fall reach their deadlines (RECOVER).
test.test('silence counts only since the last completion', () => {
  const measured = {prefillTokens: 0, outputTokens: 100, firstTokenMs: 0};
  const completed = {
    kind: 'completed' as const,
    measured: {...measured, durationMs: 100},
  };
  const done = (ticketId: string, outcome: runners.Outcome) => ({
    ...{kind: 'done' as const, ticketId, outcome},
  });
  let cell = cellWith(server('s1'));
  for (const id of ['old1', 'old2', 'old3']) {
    cell = cell.apply(ask(ticket(id)), 0).cell;
  }
  cell = cell.apply(ask(ticket('answered')), 5000).cell;
  cell = cell.apply(done('answered', completed), 5100).cell;
  for (const id of ['old1', 'old2', 'old3']) {
    cell = cell.apply(done(id, {kind: 'silent'}), 9000).cell;
  }
  let applied = cell.apply(ask(ticket('next')), 9100);
  assert.deepEqual(grants(applied), ['next']);
  applied = applied.cell.apply(done('next', {kind: 'silent'}), 11_000);
  applied = applied.cell.apply(ask(ticket('last')), 11_100);
  assert.deepEqual(grants(applied), []);
});

// Guards against a runner that is never used again, as one host did not list it when its slot was granted (RECOVER).
test.test('a runner that one host takes for gone is tried again', () => {
  const gone: runners.Outcome = {kind: 'not-admitted', isLeaving: true};
  let cell = cellWith(server('s1'));
  cell = cell.apply(ask(ticket('first')), 0).cell;
  cell = cell.apply({kind: 'done', ticketId: 'first', outcome: gone}, 100).cell;
  let applied = cell.apply(ask(ticket('early')), 5000);
  assert.deepEqual(refusals(applied), ['early']);
  applied = applied.cell.apply(ask(ticket('late')), 5100);
  assert.deepEqual(grants(applied), ['late']);
  applied = applied.cell.apply(ask(ticket('waits')), 5200);
  assert.deepEqual(grants(applied), []);
  const measured = {prefillTokens: 0, outputTokens: 10, firstTokenMs: 0};
  const outcome: runners.Outcome = {
    kind: 'completed',
    measured: {...measured, durationMs: 100},
  };
  const done = {kind: 'done' as const, ticketId: 'late', outcome};
  applied = applied.cell.apply(done, 5300);
  assert.deepEqual(grants(applied), ['waits']);
  applied = applied.cell.apply(ask(ticket('beside')), 5400);
  assert.deepEqual(grants(applied), ['beside']);
});

/** The longest time for which a runner that is back may get no request, by how it failed. */
const LONGEST_BACKOFFS_MS = [
  [{kind: 'not-admitted', isLeaving: false}, 500],
  [{kind: 'unreachable'}, 1000],
  [{kind: 'crashed'}, 2000],
  [{kind: 'failed', isBroken: true}, 2000],
  [{kind: 'silent'}, 5000],
] as const;

// Guards against backoffs that outlast the recovery of a fleet (RECOVER).
for (const [outcome, longestMs] of LONGEST_BACKOFFS_MS) {
  test.test(`the longest backoff, ${outcome.kind}`, () => {
    let cell = cellWith(server('s1'));
    let nowMs = 0;
    let backoffMs = 0;
    for (let i = 0; i < 20; i++) {
      const id = `t${i}`;
      const failedMs = nowMs;
      cell = cell.apply(ask(ticket(id, {deadlineMs: 1e6})), nowMs).cell;
      while (cell.running.length === 0) {
        nowMs += 50;
        cell = cell.apply({kind: 'tick'}, nowMs).cell;
      }
      backoffMs = nowMs - failedMs;
      cell = cell.apply({kind: 'done', ticketId: id, outcome}, nowMs).cell;
    }
    assert.equal(backoffMs, longestMs);
  });
}
