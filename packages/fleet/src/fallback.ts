import * as decisions from '@banyanhall/decisions';

import type * as slotsModule from './slots.js';

/** What a host knows of backend servers without the keeper of their cell. */
export interface FallbackOptions {
  readonly region: string;
  readonly random: decisions.random.Random;
  /** The number of slots that this host holds on a backend server. */
  readonly heldOn: (server: string) => number;
  /** True if an attempt of this host at a backend server failed lately; without this function, none did. */
  readonly hasFailedLately?: (server: string) => boolean;
  /** The requests a second that a backend server states to take. */
  readonly limitPerSOf: (server: string) => number | undefined;
  /** True if a backend server states that it is brittle; without this function, none does. */
  readonly isBrittle?: (server: string) => boolean;
}

/**
 * Chooses the backend server of whose slots this host holds the smallest
 * fraction, in the regions that the request may use; used while the keeper does
 * not answer. One that fails requests frees its slots at once, so it counts as
 * full for a while; it would draw all requests otherwise. None for a suspect request, and none that states a limit or that
 * it is brittle, since only the keeper knows what else runs there and what
 * other hosts send.
 */
export function chooseServer(
  slotRequest: slotsModule.SlotRequest,
  options: FallbackOptions,
): decisions.config.BackendServer | undefined {
  if (slotRequest.isSuspect) return undefined;
  const {region, random, heldOn, limitPerSOf, isBrittle} = options;
  const {hasFailedLately} = options;
  const {service, allowedRegions, excluded} = slotRequest;
  const scored = decisions.regions
    .only(service.backendServers, allowedRegions)
    .filter(({name}) => limitPerSOf(name) === undefined && !isBrittle?.(name))
    .filter(({name}) => !excluded?.includes(name))
    .map(server => ({
      server,
      held:
        heldOn(server.name) / server.maxRunning +
        Number(slotRequest.avoid?.includes(server.name) ?? false) +
        Number(hasFailedLately?.(server.name) ?? false),
      isFar: Number(server.region !== region),
      tieBreak: random(),
    }))
    .sort(
      (a, b) => a.held - b.held || a.isFar - b.isFar || a.tieBreak - b.tieBreak,
    );
  return scored[0]?.server;
}
