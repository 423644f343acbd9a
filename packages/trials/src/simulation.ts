// Simulated traffic for the version moves of moves.ts.

import * as decisions from '@banyanhall/decisions';

type Random = decisions.random.Random;

/** Kinds of simulated moves: a good version (under usual, noisy or temporarily slow conditions) or a bad one and its fault. */
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

/** One of `KINDS`. */
export type Kind = (typeof KINDS)[number];

/** True when a version of this kind should be rolled back. */
export function isBad(kind: Kind): boolean {
  return !kind.startsWith('good');
}

/** The time from the start of a move to its deadline. */
export const MOVE_MS = 300_000;

/** The rate of requests to both versions together. */
export const REQUESTS_PER_S = 10;

const ROUTES = ['gate', 'clerk', 'batch', 'credit'];
const BAD_ROUTE = 'batch';
const BASE_FIRST_TOKEN_MS = 120;
const BASE_TOKEN_MS = 20;
/** The standard deviation of the natural logarithm of latencies. */
const LATENCY_LOG_STDDEV = 0.4;
const BASE_FAILURE_RATE = 0.002;
const NOISY_FAILURE_RATE = 0.03;
const BAD_FAILURE_RATE = 0.5;
/** The factor by which a bad version of a `slow` kind is slower than the old one. */
const BAD_SLOWDOWN = 3;
/** The factor by which both versions are slower at the peak of `good-slow-evening`, in the middle of the move. */
const EVENING_PEAK_SLOWDOWN = 2.5;
/** The share of traffic from which a version of the kind `fails-under-load` fails. */
const LOADED_SHARE = 0.3;

/** A simulated request; `isBad` when a fault of the candidate made it fail or made it slow. */
export interface SimulatedRequest {
  readonly sample: decisions.evidence.Sample;
  readonly isBad: boolean;
  readonly durationMs: number;
}

/** The requests to the old version and to the candidate during one move. */
export class SimulatedTraffic {
  /** When the fault of the candidate starts; 0 unless its kind ends in `later`. */
  readonly badFromMs: number;

  constructor(
    readonly kind: Kind,
    private readonly random: Random,
  ) {
    const isDelayed = kind.endsWith('later');
    this.badFromMs = isDelayed ? MOVE_MS * (0.15 + 0.6 * random()) : 0;
  }

  /** Simulates a request that is sent at `atMs` while the candidate gets `share` of the traffic. */
  request(atMs: number, isCandidate: boolean, share: number): SimulatedRequest {
    const {random, kind} = this;
    const route = ROUTES[Math.floor(random() * ROUTES.length)];
    const isBadNow = isCandidate && this.isBadAt(atMs, route, share);
    const isFailing = isBadNow && kind.startsWith('fails');
    const isSlow = isBadNow && kind.startsWith('slow');
    const baseRate =
      kind === 'good-noisy' ? NOISY_FAILURE_RATE : BASE_FAILURE_RATE;
    const rate = isFailing ? BAD_FAILURE_RATE : baseRate;
    const factor = this.slowdownAt(atMs) * (isSlow ? BAD_SLOWDOWN : 1);
    const isFailure = random() < rate;
    const firstTokenMs = BASE_FIRST_TOKEN_MS * factor * logNormalNoise(random);
    const tokenMs = BASE_TOKEN_MS * factor * logNormalNoise(random);
    const sample = {route, isCandidate, isFailure, firstTokenMs, tokenMs};
    // Every answer has 60 tokens after the first.
    const durationMs = firstTokenMs + 60 * tokenMs;
    return {sample, isBad: (isFailing && isFailure) || isSlow, durationMs};
  }

  private isBadAt(atMs: number, route: string, share: number): boolean {
    if (!isBad(this.kind) || atMs < this.badFromMs) return false;
    if (this.kind === 'fails-under-load') return share >= LOADED_SHARE;
    if (this.kind === 'fails-on-route') return route === BAD_ROUTE;
    return true;
  }

  /** The factor by which the latencies of both versions are multiplied at `atMs`. */
  private slowdownAt(atMs: number): number {
    if (this.kind !== 'good-slow-evening') return 1;
    const part = atMs / MOVE_MS;
    return 1 + (EVENING_PEAK_SLOWDOWN - 1) * Math.sin(Math.PI * part) ** 2;
  }
}

/** A random log-normal factor with a median of 1. */
function logNormalNoise(random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(LATENCY_LOG_STDDEV * normal);
}
