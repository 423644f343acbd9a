import type * as verdicts from './verdict.js';

/** The stages of a request, in order; `answered` is final. */
export type Stage =
  'received' | 'waiting' | 'granted' | 'dispatched' | 'answered';

/** The conditions that a host checks right before it sends the first byte to a backend server. */
export interface DispatchGuard {
  readonly deadlineMs: number;
  readonly isCancelled: boolean;
  readonly isLeaseFresh: boolean;
}

/** Why a request must not be dispatched. */
export type BlockReason = 'deadline' | 'cancelled' | 'lease-lapsed';

/**
 * The lifecycle of one request on its host. Invariants: the verdict only moves
 * from `not-run` towards `ran`, except that a proof that the backend server did
 * not admit the request reverts the dispatch (`refuted`); a request is never
 * dispatched again while an earlier attempt may have run.
 */
export class Lifecycle {
  private constructor(
    readonly stage: Stage,
    readonly verdict: verdicts.Verdict,
    readonly dispatches: number,
  ) {}

  /** A request that was just received. */
  static readonly received = new Lifecycle('received', 'not-run', 0);

  /** The request starts to wait for a slot, for the first time or after a refuted dispatch. */
  wait(): Lifecycle {
    this.expect('received', 'granted');
    return new Lifecycle('waiting', this.verdict, this.dispatches);
  }

  /** The request was granted a slot. */
  grant(): Lifecycle {
    this.expect('waiting');
    return new Lifecycle('granted', this.verdict, this.dispatches);
  }

  /** Returns why the request must not be dispatched at `nowMs`, or undefined if it may be. */
  blockReason(guard: DispatchGuard, nowMs: number): BlockReason | undefined {
    if (guard.isCancelled) return 'cancelled';
    if (nowMs >= guard.deadlineMs) return 'deadline';
    return guard.isLeaseFresh ? undefined : 'lease-lapsed';
  }

  /** The request is dispatched; from here on it may have run. */
  dispatch(): Lifecycle {
    this.expect('granted');
    if (this.verdict !== 'not-run') {
      throw new RangeError(
        `got a request with verdict ${this.verdict} to dispatch, expected not-run`,
      );
    }
    return new Lifecycle('dispatched', 'may-have-run', this.dispatches + 1);
  }

  /** The backend server proved that it did not admit the request, so it can be dispatched again. */
  refuted(): Lifecycle {
    this.expect('dispatched');
    return new Lifecycle('granted', 'not-run', this.dispatches);
  }

  /** The request is answered, in whatever stage it is; `ran` is true if a complete answer proves that it ran. */
  answer(ran: boolean): Lifecycle {
    const verdict = ran ? 'ran' : this.verdict;
    return new Lifecycle('answered', verdict, this.dispatches);
  }

  private expect(...stages: readonly Stage[]): void {
    if (stages.includes(this.stage)) return;
    throw new RangeError(
      `got a request in stage ${this.stage}, expected ${stages.join(' or ')}`,
    );
  }
}
