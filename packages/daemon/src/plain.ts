import * as backends from '@banyanhall/backends';
import type * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import type * as claimsModule from './claims.js';
import type * as crashesModule from '@banyanhall/fleet/crashes.js';
import type * as dispatcherModule from './dispatcher.js';
import type * as requestsModule from './requests.js';
import type * as samples from './samples.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** Output tokens assumed for a plain request. */
const PLAIN_OUTPUT_TOKENS = 1;

/** Dependencies of `PlainService`. */
export interface PlainOptions {
  readonly backends: backends.client.BackendClient;
  readonly requests: requestsModule.Requests;
  readonly dispatcher: dispatcherModule.Dispatcher;
  readonly slots: slotsModule.Slots;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly samples: samples.SampleSink;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
}

/** Serves requests to plain (non-model) services, whose answers are not streamed and cannot be resumed. */
export class PlainService {
  constructor(private readonly options: PlainOptions) {}

  /** Runs one request or replays its stored answer. Throws FailureError. */
  async call(
    call: callers.api.PlainRequest,
  ): Promise<callers.api.PlainResponse> {
    const preparation = await this.options.requests.prepare({
      ...call,
      kind: 'plain',
      content: `${call.method} ${call.path}\n${call.body}`,
      outputTokens: PLAIN_OUTPUT_TOKENS,
    });
    if (preparation.kind === 'replayed') return toReplayedAnswer(preparation);
    const {request} = preparation;
    const account = request.policy.account.name;
    return this.options.requests
      .countWhile(account, () => this.run(request, call))
      .finally(request.clearDeadline);
  }

  private async run(
    request: dispatcherModule.PreparedRequest,
    call: callers.api.PlainRequest,
  ): Promise<callers.api.PlainResponse> {
    const {dispatcher, backends: client, clock} = this.options;
    const sent = await dispatcher.run(request, async (grant, version) => {
      const timeoutMs = request.slotRequest.deadlineMs - clock.monotonicMs();
      const {url} = grant.server;
      return client
        .callPlain(url, {...call, version, timeoutMs})
        .catch((error: backends.engine.BackendError) =>
          this.throwCallError(url, error),
        );
    });
    if (sent.kind === 'replayed') return toReplayedAnswer(sent);
    return this.complete(request, sent);
  }

  private complete(
    request: dispatcherModule.PreparedRequest,
    sent: dispatcherModule.Dispatched<backends.client.PlainResponse>,
  ): callers.api.PlainResponse {
    const {slots, claims, crashes, timeline, clock} = this.options;
    const {value, grant, claim} = sent;
    const durationMs = clock.monotonicMs() - sent.dispatchedMs;
    sent.endInFlight();
    slots.done(grant.ticketId, {
      kind: 'completed',
      measured: {
        prefillTokens: 0,
        outputTokens: PLAIN_OUTPUT_TOKENS,
        firstTokenMs: durationMs,
        durationMs,
      },
    });
    crashes.recordCompletion(request.fingerprint);
    this.options.samples.add(request, sent.version, {
      isFailure: value.status >= 500,
      firstTokenMs: durationMs,
      tokenMs: 0,
    });
    timeline.record('answered', request.requestId, {status: value.status});
    if (claim) void claims.answer(claim, value);
    return {...value, isReplay: false};
  }

  /** Rethrows `error`. After a broken connection, probes the backend server first and throws kind `gone` instead if it is unreachable. */
  private async throwCallError(
    url: string,
    error: backends.engine.BackendError,
  ): Promise<never> {
    if (error.kind !== 'broken') throw error;
    const isGone = await this.options.backends.readLoad(url).then(
      () => false,
      (probeError: backends.engine.BackendError) =>
        probeError.kind === 'unreachable',
    );
    if (!isGone) throw error;
    throw new backends.engine.BackendError('gone', error.message);
  }
}

function toReplayedAnswer(
  replayed: dispatcherModule.ReplayedAnswer,
): callers.api.PlainResponse {
  return {...replayed.receipt, isReplay: true};
}
