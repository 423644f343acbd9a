import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import * as eventsource from 'eventsource-parser';
import got from 'got';
import type * as gotTypes from 'got';

const ADDRESS_TIMEOUT_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;
const SILENT_MS = 4000;
const MAX_TRIES = 8;
const PLAIN_TIMEOUT_MS = 20_000;
const RESUME_PAUSE_MS = 100;

/** What a caller was told about one request. */
export interface Told {
  readonly verdict: decisions.verdict.Verdict | 'none';
  /** Empty for a whole answer. */
  readonly failure: string;
  readonly text: string;
  readonly isWhole: boolean;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Times between parts that arrived, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly resumes: number;
  readonly status: number;
}

/** A chat request of a caller. */
export interface ChatOrder {
  readonly account: string;
  readonly profile: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly requestKey?: string;
  readonly timeoutMs: number;
  /** Called with every part that arrives. */
  readonly onPart?: () => void;
}

interface Progress {
  text: string;
  lastEventId: string;
  isWhole: boolean;
  failure: string;
  verdict: Told['verdict'];
  firstMs: number;
  lastMs: number;
  gapsMs: number[];
  status: number;
  /** True when the last attempt found nobody: nothing was sent. */
  isUnsent: boolean;
}

interface ErrorBody {
  readonly error?: {readonly type: string; readonly verdict: Told['verdict']};
}

interface Chunk {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
}

/** A caller that asks which hosts to use, keeps the answer for its stated life and resumes broken streams. */
export class Caller {
  private urls: readonly string[];
  private keepUntilMs = 0;
  private next = Math.floor(Math.random() * 1000);
  private readonly agent = new http.Agent({keepAlive: true});

