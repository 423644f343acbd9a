import type * as decisions from '@banyanhall/decisions';

import type * as fleets from './fleet.js';

/** The regions of the Co-operative. */
export const LOCATIONS: readonly fleets.Location[] = [
  {region: 'delta-east', zone: 'zagazig-a'},
  {region: 'cairo-giza', zone: 'giza-a'},
  {region: 'upper-minya', zone: 'minya-a'},
];

/** Profiles for trials, one for each tier and one for work that may run only once. */
export const PROFILES: readonly decisions.config.Profile[] = [
  {name: 'gate', tier: 1, deadlineMs: 8000, idempotent: true, versions: []},
  {name: 'clerk', tier: 2, deadlineMs: 15_000, idempotent: true, versions: []},
  {name: 'batch', tier: 3, deadlineMs: 30_000, idempotent: true, versions: []},
  {name: 'credit', tier: 1, deadlineMs: 5000, idempotent: false, versions: []},
];

/** Engines of unlike speed. */
export const ENGINE_BEHAVIOURS: readonly object[] = [
  {slowFactor: 0.7},
  {slowFactor: 0.7},
  {slowFactor: 1},
  {slowFactor: 1},
  {slowFactor: 1.6},
  {slowFactor: 2.2},
];

/** The Co-operative's deployment: tray-scribe with 6 runners, tray-ledger with 3. */
export const COOPERATIVE: fleets.FleetPlan = {
  hosts: 3,
  locations: LOCATIONS,
  services: [
    {
      name: 'tray-scribe',
      kind: 'model',
      fencing: 'checked',
      behaviours: ENGINE_BEHAVIOURS,
      slotTokens: 16_384,
      maxRunning: 16,
    },
    {
      name: 'tray-ledger',
      kind: 'plain',
      fencing: 'ignored',
      behaviours: [{delayMs: 5}, {delayMs: 5}, {delayMs: 10}],
      slotTokens: 64,
      maxRunning: 16,
    },
  ],
  profiles: PROFILES,
  accounts: ['sharqia', 'minya', 'faiyum', 'tanta', 'depot'],
  addressKeepMs: 2000,
  platform: {},
  keepsTimeline: false,
};
