import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as backends from '@banyanhall/backends';

import * as streams from './stream.js';

type Event = backends.engine.EngineEvent;

/** What the fake client yields on one connection, and the error it ends with. */
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

/** Creates a client whose connections follow the scripts in turn; `opened` lists how each was opened. */
function createFakeClient(scripts: readonly Script[]) {
  const opened: string[] = [];
  async function* runScript(how: string): AsyncGenerator<Event> {
    const {events, breaksWith} = scripts[opened.length] ?? {events: []};
    opened.push(how);
    yield* events;
    if (!breaksWith) return;
    throw new backends.engine.BackendError(breaksWith, 'scripted');
  }
  const client = {
    chat: () => runScript('chat'),
    resume: (_: string, __: string, offset: number) =>
      runScript(`at ${offset}`),
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

/** Reads a stream; resolves to its text, or to the kind of the error that ended it. */
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
  const {client, opened} = createFakeClient([
    {events: [part(0, 'ab')], breaksWith: 'broken'},
    {events: [part(2, 'cd'), end(4)]},
  ]);
  assert.equal(await textOf(client), 'abcd');
  assert.deepEqual(opened, ['chat', 'at 2']);
});

// The backend client reports silence as a broken connection.
test.test('a stream that goes silent is resumed', async () => {
  const {client, opened} = createFakeClient([
    {events: [], breaksWith: 'broken'},
    {events: [part(0, 'ab'), end(2)]},
  ]);
  assert.equal(await textOf(client), 'ab');
  assert.deepEqual(opened, ['chat', 'at 0']);
});

test.test('repeated and late parts are yielded once', async () => {
  const {client} = createFakeClient([
    {events: [part(0, 'ab'), part(0, 'ab'), part(4, 'ef')]},
    {events: [part(2, 'cdef'), end(6)]},
  ]);
  assert.equal(await textOf(client), 'abcdef');
});

test.test(
  'an end mark before the complete text does not end the stream',
  async () => {
    const {client, opened} = createFakeClient([
      {events: [part(0, 'ab'), end(4)]},
      {events: [part(2, 'cd'), end(4)]},
    ]);
    assert.equal(await textOf(client), 'abcd');
    assert.deepEqual(opened, ['chat', 'at 2']);
  },
);

test.test('a request that provably did not run is not resumed', async () => {
  const {client, opened} = createFakeClient([
    {events: [], breaksWith: 'unreachable'},
  ]);
  assert.equal(await textOf(client), 'unreachable');
  assert.deepEqual(opened, ['chat']);
});

test.test(
  'a backend server that becomes unreachable during a stream is gone',
  async () => {
    const unreachable = {events: [], breaksWith: 'unreachable'} as const;
    const {client, opened} = createFakeClient([
      {events: [part(0, 'a')], breaksWith: 'broken'},
      unreachable,
      unreachable,
    ]);
    assert.equal(await textOf(client), 'gone');
    assert.deepEqual(opened, ['chat', 'at 1', 'at 1']);
  },
);

test.test('a stream unknown to its backend server is gone', async () => {
  const {client} = createFakeClient([
    {events: [part(0, 'a')], breaksWith: 'broken'},
    {events: [], breaksWith: 'unknown-stream'},
  ]);
  assert.equal(await textOf(client), 'gone');
});
