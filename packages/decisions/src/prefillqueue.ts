/** A prompt whose prefill has not been seen to end. */
interface Prefill {
  readonly ticketId: string;
  readonly endMs: number;
}

/**
 * The prompts of a runner that are expected to be in prefill, one after the
 * other, in order of grant. An answer shows that its prompt and those before it
 * are through, so that a wrong estimate lasts no longer than the answers take.
 */
export class PrefillQueue {
  private constructor(private readonly prefills: readonly Prefill[]) {}

  /** A queue without prompts. */
  static readonly empty = new PrefillQueue([]);

  /** When the last prefill is expected to end; -Infinity without prompts. */
  get endMs(): number {
    return this.prefills[this.prefills.length - 1]?.endMs ?? -Infinity;
  }

  /** Adds a prompt whose prefill takes `prefillMs` and starts after those before it. */
  add(ticketId: string, prefillMs: number, nowMs: number): PrefillQueue {
    const endMs = Math.max(nowMs, this.endMs) + prefillMs;
    return new PrefillQueue([...this.prefills, {ticketId, endMs}]);
  }

  /**
   * Removes a prompt, and those before it if it was answered; what is behind it
   * moves up to `nowMs` or by its own prefill.
   */
  remove(ticketId: string, wasAnswered: boolean, nowMs: number): PrefillQueue {
    const index = this.prefills.findIndex(p => p.ticketId === ticketId);
    if (index < 0) return this;
    const {endMs} = this.prefills[index];
    const startMs = wasAnswered
      ? nowMs
      : Math.max(nowMs, this.prefills[index - 1]?.endMs ?? nowMs);
    const savedMs = Math.max(0, endMs - startMs);
    const before = wasAnswered ? [] : this.prefills.slice(0, index);
    const behind = this.prefills
      .slice(index + 1)
      .map(prefill => ({...prefill, endMs: prefill.endMs - savedMs}));
    return new PrefillQueue([...before, ...behind]);
  }
}
