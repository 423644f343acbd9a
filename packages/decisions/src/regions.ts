// Which regions a request may use, and the backend servers, cells and hosts that
// this leaves. A restriction that can't be met allows nothing.

import * as celltopology from './celltopology.js';
import type * as config from './config.js';
import type * as membership from './membership.js';

/** The regions that a request may use: undefined means all, an empty list none. */
export type AllowedRegions = readonly string[] | undefined;

/** Returns the regions that both restrictions allow. */
export function intersection(
  a: AllowedRegions,
  b: AllowedRegions,
): AllowedRegions {
  if (a === undefined || b === undefined) return a ?? b;
  return a.filter(region => b.includes(region));
}

/** Returns true if a restriction allows a region; an unknown region (an empty name) is allowed only without one. */
export function isAllowed(allowed: AllowedRegions, region: string): boolean {
  if (allowed === undefined) return true;
  return region !== '' && allowed.includes(region);
}

/** Returns the items that a restriction allows, by their region; without a restriction the array itself. */
export function only<T extends {readonly region: string}>(
  items: readonly T[],
  allowed: AllowedRegions,
): readonly T[] {
  if (allowed === undefined) return items;
  return items.filter(({region}) => isAllowed(allowed, region));
}

/** Returns true if some item is allowed, by its region. */
export function hasAllowed(
  items: readonly {readonly region: string}[],
  allowed: AllowedRegions,
): boolean {
  if (allowed === undefined) return items.length > 0;
  return items.some(({region}) => isAllowed(allowed, region));
}

/** Returns the cells of a service with backend servers in allowed regions. */
export function cellsIn(
  service: config.Service,
  allowed: AllowedRegions,
): readonly celltopology.CellKey[] {
  const cells = celltopology.cellsOf(service);
  if (allowed === undefined) return cells;
  return cells.filter(key =>
    hasAllowed(celltopology.serversInCell(service, key), allowed),
  );
}

/** Returns a key that is equal for equal lists of regions; empty without a restriction. */
export function keyOf(allowed: AllowedRegions): string {
  return allowed === undefined ? '' : JSON.stringify(allowed);
}

/** Returns the regions of `present` that a restriction allows. */
export function domain(
  present: readonly string[],
  allowed: AllowedRegions,
): readonly string[] {
  if (allowed === undefined) return present;
  return present.filter(region => isAllowed(allowed, region));
}

/** Returns true if what is restricted by `inner` can run nowhere in `present` but where `outer` can too. */
export function covers(
  present: readonly string[],
  outer: AllowedRegions,
  inner: AllowedRegions,
): boolean {
  if (outer === undefined) return true;
  return domain(present, inner).every(region => isAllowed(outer, region));
}

/**
 * Returns the hosts to which callers of a name may be sent whose routes allow
 * `allowed`: those of the caller's own region and of allowed regions, or all if
 * there are none, as the host that a caller reaches keeps to the restriction.
 */
export function hostsFor(
  members: readonly membership.Member[],
  callerRegion: string,
  allowed: AllowedRegions,
): readonly membership.Member[] {
  if (allowed === undefined) return members;
  const near = members.filter(
    ({region}) =>
      (region !== '' && region === callerRegion) || isAllowed(allowed, region),
  );
  return near.length > 0 ? near : members;
}

/** A restriction in a message between hosts; hosts of older versions state none. */
export interface WireRegions {
  readonly allowedRegions: readonly string[];
  /** False without a restriction: the list is empty then, as it is if no region is allowed. */
  readonly hasAllowedRegions: boolean;
}

/** Returns the fields of a message for a restriction. */
export function toWire(allowed: AllowedRegions): WireRegions {
  return {
    allowedRegions: allowed ?? [],
    hasAllowedRegions: allowed !== undefined,
  };
}

/** Returns the restriction that a message states. */
export function fromWire(wire: WireRegions): AllowedRegions {
  return wire.hasAllowedRegions ? wire.allowedRegions : undefined;
}
