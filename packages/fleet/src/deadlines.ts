import * as decisions from '@banyanhall/decisions';

// Abort signals that combine a caller's disconnect with a deadline, and tell the two apart.

/** An abort signal with a deadline; `clear` stops its timer and its listener. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

/** Returns a signal that aborts with `signal`, or with a FailureError (deadline-exceeded) after `ms` milliseconds. */
export function withDeadline(signal: AbortSignal, ms: number): DeadlineSignal {
  const controller = new AbortController();
  const onAbort = () => controller.abort(signal.reason);
  const timer = setTimeout(() => {
    const message = 'the request exceeded the deadline of its profile';
    const failure = decisions.verdict.failure('deadline-exceeded', message);
    controller.abort(new decisions.verdict.FailureError(failure));
  }, ms);
  if (signal.aborted) onAbort();
  else signal.addEventListener('abort', onAbort, {once: true});
  const clear = () => {
    clearTimeout(timer);
    signal.removeEventListener('abort', onAbort);
  };
  return {signal: controller.signal, clear};
}

/** The failure for an aborted signal: its deadline failure, or else `cancelled`. */
export function abortFailure(
  signal: AbortSignal,
  verdict: decisions.verdict.Verdict,
): decisions.verdict.Failure {
  const {reason} = signal;
  if (reason instanceof decisions.verdict.FailureError) {
    return {...reason.failure, verdict};
  }
  return decisions.verdict.failure(
    'cancelled',
    'the caller disconnected',
    verdict,
  );
}

/** True when a signal was aborted because the caller disconnected, not by its deadline. */
export function isCallerGone(signal: AbortSignal): boolean {
  const isDeadline = signal.reason instanceof decisions.verdict.FailureError;
  return signal.aborted && !isDeadline;
}
