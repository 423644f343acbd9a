import * as http from 'node:http';

import * as eventsource from 'eventsource-parser';
import got from 'got';
import type * as gotTypes from 'got';

import * as engine from './engine.js';

const CONNECT_TIMEOUT_MS = 500;
const CONTROL_TIMEOUT_MS = 1000;
const NOT_ADMITTED = 'not_admitted';
const MAX_IDLE_SOCKETS = 256;
/** How long a response may stay open after the end mark. */
const END_GRACE_MS = 200;

/** Error codes that can only come before a connection stood. */
const NEVER_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/** A whole answer of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A call to a plain service. */
export interface PlainRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly version: string;
  readonly requestKey: string;
  readonly timeoutMs: number;
}

interface ChunkData {
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string};
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: {readonly cached_tokens: number};
  };
  readonly length?: number;
}

interface ErrorData {
  readonly error?: {readonly code?: string; readonly leaving?: boolean};
}

/**
 * Calls to backend servers. Each call is sent once: the library's own
 * retries, redirects and error handling are off, and every break is reported
 * as a BackendError that says whether the request may have run.
 */
export class BackendClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_SOCKETS,
  });
  private readonly client = got.extend({
    retry: {limit: 0},
    followRedirect: false,
    throwHttpErrors: false,
    decompress: false,
    agent: {http: this.agent},
    timeout: {connect: CONNECT_TIMEOUT_MS},
  });

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Dispatches a chat request; the events of its stream follow. Throws BackendError. */
  chat(
    url: string,
    request: engine.EngineRequest,
    signal: AbortSignal,
    progressMs: number,
  ): AsyncIterable<engine.EngineEvent> {
    const body = {
      model: request.model,
      messages: request.messages,
      max_tokens: request.maxTokens,
      stream: true,
    };
    const open = () =>
      this.client.stream.post(`${url}/v1/chat/completions`, {
        json: body,
        headers: {'x-request-id': request.streamId},
        signal,
      });
    return events(open, 0, progressMs);
  }

  /** Takes up a stream at a character offset; this is not a dispatch. Throws BackendError. */
  resume(
    url: string,
    streamId: string,
    offset: number,
    signal: AbortSignal,
    progressMs: number,
  ): AsyncIterable<engine.EngineEvent> {
    const open = () =>
      this.client.stream.get(`${url}/v1/streams/${streamId}`, {
        searchParams: {offset},
        signal,
      });
    return events(open, offset, progressMs);
  }

  /** Cancels a stream; failures are of no consequence and ignored. */
  async cancel(url: string, streamId: string): Promise<void> {
    const options = {timeout: {request: CONTROL_TIMEOUT_MS}};
    await this.client
      .delete(`${url}/v1/streams/${streamId}`, options)
      .catch(() => undefined);
  }

  /** Dispatches a call to a plain service. Throws BackendError. */
  async callPlain(url: string, call: PlainRequest): Promise<PlainResponse> {
    const response = await this.once(`${url}${call.path}`, {
      method: call.method,
      body: call.method === 'GET' ? undefined : call.body,
      headers: {
        'content-type': call.contentType,
        'x-service-version': call.version,
        ...(call.requestKey && {'idempotency-key': call.requestKey}),
      },
      timeout: {connect: CONNECT_TIMEOUT_MS, request: call.timeoutMs},
    });
    throwIfNotAdmitted(response.statusCode, response.body);
    return {
      status: response.statusCode,
      contentType: response.headers['content-type'] ?? 'application/json',
      body: response.body,
    };
  }

  /** Reads the load report. Throws BackendError. */
  readLoad(url: string): Promise<engine.LoadReport> {
    return this.control(`${url}/v1/load`, {method: 'GET'});
  }

  /** Reads the versions that a backend server has. Throws BackendError. */
  readVersions(url: string): Promise<engine.VersionSet> {
    return this.control(`${url}/v1/versions`, {method: 'GET'});
  }

  /** Orders the set of versions; resolves to what the server has then. Throws BackendError. */
  setVersions(
    url: string,
    order: engine.VersionSet,
  ): Promise<engine.VersionSet> {
    return this.control(`${url}/v1/versions`, {method: 'PUT', json: order});
  }

  private async control<T>(
    url: string,
    options: gotTypes.OptionsInit,
  ): Promise<T> {
    const response = await this.once(url, {
      ...options,
      timeout: {connect: CONNECT_TIMEOUT_MS, request: CONTROL_TIMEOUT_MS},
    });
    if (response.statusCode === 200) return JSON.parse(response.body) as T;
    const message = `${url} answered ${response.statusCode}`;
    throw new engine.BackendError('failed', message);
  }

  private async once(
    url: string,
    options: gotTypes.OptionsInit,
  ): Promise<gotTypes.Response<string>> {
    try {
      const request = this.client(url, {...options, responseType: 'text'});
      return (await request) as gotTypes.Response<string>;
    } catch (error) {
      throw translate(error);
    }
  }
}

