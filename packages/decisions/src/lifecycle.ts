import type * as verdicts from './verdict.js';

/** The stages of a request, in order; `answered` is final. */
export type Stage =
  'received' | 'waiting' | 'granted' | 'dispatched' | 'answered';

/** What a host must still hold true right before the first byte leaves for a backend server. */
export interface DispatchGuard {
  readonly deadlineMs: number;
  readonly isCancelled: boolean;
  readonly isLeaseFresh: boolean;
}

/** Why a dispatch is not allowed any more. */
export type BlockReason = 'deadline' | 'cancelled' | 'lease-lapsed';

/**
 * The life of one request on its host. Invariants: the verdict only grows
 * stronger, except that a proven refusal takes back the one dispatch it
 * belongs to; there is never a second dispatch while the first may have run.
 */
export class Lifecycle {
  private constructor(
    readonly stage: Stage,
    readonly verdict: verdicts.Verdict,
    readonly dispatches: number,
  ) {}

  /** A request that has just come in. */
  static readonly received = new Lifecycle('received', 'not-run', 0);

  /** The request waits for a slot. */
  wait(): Lifecycle {
    this.expect('received', 'granted');
    return new Lifecycle('waiting', this.verdict, this.dispatches);
  }

  /** The request was given a slot. */
  grant(): Lifecycle {
    this.expect('waiting');
    return new Lifecycle('granted', this.verdict, this.dispatches);
  }

  /** Says why the dispatch must not happen now, if it must not. */
  blockReason(guard: DispatchGuard, nowMs: number): BlockReason | undefined {
    if (guard.isCancelled) return 'cancelled';
    if (nowMs >= guard.deadlineMs) return 'deadline';
    return guard.isLeaseFresh ? undefined : 'lease-lapsed';
  }

  /** The point of no return: from here on the request may have run. */
  dispatch(): Lifecycle {
    this.expect('granted');
    if (this.verdict !== 'not-run') {
      throw new RangeError(`a request that ${this.verdict} is dispatched once`);
    }
    return new Lifecycle('dispatched', 'may-have-run', this.dispatches + 1);
  }

  /** The backend server proved that it did not admit the request. */
  refuted(): Lifecycle {
    this.expect('dispatched');
    return new Lifecycle('granted', 'not-run', this.dispatches);
  }

  /** The request is over; a whole answer proves that it ran. */
  answer(ran: boolean): Lifecycle {
    const verdict = ran ? 'ran' : this.verdict;
    return new Lifecycle('answered', verdict, this.dispatches);
  }

  private expect(...stages: readonly Stage[]): void {
    if (stages.includes(this.stage)) return;
    throw new RangeError(
      `a request that is ${this.stage} can't go on from ${stages.join(' or ')}`,
    );
  }
}
