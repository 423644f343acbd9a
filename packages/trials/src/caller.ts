import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

import * as decisions from '@banyanhall/decisions';
import * as eventsource from 'eventsource-parser';
import got from 'got';
import type * as gotTypes from 'got';

const ADDRESS_TIMEOUT_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;
const SILENCE_TIMEOUT_MS = 4000;
const MAX_TRIES = 8;
const PLAIN_TIMEOUT_MS = 20_000;
const RESUME_DELAY_MS = 100;

/** What a caller was told about one request. */
export interface Outcome {
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
export interface ChatRequest {
  readonly account: string;
  readonly profile: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly idempotencyKey?: string;
  readonly timeoutMs: number;
  /** Called with every part that arrives. */
  readonly onPart?: () => void;
}

interface StreamProgress {
  text: string;
  lastEventId: string;
  isWhole: boolean;
  failure: string;
  verdict: Outcome['verdict'];
  firstTokenAtMs: number;
  lastTokenAtMs: number;
  gapsMs: number[];
  status: number;
  /** True when the last attempt found nobody: nothing was sent. */
  isConnectionRefused: boolean;
}

interface ErrorBody {
  readonly error?: {
    readonly type: string;
    readonly verdict: Outcome['verdict'];
  };
}

interface Chunk {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
}

/** A caller that asks which hosts to use, keeps the answer for its stated life and resumes broken streams. */
export class Caller {
  private urls: readonly string[];
  private addressesExpireAtMs = 0;
  private nextIndex = Math.floor(Math.random() * 1000);
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
  async chat(chatRequest: ChatRequest): Promise<Outcome> {
    const startedMs = performance.now();
    const progress: StreamProgress = {
      ...{text: '', lastEventId: '', isWhole: false, failure: ''},
      ...{
        verdict: 'none',
        firstTokenAtMs: 0,
        lastTokenAtMs: 0,
        gapsMs: [],
        status: 0,
      },
      isConnectionRefused: false,
    };
    let resumes = 0;
    let tries = 0;
    for (;;) {
      const url = await this.nextUrl();
      await this.postChat(url, chatRequest, progress);
      const isFinished = progress.isWhole || progress.failure !== '';
      const canResume =
        progress.lastEventId !== '' || progress.isConnectionRefused;
      if (isFinished || !canResume || tries >= MAX_TRIES) break;
      tries++;
      if (!progress.isConnectionRefused) resumes++;
      this.addressesExpireAtMs = 0;
      await timers.setTimeout(RESUME_DELAY_MS);
    }
    const {text, isWhole, failure, verdict, firstTokenAtMs, gapsMs, status} =
      progress;
    return {
      ...{verdict, text, isWhole, gapsMs, resumes, status},
      failure: isWhole ? '' : failure || 'connection lost',
      firstTokenMs: firstTokenAtMs === 0 ? 0 : firstTokenAtMs - startedMs,
      durationMs: performance.now() - startedMs,
    };
  }

  /** Sends a call to a plain service once. Never throws. */
  async plain(
    account: string,
    profile: string,
    path: string,
    body: object,
    idempotencyKey: string = crypto.randomUUID(),
  ): Promise<Outcome> {
    const startedMs = performance.now();
    const noAnswer = {text: '', isWhole: false, firstTokenMs: 0, gapsMs: []};
    const elapsedMs = () => performance.now() - startedMs;
    for (let tries = 1; ; tries++) {
      try {
        const url = await this.nextUrl();
        const response = await got.post(`${url}/services/${path}`, {
          json: body,
          headers: {
            authorization: `Bearer key-${account}`,
            'banyanhall-profile': profile,
            'idempotency-key': idempotencyKey,
          },
          ...this.options,
          timeout: {connect: CONNECT_TIMEOUT_MS, request: PLAIN_TIMEOUT_MS},
        });
        const status = response.statusCode;
        const verdict = verdictOf(response.headers);
        const failure = status < 400 ? '' : failureOf(response.body, status);
        return {
          ...{verdict, failure, status, resumes: 0, durationMs: elapsedMs()},
          ...{...noAnswer, text: response.body, isWhole: failure === ''},
        };
      } catch (error) {
        this.addressesExpireAtMs = 0;
        const {code, message} = error as NodeJS.ErrnoException;
        if (code === 'ECONNREFUSED' && tries < MAX_TRIES) continue;
        const outcome = {verdict: 'none' as const, failure: message, status: 0};
        return {...noAnswer, ...outcome, durationMs: elapsedMs(), resumes: 0};
      }
    }
  }

  /** The host to use next, from the kept address answer. */
  private async nextUrl(): Promise<string> {
    if (Date.now() >= this.addressesExpireAtMs) await this.refreshAddresses();
    this.nextIndex++;
    return this.urls[this.nextIndex % this.urls.length];
  }

  private async refreshAddresses(): Promise<void> {
    const knownUrls = decisions.random.sample(
      [...new Set([...this.urls, ...this.seeds])],
      this.urls.length + this.seeds.length,
      Math.random,
    );
    for (const url of knownUrls) {
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
      this.addressesExpireAtMs = Date.now() + answer.keepMs;
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

  private async postChat(
    url: string,
    chatRequest: ChatRequest,
    progress: StreamProgress,
  ): Promise<void> {
    const {account, profile, service, prompt, maxTokens, idempotencyKey} =
      chatRequest;
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
        ...(idempotencyKey && {'idempotency-key': idempotencyKey}),
        ...(progress.lastEventId && {'last-event-id': progress.lastEventId}),
      },
      ...this.options,
      timeout: {connect: CONNECT_TIMEOUT_MS, request: chatRequest.timeoutMs},
    });
    await readStream(stream.setEncoding('utf8'), progress, chatRequest.onPart);
  }
}

async function readStream(
  stream: gotTypes.Request,
  progress: StreamProgress,
  onPart?: () => void,
): Promise<void> {
  progress.isConnectionRefused = false;
  const parser = eventsource.createParser({
    onEvent: event => {
      onEvent(event, progress);
      onPart?.();
    },
  });
  let errorText = '';
  const silenceTimer = setInterval(() => {
    const isSilent =
      performance.now() - progress.lastTokenAtMs > SILENCE_TIMEOUT_MS;
    if (progress.lastTokenAtMs > 0 && isSilent)
      stream.destroy(new Error('silent'));
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
    progress.isConnectionRefused =
      code === 'ECONNREFUSED' && progress.status === 0;
  } finally {
    clearInterval(silenceTimer);
    stream.on('error', () => undefined);
    stream.destroy();
  }
}

function onEvent(
  event: eventsource.EventSourceMessage,
  progress: StreamProgress,
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
  if (progress.firstTokenAtMs === 0) progress.firstTokenAtMs = nowMs;
  else progress.gapsMs.push(nowMs - progress.lastTokenAtMs);
  progress.lastTokenAtMs = nowMs;
}

function verdictOf(headers: http.IncomingHttpHeaders): Outcome['verdict'] {
  const verdict = headers['banyanhall-verdict'];
  return (verdict as Outcome['verdict'] | undefined) ?? 'none';
}

function failureOf(text: string, status: number): string {
  try {
    return (JSON.parse(text) as ErrorBody).error?.type ?? `status ${status}`;
  } catch {
    return `status ${status}`;
  }
}
