/*
 * Selects the hosts that the address endpoint returns to a caller.
 */
import * as decisions from '@banyanhall/decisions';
import type * as routing from '@banyanhall/routing';

export const MAX_ADDRESSES = 64;
/** With this many hosts in the caller's zone, or else its region, no farther hosts are returned. */
const MIN_NEARBY_HOSTS = 2;
/** Hosts count as equal in size while the largest has at most this many times the cores of the smallest. */
const EQUAL_SIZE_FACTOR = 1.5;
/** Addresses returned when hosts differ in size: enough to survive host failures, few enough for the weights to matter. */
const MAX_ADDRESSES_MIXED_SIZES = 5;

/** A caller's query for host addresses. */
export interface AddressQuery {
  /** The host name of the routes that the caller uses; empty if it does not state it. */
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Identifies the caller; the same value gets the same hosts on every query. */
  readonly caller: string;
}

/** How long what a host said of its links holds; it says so with each probe and answer to one. */
const CUT_OFF_TTL_MS = 3000;

/** The hosts that reach backend servers only through others, as they last said. */
export class CutOffHosts {
  private readonly saidMs = new Map<string, number>();

  constructor(private readonly clock: decisions.clock.Clock) {}

  /** Records what a host says of its links. */
  onState(host: string, isCutOff: boolean): void {
    if (isCutOff) this.saidMs.set(host, this.clock.monotonicMs());
    else this.saidMs.delete(host);
  }

  /** Returns the hosts that callers are to use: those that are not cut off, or all if there are no others. */
  usable(
    serving: readonly decisions.membership.Member[],
  ): readonly decisions.membership.Member[] {
    const sinceMs = this.clock.monotonicMs() - CUT_OFF_TTL_MS;
    const usable = serving.filter(
      ({host}) => (this.saidMs.get(host) ?? -Infinity) < sinceMs,
    );
    return usable.length > 0 ? usable : serving;
  }
}

/**
 * Selects the hosts returned to a caller. Callers of a name whose routes allow
 * only some regions get hosts of these and of their own, even where all of them
 * are cut off.
 */
export function hostsForCaller(
  serving: readonly decisions.membership.Member[],
  query: AddressQuery,
  cutOff: CutOffHosts,
  configuration: routing.configuration.Configuration | undefined,
): readonly decisions.membership.Member[] {
  const allowed = configuration?.regionsOfName(query.name);
  const near = decisions.regions.hostsFor(serving, query.region, allowed);
  return selectHosts(cutOff.usable(near), query);
}

/**
 * Selects the hosts returned to a caller, nearby ones if there are enough.
 * Callers spread connections evenly over the returned hosts, so when hosts
 * differ in size each caller gets a few, larger hosts with higher probability.
 */
export function selectHosts(
  serving: readonly decisions.membership.Member[],
  {zone, region, caller}: Omit<AddressQuery, 'name'>,
): readonly decisions.membership.Member[] {
  const inZone = serving.filter(member => member.zone === zone);
  const inRegion = serving.filter(member => member.region === region);
  const candidates =
    [inZone, inRegion].find(hosts => hosts.length >= MIN_NEARBY_HOSTS) ??
    serving;
  const cores = candidates.map(member => member.cores ?? 0);
  const areEqualInSize =
    Math.max(...cores) <= Math.min(...cores) * EQUAL_SIZE_FACTOR;
  const count = areEqualInSize ? MAX_ADDRESSES : MAX_ADDRESSES_MIXED_SIZES;
  return candidates
    .map(member => ({member, score: score(member, caller)}))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({member}) => member);
}

/** Weighted rendezvous hashing: a host scores highest with probability proportional to its cores. */
function score(member: decisions.membership.Member, caller: string): number {
  const fraction = decisions.rendezvous.hashFraction(
    `${caller}|${member.host}`,
  );
  return (member.cores || 1) / -Math.log(fraction);
}
