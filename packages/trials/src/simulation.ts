import * as decisions from '@banyanhall/decisions';

type Random = decisions.random.Random;

/** The kinds of versions and evenings that moves are tried on; all but the first three are bad. */
export const KINDS = [
  'good',
  'good-noisy',
  'good-slow-evening',
  'fails',
  'fails-later',
  'slow',
  'slow-later',
  'fails-under-load',
  'fails-on-route',
] as const;

/** The name of a kind. */
export type Kind = (typeof KINDS)[number];

/** True when versions of that kind ought to be taken back. */
export function isBad(kind: Kind): boolean {
  return !kind.startsWith('good');
}

/** How long a move may take, in milliseconds. */
export const MOVE_MS = 300_000;

/** Requests per second to the service that is moved. */
export const REQUESTS_PER_S = 10;

const ROUTES = ['gate', 'clerk', 'batch', 'credit'];
const BAD_ROUTE = 'batch';
const BASE_FIRST_TOKEN_MS = 120;
const BASE_TOKEN_MS = 20;
const SPREAD = 0.4;
const BASE_FAILURE_RATE = 0.002;
const NOISY_FAILURE_RATE = 0.03;
const BAD_FAILURE_RATE = 0.5;
const SLOWDOWN = 3;
const EVENING_SLOWDOWN = 2.5;
const LOADED_SHARE = 0.3;

/** One outcome of a request and whether the version's badness made it bad. */
export interface SimulatedRequest {
  readonly sample: decisions.evidence.Sample;
  readonly isBad: boolean;
  readonly durationMs: number;
}

/** A candidate version on one evening: what requests to either version bring. */
export class SimulatedTraffic {
  /** When a version that turns bad later does so. */
  readonly badFromMs: number;

  constructor(
    readonly kind: Kind,
    private readonly random: Random,
  ) {
    const isLater = kind.endsWith('later');
    this.badFromMs = isLater ? MOVE_MS * (0.15 + 0.6 * random()) : 0;
  }

  /** What a request brings that is sent at `atMs` while the candidate gets `share`. */
  request(atMs: number, isCandidate: boolean, share: number): SimulatedRequest {
    const {random, kind} = this;
    const route = ROUTES[Math.floor(random() * ROUTES.length)];
    const isBadNow = isCandidate && this.isBadAt(atMs, route, share);
    const isFailing = isBadNow && kind.startsWith('fails');
    const isSlow = isBadNow && kind.startsWith('slow');
    const baseRate =
      kind === 'good-noisy' ? NOISY_FAILURE_RATE : BASE_FAILURE_RATE;
    const rate = isFailing ? BAD_FAILURE_RATE : baseRate;
    const factor = this.slowdownAt(atMs) * (isSlow ? SLOWDOWN : 1);
    const isFailure = random() < rate;
    const firstTokenMs = BASE_FIRST_TOKEN_MS * factor * logNormalNoise(random);
    const tokenMs = BASE_TOKEN_MS * factor * logNormalNoise(random);
    const sample = {route, isCandidate, isFailure, firstTokenMs, tokenMs};
    const durationMs = firstTokenMs + 60 * tokenMs;
    return {sample, isBad: (isFailing && isFailure) || isSlow, durationMs};
  }

  private isBadAt(atMs: number, route: string, share: number): boolean {
    if (!isBad(this.kind) || atMs < this.badFromMs) return false;
    if (this.kind === 'fails-under-load') return share >= LOADED_SHARE;
    if (this.kind === 'fails-on-route') return route === BAD_ROUTE;
    return true;
  }

  /** How slow everything is at that time, whichever version answers. */
  private slowdownAt(atMs: number): number {
    if (this.kind !== 'good-slow-evening') return 1;
    const part = atMs / MOVE_MS;
    return 1 + (EVENING_SLOWDOWN - 1) * Math.sin(Math.PI * part) ** 2;
  }
}

/** A factor around 1, spread like a log-normal value. */
function logNormalNoise(random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(SPREAD * normal);
}
