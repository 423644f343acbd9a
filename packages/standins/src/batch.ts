/** Characters that stand for one token. */
export const CHARS_PER_TOKEN = 4;

const BLOCK_CHARS = 256;

/** Ways in which a version can be bad. */
export type VersionFault =
  | 'none'
  | 'fails'
  | 'fails-later'
  | 'slow'
  | 'slow-later'
  | 'fails-under-load'
  | 'fails-on-route';

/** How an engine behaves; tests change it while it runs. */
export interface EngineBehaviour {
  /** 1 is the normal speed; 10 is ten times slower. */
  readonly slowFactor: number;
  readonly kvTokens: number;
  readonly isLeaving: boolean;
  readonly isRefusing: boolean;
  /** Streams stop sending, but stay open. */
  readonly isSilent: boolean;
  readonly checksFence: boolean;
  readonly loadLagMs: number;
  readonly badVersion: string;
  readonly badKind: VersionFault;
  /** When a version that turns bad later does so, in milliseconds after its first request. */
  readonly badAfterMs: number;
  /** The text that marks the route on which a version is bad. */
  readonly badRoute: string;
}

/** The behaviour of a healthy engine. */
export const HEALTHY: EngineBehaviour = {
  slowFactor: 1,
  kvTokens: 16_384,
  isLeaving: false,
  isRefusing: false,
  isSilent: false,
  checksFence: true,
  loadLagMs: 500,
  badVersion: '',
  badKind: 'none',
  badAfterMs: 5000,
  badRoute: '',
};

const PREFILL_TOKENS_PER_S = 8000;
const DECODE_TOKENS_PER_S = 60;
/** Each further stream in the batch slows every stream by this share. */
const BATCH_SLOWDOWN = 0.03;

/** One stream in the batch. Mutable: it belongs to the batch alone. */
export interface Stream {
  readonly id: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly startedMs: number;
  readonly isFailing: boolean;
  readonly slowFactor: number;
  prefilledTokens: number;
  producedTokens: number;
  text: string;
  state: 'queued' | 'running' | 'finished' | 'cancelled';
}

/** The text that a prompt is answered with; the same on every engine and version. */
export function answerText(prompt: string, tokens: number): string {
  let text = '';
  for (let i = 0; i < tokens; i++) text += tokenText(prompt, i);
  return text;
}

function tokenText(prompt: string, index: number): string {
  const code = prompt.charCodeAt(prompt.length - 1 - (index % prompt.length));
  return `${(index + (code % 7)).toString(36).padStart(3, '0')} `;
}

/** A continuous batch with bounded memory and a prefix cache; `step` moves it forward. */
export class Batch {
  readonly streams = new Map<string, Stream>();
  private readonly cache = new Set<string>();
  private firstUseMs = new Map<string, number>();

  constructor(public behaviour: EngineBehaviour) {}

  get running(): readonly Stream[] {
    return [...this.streams.values()].filter(s => s.state === 'running');
  }

  get usedTokens(): number {
    return this.running.reduce(
      (sum, s) => sum + s.promptTokens + s.maxTokens,
      0,
    );
  }

  /** Takes in a stream. */
  add(
    id: string,
    version: string,
    prompt: string,
    maxTokens: number,
    nowMs: number,
  ): Stream {
    const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
    const cachedTokens = Math.min(promptTokens, this.useCache(prompt));
    const badness = this.badness(version, prompt, nowMs);
    const stream: Stream = {
      id,
      version,
      prompt,
      maxTokens,
      promptTokens,
      cachedTokens,
      startedMs: nowMs,
      isFailing: badness === 'fails',
      slowFactor: badness === 'slow' ? 5 : 1,
      prefilledTokens: cachedTokens,
      producedTokens: 0,
      text: '',
      state: 'queued',
    };
    this.streams.set(id, stream);
    return stream;
  }

  /** Moves every stream forward by `elapsedMs`. */
  step(elapsedMs: number): void {
    this.admit();
    const batch = this.running;
    const prefilling = batch.filter(s => s.prefilledTokens < s.promptTokens);
    const slow =
      this.behaviour.slowFactor *
      (1 + BATCH_SLOWDOWN * Math.max(0, batch.length - 1));
    const prefill =
      (PREFILL_TOKENS_PER_S * elapsedMs) / 1000 / slow / prefilling.length;
    const decode = (DECODE_TOKENS_PER_S * elapsedMs) / 1000 / slow;
    for (const stream of batch) {
      if (stream.prefilledTokens < stream.promptTokens) {
        stream.prefilledTokens += prefill / stream.slowFactor;
      } else {
        this.decode(stream, decode / stream.slowFactor);
      }
    }
  }

  /** Drops finished streams that started before `oldestMs`. */
  removeEnded(oldestMs: number): void {
    for (const [id, stream] of this.streams) {
      const isOver = stream.state !== 'queued' && stream.state !== 'running';
      if (isOver && stream.startedMs < oldestMs) this.streams.delete(id);
    }
  }

  private decode(stream: Stream, tokens: number): void {
    const before = Math.floor(stream.producedTokens);
    stream.producedTokens = Math.min(
      stream.maxTokens,
      stream.producedTokens + tokens,
    );
    for (let i = before; i < Math.floor(stream.producedTokens); i++) {
      stream.text += tokenText(stream.prompt, i);
    }
    if (stream.producedTokens >= stream.maxTokens) stream.state = 'finished';
  }

  private admit(): void {
    let used = this.usedTokens;
    for (const stream of this.streams.values()) {
      if (stream.state !== 'queued') continue;
      const need = stream.promptTokens + stream.maxTokens;
      if (used > 0 && used + need > this.behaviour.kvTokens) break;
      stream.state = 'running';
      used += need;
    }
  }

  /** The tokens of the prompt that the cache holds; the prompt is cached after it. */
  private useCache(prompt: string): number {
    let cached = 0;
    let isHit = true;
    const maxBlocks = (this.behaviour.kvTokens * CHARS_PER_TOKEN) / BLOCK_CHARS;
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      const block = prompt.slice(0, end);
      isHit = isHit && this.cache.delete(block);
      this.cache.delete(block);
      this.cache.add(block);
      if (isHit) cached += BLOCK_CHARS / CHARS_PER_TOKEN;
    }
    for (const oldest of this.cache) {
      if (this.cache.size <= maxBlocks) break;
      this.cache.delete(oldest);
    }
    return cached;
  }

  private badness(
    version: string,
    prompt: string,
    nowMs: number,
  ): 'fails' | 'slow' | 'fine' {
    const {badVersion, badKind, badAfterMs, badRoute} = this.behaviour;
    if (version !== badVersion) return 'fine';
    const firstMs = this.firstUseMs.get(version) ?? nowMs;
    this.firstUseMs.set(version, firstMs);
    const isLater = nowMs - firstMs >= badAfterMs;
    const kinds: Readonly<Record<VersionFault, boolean>> = {
      none: false,
      fails: true,
      'fails-later': isLater,
      slow: true,
      'slow-later': isLater,
      'fails-under-load': this.running.length >= 4,
      'fails-on-route': badRoute !== '' && prompt.includes(badRoute),
    };
    if (!kinds[badKind]) return 'fine';
    return badKind.startsWith('slow') ? 'slow' : 'fails';
  }
}
