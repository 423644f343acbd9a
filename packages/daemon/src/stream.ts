import * as timers from 'node:timers/promises';

import * as backends from '@banyanhall/backends';
import * as decisions from '@banyanhall/decisions';

const FIRST_EVENT_MS = 3000;
const PROGRESS_MS = 1500;
const MAX_BREAKS = 6;
const MAX_UNREACHABLE = 2;
const FIRST_BACKOFF_MS = 50;

/** A stream to be read from a model engine. */
export interface StreamSource {
  readonly url: string;
  readonly streamId: string;
  readonly signal: AbortSignal;
  /** Characters that the caller has already. */
  readonly offset: number;
  /** The request to dispatch first; absent for a stream that runs already. */
  readonly request?: backends.engine.EngineRequest;
  readonly onResume: (offset: number) => void;
}

/**
 * Reads a stream to its end over connections that break, go silent, repeat
 * or reorder parts: a broken one is replaced by resuming at the offset that
 * was reached. Every character is yielded once and in order. Throws
 * BackendError; kind `gone` when the backend server itself went away.
 */
export async function* read(
  client: backends.client.BackendClient,
  source: StreamSource,
): AsyncGenerator<backends.engine.EngineEvent> {
  let answer = decisions.answer.AnswerAssembler.resumeAt(source.offset);
  let isFirst = source.request !== undefined;
  let breaks = 0;
  let unreachable = 0;
  for (;;) {
    try {
      for await (const event of open(client, source, isFirst, answer.length)) {
        breaks = 0;
        unreachable = 0;
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
      const broken = error as backends.engine.BackendError;
      if (source.signal.aborted) throw broken;
      if (isFirst && broken.isProvenNotRun) throw broken;
      if (broken.kind === 'failed') throw broken;
      if (broken.kind === 'unknown-stream') throw lost(broken);
      if (broken.kind === 'unreachable') unreachable++;
      if (unreachable >= MAX_UNREACHABLE) throw lost(broken);
      if (breaks + 1 >= MAX_BREAKS) throw broken;
    }
    isFirst = false;
    breaks++;
    await timers.setTimeout(FIRST_BACKOFF_MS * 2 ** (breaks - 1));
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
    return client.chat(url, request, signal, FIRST_EVENT_MS);
  }
  return client.resume(url, streamId, offset, signal, PROGRESS_MS);
}

function lost(
  error: backends.engine.BackendError,
): backends.engine.BackendError {
  return new backends.engine.BackendError('gone', error.message);
}
