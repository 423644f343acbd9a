// A token bucket that can tell what the use of its last window explains. Pure:
// times are passed in.

/** Uses within this time are kept as one, in milliseconds. */
const SLOT_MS = 50;

/** The size of an account's token bucket. */
export interface BucketSize {
  readonly capacity: number;
  /** Tokens added in a millisecond. */
  readonly perMs: number;
}

/** The uses of a short time. */
interface Slot {
  readonly beginMs: number;
  /** The time of the last use. */
  atMs: number;
  tokens: number;
}

/** A use that may be taken back; without a slot if that came first. */
interface Use {
  /** When it was recorded. */
  readonly atMs: number;
  readonly usedMs: number;
  readonly slot: Slot | undefined;
  readonly tokens: number;
}

/**
 * A token bucket with a record of the uses of the last window.
 *
 * Invariants: uses of a window are at most its capacity and its refill, not
 * counting those that were made without asking for the level. The level is not
 * below zero for uses that are older than a window.
 */
export class UsageBucket {
  private readonly slots: Slot[] = [];
  /** By id, in the order of their time. */
  private readonly uses = new Map<string, Use>();
  private level: number;
  private atMs: number;
  /** The time as of which the level of another hub was last taken over. */
  private takenOverMs = -Infinity;

  constructor(
    private size: BucketSize,
    private readonly windowMs: number,
    tokens: number,
    nowMs: number,
  ) {
    this.level = tokens;
    this.atMs = nowMs;
  }

  /** The level as of the last call. */
  get tokens(): number {
    return this.level;
  }

  /** Adds what was gained until now, and changes the size from now on. */
  refill(nowMs: number, size: BucketSize = this.size): void {
    this.level = this.gained(this.level, this.atMs, nowMs);
    this.atMs = nowMs;
    this.size = size;
    this.level = Math.min(size.capacity, this.level);
    this.forget(nowMs);
    const sinceMs = nowMs - this.windowMs;
    if (this.level >= 0 || this.takenOverMs > sinceMs) return;
    const explained = Math.min(0, this.replayed(0, sinceMs));
    this.level = Math.max(this.level, explained);
  }

  /** Takes tokens out, also more than there are; a use with an id counts once. */
  use(id: string, tokens: number): void {
    if (this.uses.has(id)) return;
    this.record(id, tokens, this.atMs);
    this.level -= tokens;
  }

  /** Takes tokens out that were used some time ago. What was gained since counts up to the capacity. */
  useEarlier(id: string, tokens: number, ageMs: number): void {
    if (this.uses.has(id) || ageMs >= this.windowMs) return;
    this.record(id, tokens, this.atMs - ageMs);
    const fullMs = this.atMs - this.windowMs;
    const most = this.replayed(this.size.capacity, fullMs);
    const left = Math.min(this.level, most);
    this.level = Math.max(this.level - tokens, left);
  }

  /** True if the use of that id was taken back in the last window. */
  isTakenBack(id: string): boolean {
    const use = this.uses.get(id);
    return use !== undefined && !use.slot;
  }

  /** Takes back the use of an id in the last window, or one of that id that arrives later. */
  takeBack(id: string): void {
    const {atMs} = this;
    const use = this.uses.get(id);
    this.uses.delete(id);
    this.uses.set(id, {atMs, usedMs: atMs, slot: undefined, tokens: 0});
    if (!use?.slot) return;
    use.slot.tokens -= use.tokens;
    this.giveBack(use.tokens, use.usedMs);
  }

  /** Returns tokens of an unknown use, as if it were the last one. */
  refund(tokens: number): void {
    let left = tokens;
    for (const slot of this.slots.toReversed()) {
      const part = Math.max(0, Math.min(left, slot.tokens));
      slot.tokens -= part;
      left -= part;
      if (part > 0) this.giveBack(part, slot.beginMs);
      if (left <= 0) return;
    }
  }

  /** Lowers the level to what another hub's bucket would hold, which held `tokens` some time ago, less the uses here since. */
  takeOver(tokens: number, ageMs: number): void {
    const thenMs = this.atMs - ageMs;
    const level = this.replayed(tokens, thenMs);
    if (level >= this.level) return;
    this.level = level;
    this.takenOverMs = thenMs;
  }

  /** Adds a use to the slot of its time. */
  private record(id: string, tokens: number, usedMs: number): void {
    const after = this.slots.findLastIndex(({beginMs}) => beginMs <= usedMs);
    let slot = this.slots[after];
    if (!slot || usedMs - slot.beginMs >= SLOT_MS) {
      slot = {beginMs: usedMs, atMs: usedMs, tokens: 0};
      this.slots.splice(after + 1, 0, slot);
    }
    slot.atMs = Math.max(slot.atMs, usedMs);
    slot.tokens += tokens;
    const {atMs} = this;
    if (id !== '') this.uses.set(id, {atMs, usedMs, slot, tokens});
  }

  /**
   * Adds tokens that were used at a time. Without that use, the bucket would
   * never have held more than its capacity; a level that was taken over since
   * does not contain the use.
   */
  private giveBack(tokens: number, usedMs: number): void {
    const fromMs = Math.max(usedMs, this.atMs - this.windowMs);
    if (fromMs < this.takenOverMs) return;
    const most = this.replayed(this.size.capacity, fromMs);
    this.level = Math.max(this.level, Math.min(this.level + tokens, most));
  }

  /** The level now of a bucket that held `tokens` at a time and had the uses of this one since. */
  private replayed(tokens: number, fromMs: number): number {
    let level = Math.min(this.size.capacity, tokens);
    let atMs = fromMs;
    for (const slot of this.slots) {
      if (slot.atMs < fromMs) continue;
      level = this.gained(level, atMs, slot.atMs) - slot.tokens;
      atMs = slot.atMs;
    }
    return this.gained(level, atMs, this.atMs);
  }

  private gained(tokens: number, fromMs: number, toMs: number): number {
    const {capacity, perMs} = this.size;
    return Math.min(capacity, tokens + perMs * Math.max(0, toMs - fromMs));
  }

  /** Forgets what is older than a window. */
  private forget(nowMs: number): void {
    const sinceMs = nowMs - this.windowMs;
    const first = this.slots.findIndex(({atMs}) => atMs >= sinceMs);
    this.slots.splice(0, first < 0 ? this.slots.length : first);
    for (const [id, {atMs}] of this.uses) {
      if (atMs >= sinceMs) break;
      this.uses.delete(id);
    }
  }
}
