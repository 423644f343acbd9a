import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as cells from './cell.js';
import * as cellchecker from './cellchecker.js';
import type * as events from './cellevents.js';
import * as regions from './regions.js';
import type * as tickets from './ticket.js';

const SETTINGS = {seed: 20261206, numRuns: 300};
const REGIONS = ['a', 'b', 'c'];

const restriction = fc.option(fc.subarray([...REGIONS, 'unknown']), {
  nil: undefined,
});

// Guards against a request that is sent where its route or its account forbids it, also after a message between hosts.
test.test('an intersection allows what both restrictions allow', () => {
  const property = fc.property(restriction, restriction, (a, b) => {
    const both = regions.intersection(a, b);
    for (const region of [...REGIONS, '', 'other']) {
      const isEach =
        regions.isAllowed(a, region) && regions.isAllowed(b, region);
      assert.equal(regions.isAllowed(both, region), isEach);
    }
    assert.deepEqual(regions.fromWire(regions.toWire(both)), both);
  });
  fc.assert(property, SETTINGS);
});

function ticket(id: string, change: Partial<tickets.Ticket>): tickets.Ticket {
  const {deadlineMs = 2000} = change;
  return {
    ...{id, host: 'h', region: '', account: 'a', weight: 1, tier: 2},
    ...{deadlineMs, firstByMs: deadlineMs, onTimeByMs: deadlineMs},
    ...{arrivedMs: 0, promptTokens: 0, outputTokens: 10, chain: []},
    ...{version: '', isSuspect: false, avoid: [], urgency: 0},
    ...change,
  };
}

/** Creates a cell with two runners in each region; `regionOf` names the regions. */
function cellIn(regionOf: (region: string) => string): cells.Cell {
  const servers = REGIONS.flatMap(region =>
    [0, 1].map(i => ({
      ...{name: `${region}${i}`, url: '', region: regionOf(region), zone: ''},
      ...{slotTokens: Infinity, maxRunning: 2},
      expectedPace: {prefillTokensPerS: 1e6, decodeTokensPerS: 40},
    })),
  );
  const configure = {kind: 'configure' as const, servers};
  const empty = cells.Cell.recovering([], 0);
  return empty.apply({...configure, versionsByServer: new Map()}, 0).cell;
}

