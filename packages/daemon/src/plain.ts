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

const PLAIN_TOKENS = 1;

/** What calls to plain services need from the rest of the host. */
export interface PlainOptions {
  readonly backends: backends.client.BackendClient;
  readonly requests: requestsModule.Requests;
  readonly dispatcher: dispatcherModule.Dispatcher;
  readonly slots: slotsModule.Slots;
  readonly claims: claimsModule.Claims;
  readonly crashes: crashesModule.Crashes;
  readonly samples: samples.Samples;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
}

/** Serves calls to plain services. */
export class PlainService {
  constructor(private readonly options: PlainOptions) {}

  /** Runs one call; throws FailureError. */
  async call(
    call: callers.api.PlainRequest,
  ): Promise<callers.api.PlainResponse> {
    const preparation = await this.options.requests.prepare({
      ...call,
      kind: 'plain',
      content: `${call.method} ${call.path}\n${call.body}`,
      outputTokens: PLAIN_TOKENS,
    });
    if (preparation.kind === 'replayed') return replay(preparation);
    const {request} = preparation;
    const account = request.terms.account.name;
    return this.options.requests
      .counted(account, () => this.run(request, call))
      .finally(request.clear);
  }

  private async run(
    request: dispatcherModule.Prepared,
    call: callers.api.PlainRequest,
  ): Promise<callers.api.PlainResponse> {
    const {dispatcher, backends: client, clock} = this.options;
    const sent = await dispatcher.run(request, async (grant, version) => {
      const timeoutMs = request.wanted.deadlineMs - clock.monotonicMs();
      const {url} = grant.server;
      return client
        .callPlain(url, {...call, version, timeoutMs})
        .catch((error: backends.engine.BackendError) => this.told(url, error));
    });
    if (sent.kind === 'replayed') return replay(sent);
    return this.answered(request, sent);
  }

  private answered(
    request: dispatcherModule.Prepared,
    sent: dispatcherModule.Dispatched<backends.client.PlainResponse>,
  ): callers.api.PlainResponse {
    const {slots, claims, crashes, timeline, clock} = this.options;
    const {value, grant, claim} = sent;
    const durationMs = clock.monotonicMs() - sent.dispatchedMs;
    sent.leave();
    slots.done(grant.ticketId, {
      kind: 'completed',
      measured: {
        prefillTokens: 0,
        outputTokens: PLAIN_TOKENS,
        firstTokenMs: durationMs,
        durationMs,
      },
    });
    crashes.completed(request.fingerprint);
    this.options.samples.add(request, sent.version, {
      isFailure: value.status >= 500,
      firstTokenMs: durationMs,
      tokenMs: 0,
    });
    timeline.record('answered', request.requestId, {status: value.status});
    if (claim) void claims.answer(claim, value);
    return {...value, isReplay: false};
  }

  /** Finds out whether a call broke because the backend server is gone. Always throws. */
  private async told(
    url: string,
    error: backends.engine.BackendError,
  ): Promise<never> {
    if (error.kind !== 'broken') throw error;
    const isGone = await this.options.backends.readLoad(url).then(
      () => false,
      (probe: backends.engine.BackendError) => probe.kind === 'unreachable',
    );
    if (!isGone) throw error;
    throw new backends.engine.BackendError('gone', error.message);
  }
}

function replay(
  replayed: dispatcherModule.Replayed,
): callers.api.PlainResponse {
  return {...replayed.receipt, isReplay: true};
}
