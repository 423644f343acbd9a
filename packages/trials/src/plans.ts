// The plans of the fleets that trials start.

import type * as decisions from '@banyanhall/decisions';

import type * as fleets from './fleet.js';

/** Three regions with one availability zone each. */
export const LOCATIONS: readonly fleets.Location[] = [
  {region: 'delta-east', zone: 'zagazig-a'},
  {region: 'cairo-giza', zone: 'giza-a'},
  {region: 'upper-minya', zone: 'minya-a'},
];

/** One profile for each tier, and one for requests that must not run twice. */
export const PROFILES: readonly decisions.config.Profile[] = [
  {name: 'gate', tier: 1, deadlineMs: 8000, idempotent: true, versions: []},
  {name: 'clerk', tier: 2, deadlineMs: 15_000, idempotent: true, versions: []},
  {name: 'batch', tier: 3, deadlineMs: 30_000, idempotent: true, versions: []},
  {name: 'credit', tier: 1, deadlineMs: 5000, idempotent: false, versions: []},
];

/** Behaviours of engines of different speeds: a higher slow factor is slower. */
export const ENGINE_BEHAVIOURS: readonly object[] = [
  {slowFactor: 0.7},
  {slowFactor: 0.7},
  {slowFactor: 1},
  {slowFactor: 1},
  {slowFactor: 1.6},
  {slowFactor: 2.2},
];

/** The plan that most trials start from: 3 hosts, the model service tray-scribe with 6 backend servers and the plain service tray-ledger with 3. */
export const DEFAULT_PLAN: fleets.FleetPlan = {
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
