import * as decisions from '@banyanhall/decisions';

const MAX_ADDRESSES = 64;
/** Hosts of the caller's own zone, or region, that are enough not to name others. */
const ENOUGH_NEAR = 2;
/** Hosts count as alike when the largest has at most this many times the processor time of the smallest. */
const ALIKE_FACTOR = 1.5;
/** Of hosts that differ, a caller is told of this many: enough to lose some, few enough for weights to count. */
const TOLD_OF_UNLIKE = 5;

/** Who asks where to connect. */
export interface AddressQuery {
  readonly zone: string;
  readonly region: string;
  /** Stable for a caller, so that it is told of the same hosts again. */
  readonly caller: string;
}

/**
 * The hosts that a caller is told to use: near ones, and where they differ in
 * size each caller gets a few of them, the large ones more often, since
 * callers spread their connections evenly over what they are told.
 */
export function selectHosts(
  serving: readonly decisions.membership.Member[],
  {zone, region, caller}: AddressQuery,
): readonly decisions.membership.Member[] {
  const near = serving.filter(member => member.zone === zone);
  const nearby = serving.filter(member => member.region === region);
  const candidates =
    [near, nearby].find(some => some.length >= ENOUGH_NEAR) ?? serving;
  const cores = candidates.map(member => member.cores ?? 0);
  const areAlike = Math.max(...cores) <= Math.min(...cores) * ALIKE_FACTOR;
  const count = areAlike ? MAX_ADDRESSES : TOLD_OF_UNLIKE;
  return candidates
    .map(member => ({member, score: score(member, caller)}))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({member}) => member);
}

/** Weighted rendezvous: a host is ahead of others in proportion to its size. */
function score(member: decisions.membership.Member, caller: string): number {
  const turn = decisions.rendezvous.hashFraction(`${caller}|${member.host}`);
  return (member.cores || 1) / -Math.log(turn);
}
