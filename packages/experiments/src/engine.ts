/** How an engine works through its batch; times in milliseconds at speed 1. */
export interface EngineParameters {
  /** Requests in a batch at most. */
  readonly slots: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that one step reads at most. */
  readonly chunkTokens: number;
  /** From the last prompt token to the first output token. */
  readonly firstTokenMs: number;
}

/** A generation in an engine's batch. Mutable: it belongs to the engine alone. */
interface Generation {
  readonly id: string;
  readonly outputTokens: number;
  promptLeft: number;
  produced: number;
}

/** What a step of the batch brought. */
export interface StepResult {
  /** Generations whose first token came. */
  readonly started: readonly string[];
  readonly finished: readonly string[];
}

/** A batch of generations in which one prompt at a time is read between the tokens of the others. */
export class Engine {
  private readonly generations: Generation[] = [];

  constructor(
    private readonly terms: EngineParameters,
    private readonly speed: number,
  ) {}

  get isIdle(): boolean {
    return this.generations.length === 0;
  }

  get running(): number {
    return this.generations.length;
  }

  /** Takes in a generation. */
  add(id: string, promptTokens: number, outputTokens: number): void {
    const promptLeft = promptTokens;
    this.generations.push({id, promptLeft, outputTokens, produced: 0});
  }

  /** Drops a generation whose caller left, or everything when the engine crashes. */
  drop(id?: string): void {
    const kept = this.generations.filter(g => id !== undefined && g.id !== id);
    this.generations.splice(0, this.generations.length, ...kept);
  }

  /** How long the next step takes. */
  nextStepMs(): number {
    const {terms, generations} = this;
    const reading = generations.find(g => g.promptLeft > 0);
    const chunk = Math.min(reading?.promptLeft ?? 0, terms.chunkTokens);
    const isLastChunk = reading !== undefined && reading.promptLeft === chunk;
    const stepMs =
      terms.stepMs +
      terms.stepMsPerRequest * generations.length +
      chunk / terms.prefillTokensPerMs +
      (isLastChunk ? terms.firstTokenMs : 0);
    return stepMs / this.speed;
  }

  /** Carries the next step out. */
  step(): StepResult {
    const started: string[] = [];
    const reading = this.generations.find(g => g.promptLeft > 0);
    for (const generation of this.generations) {
      if (generation.promptLeft > 0) continue;
      generation.produced++;
    }
    if (reading) {
      reading.promptLeft -= Math.min(
        reading.promptLeft,
        this.terms.chunkTokens,
      );
      if (reading.promptLeft === 0) {
        reading.produced = 1;
        started.push(reading.id);
      }
    }
    const isDone = (g: Generation) =>
      g.promptLeft === 0 && g.produced >= g.outputTokens;
    const finished = this.generations.filter(isDone).map(g => g.id);
    const kept = this.generations.filter(g => !isDone(g));
    this.generations.splice(0, this.generations.length, ...kept);
    return {started, finished};
  }
}
