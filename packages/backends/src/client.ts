import * as http from 'node:http';

import * as forwarding from '@banyanhall/forwarding';
import * as eventsource from 'eventsource-parser';
import got from 'got';
import type * as gotTypes from 'got';

import * as engine from './engine.js';

const CONNECT_TIMEOUT_MS = 500;
/** The timeout of load, versions and cancel calls. */
const CONTROL_TIMEOUT_MS = 1000;
const NOT_ADMITTED_CODE = 'not_admitted';
const MAX_IDLE_SOCKETS = 256;
/** How long a response may stay open after its end event, before its connection is closed. */
const CLOSE_GRACE_MS = 200;

/** Error codes that occur only before a connection is established. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/** The complete response of a plain service, whatever its status. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A request to a plain service; `requestKey` is its idempotency key, or empty to send none. */
export interface PlainRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly version: string;
  readonly requestKey: string;
  readonly timeoutMs: number;
}

/** The JSON data of a server-sent event; `usage` and `length` are read only from the end event, which has a `finish_reason`. */
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

interface ErrorBody {
  readonly error?: {readonly code?: string; readonly leaving?: boolean};
}

/**
 * Sends requests to backend servers. Each call is sent once: retries and
 * redirects of the HTTP library are off, because they could run a request
 * twice. A failed call throws a BackendError that says whether the request may
 * have run. The streams of `chat` and `resume` fail as `broken` after
 * `idleTimeoutMs` without progress; time that the consumer spends on an event
 * counts too.
 */
export class BackendClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_SOCKETS,
  });
  private readonly client = got.extend({
    request: forwarding.clientrequest.request,
    retry: {limit: 0},
    followRedirect: false,
    throwHttpErrors: false,
    decompress: false,
    agent: {http: this.agent},
    timeout: {connect: CONNECT_TIMEOUT_MS},
  });

  /** Closes all connections, also those in use. */
  close(): void {
    this.agent.destroy();
  }

  /** Dispatches a chat request and yields the events of its response. Throws BackendError. */
  chat(
    url: string,
    request: engine.EngineRequest,
    signal: AbortSignal,
    idleTimeoutMs: number,
  ): AsyncIterable<engine.EngineEvent> {
    const body = {
      model: request.model,
      messages: request.messages,
      max_tokens: request.maxTokens,
      stream: true,
    };
    const openStream = () =>
      this.client.stream.post(`${url}/v1/chat/completions`, {
        json: body,
        headers: {'x-request-id': request.streamId},
        signal,
      });
    return readEvents(openStream, 0, idleTimeoutMs);
  }

  /** Reads the response of a dispatched chat request again from `offset`; the request does not run again. Throws BackendError. */
  resume(
    url: string,
    streamId: string,
    offset: number,
    signal: AbortSignal,
    idleTimeoutMs: number,
  ): AsyncIterable<engine.EngineEvent> {
    const openStream = () =>
      this.client.stream.get(`${url}/v1/streams/${streamId}`, {
        searchParams: {offset},
        signal,
      });
    return readEvents(openStream, offset, idleTimeoutMs);
  }

  /** Cancels a chat request; best effort, errors are ignored. */
  async cancel(url: string, streamId: string): Promise<void> {
    const options = {timeout: {request: CONTROL_TIMEOUT_MS}};
    await this.client
      .delete(`${url}/v1/streams/${streamId}`, options)
      .catch(() => undefined);
  }

  /** Dispatches a request to a plain service. Throws BackendError. */
  async callPlain(url: string, request: PlainRequest): Promise<PlainResponse> {
    const response = await this.sendOnce(`${url}${request.path}`, {
      method: request.method,
      body: request.method === 'GET' ? undefined : request.body,
      headers: {
        'content-type': request.contentType,
        'x-service-version': request.version,
        ...(request.requestKey && {'idempotency-key': request.requestKey}),
      },
      timeout: {connect: CONNECT_TIMEOUT_MS, request: request.timeoutMs},
    });
    throwIfNotAdmitted(response.statusCode, response.body);
    return {
      status: response.statusCode,
      contentType: response.headers['content-type'] ?? 'application/json',
      body: response.body,
    };
  }

  /** Reads the load report of a backend server. Throws BackendError. */
  readLoad(url: string): Promise<engine.LoadReport> {
    return this.sendControl(`${url}/v1/load`, {method: 'GET'});
  }

  /** Reads the versions that a backend server serves. Throws BackendError. */
  readVersions(url: string): Promise<engine.VersionSet> {
    return this.sendControl(`${url}/v1/versions`, {method: 'GET'});
  }

  /**
   * Replaces the versions that a backend server serves and resolves to the
   * versions that it then serves. Throws BackendError.
   */
  setVersions(
    url: string,
    versionSet: engine.VersionSet,
  ): Promise<engine.VersionSet> {
    return this.sendControl(`${url}/v1/versions`, {
      method: 'PUT',
      json: versionSet,
    });
  }

  private async sendControl<T>(
    url: string,
    options: gotTypes.OptionsInit,
  ): Promise<T> {
    const response = await this.sendOnce(url, {
      ...options,
      timeout: {connect: CONNECT_TIMEOUT_MS, request: CONTROL_TIMEOUT_MS},
    });
    if (response.statusCode === 200) return JSON.parse(response.body) as T;
    const message = `expected status 200 from ${url}, got ${response.statusCode}`;
    throw new engine.BackendError('failed', message);
  }

  private async sendOnce(
    url: string,
    options: gotTypes.OptionsInit,
  ): Promise<gotTypes.Response<string>> {
    try {
      const request = this.client(url, {...options, responseType: 'text'});
      const response = (await request) as gotTypes.Response<string>;
      const {statusCode: status} = response;
      if (forwarding.clientrequest.isFinalStatus(status)) return response;
      throw new engine.BackendError('broken', `response has status ${status}`);
    } catch (error) {
      throw toBackendError(error);
    }
  }
}

