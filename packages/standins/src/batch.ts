/**
 * A model of an inference engine with continuous batching, a bounded KV cache
 * and a prefix cache; `engine` serves it over HTTP.
 */

/** Characters per token; the engine model has no tokenizer. */
export const CHARS_PER_TOKEN = 4;

/** The prefix cache holds prompt prefixes whose lengths are multiples of this. */
const CACHE_BLOCK_CHARS = 256;

/**
 * Faults of a bad version. Its requests fail with 500 or run slowly: all of
 * them, those from `badAfterMs` after the first one (`-later`), those that
 * arrive while at least four streams run (`-under-load`), or those whose prompt
 * contains `badRoute` (`-on-route`).
 */
export type VersionFault =
  | 'none'
  | 'fails'
  | 'fails-later'
  | 'slow'
  | 'slow-later'
  | 'fails-under-load'
  | 'fails-on-route';

/** The behaviour of an engine; tests set it at the start and change it with `POST /fault`. */
export interface EngineBehaviour {
  /** 1 is the normal speed, 10 is ten times slower. */
  readonly slowFactor: number;
  /** Capacity of the KV cache, and of the prefix cache, in tokens. */
  readonly kvTokens: number;
  /** Rejects new requests and reports that the engine is leaving, that is, being taken out of service. */
  readonly isLeaving: boolean;
  /** Rejects new requests. */
  readonly isRefusing: boolean;
  /** Streams stay open but send nothing. */
  readonly isSilent: boolean;
  /** Rejects `PUT /v1/versions` with a lower fence than the last one accepted. */
  readonly checksFence: boolean;
  /** Interval between updates of the reported load; read at the start only. */
  readonly loadLagMs: number;
  /** The version with the fault `badKind`; empty means none. */
  readonly badVersion: string;
  readonly badKind: VersionFault;
  /** Time from the first request of the bad version to the start of a `-later` fault. */
  readonly badAfterMs: number;
  /** With `fails-on-route`, requests fail whose prompt contains this text. */
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
/** Each running stream beyond the first lengthens the time per token by this share. */
const BATCH_SLOWDOWN = 0.03;

/** The answer to one request, as it grows; mutable, changed by the batch and its engine only. */
export interface Stream {
  readonly id: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** Prompt tokens found in the prefix cache, which need no prefill. */
  readonly cachedTokens: number;
  readonly startedMs: number;
  readonly isFailing: boolean;
  /** Divides the speed of this stream, in addition to the slowdown of the engine. */
  readonly slowFactor: number;
  /** Prompt tokens prefilled or cached so far; fractional. */
  prefilledTokens: number;
  /** Output tokens so far; fractional. */
  producedTokens: number;
  text: string;
  state: 'queued' | 'running' | 'finished' | 'cancelled';
}

/** The first `tokens` tokens of the answer to a prompt; the same on all engines and versions. */
export function answerText(prompt: string, tokens: number): string {
  let text = '';
  for (let i = 0; i < tokens; i++) text += tokenText(prompt, i);
  return text;
}

function tokenText(prompt: string, index: number): string {
  const code = prompt.charCodeAt(prompt.length - 1 - (index % prompt.length));
  return `${(index + (code % 7)).toString(36).padStart(3, '0')} `;
}

/** A continuous batch: streams are queued until the KV cache has room, then share the engine. */
export class Batch {
  readonly streams = new Map<string, Stream>();
  /** Cached prompt prefixes, least recently used first. */
  private readonly prefixCache = new Set<string>();
  /** Time of the first request of the bad version, by version. */
  private firstRequestMs = new Map<string, number>();

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

  /** Queues a stream for a prompt; `nowMs` is its start time. */
  add(
    id: string,
    version: string,
    prompt: string,
    maxTokens: number,
    nowMs: number,
  ): Stream {
    const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
    const cachedTokens = Math.min(promptTokens, this.lookUpAndCache(prompt));
    const fault = this.faultOf(version, prompt, nowMs);
    const stream: Stream = {
      id,
      version,
      prompt,
      maxTokens,
      promptTokens,
      cachedTokens,
      startedMs: nowMs,
      isFailing: fault === 'fails',
      slowFactor: fault === 'slow' ? 5 : 1,
      prefilledTokens: cachedTokens,
      producedTokens: 0,
      text: '',
      state: 'queued',
    };
    this.streams.set(id, stream);
    return stream;
  }

  /** Admits queued streams and advances the running ones by `elapsedMs`. */
  step(elapsedMs: number): void {
    this.admit();
    const batch = this.running;
    const prefilling = batch.filter(s => s.prefilledTokens < s.promptTokens);
    const slowdown =
      this.behaviour.slowFactor *
      (1 + BATCH_SLOWDOWN * Math.max(0, batch.length - 1));
    const prefillTokens =
      (PREFILL_TOKENS_PER_S * elapsedMs) / 1000 / slowdown / prefilling.length;
    const decodeTokens = (DECODE_TOKENS_PER_S * elapsedMs) / 1000 / slowdown;
    for (const stream of batch) {
      if (stream.prefilledTokens < stream.promptTokens) {
        stream.prefilledTokens += prefillTokens / stream.slowFactor;
      } else {
        this.decode(stream, decodeTokens / stream.slowFactor);
      }
    }
  }

  /** Removes finished and cancelled streams that started before `oldestMs`. */
  removeEnded(oldestMs: number): void {
    for (const [id, stream] of this.streams) {
      const hasEnded = stream.state !== 'queued' && stream.state !== 'running';
      if (hasEnded && stream.startedMs < oldestMs) this.streams.delete(id);
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

  /** Admits queued streams in order while they fit; one too large for the KV cache runs alone. */
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

  /** Returns how many tokens of the prompt are cached, then caches its prefixes and evicts the least recently used ones. */
  private lookUpAndCache(prompt: string): number {
    let cached = 0;
    let isHit = true;
    const maxBlocks =
      (this.behaviour.kvTokens * CHARS_PER_TOKEN) / CACHE_BLOCK_CHARS;
    for (
      let end = CACHE_BLOCK_CHARS;
      end <= prompt.length;
      end += CACHE_BLOCK_CHARS
    ) {
      const prefix = prompt.slice(0, end);
      isHit = isHit && this.prefixCache.delete(prefix);
      this.prefixCache.delete(prefix);
      this.prefixCache.add(prefix);
      if (isHit) cached += CACHE_BLOCK_CHARS / CHARS_PER_TOKEN;
    }
    for (const leastRecent of this.prefixCache) {
      if (this.prefixCache.size <= maxBlocks) break;
      this.prefixCache.delete(leastRecent);
    }
    return cached;
  }

  /** The fault that a new stream of a version has now. */
  private faultOf(
    version: string,
    prompt: string,
    nowMs: number,
  ): 'fails' | 'slow' | 'fine' {
    const {badVersion, badKind, badAfterMs, badRoute} = this.behaviour;
    if (version !== badVersion) return 'fine';
    const firstMs = this.firstRequestMs.get(version) ?? nowMs;
    this.firstRequestMs.set(version, firstMs);
    const isAfterDelay = nowMs - firstMs >= badAfterMs;
    const isActive: Readonly<Record<VersionFault, boolean>> = {
      none: false,
      fails: true,
      'fails-later': isAfterDelay,
      slow: true,
      'slow-later': isAfterDelay,
      'fails-under-load': this.running.length >= 4,
      'fails-on-route': badRoute !== '' && prompt.includes(badRoute),
    };
    if (!isActive[badKind]) return 'fine';
    return badKind.startsWith('slow') ? 'slow' : 'fails';
  }
}
