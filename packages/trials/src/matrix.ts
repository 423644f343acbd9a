// Which tests and fault trials cover which fault at which step of a request, a
// change or a move. The test of this module compares it with the tests, the
// kinds of faults and the page.

import type * as checks from './checks.js';

/** Covers a fault at a step: a test with this title, or a kind of fault in the fault trial. */
export interface Coverage {
  readonly kind: 'test' | 'trial';
  readonly name: string;
}

/** The rows of the matrix: the steps of requests, membership, planned stops, changes and moves. */
export const STEPS = [
  'request is taken in',
  'key is claimed',
  'request waits for a slot',
  'slot is granted',
  'request is dispatched',
  'answer is streamed',
  'answer is resumed',
  'backend server leaves',
  'request that kills',
  'membership',
  'planned stop',
  'change is appended',
  'change comes into force',
  'move is driven',
  'share is used',
  'move is settled',
  'move is taken back',
] as const;

/** The columns of the matrix: faults that may occur at any step. */
export const FAULT_COLUMNS = [
  'host killed',
  'host frozen',
  'links cut',
  'links silent',
  'store down',
  'store slow',
  'reply lost after commit',
  'lease lapsed',
  'second operator or host',
  'backend server crash',
  'late or repeated messages',
] as const;

type Step = (typeof STEPS)[number];
type Fault = (typeof FAULT_COLUMNS)[number];

function byTest(...names: readonly string[]): readonly Coverage[] {
  return names.map(name => ({kind: 'test', name}));
}

function byTrial(...names: readonly string[]): readonly Coverage[] {
  return names.map(name => ({kind: 'trial', name}));
}

/** The coverage of faults by step; a fault that is missing at a step is not covered there. */
export const COVERAGE: Readonly<
  Record<Step, Readonly<Partial<Record<Fault, readonly Coverage[]>>>>
> = {
  'request is taken in': {
    'host killed': byTrial('host killed'),
    'host frozen': byTrial('host frozen'),
    'links cut': byTest('a host that does not reach most hosts is not fresh'),
    'store down': byTrial('store down'),
    'store slow': byTrial('store slow'),
  },
  'key is claimed': {
    'host killed': byTrial('host killed'),
    'host frozen': byTrial('host frozen'),
    'links cut': byTrial('host cut from store'),
    'store down': byTest('without the store nothing is claimed'),
    'store slow': byTrial('store slow'),
    'reply lost after commit': byTest(
      'a claim whose commit reply was lost is recognized by its token',
      'under lost replies and requests a key is claimed at most once',
    ),
    'second operator or host': byTest('one of two hosts gets the claim'),
    'late or repeated messages': byTest(
      'an answered claim is replayed, even to its holder',
    ),
  },
  'request waits for a slot': {
    'host killed': byTest(
      'waiting requests are granted by the next keeper when theirs is lost',
    ),
    'host frozen': byTrial('host frozen'),
    'links cut': byTrial('host links cut'),
    'links silent': byTrial('host links silent'),
    'store down': byTrial('store down'),
    'second operator or host': byTest(
      'no request is shed while one of a lower tier waits in any cell',
    ),
    'backend server crash': byTrial('engine crashed'),
    'late or repeated messages': byTest(
      'a repeated slot request repeats the grant and takes no second slot',
    ),
  },
  'slot is granted': {
    'host killed': byTest(
      'slots of a lost host are released after the hold time',
    ),
    'host frozen': byTest('a late, cancelled or stale dispatch is blocked'),
    'links cut': byTrial('host links cut'),
    'links silent': byTrial('host links silent'),
    'lease lapsed': byTest('a late, cancelled or stale dispatch is blocked'),
    'second operator or host': byTest(
      'a new keeper grants only after hosts have reported',
    ),
    'backend server crash': byTest(
      'an unreachable runner is retried after a backoff',
    ),
    'late or repeated messages': byTest(
      'random sequences of events keep the invariants of a cell',
    ),
  },
  'request is dispatched': {
    'host killed': byTrial('host killed'),
    'host frozen': byTest(
      'a host with a stale configuration dispatches nothing',
    ),
    'links cut': byTest('a host with a stale configuration dispatches nothing'),
    'lease lapsed': byTest('a late, cancelled or stale dispatch is blocked'),
    'backend server crash': byTest(
      'a connection reset after the request was sent is reported as broken',
      'a refused connection proves that the request did not run',
      'a request that may have run is not retried',
    ),
    'late or repeated messages': byTest(
      'at most one dispatch is unrefuted in any order of steps',
    ),
  },
  'answer is streamed': {
    'host killed': byTest(
      'a stream continues at another host when its host is killed',
    ),
    'host frozen': byTrial('host frozen'),
    'links silent': byTest('a stream that goes silent is resumed'),
    'links cut': byTest('a stream that breaks is resumed at its offset'),
    'store down': byTrial('store down'),
    'backend server crash': byTrial('engine crashed'),
    'late or repeated messages': byTest(
      'late, repeated and reordered parts deliver the text once',
    ),
  },
  'answer is resumed': {
    'host killed': byTest(
      'a stream continues at another host when its host is killed',
    ),
    'second operator or host': byTest('a forged event id is rejected'),
    'backend server crash': byTrial('engine crashed'),
    'late or repeated messages': byTest(
      'a resumed answer delivers only the missing text',
    ),
  },
  'backend server leaves': {
    'store down': byTrial('store down'),
    'backend server crash': byTrial('engine crashed'),
    'late or repeated messages': byTest(
      'a stale report does not make a leaving runner live',
    ),
  },
  'request that kills': {
    'host killed': byTrial('host killed'),
    'backend server crash': byTest(
      'one crash makes a request suspect, two make it refused',
      'a request that crashed two engines is refused at every host',
    ),
    'late or repeated messages': byTest(
      'the order and repetition of crash reports do not matter',
    ),
  },
  membership: {
    'host killed': byTest('a host that misses probes is suspected, then dead'),
    'host frozen': byTest(
      'a refutation revives a dead host, a stale report does not',
    ),
    'links cut': byTrial('host links cut'),
    'links silent': byTrial('host links silent'),
    'store down': byTrial('store down'),
    'lease lapsed': byTest(
      'a refutation revives a dead host, a stale report does not',
    ),
    'late or repeated messages': byTest(
      'the order of reports does not change the view',
    ),
  },
  'planned stop': {
    'second operator or host': byTest(
      'the last host still grants and releases slots while it leaves',
      'planned stops of two hosts at once interrupt no request, also with repeated signals',
    ),
    'backend server crash': byTrial('engine crashed'),
    'host killed': byTrial('host killed'),
    'store down': byTrial('store down'),
    'late or repeated messages': byTest(
      'a leaving host stays leaving when it refutes a report',
    ),
  },
  'change is appended': {
    'store down': byTest('without the store a change is refused'),
    'reply lost after commit': byTest(
      'a change whose reply was lost takes effect once',
    ),
    'second operator or host': byTest(
      'of two concurrent changes one commits and the other gets a conflict',
    ),
  },
  'change comes into force': {
    'host killed': byTrial('host killed'),
    'host frozen': byTest(
      'a host cut off from the store is not fresh while others confirm a newer number',
    ),
    'links cut': byTest('a host that does not reach most hosts is not fresh'),
    'store down': byTest(
      'a store outage at all hosts leaves the configuration fresh',
      'a recent confirmation by a peer counts for this host',
    ),
    'late or repeated messages': byTest(
      'a change that was already applied is ignored',
    ),
  },
  'move is driven': {
    'backend server crash': byTest(
      'a failed attempt counts against its version',
    ),
    'host killed': byTest(
      'a second driver waits until the lease of the first one ends',
    ),
    'store down': byTest(
      'an unsettled move counts as rolled back at its deadline',
    ),
    'lease lapsed': byTest(
      'a second driver waits until the lease of the first one ends',
    ),
    'second operator or host': byTest('shares of an older driver are ignored'),
  },
  'share is used': {
    'second operator or host': byTest('shares of an older driver are ignored'),
    'late or repeated messages': byTest(
      'shares of an older driver are ignored',
    ),
  },
  'move is settled': {
    'second operator or host': byTest('a settled move is not rolled back'),
  },
  'move is taken back': {
    'store down': byTest(
      'an unsettled move counts as rolled back at its deadline',
    ),
    'late or repeated messages': byTest(
      'a move is settled or rolled back at its deadline',
    ),
  },
};

