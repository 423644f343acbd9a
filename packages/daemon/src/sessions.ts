import * as backends from '@banyanhall/backends';
import type * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import * as deadlines from '@banyanhall/fleet/deadlines.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** How long a stream keeps running after its caller's connection broke, so that the caller can resume it. */
const RESUME_TIMEOUT_MS = 3000;

/** A model stream that is forwarded to a caller. */
export interface Session {
  readonly requestId: string;
  readonly account: string;
  readonly server: decisions.config.BackendServer;
  readonly position: Omit<callers.position.Position, 'offset'>;
  readonly signal: AbortSignal;
  readonly events: AsyncIterator<backends.engine.EngineEvent>;
  /** The first result of `events`, which was read before the session was created. */
  readonly first: IteratorResult<backends.engine.EngineEvent>;
  readonly startedMs: number;
  readonly onEnd: (end: StreamEnd) => void;
  /** Returns the failure for the caller. Called while the request still counts as in flight, so that a crash marks it as suspect. */
  readonly onBreak: (
    error: backends.engine.BackendError,
  ) => decisions.verdict.FailureError;
  /** Releases everything held for the stream. */
  readonly release: () => void;
}

/** Result of a completed stream. */
export interface StreamEnd {
  readonly text: string;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  readonly usage: backends.engine.Usage;
}

/** State of forwarding a stream on one connection. */
interface ForwardState {
  /** True once the stream was resumed on another host or on a later connection to this one. */
  isDetached: boolean;
}

/** Dependencies of `Sessions`. */
export interface SessionsOptions {
  readonly backends: backends.client.BackendClient;
  readonly slots: slotsModule.Slots;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly sealer: callers.position.PositionSealer;
}

/** Forwards streams to callers, and keeps interrupted ones running until their caller resumes them or a timeout expires. */
export class Sessions {
  private readonly lingering = new Map<string, () => void>();
  private readonly active = new Map<string, ForwardState>();

  constructor(private readonly options: SessionsOptions) {}

  /** Number of streams waiting for their caller to reconnect. */
  get lingeringCount(): number {
    return this.lingering.size;
  }

  /** Wraps a stream as the answer for its caller. */
  answer(session: Session): callers.api.ChatResponse {
    return {
      id: `chatcmpl-${session.requestId}`,
      events: this.forward(session),
    };
  }

  /** Stops forwarding a stream that was resumed on another host or connection, without cancelling it. */
  detach(streamId: string): void {
    const active = this.active.get(streamId);
    if (active) active.isDetached = true;
    this.lingering.get(streamId)?.();
  }

  /** Forwards a stream to its caller; each event carries the sealed position after it. */
  private async *forward(
    session: Session,
  ): AsyncGenerator<callers.api.ChatEvent> {
    const {sealer, timeline, clock} = this.options;
    const {requestId, account, position, startedMs} = session;
    let offset = 0;
    let text = '';
    let firstTokenMs = 0;
    let isOver = false;
    const state: ForwardState = {isDetached: false};
    this.active.set(requestId, state);
    try {
      for (
        let next = session.first;
        !next.done;
        next = await session.events.next()
      ) {
        const event = next.value;
        if (event.kind === 'part') {
          if (firstTokenMs === 0) {
            firstTokenMs = clock.monotonicMs() - startedMs;
            timeline.record('first-token', requestId, {firstTokenMs});
          }
          offset = event.offset + event.text.length;
          text += event.text;
          const eventId = sealer.seal({...position, offset}, account);
          yield {kind: 'part', eventId, text: event.text};
          continue;
        }
        isOver = true;
        const durationMs = clock.monotonicMs() - startedMs;
        const {usage, finishReason, length} = event;
        session.onEnd({text, firstTokenMs, durationMs, usage});
        session.release();
        timeline.record('answered', requestId, {length, durationMs});
        const eventId = sealer.seal({...position, offset: length}, account);
        const {promptTokens, outputTokens} = usage;
        yield {kind: 'end', eventId, finishReason, promptTokens, outputTokens};
      }
    } catch (error) {
      if (!(error instanceof backends.engine.BackendError)) throw error;
      if (deadlines.isCallerGone(session.signal)) {
        throw new decisions.verdict.FailureError(
          deadlines.abortFailure(session.signal, 'may-have-run'),
        );
      }
      isOver = true;
      void this.options.backends.cancel(session.server.url, requestId);
      const failure = session.onBreak(error);
      session.release();
      throw failure;
    } finally {
      if (this.active.get(requestId) === state) this.active.delete(requestId);
      if (state.isDetached) session.release();
      else if (!isOver) this.linger(session, offset > 0);
    }
  }

  /** Keeps the stream of a disconnected caller running for RESUME_TIMEOUT_MS, then cancels it. A stream that cannot be resumed is cancelled at once. */
  private linger(session: Session, canResume: boolean): void {
    const {requestId, server} = session;
    void session.events.return?.();
    const stopLingering = () => {
      clearTimeout(timer);
      this.lingering.delete(requestId);
      session.release();
    };
    const end = () => {
      stopLingering();
      this.options.timeline.record('broken', requestId, {why: 'caller left'});
      this.options.slots.done(requestId, {kind: 'cancelled'});
      void this.options.backends.cancel(server.url, requestId);
    };
    const timer = setTimeout(end, canResume ? RESUME_TIMEOUT_MS : 0);
    this.lingering.set(requestId, stopLingering);
  }
}
