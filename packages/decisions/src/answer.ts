/** A part of an answer; `text` starts at character `offset` of the answer. */
export interface AnswerPart {
  readonly offset: number;
  readonly text: string;
}

/**
 * Reassembles an answer from parts that may arrive late, repeatedly or out of
 * order. Invariant: the first `length` characters have been delivered, in
 * order and exactly once; parts after a gap are buffered.
 */
export class AnswerAssembler {
  private constructor(
    readonly length: number,
    private readonly buffered: readonly AnswerPart[],
    private readonly endOffset: number | undefined,
  ) {}

  /** Creates an assembler for an answer whose first `length` characters were already delivered. */
  static resumeAt(length: number): AnswerAssembler {
    return new AnswerAssembler(length, [], undefined);
  }

  /** True if the end of the answer is known and every character before it was delivered. */
  get isComplete(): boolean {
    return this.endOffset === this.length;
  }

  /** Adds a part; returns the new assembler and the text that can now be delivered. */
  add(part: AnswerPart): {
    readonly answer: AnswerAssembler;
    readonly text: string;
  } {
    const pending = [...this.buffered, part].sort(
      (a, b) => a.offset - b.offset,
    );
    let length = this.length;
    let text = '';
    const buffered: AnswerPart[] = [];
    for (const next of pending) {
      if (next.offset > length) {
        buffered.push(next);
        continue;
      }
      const fresh = next.text.slice(length - next.offset);
      text += fresh;
      length += fresh.length;
    }
    return {
      answer: new AnswerAssembler(length, buffered, this.endOffset),
      text,
    };
  }

  /** Records that the whole answer has `length` characters. */
  end(length: number): AnswerAssembler {
    return new AnswerAssembler(this.length, this.buffered, length);
  }
}
