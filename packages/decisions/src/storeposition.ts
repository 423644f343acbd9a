/*
 * Positions in the history of a store that may come back from an older copy of
 * itself. Its revisions then go back and are given out again, so a revision
 * says something only together with its era.
 */

/** The era of a store or of a message that does not state one; earlier than all others. */
export const UNKNOWN_ERA = -1;

/** A position as it is sent in calls and messages. */
export interface EncodedPosition {
  readonly era: number;
  readonly revision: number;
}

/**
 * A point in the history of a store. The era increases each time that the
 * store comes back from a copy, the revision with each transaction of an era.
 * Both are private, so that positions can only be compared as a whole.
 */
export class StorePosition {
  /** Before all others. */
  static readonly start = new StorePosition(UNKNOWN_ERA, 0);

  private constructor(
    private readonly era: number,
    private readonly revision: number,
  ) {}

  /** Returns the position of a revision in an era. */
  static of(era: number, revision: number): StorePosition {
    return new StorePosition(era, revision);
  }

  /** True if this position comes after `other`: in a later era, or in the same one at a greater revision. */
  isAfter(other: StorePosition): boolean {
    if (this.era !== other.era) return this.era > other.era;
    return this.revision > other.revision;
  }

  /** Returns the later one of two positions. */
  latest(other: StorePosition): StorePosition {
    return other.isAfter(this) ? other : this;
  }

  /** True if this position is of an earlier era than `other`. */
  isOfEarlierEraThan(other: StorePosition): boolean {
    return this.era < other.era;
  }

  /** True if both positions are of one era. */
  isOfSameEraAs(other: StorePosition): boolean {
    return this.era === other.era;
  }

  /** True if a row at this position may be the one at `original`, seen in a copy: rows keep their revision there. */
  mayBeCopyOf(original: StorePosition): boolean {
    return (
      original.isOfEarlierEraThan(this) && original.revision === this.revision
    );
  }

  /** Returns both numbers, for calls, messages and logs; not to be compared. */
  encode(): EncodedPosition {
    return {era: this.era, revision: this.revision};
  }
}
