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
export type Blocked = 'deadline' | 'cancelled' | 'lease-lapsed';

/**
 * The life of one request on its host. Invariants: the verdict only grows
 * stronger, except that a proven refusal takes back the one dispatch it
 * belongs to; there is never a second dispatch while the first may have run.
 */
export class Life {
  private constructor(
    readonly stage: Stage,
    readonly verdict: verdicts.Verdict,
    readonly dispatches: number,
  ) {}

  /** A request that has just come in. */
  static readonly received = new Life('received', 'not-run', 0);

  /** The request waits for a slot. */
  wait(): Life {
    this.expect('received', 'granted');
    return new Life('waiting', this.verdict, this.dispatches);
  }

  /** The request was given a slot. */
  grant(): Life {
    this.expect('waiting');
    return new Life('granted', this.verdict, this.dispatches);
  }

  /** Says why the dispatch must not happen now, if it must not. */
  blocked(guard: DispatchGuard, nowMs: number): Blocked | undefined {
    if (guard.isCancelled) return 'cancelled';
    if (nowMs >= guard.deadlineMs) return 'deadline';
    return guard.isLeaseFresh ? undefined : 'lease-lapsed';
  }

  /** The point of no return: from here on the request may have run. */
  dispatch(): Life {
    this.expect('granted');
    if (this.verdict !== 'not-run') {
      throw new RangeError(`a request that ${this.verdict} is dispatched once`);
    }
    return new Life('dispatched', 'may-have-run', this.dispatches + 1);
  }

  /** The backend server proved that it did not admit the request. */
  refuted(): Life {
    this.expect('dispatched');
    return new Life('granted', 'not-run', this.dispatches);
  }

  /** The request is over; a whole answer proves that it ran. */
  answer(ran: boolean): Life {
    const verdict = ran ? 'ran' : this.verdict;
    return new Life('answered', verdict, this.dispatches);
  }

  private expect(...stages: readonly Stage[]): void {
    if (stages.includes(this.stage)) return;
    throw new RangeError(
      `a request that is ${this.stage} can't go on from ${stages.join(' or ')}`,
    );
  }
}
