// Chat requests: from validation to the stream of events. stream.ts reads the events, sessions.ts forwards them to the caller.

import * as backends from '@banyanhall/backends';
import * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as dispatcherModule from './dispatcher.js';
import * as deadlines from '@banyanhall/fleet/deadlines.js';
import * as requestsModule from './requests.js';
import type * as routers from '@banyanhall/fleet/router.js';
import type * as samples from './samples.js';
import * as sessionsModule from './sessions.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import * as streams from './stream.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** Dependencies of `ChatService`. */
export interface ChatOptions {
  readonly host: string;
  readonly backends: backends.client.BackendClient;
  readonly requests: requestsModule.Requests;
  readonly dispatcher: dispatcherModule.Dispatcher;
  readonly slots: slotsModule.Slots;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly samples: samples.SampleSink;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly router: routers.Router;
  readonly sealer: callers.position.PositionSealer;
  readonly config: () => decisions.config.Config;
}

/** The stream that the event id of a resume request refers to, with its configuration entries. */
interface FoundStream {
  readonly account: decisions.config.Account;
  readonly position: callers.position.Position;
  readonly service: decisions.config.Service;
  readonly server: decisions.config.BackendServer;
}

/** Serves new and resumed chat requests. A sealed event id lets any host resume a stream. */
export class ChatService {
  private readonly sessions: sessionsModule.Sessions;

  constructor(private readonly options: ChatOptions) {
    this.sessions = new sessionsModule.Sessions(options);
  }

  /** Number of streams waiting for their caller to reconnect. */
  get lingeringCount(): number {
    return this.sessions.lingeringCount;
  }

  /** Serves a new or resumed request. Throws FailureError if it fails before the answer begins; later failures are thrown by the event iterator. */
  async chat(call: callers.api.ChatRequest): Promise<callers.api.ChatResponse> {
    if (call.lastEventId !== '') return this.resume(call);
    const preparation = await this.options.requests.prepare({
      ...call,
      kind: 'model',
      content: contentOf(call.messages),
      outputTokens: call.maxTokens,
    });
    if (preparation.kind === 'replayed')
      return toReplayedAnswer(preparation.receipt);
    const {request} = preparation;
    const account = request.policy.account.name;
    const stopCounting = this.options.requests.countInFlight(account);
    const finish = () => {
      stopCounting();
      request.clearDeadline();
    };
    try {
      return await this.start(call, request, finish);
    } catch (error) {
      finish();
      throw error;
    }
  }

  /** Releases a stream that another host has resumed, without cancelling it. */
  onDetach(streamId: string): void {
    this.options.slots.forget(streamId);
    this.sessions.detach(streamId);
  }

  private async start(
    call: callers.api.ChatRequest,
    request: dispatcherModule.PreparedRequest,
    finish: () => void,
  ): Promise<callers.api.ChatResponse> {
    const {requestId, policy, slotRequest} = request;
    const {clock, dispatcher} = this.options;
    const sent = await dispatcher.run(request, async (grant, version) => {
      const events = streams.read(this.options.backends, {
        url: grant.server.url,
        streamId: requestId,
        signal: request.signal,
        offset: 0,
        request: {
          streamId: requestId,
          model: `${policy.service.name}@${version}`,
          messages: call.messages,
          maxTokens: call.maxTokens,
        },
        onResume: offset => this.recordResume(requestId, offset),
      });
      return {events, first: await events.next()};
    });
    if (sent.kind === 'replayed') {
      finish();
      return toReplayedAnswer(sent.receipt);
    }
    const {grant, endInFlight, version} = sent;
    const leftMs = slotRequest.deadlineMs - clock.monotonicMs();
    return this.sessions.answer({
      requestId,
      account: policy.account.name,
      server: grant.server,
      position: {
        host: this.options.host,
        service: policy.service.name,
        backendServer: grant.server.name,
        streamId: requestId,
        deadlineMs: Math.round(clock.nowMs() + leftMs),
        promptTokens: slotRequest.promptTokens,
        outputTokens: slotRequest.outputTokens,
        tier: slotRequest.tier,
      },
      signal: request.signal,
      ...sent.value,
      startedMs: sent.dispatchedMs,
      onEnd: end => {
        this.releaseSlot(grant, end);
        this.options.crashes.recordCompletion(request.fingerprint);
        this.options.samples.add(request, version, toObservation(end));
        if (sent.claim) void this.storeAnswer(sent.claim, end.text);
      },
      onBreak: error => dispatcher.fail(request, sent, error),
      release: () => {
        endInFlight();
        finish();
      },
    });
  }

