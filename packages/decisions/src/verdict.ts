/** Whether a request may have run on a backend server. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** The types of refusal and failure that are reported to callers. */
export type FailureType =
  | 'unauthorized'
  | 'unknown-profile'
  | 'unknown-service'
  | 'invalid-request'
  | 'request-too-large'
  | 'missing-idempotency-key'
  | 'idempotency-conflict'
  | 'outcome-unknown'
  | 'account-limit'
  | 'overloaded'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'suspect-request'
  | 'store-unavailable'
  | 'host-stopping'
  | 'no-backend-server'
  | 'backend-failed'
  | 'resume-refused'
  | 'internal';

/** A refused or failed request, as reported to its caller. */
export interface Failure {
  readonly kind: 'failure';
  readonly type: FailureType;
  readonly message: string;
  readonly verdict: Verdict;
  readonly retryAfterMs?: number;
}

/** The HTTP status code of each type of failure. */
export const HTTP_STATUS: Readonly<Record<FailureType, number>> = {
  unauthorized: 401,
  'unknown-profile': 400,
  'unknown-service': 404,
  'invalid-request': 400,
  'request-too-large': 413,
  'missing-idempotency-key': 400,
  'idempotency-conflict': 409,
  'outcome-unknown': 409,
  'account-limit': 429,
  overloaded: 503,
  'deadline-exceeded': 504,
  cancelled: 499,
  'suspect-request': 422,
  'store-unavailable': 503,
  'host-stopping': 503,
  'no-backend-server': 503,
  'backend-failed': 502,
  'resume-refused': 410,
  internal: 500,
};

/** Creates a failure; `verdict` defaults to `not-run`. */
export function failure(
  type: FailureType,
  message: string,
  verdict: Verdict = 'not-run',
  retryAfterMs?: number,
): Failure {
  return {kind: 'failure', type, message, verdict, retryAfterMs};
}

/** An error that wraps a failure, for code that throws. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}
