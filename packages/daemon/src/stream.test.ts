import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as backends from '@banyanhall/backends';

import * as streams from './stream.js';

type Event = backends.engine.EngineEvent;

/** What a fake engine does on one connection: events, then perhaps a break. */
interface Script {
  readonly events: readonly Event[];
  readonly breaksWith?: backends.engine.BackendErrorKind;
}

const USAGE = {promptTokens: 1, outputTokens: 1, cachedTokens: 0};

function part(offset: number, text: string): Event {
  return {kind: 'part', offset, text};
}

function end(length: number): Event {
  return {kind: 'end', length, finishReason: 'stop', usage: USAGE};
}

/** A client whose connections follow the scripts in turn, with a note of how each was opened. */
function fake(scripts: readonly Script[]) {
  const opened: string[] = [];
  async function* play(how: string): AsyncGenerator<Event> {
    const {events, breaksWith} = scripts[opened.length] ?? {events: []};
    opened.push(how);
    yield* events;
    if (!breaksWith) return;
    throw new backends.engine.BackendError(breaksWith, 'scripted');
  }
  const client = {
    chat: () => play('chat'),
    resume: (_: string, __: string, offset: number) => play(`at ${offset}`),
  };
  return {client: client as never, opened};
}

const SOURCE: streams.StreamSource = {
  url: '',
  streamId: 's',
  signal: new AbortController().signal,
  offset: 0,
  request: {streamId: 's', model: 'm', messages: [], maxTokens: 9},
  onResume: () => undefined,
};

/** The text that a stream brings, or the kind of break that ends it. */
async function textOf(client: never): Promise<string> {
  let text = '';
  try {
    for await (const event of streams.read(client, SOURCE)) {
      if (event.kind === 'part') text += event.text;
    }
    return text;
  } catch (error) {
    return (error as backends.engine.BackendError).kind;
  }
}

test.test('a stream that breaks is resumed at its offset', async () => {
  const {client, opened} = fake([
    {events: [part(0, 'ab')], breaksWith: 'broken'},
    {events: [part(2, 'cd'), end(4)]},
  ]);
  assert.equal(await textOf(client), 'abcd');
  assert.deepEqual(opened, ['chat', 'at 2']);
});

test.test('a stream that goes silent is resumed', async () => {
  const {client, opened} = fake([
    {events: [], breaksWith: 'broken'},
    {events: [part(0, 'ab'), end(2)]},
  ]);
  assert.equal(await textOf(client), 'ab');
  assert.deepEqual(opened, ['chat', 'at 0']);
});

test.test('repeated and late parts are passed on once', async () => {
  const {client} = fake([
    {events: [part(0, 'ab'), part(0, 'ab'), part(4, 'ef')]},
    {events: [part(2, 'cdef'), end(6)]},
  ]);
  assert.equal(await textOf(client), 'abcdef');
});

test.test(
  'an end mark before the whole text does not end the stream',
  async () => {
    const {client, opened} = fake([
      {events: [part(0, 'ab'), end(4)]},
      {events: [part(2, 'cd'), end(4)]},
    ]);
    assert.equal(await textOf(client), 'abcd');
    assert.deepEqual(opened, ['chat', 'at 2']);
  },
);

test.test('a proven not-run is passed on, not resumed', async () => {
  const {client, opened} = fake([{events: [], breaksWith: 'unreachable'}]);
  assert.equal(await textOf(client), 'unreachable');
  assert.deepEqual(opened, ['chat']);
});

test.test('a server that went away in the middle is gone', async () => {
  const unreachable = {events: [], breaksWith: 'unreachable'} as const;
  const {client, opened} = fake([
    {events: [part(0, 'a')], breaksWith: 'broken'},
    unreachable,
    unreachable,
  ]);
  assert.equal(await textOf(client), 'gone');
  assert.deepEqual(opened, ['chat', 'at 1', 'at 1']);
});

test.test('a stream that its server forgot is gone', async () => {
  const {client} = fake([
    {events: [part(0, 'a')], breaksWith: 'broken'},
    {events: [], breaksWith: 'unknown-stream'},
  ]);
  assert.equal(await textOf(client), 'gone');
});