  private async resume(
    call: callers.api.ChatRequest,
  ): Promise<callers.api.ChatResponse> {
    const {requests, clock} = this.options;
    const found = this.findStream(call);
    const {account, position, server} = found;
    this.detachPreviousHost(position);
    const leftMs = Math.max(0, position.deadlineMs - clock.nowMs());
    const limited = deadlines.withDeadline(call.signal, leftMs);
    const stopCounting = requests.countInFlight(account.name);
    const release = () => {
      stopCounting();
      limited.clear();
    };
    this.adoptSlot(found, clock.monotonicMs() + leftMs);
    const {streamId, offset} = position;
    const grant = {ticketId: streamId, server, heldBackMs: 0};
    const onBreak = (error: backends.engine.BackendError) =>
      this.onResumeFailed(grant, limited.signal, error);
    const events = streams.read(this.options.backends, {
      url: server.url,
      streamId,
      signal: limited.signal,
      offset,
      onResume: at => this.recordResume(streamId, at),
    });
    this.recordResume(streamId, offset);
    try {
      return this.sessions.answer({
        requestId: streamId,
        account: account.name,
        server,
        position: {...position, host: this.options.host},
        signal: limited.signal,
        events,
        first: await events.next(),
        startedMs: clock.monotonicMs(),
        onEnd: () => this.options.slots.done(streamId, {kind: 'cancelled'}),
        onBreak,
        release,
      });
    } catch (error) {
      release();
      if (!(error instanceof backends.engine.BackendError)) throw error;
      throw onBreak(error);
    }
  }

  /** Resolves the event id of a resume request to its stream; throws FailureError when it is invalid or its backend server was removed. */
  private findStream(call: callers.api.ChatRequest): FoundStream {
    const {sealer, requests} = this.options;
    const account = requests.account(call.keySha256);
    const position = sealer.open(call.lastEventId, account.name);
    if (!position)
      requestsModule.refuse(
        'invalid-request',
        'the last event id is not valid for this account',
      );
    const service = this.options.config().get('service', position.service);
    const server = service?.backendServers.find(
      candidate => candidate.name === position.backendServer,
    );
    if (!service || !server) throw resumeRefused();
    return {account, position, service, server};
  }

  /** Detaches the stream from the host or connection that forwarded it before. */
  private detachPreviousHost(position: callers.position.Position): void {
    const {host, streamId} = position;
    if (host === this.options.host) return this.sessions.detach(streamId);
    this.options.router.send(host, {kind: 'detach', body: {streamId}});
  }

  /** Makes this host the holder of the slot that was granted for the stream. */
  private adoptSlot(found: FoundStream, deadlineMs: number): void {
    const {account, service, position, server} = found;
    const {streamId: requestId, tier, promptTokens, outputTokens} = position;
    const slotRequest: slotsModule.SlotRequest = {
      ...{requestId, service, account, tier, deadlineMs},
      ...{promptTokens, outputTokens, chain: [], version: ''},
      isSuspect: false,
    };
    this.options.slots.adopt(slotRequest, server);
  }

  private releaseSlot(
    grant: slotsModule.Grant,
    end: sessionsModule.StreamEnd,
  ): void {
    const {usage, firstTokenMs, durationMs} = end;
    this.options.slots.done(grant.ticketId, {
      kind: 'completed',
      measured: {
        prefillTokens: Math.max(0, usage.promptTokens - usage.cachedTokens),
        outputTokens: usage.outputTokens,
        firstTokenMs,
        durationMs,
      },
    });
  }

  private async storeAnswer(
    claim: claimsModule.Claim,
    body: string,
  ): Promise<void> {
    const receipt = {status: 200, contentType: 'text/plain', body};
    await this.options.claims.answer(claim, receipt);
  }

  private onResumeFailed(
    grant: slotsModule.Grant,
    signal: AbortSignal,
    error: backends.engine.BackendError,
  ): decisions.verdict.FailureError {
    const {slots, timeline} = this.options;
    timeline.record('broken', grant.ticketId, {why: error.message});
    slots.done(grant.ticketId, {kind: 'cancelled'});
    if (!signal.aborted) return resumeRefused();
    return new decisions.verdict.FailureError(
      deadlines.abortFailure(signal, 'may-have-run'),
    );
  }

  private recordResume(requestId: string, offset: number): void {
    this.options.timeline.record('resumed', requestId, {offset});
  }
}

function toObservation(end: sessionsModule.StreamEnd): samples.Observation {
  const {firstTokenMs, durationMs, usage} = end;
  const decodeMs = durationMs - firstTokenMs;
  const tokenMs = usage.outputTokens > 1 ? decodeMs / usage.outputTokens : 0;
  return {isFailure: false, firstTokenMs, tokenMs};
}

function resumeRefused(): decisions.verdict.FailureError {
  return new decisions.verdict.FailureError(
    decisions.verdict.failure(
      'resume-refused',
      'the stream can no longer be resumed; the request may have run',
      'may-have-run',
    ),
  );
}

function contentOf(messages: readonly unknown[]): string {
  return messages
    .map(message => {
      const content = (message as {readonly content?: unknown})?.content;
      return typeof content === 'string' ? content : JSON.stringify(message);
    })
    .join('\n');
}

function toReplayedAnswer(
  receipt: decisions.claim.Receipt,
): callers.api.ChatResponse {
  async function* events(): AsyncGenerator<callers.api.ChatEvent> {
    yield {kind: 'part', eventId: '', text: receipt.body};
    const usage = {promptTokens: 0, outputTokens: 0};
    yield {kind: 'end', eventId: '', finishReason: 'stop', ...usage};
  }
  return {id: 'chatcmpl-replay', events: events()};
}
