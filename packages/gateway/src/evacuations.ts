import type * as logs from './logs.js';
import type * as metricsModule from './metrics.js';

/** Dependencies of `Evacuations`. */
export interface EvacuationsOptions {
  /** Returns true if an availability zone is one of the deployment's. */
  readonly isKnownZone: (zone: string) => boolean;
  readonly log: logs.Log;
  readonly metrics: Pick<metricsModule.Metrics, 'setGauge'>;
  /** Called after each change of the evacuated availability zones. */
  readonly onChange: () => void;
}

/** Whether an availability zone is evacuated, by its name. */
export type EvacuationChanges = ReadonlyMap<string, boolean>;

/**
 * The evacuated availability zones. Until they have been listed once, all
 * count as evacuated: a host that starts must not send anything before it
 * knows them, wherever its configuration comes from.
 */
export class Evacuations {
  private zones: ReadonlySet<string> = new Set();
  private hasList = false;

  constructor(private readonly options: EvacuationsOptions) {}

  /** True once the evacuated availability zones have been listed. */
  get areKnown(): boolean {
    return this.hasList;
  }

  /** Returns true if nothing may be sent to the backend servers of an availability zone. */
  isEvacuated(zone: string): boolean {
    return !this.hasList || this.zones.has(zone);
  }

  /** Applies a full list; zones that it lacks are no longer evacuated. */
  onList(evacuated: ReadonlySet<string>): void {
    const isFirst = !this.hasList;
    this.hasList = true;
    this.replace(evacuated, isFirst);
  }

  /** Applies changes of single zones. */
  onChanges(changes: EvacuationChanges): void {
    const next = new Set(this.zones);
    for (const [zone, isEvacuated] of changes) {
      if (isEvacuated) next.add(zone);
      else next.delete(zone);
    }
    this.replace(next, false);
  }

  private replace(next: ReadonlySet<string>, isFirst: boolean): void {
    const {metrics, onChange} = this.options;
    const before = this.zones;
    const begun = [...next].filter(zone => !before.has(zone));
    const lifted = [...before].filter(zone => !next.has(zone));
    this.zones = next;
    for (const zone of begun) this.report(zone, 'begun');
    for (const zone of lifted) this.report(zone, 'lifted');
    const help = 'Evacuated availability zones.';
    metrics.setGauge('evacuated_zones', help, this.countKnown());
    if (isFirst || begun.length + lifted.length > 0) onChange();
  }

  private report(zone: string, state: 'begun' | 'lifted'): void {
    const {isKnownZone, log} = this.options;
    const isKnown = isKnownZone(zone);
    log.event('evacuation', '', {zone, state, isKnown});
  }

  private countKnown(): number {
    return [...this.zones].filter(this.options.isKnownZone).length;
  }
}
