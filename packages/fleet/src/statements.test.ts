import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as statementsModule from './statements.js';

const SERVER = 'i-1@5';

interface Sent {
  readonly to: string;
  readonly statements: readonly peers.messages.Statement[];
}

/** The statements of the host h1 among h1 to h3, of which h3 is the keeper. */
function create() {
  const clock = new decisions.clock.FakeClock(0);
  const sent: Sent[] = [];
  const changes: statementsModule.StatementChange[] = [];
  const inUse = new Set([SERVER]);
  const router = {
    send: (to: string, {body}: {body: peers.messages.MessageBodies['news']}) =>
      sent.push({to, statements: body.statements}),
  };
  const statements = new statementsModule.Statements({
    ...{host: 'h1', clock, router: router as never},
    targets: except => ['h2', 'h3'].filter(host => host !== except),
    keepersOf: () => ['h3'],
    isInUse: server => inUse.has(server),
    onChange: change => changes.push(change),
  });
  const answer = (limit: number | undefined) =>
    statements.onAnswer('r1', SERVER, statements.revisionsOf(SERVER), {limit});
  return {clock, sent, changes, inUse, statements, answer};
}

test.test('a change is sent to the other hosts at once', () => {
  const {sent, changes, answer} = create();
  answer(5);
  assert.deepEqual(sent.map(({to}) => to).sort(), ['h2', 'h3']);
  const [change] = changes;
  assert.deepEqual(
    {...change},
    {
      ...{server: SERVER, kind: 'limit', before: undefined, after: 5},
      ...{from: '', requestId: 'r1', ageMs: 0},
    },
  );
});

test.test('changes in quick succession are sent together', () => {
  const {clock, sent, statements, answer} = create();
  for (const limit of [5, 4, 3, 2]) answer(limit);
  assert.equal(sent.length, 2);
  clock.advance(200);
  statements.flush();
  assert.equal(sent.length, 4);
  assert.equal(sent[3].statements[0].value, 2);
});

// Guards against a keeper that never learns of a limit since one message was lost.
test.test('answers that repeat a statement remind the keeper', () => {
  const {clock, sent, answer} = create();
  answer(5);
  sent.length = 0;
  clock.advance(1000);
  answer(5);
  answer(5);
  assert.deepEqual(
    sent.map(({to}) => to),
    ['h3'],
  );
});

test.test('news is passed on once and not back to its sender', () => {
  const {sent, statements} = create();
  const news = {
    ...{server: SERVER, kind: 'limit', hasValue: true, value: 3, revision: 2},
  };
  statements.onNews('h2', [news]);
  statements.onNews('h2', [news]);
  assert.deepEqual(
    sent.map(({to}) => to),
    ['h3'],
  );
  assert.equal(statements.valueOf(SERVER, 'limit'), 3);
});

test.test('news of an unknown kind is ignored', () => {
  const {sent, statements} = create();
  const news = {server: SERVER, kind: 'other', hasValue: true};
  statements.onNews('h2', [{...news, value: 3, revision: 2}]);
  assert.equal(sent.length, 0);
});

test.test('a host that joins is sent all statements', () => {
  const {sent, statements, answer} = create();
  answer(5);
  sent.length = 0;
  statements.onJoin('h2', 3);
  assert.deepEqual(
    sent.map(({to}) => to),
    ['h2'],
  );
});

test.test('statements of a server that is gone are dropped in time', () => {
  const {clock, changes, inUse, statements, answer} = create();
  answer(5);
  clock.advance(120_000);
  statements.flush();
  assert.equal(statements.valueOf(SERVER, 'limit'), 5);
  inUse.clear();
  statements.flush();
  assert.equal(statements.valueOf(SERVER, 'limit'), undefined);
  assert.equal(changes[1].from, statementsModule.GONE);
});

test.test('the number of servers on record is bounded', () => {
  const {statements} = create();
  for (let i = 0; i < statementsModule.MAX_SERVERS + 50; i++) {
    statements.onAnswer('r1', `i-${i}@1`, {limit: 0, leaving: 0}, {limit: 1});
  }
  statements.flush();
  assert.equal(statements.count('limit'), statementsModule.MAX_SERVERS);
});