  /** `seeds` are tried when no kept address answers. */
  constructor(private readonly seeds: readonly string[]) {
    this.urls = seeds;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a chat request once and follows its stream over hosts to the end. Never throws. */
  async chat(order: ChatOrder): Promise<Told> {
    const startedMs = performance.now();
    const progress: Progress = {
      ...{text: '', lastEventId: '', isWhole: false, failure: ''},
      ...{verdict: 'none', firstMs: 0, lastMs: 0, gapsMs: [], status: 0},
      isUnsent: false,
    };
    let resumes = 0;
    let tries = 0;
    for (;;) {
      const url = await this.host();
      await this.attempt(url, order, progress);
      const isOver = progress.isWhole || progress.failure !== '';
      const canResume = progress.lastEventId !== '' || progress.isUnsent;
      if (isOver || !canResume || tries >= MAX_TRIES) break;
      tries++;
      if (!progress.isUnsent) resumes++;
      this.keepUntilMs = 0;
      await timers.setTimeout(RESUME_PAUSE_MS);
    }
    const {text, isWhole, failure, verdict, firstMs, gapsMs, status} = progress;
    return {
      ...{verdict, text, isWhole, gapsMs, resumes, status},
      failure: isWhole ? '' : failure || 'connection lost',
      firstTokenMs: firstMs === 0 ? 0 : firstMs - startedMs,
      durationMs: performance.now() - startedMs,
    };
  }

  /** Sends a call to a plain service once. Never throws. */
  async plain(
    account: string,
    profile: string,
    path: string,
    body: object,
    requestKey: string = crypto.randomUUID(),
  ): Promise<Told> {
    const startedMs = performance.now();
    const none = {text: '', isWhole: false, firstTokenMs: 0, gapsMs: []};
    const ended = () => performance.now() - startedMs;
    for (let tries = 1; ; tries++) {
      try {
        const url = await this.host();
        const response = await got.post(`${url}/services/${path}`, {
          json: body,
          headers: {
            authorization: `Bearer key-${account}`,
            'banyanhall-profile': profile,
            'idempotency-key': requestKey,
          },
          ...this.options,
          timeout: {connect: CONNECT_TIMEOUT_MS, request: PLAIN_TIMEOUT_MS},
        });
        const status = response.statusCode;
        const verdict = verdictOf(response.headers);
        const failure = status < 400 ? '' : failureOf(response.body, status);
        return {
          ...{verdict, failure, status, resumes: 0, durationMs: ended()},
          ...{...none, text: response.body, isWhole: failure === ''},
        };
      } catch (error) {
        this.keepUntilMs = 0;
        const {code, message} = error as NodeJS.ErrnoException;
        if (code === 'ECONNREFUSED' && tries < MAX_TRIES) continue;
        const told = {verdict: 'none' as const, failure: message, status: 0};
        return {...none, ...told, durationMs: ended(), resumes: 0};
      }
    }
  }

  /** The host to use next, from the kept address answer. */
  private async host(): Promise<string> {
    if (Date.now() >= this.keepUntilMs) await this.refresh();
    this.next++;
    return this.urls[this.next % this.urls.length];
  }

  private async refresh(): Promise<void> {
    const known = decisions.random.sample(
      [...new Set([...this.urls, ...this.seeds])],
      this.urls.length + this.seeds.length,
      Math.random,
    );
    for (const url of known) {
      const answer = await got(`${url}/v1/addresses`, {
        ...this.options,
        timeout: {request: ADDRESS_TIMEOUT_MS},
      }).then(
        response =>
          JSON.parse(response.body) as {
            readonly addresses: readonly string[];
            readonly keepMs: number;
          },
        () => undefined,
      );
      if (!answer || answer.addresses.length === 0) continue;
      this.urls = answer.addresses;
      this.keepUntilMs = Date.now() + answer.keepMs;
      return;
    }
  }

  private get options() {
    return {
      retry: {limit: 0},
      throwHttpErrors: false,
      agent: {http: this.agent},
    };
  }

  private async attempt(
    url: string,
    order: ChatOrder,
    progress: Progress,
  ): Promise<void> {
    const {account, profile, service, prompt, maxTokens, requestKey} = order;
    const stream = got.stream.post(`${url}/v1/chat/completions`, {
      json: {
        model: service,
        messages: [{role: 'user', content: prompt}],
        max_tokens: maxTokens,
        stream: true,
      },
      headers: {
        authorization: `Bearer key-${account}`,
        'banyanhall-profile': profile,
        ...(requestKey && {'idempotency-key': requestKey}),
        ...(progress.lastEventId && {'last-event-id': progress.lastEventId}),
      },
      ...this.options,
      timeout: {connect: CONNECT_TIMEOUT_MS, request: order.timeoutMs},
    });
    await follow(stream.setEncoding('utf8'), progress, order.onPart);
  }
}

async function follow(
  stream: gotTypes.Request,
  progress: Progress,
  onPart?: () => void,
): Promise<void> {
  progress.isUnsent = false;
  const parser = eventsource.createParser({
    onEvent: event => {
      onEvent(event, progress);
      onPart?.();
    },
  });
  let errorText = '';
  const watch = setInterval(() => {
    const isSilent = performance.now() - progress.lastMs > SILENT_MS;
    if (progress.lastMs > 0 && isSilent) stream.destroy(new Error('silent'));
  }, 500);
  stream.on('response', (response: gotTypes.Response) => {
    progress.status = response.statusCode;
    progress.verdict = verdictOf(response.headers);
  });
  try {
    for await (const chunk of stream) {
      if (progress.status === 200) parser.feed(String(chunk));
      else errorText += String(chunk);
    }
    if (progress.status !== 200) {
      progress.failure = failureOf(errorText, progress.status);
    }
  } catch (error) {
    // The stream broke: `chat` resumes it, or tries again when nothing was sent.
    const {code} = error as NodeJS.ErrnoException;
    progress.isUnsent = code === 'ECONNREFUSED' && progress.status === 0;
  } finally {
    clearInterval(watch);
    stream.on('error', () => undefined);
    stream.destroy();
  }
}

function onEvent(
  event: eventsource.EventSourceMessage,
  progress: Progress,
): void {
  if (event.data === '[DONE]') {
    progress.isWhole = true;
    return;
  }
  if (event.event === 'error') {
    const {error} = JSON.parse(event.data) as ErrorBody;
    progress.failure = error?.type ?? 'unknown';
    progress.verdict = error?.verdict ?? 'none';
    return;
  }
  const nowMs = performance.now();
  const chunk = JSON.parse(event.data) as Chunk;
  const content = chunk.choices?.[0]?.delta?.content ?? '';
  if (event.id) progress.lastEventId = event.id;
  if (content === '') return;
  progress.text += content;
  if (progress.firstMs === 0) progress.firstMs = nowMs;
  else progress.gapsMs.push(nowMs - progress.lastMs);
  progress.lastMs = nowMs;
}

function verdictOf(headers: http.IncomingHttpHeaders): Told['verdict'] {
  const verdict = headers['banyanhall-verdict'];
  return (verdict as Told['verdict'] | undefined) ?? 'none';
}

function failureOf(text: string, status: number): string {
  try {
    return (JSON.parse(text) as ErrorBody).error?.type ?? `status ${status}`;
  } catch {
    return `status ${status}`;
  }
}
