import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as silences from './silence.js';

const SILENCE_MS = 40;

/** A watch whose repeats are secured by the test. */
interface TestWatch {
  readonly watch: silences.SilenceWatch<string>;
  /** Settles the repeats that are being secured, in order. */
  readonly settle: ((repeat: string | undefined) => void)[];
  readonly signals: AbortSignal[];
  readonly released: string[];
}

function startWatch(silenceMs = SILENCE_MS): TestWatch {
  const settle: ((repeat: string | undefined) => void)[] = [];
  const signals: AbortSignal[] = [];
  const released: string[] = [];
  const watch = new silences.SilenceWatch<string>({
    silenceMs,
    secure: signal => {
      signals.push(signal);
      return new Promise(resolve => settle.push(resolve));
    },
    release: repeat => released.push(repeat),
  });
  return {watch, settle, signals, released};
}

test.test('an attempt is given up once its repeat is secured', async () => {
  const {watch, settle} = startWatch();
  await timers.setTimeout(2 * SILENCE_MS);
  assert.ok(!watch.signal.aborted);
  settle[0]('slot');
  await timers.setImmediate();
  assert.ok(watch.signal.aborted);
  assert.equal(watch.repeat, 'slot');
});

// Guards against a sound attempt that is cut for a repeat that is not possible.
test.test('an attempt without a repeat goes on and asks again', async () => {
  const {watch, settle} = startWatch();
  await timers.setTimeout(2 * SILENCE_MS);
  settle[0](undefined);
  await timers.setTimeout(500);
  assert.ok(!watch.signal.aborted);
  assert.equal(settle.length, 2);
  watch.stop();
});

// Guards against an attempt that is repeated although its backend server went on while the repeat waited for a slot.
test.test('data while a repeat is secured keeps the attempt', async () => {
  const {watch, settle, signals, released} = startWatch();
  await timers.setTimeout(2 * SILENCE_MS);
  watch.onData();
  assert.ok(signals[0].aborted);
  settle[0]('slot');
  await timers.setImmediate();
  assert.ok(!watch.signal.aborted);
  assert.deepEqual(released, ['slot']);
  assert.equal(watch.repeat, undefined);
  watch.stop();
});

// Guards against a delay of the event loop that is taken for silence although data has arrived.
test.test('data that arrives while the loop is blocked counts', async () => {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const accepted = new Promise<net.Socket>(resolve => {
    server.once('connection', resolve);
  });
  const receiver = net.connect(port, '127.0.0.1');
  const connected = new Promise(resolve => receiver.once('connect', resolve));
  const sender = await accepted;
  await connected;
  const {watch, signals} = startWatch();
  receiver.on('data', () => watch.onData());
  await timers.setImmediate();
  sender.write('data');
  const endMs = performance.now() + 2 * SILENCE_MS;
  while (performance.now() < endMs);
  await new Promise(resolve => receiver.once('data', resolve));
  await timers.setImmediate();
  assert.equal(signals.length, 0);
  watch.stop();
  receiver.destroy();
  sender.destroy();
  server.close();
});

test.test('an attempt that can not be repeated is not watched', async () => {
  const {watch, settle} = startWatch(Infinity);
  await timers.setTimeout(2 * SILENCE_MS);
  assert.equal(settle.length, 0);
  watch.stop();
});

test.test('a stopped watch does not give up its attempt', async () => {
  const {watch, settle} = startWatch();
  await timers.setTimeout(2 * SILENCE_MS);
  watch.stop();
  settle[0]('slot');
  await timers.setImmediate();
  assert.ok(!watch.signal.aborted);
});
