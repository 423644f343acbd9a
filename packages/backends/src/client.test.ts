import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';

import * as clients from './client.js';
import type * as engine from './engine.js';

const client = new clients.BackendClient();

test.after(() => client.close());

interface TestServer {
  readonly url: string;
  readonly server: http.Server;
  readonly count: () => number;
}

/** A server that counts its requests. */
async function serve(handler: http.RequestListener): Promise<TestServer> {
  let count = 0;
  const server = http.createServer((request, response) => {
    count++;
    handler(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  return {url: `http://127.0.0.1:${port}`, server, count: () => count};
}

const CALL: clients.PlainRequest = {
  method: 'POST',
  path: '/x',
  body: '{}',
  contentType: 'application/json',
  version: 'v1',
  requestKey: 'k',
  timeoutMs: 400,
};

/** How a call ends: `answered`, or the kind of break. */
async function kindOf(call: Promise<unknown>): Promise<string> {
  return call.then(
    () => 'answered',
    (error: engine.BackendError) => error.kind,
  );
}

/** The text of a stream, or the kind of break. */
async function textOf(
  events: AsyncIterable<engine.EngineEvent>,
): Promise<string> {
  let text = '';
  try {
    for await (const event of events) {
      if (event.kind === 'part') text += event.text;
    }
    return text;
  } catch (error) {
    return (error as engine.BackendError).kind;
  }
}

test.test('a refused connection proves not-run', async () => {
  const {url, server} = await serve(() => undefined);
  await new Promise(resolve => server.close(resolve));
  assert.equal(await kindOf(client.callPlain(url, CALL)), 'unreachable');
});

test.test('a reset after the request left may have run', async () => {
  const {url, server, count} = await serve(request =>
    request.socket.resetAndDestroy(),
  );
  assert.equal(await kindOf(client.callPlain(url, CALL)), 'broken');
  assert.equal(count(), 1);
  server.close();
});

test.test(
  'an answer that does not come may have run, and is asked for once',
  async () => {
    const {url, server, count} = await serve(() => undefined);
    assert.equal(await kindOf(client.callPlain(url, CALL)), 'broken');
    assert.equal(count(), 1);
    server.close();
    server.closeAllConnections();
  },
);

test.test('only the documented refusal proves not-run', async () => {
  const refusing = await serve((_, response) => {
    response.writeHead(503);
    response.end('{"error": {"code": "not_admitted", "leaving": true}}');
  });
  const failing = await serve((_, response) => {
    response.writeHead(503);
    response.end('{"error": {"code": "overloaded"}}');
  });
  assert.equal(
    await kindOf(client.callPlain(refusing.url, CALL)),
    'not-admitted',
  );
  assert.equal(await kindOf(client.callPlain(failing.url, CALL)), 'answered');
  assert.equal(refusing.count(), 1);
  assert.equal(failing.count(), 1);
  refusing.server.close();
  failing.server.close();
});

test.test('a redirect is not followed', async () => {
  const {url, server, count} = await serve((_, response) => {
    response.writeHead(307, {location: '/y'});
    response.end();
  });
  const answer = await client.callPlain(url, CALL);
  assert.equal(answer.status, 307);
  assert.equal(count(), 1);
  server.close();
});

test.test(
  'parts with wide characters that are cut in two arrive whole',
  async () => {
    const bytes = Buffer.from(
      'id: 0\ndata: {"choices":[{"delta":{"content":"é🙂"}}]}\n\n' +
        'id: 3\ndata: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n',
    );
    const {url, server} = await serve((_, response) => {
      response.writeHead(200);
      const cut = bytes.indexOf(Buffer.from('é')) + 1;
      response.write(bytes.subarray(0, cut));
      setTimeout(() => response.end(bytes.subarray(cut)), 20);
    });
    const {signal} = new AbortController();
    const request = {streamId: 's', model: 'm', messages: [], maxTokens: 1};
    assert.equal(await textOf(client.chat(url, request, signal, 1000)), 'é🙂');
    server.close();
  },
);

test.test('streams that end well share a connection', async () => {
  const {url, server} = await serve((_, response) => {
    response.writeHead(200);
    response.write(
      'id: 0\ndata: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n',
    );
    setTimeout(() => response.end('data: [DONE]\n\n'), 5);
  });
  let connections = 0;
  server.on('connection', () => connections++);
  const {signal} = new AbortController();
  for (let i = 0; i < 3; i++) {
    assert.equal(await textOf(client.resume(url, 's', 0, signal, 1000)), '');
  }
  server.close();
  assert.equal(connections, 1);
});

test.test('a stream without an end mark is broken', async () => {
  const {url, server} = await serve((_, response) => {
    response.writeHead(200);
    response.end('id: 0\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n');
  });
  const {signal} = new AbortController();
  const events = client.resume(url, 's', 0, signal, 1000);
  assert.equal(await textOf(events), 'broken');
  server.close();
});
