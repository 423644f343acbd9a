// The client of the trials: it behaves as callers of the fleet should.

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
/** How often a request to a plain service is sent at most, and how often a chat request is sent again at most. */
const MAX_SENDS = 8;
const PLAIN_TIMEOUT_MS = 20_000;
const RESUME_DELAY_MS = 100;

/** The outcome of one request as its caller saw it; the verdict is `none` when a response has none or there was no response. */
export interface Outcome {
  readonly verdict: decisions.verdict.Verdict | 'none';
  /** The error type or message; empty for a whole answer. */
  readonly failure: string;
  readonly text: string;
  readonly isWhole: boolean;
  /** Time to the first token; 0 when there was none. */
  readonly firstTokenMs: number;
  readonly durationMs: number;
  /** Times between consecutive parts of the answer. */
  readonly gapsMs: readonly number[];
  /** How often the stream was resumed after it broke. */
  readonly resumes: number;
  /** The HTTP status; 0 when there was no response. */
  readonly status: number;
}

/** A chat request; `service` is sent as its model. */
export interface ChatRequest {
  readonly account: string;
  readonly profile: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly idempotencyKey?: string;
  readonly timeoutMs: number;
  /** Called for every event of the stream. */
  readonly onPart?: () => void;
}

/** What was received of an answer, over all connections on which it was requested or resumed. */
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
  /** True when the last connection was refused, so that nothing was sent. */
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

/** A client of the fleet: caches the addresses of hosts for as long as they are valid and resumes broken streams. */
export class Caller {
  private urls: readonly string[];
  private addressesExpireAtMs = 0;
  private nextIndex = Math.floor(Math.random() * 1000);
  private readonly agent = new http.Agent({keepAlive: true});

  /** `seeds` are URLs of hosts that are asked for addresses along with the cached ones. */
  constructor(private readonly seeds: readonly string[]) {
    this.urls = seeds;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a chat request and reads its stream to the end, resuming it at other hosts when it breaks. Network errors and error responses do not throw; they are part of the outcome. */
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
    let resends = 0;
    for (;;) {
      const url = await this.nextUrl();
      await this.postChat(url, chatRequest, progress);
      const isFinished = progress.isWhole || progress.failure !== '';
      const canResume =
        progress.lastEventId !== '' || progress.isConnectionRefused;
      if (isFinished || !canResume || resends >= MAX_SENDS) break;
      resends++;
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

  /** Sends a request to a plain service, and sends it again only when the connection is refused. Never throws. */
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
        if (code === 'ECONNREFUSED' && tries < MAX_SENDS) continue;
        const outcome = {verdict: 'none' as const, failure: message, status: 0};
        return {...noAnswer, ...outcome, durationMs: elapsedMs(), resumes: 0};
      }
    }
  }

  /** The URL of the next host in turn; refreshes addresses that have expired. */
  private async nextUrl(): Promise<string> {
    if (Date.now() >= this.addressesExpireAtMs) await this.refreshAddresses();
    this.nextIndex++;
    return this.urls[this.nextIndex % this.urls.length];
  }

  /** Asks known hosts in random order for addresses until one answers; keeps the old ones when none does. */
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

  /** Sends the request, or resumes its stream, at one host. */
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

/** Reads a response into `progress`. Aborts a stream that delivers no token for `SILENCE_TIMEOUT_MS` after an earlier one. */
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
      stream.destroy(new Error('stream is silent'));
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
    // The connection broke: `chat` resumes the stream, or sends the request again when nothing was sent.
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
