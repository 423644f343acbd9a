import * as rendezvous from './rendezvous.js';

/** The number of characters in one prefix block. */
const BLOCK_CHARS = 256;

/** The maximum number of leading blocks of a prompt that are hashed. */
const MAX_BLOCKS = 32;

/** The maximum number of tracked blocks per runner; it bounds the cost of copying the set with each grant. */
export const MAX_TRACKED_BLOCKS = 1024;

/** The assumed average number of characters in a token. */
export const CHARS_PER_TOKEN = 4;

/** The number of tokens in one prefix block. */
export const BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;

/**
 * Returns the chained hashes of a prompt's leading blocks, at most `MAX_BLOCKS`:
 * two prompts share as many leading hashes as they share whole leading blocks.
 */
export function blockHashes(prompt: string): readonly number[] {
  const hashes: number[] = [];
  let previous = 0;
  const count = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARS));
  for (let i = 0; i < count; i++) {
    const block = prompt.slice(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS);
    previous = rendezvous.hash32(`${previous}:${block}`);
    hashes.push(previous);
  }
  return hashes;
}

/** Estimates the number of tokens in a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/**
 * An estimate of the contents of a backend server's prefix cache: the block
 * hashes of the prompts granted on it, the least recently used first.
 */
export class PrefixCacheEstimate {
  private constructor(private readonly recent: ReadonlySet<number>) {}

  /** The estimate for an empty cache. */
  static readonly empty = new PrefixCacheEstimate(new Set());

  /** Returns the estimate after a prompt with these block hashes is granted; keeps at most `maxBlocks`. */
  withBlocks(chain: readonly number[], maxBlocks: number): PrefixCacheEstimate {
    if (chain.length === 0) return this;
    const recent = new Set(this.recent);
    for (const block of chain) {
      recent.delete(block);
      recent.add(block);
    }
    for (const oldest of recent) {
      if (recent.size <= maxBlocks) break;
      recent.delete(oldest);
    }
    return new PrefixCacheEstimate(recent);
  }

  /** Returns how many leading tokens of the prompt are expected to be cached. */
  cachedTokens(chain: readonly number[]): number {
    let count = 0;
    while (count < chain.length && this.recent.has(chain[count])) count++;
    return count * BLOCK_TOKENS;
  }
}