function toBackendError(error: unknown): engine.BackendError {
  if (error instanceof engine.BackendError) return error;
  const {code, message} = error as NodeJS.ErrnoException;
  const event = (error as {readonly event?: string}).event;
  const isNotConnected =
    NOT_CONNECTED_CODES.has(code ?? '') ||
    (code === 'ETIMEDOUT' && event === 'connect');
  return new engine.BackendError(
    isNotConnected ? 'unreachable' : 'broken',
    message,
  );
}

function throwIfNotAdmitted(status: number, body: string): void {
  if (status !== 503 && status !== 429) return;
  const {error} = parseJson<ErrorBody>(body) ?? {};
  if (error?.code !== NOT_ADMITTED_CODE) return;
  throw new engine.BackendError(
    'not-admitted',
    'the backend server did not admit the request',
    error.leaving === true,
  );
}

function parseJson<T>(text: string): T | undefined {
  try {
    return JSON.parse(text) as T;
  } catch {
    return undefined;
  }
}

/**
 * Reads the events of one HTTP response, starting at `offset`. The end event
 * is yielded only after the response has ended: a consumer that stops at the
 * end event would otherwise destroy a connection that can be reused.
 */
async function* readEvents(
  openStream: () => gotTypes.Request,
  offset: number,
  idleTimeoutMs: number,
): AsyncGenerator<engine.EngineEvent> {
  const stream = openStream().setEncoding('utf8');
  const reader = new EventReader(offset);
  let timer: NodeJS.Timeout | undefined;
  const restartIdleTimer = (timeoutMs: number) => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      const message = `no progress for ${timeoutMs} ms`;
      stream.destroy(new engine.BackendError('broken', message));
    }, timeoutMs);
  };
  let status = 0;
  let errorBody = '';
  stream.on('response', (response: gotTypes.Response) => {
    status = response.statusCode;
  });
  try {
    restartIdleTimer(idleTimeoutMs);
    for await (const chunk of stream) {
      if (status === 200) yield* reader.read(String(chunk));
      else errorBody += String(chunk);
      restartIdleTimer(reader.end ? CLOSE_GRACE_MS : idleTimeoutMs);
    }
  } catch (error) {
    if (!reader.end) throw toBackendError(error);
  } finally {
    clearTimeout(timer);
    // Destroying the stream may emit an error, which would be uncaught without a listener.
    stream.on('error', () => undefined);
    if (!stream.readableEnded) stream.destroy();
  }
  if (reader.end) yield reader.end;
  else if (status !== 200) throwForStatus(status, errorBody);
  else
    throw new engine.BackendError(
      'broken',
      'the response ended without an end event',
    );
}

function throwForStatus(status: number, body: string): never {
  throwIfNotAdmitted(status, body);
  const kind = status === 404 ? 'unknown-stream' : 'failed';
  const message = `expected status 200 from the backend server, got ${status}`;
  throw new engine.BackendError(kind, message);
}

/**
 * Parses server-sent events into engine events. The id of an event is its
 * offset; without an id the offset follows from the text before it. Events
 * after the end event and events that are not JSON are ignored.
 */
class EventReader {
  /** The end event, once it has arrived. */
  end: engine.EngineEvent | undefined;
  private parts: engine.EngineEvent[] = [];
  private readonly parser: eventsource.EventSourceParser;

  constructor(private offset: number) {
    this.parser = eventsource.createParser({
      onEvent: event => this.onEvent(event),
    });
  }

  /** Returns the parts that are complete with this chunk; the end event goes to `end`. */
  read(chunk: string): readonly engine.EngineEvent[] {
    this.parts = [];
    this.parser.feed(chunk);
    return this.parts;
  }

  private onEvent(event: eventsource.EventSourceMessage): void {
    if (this.end || event.data === '[DONE]') return;
    const data = parseJson<ChunkData>(event.data);
    if (!data) return;
    if (event.id !== undefined) this.offset = Number(event.id);
    const choice = data.choices?.[0];
    const text = choice?.delta?.content ?? '';
    if (text !== '') {
      this.parts.push({kind: 'part', offset: this.offset, text});
      this.offset += text.length;
    }
    if (!choice?.finish_reason) return;
    this.end = {
      kind: 'end',
      length: data.length ?? this.offset,
      finishReason: choice.finish_reason,
      usage: toUsage(data),
    };
  }
}

function toUsage(data: ChunkData): engine.Usage {
  return {
    promptTokens: data.usage?.prompt_tokens ?? 0,
    outputTokens: data.usage?.completion_tokens ?? 0,
    cachedTokens: data.usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
