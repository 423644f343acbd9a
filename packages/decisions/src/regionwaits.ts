// Waiting times in a cell of several regions of which some tickets may use only a part.

/** What the estimate of waiting times needs to know of a region. */
export interface RegionCapacity {
  /** The reference requests that its runners serve in a millisecond. */
  readonly capacityPerMs: number;
  /** The time until the first of its runners is free. */
  readonly freeMs: number;
}

/**
 * The work ahead of a ticket by region. The work of each ticket is added where
 * it would start first, so that tickets which may use only one region delay
 * others there, and not in regions that stay free.
 */
export class RegionBacklog {
  private readonly untilMs = new Map<string, number>();

  constructor(private readonly regions: ReadonlyMap<string, RegionCapacity>) {}

  /** Adds the work of a ticket, in reference requests, that may run in some regions. */
  add(work: number, allowed: readonly string[]): void {
    const first = this.first(allowed);
    if (first === undefined) return;
    const capacityPerMs = this.regions.get(first)?.capacityPerMs ?? 0;
    if (capacityPerMs <= 0) return;
    const aheadMs = this.untilMs.get(first) ?? 0;
    this.untilMs.set(first, aheadMs + work / capacityPerMs);
  }

  /** The time for the work ahead in a region, from now. */
  waitMs(region: string): number {
    const freeMs = this.regions.get(region)?.freeMs ?? 0;
    return freeMs + (this.untilMs.get(region) ?? 0);
  }

  /** The region in which further work would start first. */
  private first(allowed: readonly string[]): string | undefined {
    let found: string | undefined;
    let leastMs = Infinity;
    for (const region of allowed) {
      if (!this.regions.has(region)) continue;
      const waitMs = this.waitMs(region);
      if (waitMs >= leastMs) continue;
      found = region;
      leastMs = waitMs;
    }
    return found;
  }
}