/** Spreads one change among `size` hosts that each tell eight others; returns how many knew it in the end, and the messages. */
function spreadAmong(size: number) {
  const clock = new decisions.clock.FakeClock(0);
  const random = decisions.random.seeded(size);
  const names = Array.from({length: size}, (_, i) => `h${i}`);
  const queue: {readonly to: string; readonly from: string; sent: Sent}[] = [];
  let messages = 0;
  const all = new Map(
    names.map(host => {
      const send = (
        to: string,
        {body}: {body: peers.messages.MessageBodies['news']},
      ) => {
        messages++;
        queue.push({to, from: host, sent: {to, statements: body.statements}});
      };
      const statements = new statementsModule.Statements({
        ...{host, clock, router: {send} as never},
        targets: except =>
          decisions.random.sample(
            names.filter(name => name !== host && name !== except),
            8,
            random,
          ),
        keepersOf: () => ['h7'],
        isInUse: () => true,
        onChange: () => undefined,
      });
      return [host, statements] as const;
    }),
  );
  all.get('h0')?.onAnswer('r1', SERVER, {limit: 0, leaving: 0}, {limit: 5});
  for (let next = queue.shift(); next; next = queue.shift()) {
    all.get(next.to)?.onNews(next.from, next.sent.statements);
  }
  const known = [...all.values()].filter(
    statements => statements.valueOf(SERVER, 'limit') === 5,
  ).length;
  return {known, messages};
}

test.test('a change reaches hundreds of hosts in a few messages each', () => {
  for (const size of [9, 61, 195, 320]) {
    const {known, messages} = spreadAmong(size);
    assert.ok(known >= size * 0.99, `${known} of ${size}`);
    assert.ok(messages <= 9 * size, `${messages} among ${size}`);
  }
});

const RUNS = 300;

// Guards against a host that goes on sending to a server that leaves, as news was lost or came late (DRAIN).
test.test('a statement of leaving reaches all hosts and stays', () => {
  for (let seed = 1; seed <= RUNS; seed++) {
    const random = decisions.random.seeded(seed);
    const clock = new decisions.clock.FakeClock(0);
    const names = ['h1', 'h2', 'h3', 'h4', 'h5'];
    const queue: (Sent & {readonly from: string})[] = [];
    const create = (host: string) =>
      new statementsModule.Statements({
        ...{host, clock},
        router: {
          send: (
            to: string,
            {body}: {body: peers.messages.MessageBodies['news']},
          ) => {
            // A part of the messages is lost, others overtake.
            if (random() < 0.2) return;
            const at = Math.floor(random() * (queue.length + 1));
            queue.splice(at, 0, {from: host, to, statements: body.statements});
          },
        } as never,
        targets: except => names.filter(n => n !== except && n !== host),
        keepersOf: () => ['h3'],
        isInUse: () => true,
        onChange: () => undefined,
      });
    const hosts = new Map(names.map(name => [name, create(name)]));
    const stated = new Set<string>();
    for (let step = 0; step < 40; step++) {
      clock.advance(50 + random() * 200);
      const name = names[Math.floor(random() * names.length)];
      const host = hosts.get(name) as statementsModule.Statements;
      if (step > 5 && random() < 0.1) {
        hosts.set(name, create(name));
        stated.delete(name);
        for (const other of hosts.values()) other.onJoin(name, names.length);
      } else {
        // A server answers from the fifth step on that it leaves; older answers come late.
        const isLate = random() < 0.3;
        const leaving = step >= 5 && !isLate ? 1 : undefined;
        const sent = isLate ? {limit: 0, leaving: 0} : host.revisionsOf(SERVER);
        host.onAnswer('r1', SERVER, sent, {leaving});
        if (leaving) stated.add(name);
      }
      while (queue.length > 0 && random() < 0.7) {
        const next = queue.shift() as Sent & {readonly from: string};
        hosts.get(next.to)?.onNews(next.from, next.statements);
      }
      for (const each of stated) {
        const value = hosts.get(each)?.valueOf(SERVER, 'leaving');
        assert.equal(value, 1, `seed ${seed}: ${each} goes on`);
      }
    }
  }
});

// Guards against a server that all hosts stop using, since it has rejected a request of one of them.
test.test('a time to back off is not told to other hosts', () => {
  const {clock, sent, statements} = create();
  const revisions = statements.revisionsOf(SERVER);
  statements.onAnswer('r1', SERVER, revisions, {retryAfter: 5000});
  clock.advance(1000);
  statements.onAnswer('r2', SERVER, revisions, {});
  statements.flush();
  assert.equal(sent.length, 0);
  statements.onAnswer('r3', SERVER, revisions, {brittle: 3});
  assert.deepEqual(
    sent.flatMap(each => each.statements.map(({kind}) => kind)),
    ['brittle', 'brittle'],
  );
  const news = {server: SERVER, kind: 'retryAfter', hasValue: true};
  statements.onNews('h2', [{...news, value: 9e9, revision: 9}]);
  assert.equal(statements.valueOf(SERVER, 'retryAfter'), 5000);
});
