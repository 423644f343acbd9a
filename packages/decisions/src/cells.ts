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
export function cellKey(name: string): CellKey {
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
export function serversOf(
  service: config.Service,
  key: CellKey,
): readonly config.BackendServer[] {
  if (key.zone === '') return service.backendServers;
  return service.backendServers.filter(server => server.zone === key.zone);
}

/** The host that keeps a cell: one in its zone if there is one, else any that serves. */
export function keeper(
  key: CellKey,
  members: readonly membership.Member[],
): string | undefined {
  const near = members.filter(member => member.zone === key.zone);
  const candidates = near.length > 0 ? near : members;
  return rendezvous.owner(
    cellName(key),
    candidates.map(member => member.host),
  );
}
