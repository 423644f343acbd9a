import * as decisions from '@banyanhall/decisions';
import type Koa from 'koa';

import type * as gateway from './api.js';
import * as parse from './parse.js';

/** The JSON body that tells a caller about a failure. */
export function errorBody(failure: decisions.verdict.Failure): object {
  const {type, message, verdict, retryAfterMs} = failure;
  return {error: {type, message, verdict, retryAfterMs}};
}

/** A signal that is aborted when the caller's connection closes before the answer ended. */
export function callerSignal(ctx: Koa.Context): AbortSignal {
  const controller = new AbortController();
  ctx.res.once('close', () => {
    if (!ctx.res.writableFinished) controller.abort();
  });
  return controller.signal;
}

/** Serves a chat request, streamed or whole. */
export async function handle(
  ctx: Koa.Context,
  host: gateway.CallerApi,
): Promise<void> {
  const keySha256 = parse.keySha256(ctx);
  const text = await parse.body(ctx);
  const body = parse.chatBody(text);
  const answer = await host.chat({
    keySha256,
    profile: ctx.get('banyanhall-profile'),
    service: body.model,
    messages: body.messages,
    maxTokens: body.maxTokens,
    requestKey: parse.requestKey(ctx),
    digest: parse.digestOfParts('chat', text),
    lastEventId: ctx.get('last-event-id'),
    signal: callerSignal(ctx),
  });
  if (body.isStream) await stream(ctx, body.model, answer);
  else await whole(ctx, body.model, answer);
}

async function whole(
  ctx: Koa.Context,
  model: string,
  answer: gateway.ChatResponse,
): Promise<void> {
  let content = '';
  for await (const event of answer.events) {
    if (event.kind === 'part') {
      content += event.text;
      continue;
    }
    ctx.set('banyanhall-verdict', 'ran');
    ctx.body = {
      id: answer.id,
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

/** Streams an answer; the status line leaves with the first event, so that earlier failures get their own. */
async function stream(
  ctx: Koa.Context,
  model: string,
  answer: gateway.ChatResponse,
): Promise<void> {
  const {res} = ctx;
  try {
    for await (const event of answer.events) {
      if (!ctx.headerSent) start(ctx);
      const isOpen = res.write(eventText(answer.id, model, event));
      if (!isOpen && !res.destroyed) await drained(res);
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

function drained(res: Koa.Context['res']): Promise<void> {
  return new Promise(resolve => {
    res.once('drain', resolve);
    res.once('close', resolve);
  });
}

function start(ctx: Koa.Context): void {
  ctx.respond = false;
  ctx.res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'banyanhall-verdict': 'ran',
  });
}

function eventText(
  id: string,
  model: string,
  event: gateway.ChatEvent,
): string {
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
