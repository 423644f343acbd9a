import type * as config from './config.js';
import type * as membership from './membership.js';
import * as rendezvous from './rendezvous.js';

/** A service with no more runners than this is one cell; a larger one has a cell in each zone. */
export const MAX_RUNNERS_IN_ONE_CELL = 16;

/** A service as a whole, or its part in one zone. */
export interface CellKey {
  readonly service: string;
  /** Empty when the cell spans all zones. */
  readonly zone: string;
}

/** The name of a cell, as it goes over the wire. */
export function cellName(key: CellKey): string {
  return key.zone === '' ? key.service : `${key.service}@${key.zone}`;
}

/** The key in a cell's name. */
export function parseCellName(name: string): CellKey {
  const [service, zone = ''] = name.split('@');
  return {service, zone};
}

/** The cells of a service. */
export function cellsOf(service: config.Service): readonly CellKey[] {
  const {name, backendServers} = service;
  if (backendServers.length <= MAX_RUNNERS_IN_ONE_CELL) {
    return [{service: name, zone: ''}];
  }
  const zones = new Set(backendServers.map(server => server.zone));
  return [...zones].sort().map(zone => ({service: name, zone}));
}

/** The backend servers in a cell. */
export function serversInCell(
  service: config.Service,
  key: CellKey,
): readonly config.BackendServer[] {
  if (key.zone === '') return service.backendServers;
  return service.backendServers.filter(server => server.zone === key.zone);
}

/** Hosts with at least this part of the processor time of the largest one count as large. */
const LARGE_PART = 0.75;

/** The members that have the most processor time; all of them where it is alike or not known. */
export function largestHosts(
  members: readonly membership.Member[],
): readonly membership.Member[] {
  const most = Math.max(0, ...members.map(member => member.cores ?? 0));
  return members.filter(({cores = 0}) => cores >= most * LARGE_PART);
}

const keepersByMembers = new WeakMap<
  readonly membership.Member[],
  Map<string, string | undefined>
>();

/**
 * The host that keeps a cell: one in its zone if there is one, else any that
 * serves; a large one where hosts differ. What was found for a list of
 * members is remembered as long as the list is in use.
 */
export function keeperOf(
  key: CellKey,
  members: readonly membership.Member[],
): string | undefined {
  const known = keepersByMembers.get(members) ?? new Map();
  keepersByMembers.set(members, known);
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
