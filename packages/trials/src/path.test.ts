// Tests requests and operations end to end on a fleet of real processes.

import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as util from 'node:util';

import * as standins from '@banyanhall/standins';
import * as eventsource from 'eventsource-parser';
import got from 'got';

import * as callers from './caller.js';
import * as fleets from './fleet.js';
import * as plans from './plans.js';
import * as processes from './processes.js';

const execFile = util.promisify(childProcess.execFile);

const fleet = await fleets.Fleet.start({
  ...plans.DEFAULT_PLAN,
  keepsTimeline: true,
});
const caller = new callers.Caller(fleet.hosts.map(host => host.callerUrl));

test.after(async () => {
  caller.close();
  await fleet.stop();
});

const CHAT = {
  account: 'sharqia',
  profile: 'gate',
  service: 'tray-scribe',
  maxTokens: 12,
  timeoutMs: 20_000,
};

/** Posts a body unchanged to the chat path of the first host; resolves to the status, the error and the verdict header. */
async function postRaw(
  body: string,
  headers: Readonly<Record<string, string>> = {},
) {
  const [host] = fleet.hosts;
  const response = await got.post(`${host.callerUrl}/v1/chat/completions`, {
    body,
    headers: {authorization: 'Bearer key-sharqia', ...headers},
    throwHttpErrors: false,
    retry: {limit: 0},
  });
  const {error} = JSON.parse(response.body) as {
    readonly error?: {readonly type: string; readonly verdict: string};
  };
  return {
    status: response.statusCode,
    type: error?.type,
    verdict: error?.verdict,
    header: response.headers['banyanhall-verdict'],
  };
}

/** Runs the operators' command-line tool; resolves to its exit code and output. */
async function runTool(...args: readonly string[]) {
  const script = processes.scriptPath('cli', 'main.js');
  const env = {...process.env, ...fleet.operatorEnv};
  return execFile(process.execPath, [script, ...args], {env}).then(
    ({stdout}) => ({code: 0, stdout, stderr: ''}),
    (error: {code: number; stdout: string; stderr: string}) => error,
  );
}

test.test('a streamed answer is whole', async () => {
  const prompt = 'request stream';
  const outcome = await caller.chat({...CHAT, prompt});
  assert.equal(outcome.text, standins.batch.answerText(prompt, CHAT.maxTokens));
});

test.test('an answer without streaming comes in one response', async () => {
  const [host] = fleet.hosts;
  const content = 'request whole';
  const answer = await got
    .post(`${host.callerUrl}/v1/chat/completions`, {
      json: {
        model: CHAT.service,
        messages: [{role: 'user', content}],
        max_tokens: 5,
      },
      headers: {authorization: 'Bearer key-sharqia'},
    })
    .json<{choices: {message: {content: string}}[]}>();
  const [choice] = answer.choices;
  assert.equal(choice.message.content, standins.batch.answerText(content, 5));
});

test.test(
  'a request with an idempotency key runs once and is replayed',
  async () => {
    const send = () =>
      caller.plain('depot', 'credit', 'tray-ledger/credits', {a: 1}, 'key-1');
    const first = await send();
    assert.ok(first.isWhole, first.failure);
    let second = await send();
    while (second.failure === 'outcome-unknown') second = await send();
    assert.equal(second.text, first.text);
    const effects = fleet.effects.filter(effect => effect.key === 'key-1');
    assert.equal(effects.length, 1);
  },
);

test.test(
  'the same idempotency key with another body is a conflict',
  async () => {
    const send = (body: object) =>
      caller.plain('depot', 'credit', 'tray-ledger/credits', body, 'key-2');
    await send({a: 1});
    const other = await send({a: 2});
    assert.equal(other.failure, 'idempotency-conflict');
  },
);

test.test('an invalid request is rejected with verdict not-run', async () => {
  const good = JSON.stringify({model: 'tray-scribe', messages: [{}]});
  const cases = [
    [
      await postRaw(good, {authorization: 'Bearer nobody'}),
      401,
      'unauthorized',
    ],
    [await postRaw(good, {'banyanhall-profile': 'x'}), 400, 'unknown-profile'],
    [await postRaw('{"model": "x", "messages": [{}]}'), 404, 'unknown-service'],
    [await postRaw('{'), 400, 'invalid-request'],
    [await postRaw('x'.repeat(1_100_000)), 413, 'request-too-large'],
  ] as const;
  for (const [answer, status, type] of cases) {
    assert.equal(answer.type, type);
    assert.equal(answer.status, status);
    assert.equal(answer.verdict, 'not-run');
    assert.equal(answer.header, 'not-run');
  }
});

