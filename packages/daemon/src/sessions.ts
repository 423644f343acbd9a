import * as backends from '@banyanhall/backends';
import type * as callers from '@banyanhall/callers';
import * as decisions from '@banyanhall/decisions';

import * as limits from '@banyanhall/fleet/limits.js';
import type * as slotsModule from '@banyanhall/fleet/slots.js';
import type * as timelines from '@banyanhall/fleet/timeline.js';

/** How long a stream runs on after its caller's connection broke, in milliseconds, so that it can be resumed. */
const RESUME_GRACE_MS = 3000;

/** A stream that is being passed on to a caller. */
export interface Session {
  readonly requestId: string;
  readonly account: string;
  readonly server: decisions.config.BackendServer;
  readonly position: Omit<callers.position.Position, 'offset'>;
  readonly signal: AbortSignal;
  readonly events: AsyncIterator<backends.engine.EngineEvent>;
  readonly first: IteratorResult<backends.engine.EngineEvent>;
  readonly startedMs: number;
  readonly onEnd: (end: End) => void;
  /** Called while the request still counts as in flight, so that a crash is held against it. */
  readonly onBreak: (
    error: backends.engine.BackendError,
  ) => decisions.verdict.FailureError;
  /** Lets go of everything that is held for the stream. */
  readonly release: () => void;
}

/** What a stream came to when its end mark arrived. */
export interface End {
  readonly text: string;
  readonly firstTokenMs: number;
  readonly durationMs: number;
  readonly usage: backends.engine.Usage;
}

/** Whether another host, or a later connection to this one, has taken a stream over. */
interface ActiveState {
  isDetached: boolean;
}

/** What sessions need from the rest of the host. */
export interface SessionsOptions {
  readonly backends: backends.client.BackendClient;
  readonly slots: slotsModule.Slots;
  readonly timeline: timelines.Timeline;
  readonly clock: decisions.clock.Clock;
  readonly seal: callers.position.PositionSealer;
}

/** The streams that are passed on to callers, and those that wait for their caller to come back. */
export class Sessions {
  private readonly lingering = new Map<string, () => void>();
  private readonly active = new Map<string, ActiveState>();

  constructor(private readonly options: SessionsOptions) {}

  /** Streams that wait for their caller to come back. */
  get lingeringCount(): number {
    return this.lingering.size;
  }

  /** The answer that a stream becomes for its caller. */
  answer(session: Session): callers.api.ChatResponse {
    return {
      id: `chatcmpl-${session.requestId}`,
      events: this.passOn(session),
    };
  }

  /** A stream was taken over elsewhere: it is let go of, and not cancelled. */
  takenOver(streamId: string): void {
    const active = this.active.get(streamId);
    if (active) active.isDetached = true;
    this.lingering.get(streamId)?.();
  }

  /** Passes a stream on to its caller, each part with the position after it. */
  private async *passOn(
    session: Session,
  ): AsyncGenerator<callers.api.ChatEvent> {
    const {seal, timeline, clock} = this.options;
    const {requestId, account, position, startedMs} = session;
    let offset = 0;
    let text = '';
    let firstTokenMs = 0;
    let isOver = false;
    const state: ActiveState = {isDetached: false};
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
          const eventId = seal.seal({...position, offset}, account);
          yield {kind: 'part', eventId, text: event.text};
          continue;
        }
        isOver = true;
        const durationMs = clock.monotonicMs() - startedMs;
        const {usage, finishReason, length} = event;
        session.onEnd({text, firstTokenMs, durationMs, usage});
        session.release();
        timeline.record('answered', requestId, {length, durationMs});
        const eventId = seal.seal({...position, offset: length}, account);
        const {promptTokens, outputTokens} = usage;
        yield {kind: 'end', eventId, finishReason, promptTokens, outputTokens};
      }
    } catch (error) {
      if (!(error instanceof backends.engine.BackendError)) throw error;
      if (limits.isCallerGone(session.signal)) {
        throw new decisions.verdict.FailureError(
          limits.abortFailure(session.signal, 'may-have-run'),
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

  /** The caller's connection broke: the stream runs on for a while, then it is cancelled. */
  private linger(session: Session, canResume: boolean): void {
    const {requestId, server} = session;
    void session.events.return?.();
    const letGo = () => {
      clearTimeout(timer);
      this.lingering.delete(requestId);
      session.release();
    };
    const end = () => {
      letGo();
      this.options.timeline.record('broken', requestId, {why: 'caller left'});
      this.options.slots.done(requestId, {kind: 'cancelled'});
      void this.options.backends.cancel(server.url, requestId);
    };
    const timer = setTimeout(end, canResume ? RESUME_GRACE_MS : 0);
    this.lingering.set(requestId, letGo);
  }
}
