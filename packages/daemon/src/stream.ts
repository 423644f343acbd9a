import * as timers from 'node:timers/promises';

import * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';

/** Longest silence on the first connection of a stream before it counts as broken. */
const FIRST_PROGRESS_TIMEOUT_MS = 3000;
/** Longest silence on a resumed connection before it counts as broken. */
const RESUMED_PROGRESS_TIMEOUT_MS = 1500;
const MAX_CONSECUTIVE_BREAKS = 6;
const MAX_CONSECUTIVE_UNREACHABLE = 2;
const FIRST_BACKOFF_MS = 50;

/** A model stream to read from a backend server. Offsets count characters of its text. */
export interface StreamSource {
  readonly url: string;
  readonly streamId: string;
  readonly signal: AbortSignal;
  /** Number of characters that the caller already has. */
  readonly offset: number;
  /** The request that starts the stream; absent for a stream that is already running. */
  readonly request?: backends.engine.EngineRequest;
  /** Called with the offset reached before each reconnect. */
  readonly onResume: (offset: number) => void;
}

/**
 * Reads a stream to its end. When a connection breaks or times out, it backs
 * off exponentially and resumes at the offset reached. Repeated and reordered
 * parts are merged, so that every character is yielded once and in order.
 * Throws BackendError; its kind is `gone` when the backend server is
 * unreachable twice without an event in between or no longer knows the stream.
 */
export async function* read(
  client: backends.client.BackendClient,
  source: StreamSource,
): AsyncGenerator<backends.engine.EngineEvent> {
  let answer = decisions.answer.AnswerAssembler.resumeAt(source.offset);
  let isFirst = source.request !== undefined;
  let consecutiveBreaks = 0;
  let consecutiveUnreachable = 0;
  for (;;) {
    try {
      for await (const event of open(client, source, isFirst, answer.length)) {
        consecutiveBreaks = 0;
        consecutiveUnreachable = 0;
        if (event.kind === 'part') {
          const added = answer.add(event);
          const offset = answer.length;
          answer = added.answer;
          if (added.text === '') continue;
          yield {kind: 'part', offset, text: added.text};
          continue;
        }
        answer = answer.end(event.length);
        if (!answer.isComplete) break;
        yield event;
        return;
      }
    } catch (error) {
      const backendError = error as backends.engine.BackendError;
      if (source.signal.aborted) throw backendError;
      if (isFirst && backendError.isProvenNotRun) throw backendError;
      if (backendError.kind === 'failed') throw backendError;
      if (backendError.kind === 'unknown-stream')
        throw toGoneError(backendError);
      if (backendError.kind === 'unreachable') consecutiveUnreachable++;
      if (consecutiveUnreachable >= MAX_CONSECUTIVE_UNREACHABLE)
        throw toGoneError(backendError);
      if (consecutiveBreaks + 1 >= MAX_CONSECUTIVE_BREAKS) throw backendError;
    }
    isFirst = false;
    consecutiveBreaks++;
    await timers.setTimeout(FIRST_BACKOFF_MS * 2 ** (consecutiveBreaks - 1));
    source.onResume(answer.length);
  }
}

function open(
  client: backends.client.BackendClient,
  source: StreamSource,
  isFirst: boolean,
  offset: number,
): AsyncIterable<backends.engine.EngineEvent> {
  const {url, streamId, signal, request} = source;
  if (isFirst && request) {
    return client.chat(url, request, signal, FIRST_PROGRESS_TIMEOUT_MS);
  }
  return client.resume(
    url,
    streamId,
    offset,
    signal,
    RESUMED_PROGRESS_TIMEOUT_MS,
  );
}

function toGoneError(
  error: backends.engine.BackendError,
): backends.engine.BackendError {
  return new backends.engine.BackendError('gone', error.message);
}