interface StreamPart {
  readonly text: string;
  readonly lastEventId: string;
  readonly status: number;
}

/** Reads or resumes a stream at one host until it has `minChars` characters, then closes the connection. */
async function readPart(
  host: fleets.Host,
  account: string,
  prompt: string,
  lastEventId: string,
  minChars: number,
): Promise<StreamPart> {
  let text = '';
  let last = lastEventId;
  let status = 0;
  const parser = eventsource.createParser({
    onEvent: ({data, id}) => {
      last = id ?? last;
      if (data === '[DONE]') return;
      const chunk = JSON.parse(data) as {
        readonly choices?: readonly {readonly delta: {content?: string}}[];
      };
      text += chunk.choices?.[0].delta.content ?? '';
    },
  });
  const stream = got.stream.post(`${host.callerUrl}/v1/chat/completions`, {
    json: {
      model: CHAT.service,
      messages: [{role: 'user', content: prompt}],
      max_tokens: 60,
      stream: true,
    },
    headers: {
      authorization: `Bearer key-${account}`,
      ...(lastEventId && {'last-event-id': lastEventId}),
    },
    throwHttpErrors: false,
    retry: {limit: 0},
  });
  stream.on('response', (response: {statusCode: number}) => {
    status = response.statusCode;
  });
  for await (const chunk of stream.setEncoding('utf8')) {
    if (status === 200) parser.feed(String(chunk));
    if (text.length >= minChars) break;
  }
  return {text, lastEventId: last, status};
}

test.test('a stream can be resumed at another host', async () => {
  const prompt = 'request resume';
  const [first, second] = fleet.hosts;
  const begun = await readPart(first, 'sharqia', prompt, '', 40);
  const {lastEventId} = begun;
  const rest = await readPart(second, 'sharqia', prompt, lastEventId, Infinity);
  const whole = standins.batch.answerText(prompt, 60);
  assert.equal(begun.text + rest.text, whole);
  assert.equal(runsOf(prompt), 1);
});

test.test('a resumed stream is not cancelled by its former host', async () => {
  const prompt = 'request twice resumed';
  const [first, second] = fleet.hosts;
  const one = await readPart(first, 'sharqia', prompt, '', 20);
  const two = await readPart(second, 'sharqia', prompt, one.lastEventId, 20);
  const three = await readPart(
    first,
    'sharqia',
    prompt,
    two.lastEventId,
    Infinity,
  );
  const whole = standins.batch.answerText(prompt, 60);
  assert.equal(one.text + two.text + three.text, whole);
});

test.test('an event id of another account is rejected', async () => {
  const prompt = 'request stolen';
  const [first, second] = fleet.hosts;
  const begun = await readPart(first, 'sharqia', prompt, '', 20);
  const {lastEventId} = begun;
  const stolen = await readPart(second, 'depot', prompt, lastEventId, Infinity);
  assert.equal(stolen.status, 400);
  assert.equal(stolen.text, '');
});

/** The number of engine runs of a prompt. */
function runsOf(prompt: string): number {
  return fleet.runs.filter(run => run.promptTail === prompt).length;
}

test.test('a forged event id is rejected', async () => {
  const body = JSON.stringify({model: 'tray-scribe', messages: [{}]});
  const answer = await postRaw(body, {'last-event-id': 'AAAAAAAAAAAAAAAA'});
  assert.equal(answer.type, 'invalid-request');
});

test.test('a caller key is rejected by the operator interface', async () => {
  const [host] = fleet.hosts;
  const response = await got(`${host.operatorUrl}/operator/status`, {
    headers: {authorization: 'Bearer key-sharqia'},
    throwHttpErrors: false,
  });
  assert.equal(response.statusCode, 401);
});

test.test('apply reports an invalid line and changes nothing', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'banyanhall-'));
  const file = path.join(folder, 'bad.yaml');
  fs.writeFileSync(file, 'profiles:\n  - name: p\n    tiers: 1\n');
  const before = await runTool('config', 'history', '--json');
  const applied = await runTool('apply', file);
  assert.equal(applied.code, 2);
  assert.match(applied.stderr, /bad\.yaml:3: .*tiers/);
  const after = await runTool('config', 'history', '--json');
  assert.equal(after.stdout, before.stdout);
  fs.rmSync(folder, {recursive: true});
});

