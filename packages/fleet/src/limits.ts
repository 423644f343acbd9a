import * as decisions from '@banyanhall/decisions';

/** A signal with a deadline; `clear` ends its timer. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

/** A signal that is aborted with `signal`, or with a deadline failure after `ms` milliseconds. */
export function withDeadline(signal: AbortSignal, ms: number): DeadlineSignal {
  const controller = new AbortController();
  const onAbort = () => controller.abort(signal.reason);
  const timer = setTimeout(() => {
    const message = 'the deadline of the profile has passed';
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

/** The failure that an abort stands for: the deadline, or else that the caller has left. */
export function abortFailure(
  signal: AbortSignal,
  verdict: decisions.verdict.Verdict,
): decisions.verdict.Failure {
  const {reason} = signal;
  if (reason instanceof decisions.verdict.FailureError) {
    return {...reason.failure, verdict};
  }
  return decisions.verdict.failure('cancelled', 'the caller has left', verdict);
}

/** True when a signal was aborted because the caller has left, not by the deadline. */
export function isCallerGone(signal: AbortSignal): boolean {
  const isDeadline = signal.reason instanceof decisions.verdict.FailureError;
  return signal.aborted && !isDeadline;
}
