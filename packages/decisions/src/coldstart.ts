/*
 * Until when a start of a backend server counts as cold, and how often it is
 * sent requests until then.
 */
import type * as storeposition from './storeposition.js';

/** The greatest difference between the clocks of two machines, in milliseconds. */
const MAX_SKEW_MS = 200;

/** An entry may state at most this multiple of the service's warm-up time. */
const MAX_WARMUPS = 10;

/**
 * A server that was down is tried again after at most 1 s, so it may have started
 * so long after it last refused a connection; the rest is time to notice.
 */
const MAX_RETURN_MS = 1200;

/** Keepers that may pace one server at the same time, while hosts disagree about the members. */
const MAX_KEEPERS = 2;

/**
 * The span in which starts arrive that a keeper grants in a second, in seconds:
 * the 100 ms that a rate may catch up on, and 100 ms by which grants may be delayed.
 */
const GRANTED_SPAN_S = 1.2;

/** The least share of the stated rate that is used, for settings that allow two keepers nothing. */
const MIN_RATE_SHARE = 0.5;

/** How a service's backend servers warm up. */
export interface WarmupSettings {
  /** How long a backend server is cold after it starts. */
  readonly durationMs: number;
  /** The requests per second that it serves meanwhile; 0 if cold servers have no limit. */
  readonly perS: number;
}

/** The bound of requests to a cold backend server in any second: `perS` x `overshoot` + `tolerance`. */
export interface WarmupBounds {
  readonly overshoot: number;
  readonly tolerance: number;
}

/** What the entry of a backend server says about its warm-up. */
export interface WarmupEntry {
  /** When the backend server started, in Unix milliseconds; 0 if the entry does not state it. */
  readonly startedAtMs: number;
  /** How long it stays cold after the write; undefined if the entry states no valid time. */
  readonly leftMs: number | undefined;
  readonly position: storeposition.StorePosition;
}

/** When an entry was received, on both clocks. */
export interface ReceiptTime {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

interface ColdStartFields {
  readonly startedAtMs: number;
  /** When the start counts as begun, on the monotonic clock; -Infinity if unknown. */
  readonly startedMs: number;
  /** The end of the cold time by the latest entry. */
  readonly leftUntilMs: number;
  readonly receivedMs: number;
  /** When the server last refused connections of all hosts; -Infinity if it has not. */
  readonly downMs: number;
  readonly position: storeposition.StorePosition;
}

/** What is known about the cold time of one start of a backend server. */
export class ColdStart {
  private constructor(private readonly fields: ColdStartFields) {}

  /**
   * Creates the state from the first entry of a start. `isListed` if it was in the
   * first list that this host read: the backend server may have started before
   * there was traffic, so an entry that says it is warm is believed.
   */
  static of(
    entry: WarmupEntry,
    {monotonicMs, wallMs}: ReceiptTime,
    isListed: boolean,
  ): ColdStart {
    const {startedAtMs, leftMs, position} = entry;
    const isBelieved = isListed && leftMs !== undefined;
    const ageMs = Math.max(0, wallMs - startedAtMs);
    return new ColdStart({
      ...{startedAtMs, position, receivedMs: monotonicMs},
      startedMs:
        startedAtMs === 0 || isBelieved ? -Infinity : monotonicMs - ageMs,
      leftUntilMs: leftMs === undefined ? -Infinity : monotonicMs + leftMs,
      downMs: -Infinity,
    });
  }

  /**
   * Applies an entry that was received later. Only a later write of the same
   * start shortens its cold time; the first entry after a restore of the store
   * may be an old copy and can only lengthen it.
   */
  withEntry(entry: WarmupEntry, now: ReceiptTime): ColdStart {
    const {startedAtMs, position, leftUntilMs} = this.fields;
    if (!entry.position.isAfter(position)) return this;
    if (entry.startedAtMs !== startedAtMs) {
      return ColdStart.of(entry, now, false);
    }
    const received = {position: entry.position, receivedMs: now.monotonicMs};
    if (entry.leftMs === undefined) {
      return new ColdStart({...this.fields, position: entry.position});
    }
    const statedMs = now.monotonicMs + entry.leftMs;
    const isCopy = position.isOfEarlierEraThan(entry.position);
    if (isCopy && statedMs <= leftUntilMs) {
      return new ColdStart({...this.fields, position: entry.position});
    }
    return new ColdStart({...this.fields, ...received, leftUntilMs: statedMs});
  }

  /** Notes that the server refused connections of all hosts at `nowMs`. If it answers again before the entry of a later start is read, it counts as cold. */
  withDown(nowMs: number): ColdStart {
    return new ColdStart({...this.fields, downMs: nowMs});
  }

  /** True if an entry has stated how long the server stays cold. */
  get isStated(): boolean {
    return this.fields.leftUntilMs > -Infinity;
  }

  /** Returns the end of the cold time under a service's settings, on the monotonic clock; -Infinity if there is none. */
  untilMs({durationMs, perS}: WarmupSettings): number {
    if (perS === 0 || durationMs === 0) return -Infinity;
    const {startedMs, leftUntilMs, receivedMs, downMs} = this.fields;
    const latestMs = receivedMs + MAX_WARMUPS * durationMs;
    return Math.max(
      startedMs + durationMs + MAX_SKEW_MS,
      downMs + durationMs + MAX_RETURN_MS,
      Math.min(leftUntilMs, latestMs),
    );
  }
}

/**
 * Returns the starts per second at which a keeper paces a cold backend server.
 * Two keepers at this rate together stay within the bound in any second, as
 * long as their grants are delayed by at most 100 ms.
 */
export function pacedPerS(
  {perS}: WarmupSettings,
  {overshoot, tolerance}: WarmupBounds,
): number {
  const boundPerS = perS * overshoot + tolerance;
  const safePerS = (boundPerS / MAX_KEEPERS - 1) / GRANTED_SPAN_S;
  return Math.min(perS, Math.max(perS * MIN_RATE_SHARE, safePerS));
}