const step = fc.record({
  choice: fc.integer({min: 0, max: 99}),
  index: fc.nat({max: 60}),
  tier: fc.constantFrom(1 as const, 2 as const, 3 as const),
  waitMs: fc.integer({min: 0, max: 150}),
  leftMs: fc.integer({min: 0, max: 2500}),
  allowedRegions: restriction,
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function eventOf(s: Step, at: number, nowMs: number): events.CellEvent {
  const ticketId = `t${s.index}`;
  if (s.choice < 70) {
    const {tier, allowedRegions} = s;
    const isSuspect = s.choice < 4;
    const change = {tier, allowedRegions, isSuspect, arrivedMs: nowMs};
    const asked = ticket(`t${at}`, {...change, deadlineMs: nowMs + s.leftMs});
    return {kind: 'ask', ticket: asked};
  }
  if (s.choice < 80) return {kind: 'done', ticketId, outcome: {kind: 'failed'}};
  if (s.choice < 85) return {kind: 'cancel', ticketId};
  const runner = `${REGIONS[s.index % 3]}0`;
  if (s.choice < 88) return {kind: 'signal', runner, sign: 'unreachable'};
  if (s.choice < 90) return {kind: 'limit', runner, limitPerS: 5};
  return {kind: 'tick'};
}

/** Plays steps on a cell; returns the effects of each. */
function play(cell: cells.Cell, steps: readonly Step[]) {
  const checker = new cellchecker.CellChecker();
  let nowMs = 0;
  let current = cell;
  const effects = steps.map((s, i) => {
    nowMs += s.waitMs;
    const event = eventOf(s, i, nowMs);
    const applied = current.apply(event, nowMs);
    checker.record(event, applied, nowMs);
    current = applied.cell;
    return applied.effects.map(effect => ({...effect, server: undefined}));
  });
  return {effects, violations: checker.violations};
}

const manySteps = fc.array(step, {minLength: 1, maxLength: 150});

// Guards against grants outside the regions of a ticket, and lower tiers that are served where a higher one is refused.
test.test('a cell of several regions keeps its invariants', () => {
  const property = fc.property(manySteps, steps => {
    const {violations} = play(
      cellIn(region => region),
      steps,
    );
    assert.deepEqual(violations, []);
  });
  fc.assert(property, SETTINGS);
});

// Guards against deployments without restrictions that are served otherwise than before.
test.test('regions change nothing without a restriction', () => {
  const property = fc.property(manySteps, steps => {
    const open = steps.map(s => ({...s, allowedRegions: undefined}));
    const one = play(
      cellIn(() => 'a'),
      open,
    );
    const several = play(
      cellIn(region => region),
      open,
    );
    assert.deepEqual(several.effects, one.effects);
  });
  fc.assert(property, SETTINGS);
});

// Guards against tickets that are refused for the load of regions that they need not, or may not, use.
test.test('a region without room refuses nobody elsewhere', () => {
  let cell = cellIn(region => region);
  const ask = (id: string, change: Partial<tickets.Ticket>) => {
    const applied = cell.apply({kind: 'ask', ticket: ticket(id, change)}, 0);
    ({cell} = applied);
    return applied.effects.map(({kind}) => kind);
  };
  const crowd = Array.from({length: 600}, (_, i) =>
    ask(`x${i}`, {tier: 1, allowedRegions: ['a']}),
  );
  assert.deepEqual(crowd[crowd.length - 1], ['refuse']);
  // Waits in the crowded region, which the next ones don't need.
  const late = {allowedRegions: ['a', 'b'], deadlineMs: 60_000, tier: 3};
  for (let i = 0; i < 4; i++) {
    assert.deepEqual(ask(`b${i}`, {allowedRegions: ['b'], tier: 3}), ['grant']);
  }
  assert.deepEqual(ask('both', late as Partial<tickets.Ticket>), []);
  assert.deepEqual(ask('open', {tier: 3}), ['grant']);
  assert.deepEqual(ask('home', {tier: 3, allowedRegions: ['c']}), ['grant']);
  assert.deepEqual(ask('more', {tier: 1, allowedRegions: ['a']}), ['refuse']);
  assert.ok(cell.waiting.some(({id}) => id === 'both'));
  const all = cell.estimate;
  const wait = (allowedRegions?: readonly string[]) =>
    all.waitMs(ticket('w', {tier: 3, allowedRegions}), 0);
  assert.equal(wait(), 0);
  assert.ok(wait(['a']) > wait(['b']) && wait(['b']) > wait(['c']));
});

// Guards against tickets that could start at once and are refused, as others fill the queue for a region.
test.test('a full queue for one region keeps out nobody elsewhere', () => {
  let cell = cellIn(region => region);
  const ask = (id: string, tier: 1 | 3, allowedRegions?: readonly string[]) => {
    const asked = ticket(id, {tier, allowedRegions, deadlineMs: 1e9});
    const applied = cell.apply({kind: 'ask', ticket: asked}, 0);
    ({cell} = applied);
    return applied.effects.map(effect => `${effect.kind} ${effect.ticket.id}`);
  };
  for (let i = 0; i < 4 + cells.MAX_WAITING_TICKETS; i++) {
    ask(`x${i}`, 1, ['a']);
  }
  assert.equal(cell.waiting.length, cells.MAX_WAITING_TICKETS);
  assert.deepEqual(ask('open', 3), ['grant open']);
  assert.deepEqual(ask('late', 3, ['a']), ['refuse late']);
});

// Guards against tickets of regions whose last runner is gone that wait for their deadline.
test.test('a ticket whose regions lose their runners is told at once', () => {
  let {cell} = cellIn(region => region).apply({kind: 'tick'}, 0);
  for (let i = 0; i < 6; i++) {
    const asked = ticket(`t${i}`, {allowedRegions: ['a']});
    ({cell} = cell.apply({kind: 'ask', ticket: asked}, 0));
  }
  const servers = cell.runners
    .map(({server}) => server)
    .filter(({region}) => region !== 'a');
  const versionsByServer = new Map<string, readonly string[]>();
  ({cell} = cell.apply({kind: 'configure', servers, versionsByServer}, 1));
  const {effects} = cell.apply({kind: 'tick'}, 2);
  const reasons = effects.map(each => each.kind === 'refuse' && each.reason);
  assert.deepEqual(reasons, ['no-runner', 'no-runner']);
});
