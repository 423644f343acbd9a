const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash of a string (FNV-1a, then the finalizer of MurmurHash3), the same on every host. */
export function hash32(text: string): number {
  let h = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    h ^= text.charCodeAt(i);
    h = Math.imul(h, FNV_PRIME);
  }
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

const HASH_RANGE = 2 ** 32;

/** Maps a string to a number in the open interval (0, 1), the same on every host. */
export function hashFraction(text: string): number {
  return (hash32(text) + 0.5) / HASH_RANGE;
}

/** Orders nodes by their rendezvous weight for `key`, the owner first; removing a node moves only its own keys. */
export function rankNodes(
  key: string,
  nodes: readonly string[],
): readonly string[] {
  return nodes
    .map(node => ({node, weight: hash32(`${key}|${node}`)}))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node);
}

/** Returns the node that owns `key`, the first of `rankNodes`, or undefined if there are no nodes. */
export function owner(
  key: string,
  nodes: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const node of nodes) {
    const weight = hash32(`${key}|${node}`);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && best !== undefined && best < node) continue;
    best = node;
    bestWeight = weight;
  }
  return best;
}
