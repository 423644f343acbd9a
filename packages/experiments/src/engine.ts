/**
 * A model of an inference engine with continuous batching and chunked prefill.
 * It runs on simulated time: the caller asks for the duration of the next step
 * and carries the step out when that time has passed.
 */

/** Batch limits and step durations of an engine; durations hold at speed 1. */
export interface EngineParameters {
  /** Maximum number of requests in a batch. */
  readonly slots: number;
  /** Fixed duration of a step. */
  readonly stepMs: number;
  /** Duration that each request in the batch adds to a step. */
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerMs: number;
  /** Maximum number of prompt tokens that one step prefills. */
  readonly chunkTokens: number;
  /** Added to the step that prefills the last prompt token and emits the first output token. */
  readonly firstTokenMs: number;
}

/** The progress of one request in the batch; mutable and private to its engine. */
interface Generation {
  readonly id: string;
  readonly outputTokens: number;
  promptTokensLeft: number;
  producedTokens: number;
}

/** The ids of the generations that changed state in a step. */
export interface StepResult {
  /** Generations that emitted their first token. */
  readonly started: readonly string[];
  /** Generations that emitted their last token. */
  readonly finished: readonly string[];
}

/**
 * A batch of generations. Each step emits one token for every generation whose
 * prompt is prefilled, and prefills one chunk of the oldest prompt still left.
 */
export class Engine {
  private readonly generations: Generation[] = [];

  constructor(
    private readonly parameters: EngineParameters,
    private readonly speed: number,
  ) {}

  get isIdle(): boolean {
    return this.generations.length === 0;
  }

  get running(): number {
    return this.generations.length;
  }

  /** Adds a generation to the batch; the caller enforces the slot limit. */
  add(id: string, promptTokens: number, outputTokens: number): void {
    const promptTokensLeft = promptTokens;
    this.generations.push({
      id,
      promptTokensLeft,
      outputTokens,
      producedTokens: 0,
    });
  }

  /** Removes the generation `id`; without an id (a crash) removes all generations. */
  drop(id?: string): void {
    const kept = this.generations.filter(g => id !== undefined && g.id !== id);
    this.generations.splice(0, this.generations.length, ...kept);
  }

  /** Duration of the next step in milliseconds at the speed of this engine. */
  nextStepMs(): number {
    const {parameters, generations} = this;
    const prefilling = generations.find(g => g.promptTokensLeft > 0);
    const chunk = Math.min(
      prefilling?.promptTokensLeft ?? 0,
      parameters.chunkTokens,
    );
    const isLastChunk =
      prefilling !== undefined && prefilling.promptTokensLeft === chunk;
    const stepMs =
      parameters.stepMs +
      parameters.stepMsPerRequest * generations.length +
      chunk / parameters.prefillTokensPerMs +
      (isLastChunk ? parameters.firstTokenMs : 0);
    return stepMs / this.speed;
  }

  /** Carries out the next step. */
  step(): StepResult {
    const started: string[] = [];
    const prefilling = this.generations.find(g => g.promptTokensLeft > 0);
    for (const generation of this.generations) {
      if (generation.promptTokensLeft > 0) continue;
      generation.producedTokens++;
    }
    if (prefilling) {
      prefilling.promptTokensLeft -= Math.min(
        prefilling.promptTokensLeft,
        this.parameters.chunkTokens,
      );
      if (prefilling.promptTokensLeft === 0) {
        prefilling.producedTokens = 1;
        started.push(prefilling.id);
      }
    }
    const isDone = (g: Generation) =>
      g.promptTokensLeft === 0 && g.producedTokens >= g.outputTokens;
    const finished = this.generations.filter(isDone).map(g => g.id);
    const kept = this.generations.filter(g => !isDone(g));
    this.generations.splice(0, this.generations.length, ...kept);
    return {started, finished};
  }
}
