/** A part of an answer: `text` starts at character `offset` of the whole. */
export interface AnswerPart {
  readonly offset: number;
  readonly text: string;
}

/**
 * An answer being put together from parts that may come late, twice or out
 * of order. Invariant: `length` characters have been delivered, in order
 * and once each; parts beyond a gap are held back.
 */
export class AnswerAssembler {
  private constructor(
    readonly length: number,
    private readonly held: readonly AnswerPart[],
    private readonly endsAt: number | undefined,
  ) {}

  /** An answer of which `length` characters were already delivered. */
  static resumeAt(length: number): AnswerAssembler {
    return new AnswerAssembler(length, [], undefined);
  }

  /** True once the end mark has come and every character before it was delivered. */
  get isComplete(): boolean {
    return this.endsAt === this.length;
  }

  /** Adds a part; returns the new answer and the text that may now be delivered. */
  add(part: AnswerPart): {
    readonly answer: AnswerAssembler;
    readonly text: string;
  } {
    const pending = [...this.held, part].sort((a, b) => a.offset - b.offset);
    let length = this.length;
    let text = '';
    const held: AnswerPart[] = [];
    for (const next of pending) {
      if (next.offset > length) {
        held.push(next);
        continue;
      }
      const fresh = next.text.slice(length - next.offset);
      text += fresh;
      length += fresh.length;
    }
    return {answer: new AnswerAssembler(length, held, this.endsAt), text};
  }

  /** Marks the end: the whole answer has `length` characters. */
  end(length: number): AnswerAssembler {
    return new AnswerAssembler(this.length, this.held, length);
  }
}
