import * as rendezvous from './rendezvous.js';

const BLOCK_CHARS = 256;
const MAX_BLOCKS = 32;

/** Blocks that a guess remembers at most; it is copied with each request. */
export const MAX_TRACKED_BLOCKS = 1024;

/** Characters in one token, on average. */
export const CHARS_PER_TOKEN = 4;

/** Tokens that one prefix block stands for. */
export const BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;

/** A chain of block hashes: two prompts share as many leading hashes as they share whole leading blocks. */
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

/** The estimated number of tokens in a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/**
 * A guess of what a backend server's prefix cache holds, from our own
 * dispatches: the most recently used block hashes, oldest first.
 */
export class PrefixCacheEstimate {
  private constructor(private readonly recent: ReadonlySet<number>) {}

  /** Nothing is known to be cached. */
  static readonly empty = new PrefixCacheEstimate(new Set());

  /** The guess after a prompt with these blocks was dispatched; keeps at most `maxBlocks`. */
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

  /** How many tokens of the prompt are expected to be cached. */
  cachedTokens(chain: readonly number[]): number {
    let count = 0;
    while (count < chain.length && this.recent.has(chain[count])) count++;
    return count * BLOCK_TOKENS;
  }
}
