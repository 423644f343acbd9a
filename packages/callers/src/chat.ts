/** The chat completions endpoint, in the format of the OpenAI API, streamed as server-sent events or returned whole. */
import * as decisions from '@banyanhall/decisions';
import type Koa from 'koa';

import type * as api from './api.js';
import * as parse from './parse.js';

/** The JSON body of an error response. */
export function errorBody(failure: decisions.verdict.Failure): object {
  const {type, message, verdict, retryAfterMs} = failure;
  return {error: {type, message, verdict, retryAfterMs}};
}

/** A signal that aborts if the caller ends its connection before the response is complete. */
export function disconnectSignal(ctx: Koa.Context): AbortSignal {
  const controller = new AbortController();
  const {req, res} = ctx;
  const onEnd = () => {
    if (!res.writableFinished) controller.abort();
  };
  // Some turns of the event loop before the response closes.
  req.socket.once('end', onEnd);
  res.once('close', () => {
    req.socket.removeListener('end', onEnd);
    onEnd();
  });
  return controller.signal;
}

/** Handles a chat request. Throws FailureError. */
export async function handleChat(
  ctx: Koa.Context,
  host: api.CallerApi,
): Promise<void> {
  const keySha256 = parse.keySha256(ctx);
  const text = await parse.body(ctx);
  const body = parse.parseChatBody(text);
  const response = await host.chat({
    keySha256,
    profile: ctx.get('banyanhall-profile'),
    service: body.model,
    messages: body.messages,
    maxTokens: body.maxTokens,
    requestKey: parse.requestKey(ctx),
    digest: parse.digestOfParts('chat', text),
    lastEventId: ctx.get('last-event-id'),
    signal: disconnectSignal(ctx),
  });
  if (body.isStream) await stream(ctx, body.model, response);
  else await writeWhole(ctx, body.model, response);
}

/** Collects the events into a single `chat.completion` object. */
async function writeWhole(
  ctx: Koa.Context,
  model: string,
  response: api.ChatResponse,
): Promise<void> {
  let content = '';
  for await (const event of response.events) {
    if (event.kind === 'part') {
      content += event.text;
      continue;
    }
    ctx.set('banyanhall-verdict', 'ran');
    ctx.body = {
      id: response.id,
      object: 'chat.completion',
      model,
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content},
          finish_reason: event.finishReason,
        },
      ],
      usage: {
        prompt_tokens: event.promptTokens,
        completion_tokens: event.outputTokens,
        total_tokens: event.promptTokens + event.outputTokens,
      },
    };
  }
}

/**
 * Writes the events as server-sent events. The headers are sent with the first
 * event, so a failure before it still gets its own HTTP status; a later one is
 * sent as an `error` event, and an unexpected error closes the connection.
 */
async function stream(
  ctx: Koa.Context,
  model: string,
  response: api.ChatResponse,
): Promise<void> {
  const {res} = ctx;
  try {
    for await (const event of response.events) {
      if (!ctx.headerSent) writeStreamHeaders(ctx);
      const hasCapacity = res.write(formatEvent(response.id, model, event));
      if (!hasCapacity && !res.destroyed) await waitForDrain(res);
    }
    res.end('data: [DONE]\n\n');
  } catch (error) {
    if (!ctx.headerSent) throw error;
    if (error instanceof decisions.verdict.FailureError) {
      const data = JSON.stringify(errorBody(error.failure));
      res.end(`event: error\ndata: ${data}\n\n`);
    } else {
      res.destroy();
    }
    throw error;
  }
}

/** Resolves when the response accepts more data or is closed. */
function waitForDrain(res: Koa.Context['res']): Promise<void> {
  return new Promise(resolve => {
    res.once('drain', resolve);
    res.once('close', resolve);
  });
}

/** Sends the headers; from here on Koa must not write the response itself. */
function writeStreamHeaders(ctx: Koa.Context): void {
  ctx.respond = false;
  ctx.res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'banyanhall-verdict': 'ran',
  });
}

/** Formats an event as a `chat.completion.chunk`. */
function formatEvent(id: string, model: string, event: api.ChatEvent): string {
  const isEnd = event.kind === 'end';
  const data = {
    id,
    object: 'chat.completion.chunk',
    model,
    choices: [
      {
        index: 0,
        delta: isEnd ? {} : {content: event.text},
        finish_reason: isEnd ? event.finishReason : null,
      },
    ],
  };
  return `id: ${event.eventId}\ndata: ${JSON.stringify(data)}\n\n`;
}