function translate(error: unknown): engine.BackendError {
  if (error instanceof engine.BackendError) return error;
  const {code, message} = error as NodeJS.ErrnoException;
  const event = (error as {readonly event?: string}).event;
  const isBefore =
    NEVER_CONNECTED.has(code ?? '') ||
    (code === 'ETIMEDOUT' && event === 'connect');
  return new engine.BackendError(isBefore ? 'unreachable' : 'broken', message);
}

function throwIfNotAdmitted(status: number, body: string): void {
  if (status !== 503 && status !== 429) return;
  const {error} = parsed<ErrorData>(body) ?? {};
  if (error?.code !== NOT_ADMITTED) return;
  throw new engine.BackendError(
    'not-admitted',
    'the backend server did not admit the request',
    error.leaving === true,
  );
}

function parsed<T>(text: string): T | undefined {
  try {
    return JSON.parse(text) as T;
  } catch {
    return undefined;
  }
}

/**
 * Reads one connection of a stream. The end is passed on only when the
 * response is over, so that the connection can be used again.
 */
async function* events(
  open: () => gotTypes.Request,
  offset: number,
  progressMs: number,
): AsyncGenerator<engine.EngineEvent> {
  const stream = open().setEncoding('utf8');
  const reader = new EventReader(offset);
  let timer: NodeJS.Timeout | undefined;
  const watch = (ms: number) => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      const message = `no progress for ${ms} ms`;
      stream.destroy(new engine.BackendError('broken', message));
    }, ms);
  };
  let status = 0;
  let errorBody = '';
  stream.on('response', (response: gotTypes.Response) => {
    status = response.statusCode;
  });
  try {
    watch(progressMs);
    for await (const chunk of stream) {
      if (status === 200) yield* reader.read(String(chunk));
      else errorBody += String(chunk);
      watch(reader.end ? END_GRACE_MS : progressMs);
    }
  } catch (error) {
    if (!reader.end) throw translate(error);
  } finally {
    clearTimeout(timer);
    stream.on('error', () => undefined);
    if (!stream.readableEnded) stream.destroy();
  }
  if (reader.end) yield reader.end;
  else if (status !== 200) throwStatus(status, errorBody);
  else throw new engine.BackendError('broken', 'the stream has no end mark');
}

function throwStatus(status: number, body: string): never {
  throwIfNotAdmitted(status, body);
  const kind = status === 404 ? 'unknown-stream' : 'failed';
  const message = `the backend server answered ${status}`;
  throw new engine.BackendError(kind, message);
}

/** Turns server-sent events into engine events, counting offsets. */
class EventReader {
  /** The end of the answer, once its mark has come. */
  end: engine.EngineEvent | undefined;
  private pending: engine.EngineEvent[] = [];
  private readonly parser: eventsource.EventSourceParser;

  constructor(private offset: number) {
    this.parser = eventsource.createParser({
      onEvent: event => this.onEvent(event),
    });
  }

  read(chunk: string): readonly engine.EngineEvent[] {
    this.pending = [];
    this.parser.feed(chunk);
    return this.pending;
  }

  private onEvent(event: eventsource.EventSourceMessage): void {
    if (this.end || event.data === '[DONE]') return;
    const data = parsed<ChunkData>(event.data);
    if (!data) return;
    if (event.id !== undefined) this.offset = Number(event.id);
    const choice = data.choices?.[0];
    const text = choice?.delta?.content ?? '';
    if (text !== '') {
      this.pending.push({kind: 'part', offset: this.offset, text});
      this.offset += text.length;
    }
    if (!choice?.finish_reason) return;
    this.end = {
      kind: 'end',
      length: data.length ?? this.offset,
      finishReason: choice.finish_reason,
      usage: usageOf(data),
    };
  }
}

function usageOf(data: ChunkData): engine.Usage {
  return {
    promptTokens: data.usage?.prompt_tokens ?? 0,
    outputTokens: data.usage?.completion_tokens ?? 0,
    cachedTokens: data.usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