/** The promises that the fault trial checks after every run. */
export const TRIAL_PROMISES: readonly checks.PromiseName[] = [
  'dispatched-once',
  'effect-once',
  'not-run-is-true',
  'whole-answers',
  'tier-order',
  'leaving-gets-nothing',
  'planned-stop-cuts-nothing',
  'killer-refused',
  'engine-hidden',
];

/** The fault matrix as a Markdown page. */
export function page(): string {
  const tests = [
    ...new Set(
      STEPS.flatMap(step => Object.values(COVERAGE[step]).flat())
        .filter(cover => cover.kind === 'test')
        .map(cover => cover.name),
    ),
  ];
  const mark = (cover: Coverage) =>
    cover.kind === 'test' ? `t${tests.indexOf(cover.name) + 1}` : 'trial';
  const cell = (step: Step, fault: Fault) => {
    const covers = COVERAGE[step][fault];
    if (!covers) return 'not covered';
    return [...new Set(covers.map(mark))].join(', ');
  };
  const header = `| step | ${FAULT_COLUMNS.join(' | ')} |`;
  const line = `| --- |${' --- |'.repeat(FAULT_COLUMNS.length)}`;
  const rows = STEPS.map(step => {
    const cells = FAULT_COLUMNS.map(fault => cell(step, fault));
    return `| ${step} | ${cells.join(' | ')} |`;
  });
  const legend = tests.map((name, i) => `- t${i + 1}: ${name}`);
  return [
    '# Fault matrix',
    '',
    'Made by `npm run matrix` from `packages/trials/src/matrix.ts`; a test holds',
    'this page against the tests and fails when either changes alone. `tN` is a',
    'test that runs in CI, listed below. `trial` means that the trial with faults',
    '(`npm run faults`) brings the fault about on real processes, alone and in',
    `pairs, and checks these promises: ${TRIAL_PROMISES.join(', ')}.`,
    'Its results are in [PROMISES.md](PROMISES.md).',
    '',
    ...[header, line, ...rows],
    '',
    ...legend,
    '',
  ].join('\n');
}
