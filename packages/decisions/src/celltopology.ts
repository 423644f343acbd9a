// Divides a service into cells and assigns each cell to a keeper.

import type * as config from './config.js';
import type * as membership from './membership.js';
import * as rendezvous from './rendezvous.js';

/** The largest number of runners in a service with a single cell; a larger service has one cell per zone. */
export const MAX_RUNNERS_IN_ONE_CELL = 16;

/** Identifies a cell, which schedules a service or its part in one zone. */
export interface CellKey {
  readonly service: string;
  /** Empty when the cell spans all zones. */
  readonly zone: string;
}

/** Returns the name of a cell on the wire: `service` or `service@zone`. */
export function cellName(key: CellKey): string {
  return key.zone === '' ? key.service : `${key.service}@${key.zone}`;
}

/** Parses the name of a cell; the inverse of `cellName`. */
export function parseCellName(name: string): CellKey {
  const [service, zone = ''] = name.split('@');
  return {service, zone};
}

/** Returns the cells of a service: one, or one per zone if the service is large. */
export function cellsOf(service: config.Service): readonly CellKey[] {
  const {name, backendServers} = service;
  if (backendServers.length <= MAX_RUNNERS_IN_ONE_CELL) {
    return [{service: name, zone: ''}];
  }
  const zones = new Set(backendServers.map(server => server.zone));
  return [...zones].sort().map(zone => ({service: name, zone}));
}

/** Returns the backend servers in a cell. */
export function serversInCell(
  service: config.Service,
  key: CellKey,
): readonly config.BackendServer[] {
  if (key.zone === '') return service.backendServers;
  return service.backendServers.filter(server => server.zone === key.zone);
}

/** The minimum number of cores of a large host, as a fraction of that of the largest host. */
const LARGE_HOST_FRACTION = 0.75;

/** Returns the members with at least `LARGE_HOST_FRACTION` of the most cores; all members if no cores are known. */
export function largestHosts(
  members: readonly membership.Member[],
): readonly membership.Member[] {
  const most = Math.max(0, ...members.map(member => member.cores ?? 0));
  return members.filter(({cores = 0}) => cores >= most * LARGE_HOST_FRACTION);
}

/** Owners by key, for as long as the array of members they were chosen from. */
type OwnerCache = WeakMap<
  readonly membership.Member[],
  Map<string, string | undefined>
>;

const keeperCache: OwnerCache = new WeakMap();
const largeHostCache: OwnerCache = new WeakMap();

/**
 * Returns the large host that is responsible for `key`, or `fallback` without
 * members. Results are cached for the lifetime of the `members` array.
 */
export function largeHostFor(
  key: string,
  members: readonly membership.Member[],
  fallback: string,
): string {
  const known = largeHostCache.get(members) ?? new Map();
  largeHostCache.set(members, known);
  if (!known.has(key)) {
    const names = largestHosts(members).map(member => member.host);
    known.set(key, rendezvous.owner(key, names));
  }
  return known.get(key) ?? fallback;
}

/**
 * Returns the keeper of a cell, the host that schedules it: a member in the
 * cell's zone if there is one, otherwise any member; of these, only large hosts
 * are considered. Results are cached for the lifetime of the `members` array.
 */
export function keeperOf(
  key: CellKey,
  members: readonly membership.Member[],
): string | undefined {
  const known = keeperCache.get(members) ?? new Map();
  keeperCache.set(members, known);
  const name = cellName(key);
  if (known.has(name)) return known.get(name);
  const near = members.filter(member => member.zone === key.zone);
  const candidates = largestHosts(near.length > 0 ? near : members);
  const found = rendezvous.owner(
    name,
    candidates.map(member => member.host),
  );
  known.set(name, found);
  return found;
}