test.test('a change is in force on every host after apply --wait', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'banyanhall-'));
  const file = path.join(folder, 'good.yaml');
  fs.writeFileSync(
    file,
    'profiles:\n  - {name: night, tier: 3, deadlineMs: 9000, idempotent: true}\n',
  );
  const applied = await runTool('apply', file, '--wait');
  assert.equal(applied.code, 0, applied.stderr);
  for (const {name} of fleet.hosts) {
    assert.match(applied.stdout, new RegExp(`${name}: in force`));
  }
  const shown = await runTool('profile', 'get', 'night');
  assert.match(shown.stdout, /"tier": 3/);
  fs.rmSync(folder, {recursive: true});
});

test.test('the timeline can be written as a trace file', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'banyanhall-'));
  const file = path.join(folder, 'trace.json');
  assert.equal((await runTool('timeline', '--trace', file)).code, 0);
  const trace = JSON.parse(fs.readFileSync(file, 'utf8')) as {
    readonly traceEvents: readonly {readonly ph: string}[];
  };
  assert.ok(trace.traceEvents.some(event => event.ph === 'b'));
  fs.rmSync(folder, {recursive: true});
});

test.test(
  'a request that crashed two engines is refused at every host',
  async () => {
    const chatRequest = {
      ...CHAT,
      prompt: 'KILL-ENGINE request killer',
      maxTokens: 60,
    };
    const failures: string[] = [];
    for (let i = 0; i < 6; i++) {
      const outcome = await caller.chat(chatRequest);
      failures.push(`${outcome.failure} ${outcome.verdict}`);
      await fleet.reviveBackends();
    }
    const refused = 'suspect-request not-run';
    assert.deepEqual(failures.slice(2), Array(4).fill(refused));
    assert.equal(runsOf(chatRequest.prompt), 2);
  },
);

test.test(
  'a stream continues at another host when its host is killed',
  async () => {
    const prompt = 'request killed';
    let isKilled = false;
    const onPart = () => {
      if (isKilled) return;
      isKilled = true;
      const run = fleet.runs.find(each => each.promptTail === prompt);
      const host = fleet.hosts.find(({name}) =>
        run?.streamId.startsWith(`${name}-`),
      );
      host?.process.child.kill('SIGKILL');
    };
    const outcome = await caller.chat({
      ...CHAT,
      prompt,
      maxTokens: 150,
      onPart,
    });
    assert.equal(outcome.text, standins.batch.answerText(prompt, 150));
    assert.ok(outcome.resumes > 0);
  },
);

test.test('the other hosts serve requests after one was killed', async () => {
  const outcome = await caller.plain('depot', 'credit', 'tray-ledger/x', {});
  assert.ok(outcome.isWhole, outcome.failure);
  const chat = await caller.chat({...CHAT, prompt: 'request after'});
  assert.ok(chat.isWhole, chat.failure);
});

test.test('a planned stop of a host interrupts no request', async () => {
  const [host] = fleet.running;
  const prompts = Array.from({length: 6}, (_, i) => `request stop ${i}`);
  const answers = prompts.map(prompt =>
    caller.chat({...CHAT, prompt, maxTokens: 80}),
  );
  host.process.child.kill('SIGTERM');
  for (const outcome of await Promise.all(answers)) {
    assert.ok(outcome.isWhole, outcome.failure);
    assert.equal(outcome.resumes, 0);
  }
  assert.equal(await host.process.exited, 0);
});

test.test(
  'planned stops of two hosts at once interrupt no request, also with repeated signals',
  async () => {
    for (const [index, host] of fleet.hosts.entries()) {
      if (fleet.running.includes(host)) continue;
      await fleet.waitUntilReady(await fleet.startHost(index));
    }
    const answers = Array.from({length: 9}, (_, i) =>
      caller.chat({...CHAT, prompt: `request stops ${i}`, maxTokens: 80}),
    );
    const stopping = fleet.hosts.slice(0, 2).map(host => host.process);
    for (const {child} of [...stopping, ...stopping]) child.kill('SIGTERM');
    for (const outcome of await Promise.all(answers)) {
      assert.ok(outcome.isWhole, outcome.failure);
      assert.equal(outcome.resumes, 0);
    }
    for (const {exited} of stopping) assert.equal(await exited, 0);
  },
);
