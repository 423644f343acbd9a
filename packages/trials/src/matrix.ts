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

function by(...names: readonly string[]): readonly Coverage[] {
  return names.map(name => ({kind: 'test', name}));
}

function trial(...names: readonly string[]): readonly Coverage[] {
  return names.map(name => ({kind: 'trial', name}));
}

/** The coverage of faults by step; a fault that is missing at a step is not covered there. */
export const COVERAGE: Readonly<
  Record<Step, Readonly<Partial<Record<Fault, readonly Coverage[]>>>>
> = {
  'request is taken in': {
    'host killed': trial('host killed'),
    'host frozen': trial('host frozen'),
    'links cut': by('a host that reaches nobody is not fresh'),
    'store down': trial('store down'),
    'store slow': trial('store slow'),
  },
  'key is claimed': {
    'host killed': trial('host killed'),
    'host frozen': trial('host frozen'),
    'links cut': trial('host cut from store'),
    'store down': by('without the store nothing is claimed'),
    'store slow': trial('store slow'),
    'reply lost after commit': by(
      'a lost reply is settled by the own token',
      'under lost replies and requests a key is claimed at most once',
    ),
    'second operator or host': by('one of two hosts gets the claim'),
    'late or repeated messages': by(
      'an answered key is replayed, also to its holder',
    ),
  },
  'request waits for a slot': {
    'host killed': by('what waits is handed on when its keeper is lost'),
    'host frozen': trial('host frozen'),
    'links cut': trial('host links cut'),
    'links silent': trial('host links silent'),
    'store down': trial('store down'),
    'second operator or host': by(
      'no tier is shed while a lower one waits anywhere',
    ),
    'backend server crash': trial('engine crashed'),
    'late or repeated messages': by(
      'a repeated ask repeats the grant and takes no second slot',
    ),
  },
  'slot is granted': {
    'host killed': by('slots of a lost host are freed after a hold'),
    'host frozen': by('a late, cancelled or cut off host does not dispatch'),
    'links cut': trial('host links cut'),
    'links silent': trial('host links silent'),
    'lease lapsed': by('a late, cancelled or cut off host does not dispatch'),
    'second operator or host': by(
      'a new keeper grants only after hosts have reported',
    ),
    'backend server crash': by(
      'a runner that can not be reached is tried again after a pause',
    ),
    'late or repeated messages': by(
      'every history keeps the promises of a cell',
    ),
  },
  'request is dispatched': {
    'host killed': trial('host killed'),
    'host frozen': by('a host that lost touch dispatches nothing'),
    'links cut': by('a host that lost touch dispatches nothing'),
    'lease lapsed': by('a late, cancelled or cut off host does not dispatch'),
    'backend server crash': by(
      'a reset after the request left may have run',
      'a refused connection proves not-run',
      'a request that may have run is not tried again',
    ),
    'late or repeated messages': by(
      'in any order of steps unrefuted dispatches stay at one',
    ),
  },
  'answer is streamed': {
    'host killed': by(
      'a stream continues at another host when its host is killed',
    ),
    'host frozen': trial('host frozen'),
    'links silent': by('a stream that goes silent is resumed'),
    'links cut': by('a stream that breaks is resumed at its offset'),
    'store down': trial('store down'),
    'backend server crash': trial('engine crashed'),
    'late or repeated messages': by(
      'late, repeated and unordered parts give the text once',
    ),
  },
  'answer is resumed': {
    'host killed': by(
      'a stream continues at another host when its host is killed',
    ),
    'second operator or host': by('a forged event id is rejected'),
    'backend server crash': trial('engine crashed'),
    'late or repeated messages': by(
      'a resumed answer delivers only what is missing',
    ),
  },
  'backend server leaves': {
    'store down': trial('store down'),
    'backend server crash': trial('engine crashed'),
    'late or repeated messages': by(
      'old news does not bring a leaving runner back',
    ),
  },
  'request that kills': {
    'host killed': trial('host killed'),
    'backend server crash': by(
      'a request at two crashes is refused, at one it is a suspect',
      'a request that crashed two engines is refused at every host',
    ),
    'late or repeated messages': by(
      'the order and repetition of reports do not matter',
    ),
  },
  membership: {
    'host killed': by('a host that misses probes is suspected, then dead'),
    'host frozen': by(
      'a refutation brings a dead host back, old news does not',
    ),
    'links cut': trial('host links cut'),
    'links silent': trial('host links silent'),
    'store down': trial('store down'),
    'lease lapsed': by(
      'a refutation brings a dead host back, old news does not',
    ),
    'late or repeated messages': by(
      'views agree whatever the order of reports',
    ),
  },
  'planned stop': {
    'second operator or host': by(
      'the last host keeps its slots in order as it leaves',
      'planned stops of two hosts at once interrupt no request, also with repeated signals',
    ),
    'backend server crash': trial('engine crashed'),
    'host killed': trial('host killed'),
    'store down': trial('store down'),
    'late or repeated messages': by(
      'a leaving host refutes without coming back to serving',
    ),
  },
  'change is appended': {
    'store down': by('without the store a change is refused'),
    'reply lost after commit': by(
      'a change whose reply was lost takes effect once',
    ),
    'second operator or host': by(
      'of two operators one wins and the other sees the change',
    ),
  },
  'change comes into force': {
    'host killed': trial('host killed'),
    'host frozen': by(
      'a host that is cut off is not fresh while others confirm',
    ),
    'links cut': by('a host that reaches nobody is not fresh'),
    'store down': by(
      'a store that is away for all leaves the configuration in force',
      'a peer that confirmed lately confirms for this host',
    ),
    'late or repeated messages': by('old news from a peer changes nothing'),
  },
  'move is driven': {
    'backend server crash': by(
      'a version that answers with an error is held against it',
    ),
    'host killed': by('a second driver waits for the first one’s lease to end'),
    'store down': by(
      'a move nobody wrote about counts as taken back at its deadline',
    ),
    'lease lapsed': by(
      'a second driver waits for the first one’s lease to end',
    ),
    'second operator or host': by('shares of an older driver are ignored'),
  },
  'share is used': {
    'second operator or host': by('shares of an older driver are ignored'),
    'late or repeated messages': by('shares of an older driver are ignored'),
  },
  'move is settled': {
    'second operator or host': by('a settled move is not taken back any more'),
  },
  'move is taken back': {
    'store down': by(
      'a move nobody wrote about counts as taken back at its deadline',
    ),
    'late or repeated messages': by(
      'whatever happens a move is over at its deadline',
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
