/*
 * What the end of an attempt tells, and to whom it is reported.
 */
import type * as decisions from '@banyanhall/decisions';
import type * as forwarding from '@banyanhall/forwarding';

/** The failures that a broken link of this host causes as well as a backend server. */
export const LINK_FAILURES: ReadonlySet<forwarding.upstream.FailureCause> =
  new Set([...(['reset', 'cancelled', 'broken-answer'] as const)]);

/** The same for the link to a host that carries an attempt, of which nothing says that it is broken. */
export const CARRIER_FAILURES: ReadonlySet<forwarding.upstream.FailureCause> =
  new Set(['reset', 'cancelled'] as const);

/** The outcome of an attempt, as reported to the keeper, by the cause of its failure. */
export const OUTCOMES: Readonly<
  Record<
    forwarding.upstream.FailureCause,
    (hasCrashed: boolean) => decisions.runner.Outcome
  >
> = {
  'invalid-request': () => ({kind: 'cancelled'}),
  'connect-failed': () => ({kind: 'unreachable'}),
  reset: brokenOutcome,
  'broken-answer': brokenOutcome,
  // The caller is still connected: this host gave up the attempt for its silence.
  cancelled: () => ({kind: 'silent'}),
  withdrawn: () => ({kind: 'cancelled'}),
  'timed-out': () => ({kind: 'failed'}),
  'foreign-answer': () => ({kind: 'failed'}),
  refused: () => ({kind: 'not-admitted', isLeaving: false}),
  'unproven-refusal': () => ({kind: 'failed'}),
  'wrong-server': () => ({kind: 'not-admitted', isLeaving: true}),
};

function brokenOutcome(hasCrashed: boolean): decisions.runner.Outcome {
  return hasCrashed ? {kind: 'crashed'} : {kind: 'failed', isBroken: true};
}

/** Builds the failure of an attempt whose response can't be used. */
export function brokenResponse(
  detail: string,
): forwarding.upstream.AttemptFailure {
  const cause = 'broken-answer';
  const verdict = 'may-have-run';
  return {
    ...{kind: 'failed', cause, verdict, status: 0, detail},
    ...{load: undefined, statements: undefined},
  };
}

/** What a response's load report of this age adds to the measurement of its attempt. */
export function reportOf(
  load: forwarding.loadreport.LoadReport | undefined,
  reportAgeMs: number,
): Pick<
  decisions.pace.Measurement,
  'inUse' | 'slowdownPercent' | 'reportAgeMs'
> {
  if (!load) return {};
  const {running, waiting, slowdownPercent} = load;
  return {inUse: running + waiting, slowdownPercent, reportAgeMs};
}
