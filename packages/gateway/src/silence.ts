/*
 * Gives up a silent attempt of a request, but only once a repeat of it is
 * certain: a sound backend server may fall silent for a while and go on.
 */

import * as decisions from '@banyanhall/decisions';

/** The pause between two tries to secure a repeat. */
const RETRY_MS = 400;

/** How long the repeat of a silent attempt may run beside it; then one of them is ended. */
const MAX_OVERLAP_MS = 250;

/** Dependencies of `SilenceWatch`; `Repeat` is what a repeat of the attempt needs. */
export interface SilenceWatchOptions<Repeat> {
  /** How long an attempt may be silent before a repeat is secured, in milliseconds; Infinity when none is possible. */
  readonly silenceMs: number;
  /**
   * Secures a repeat; resolves to undefined when none is possible now. When
   * `signal` aborts, the repeat is no longer needed. `onSent` is called once it
   * has been sent.
   */
  readonly secure: (
    signal: AbortSignal,
    onSent: () => void,
  ) => Promise<Repeat | undefined>;
  /** Returns a repeat that was secured but is not needed. */
  readonly release: (repeat: Repeat) => void;
}

/** Watches one attempt for silence. */
export class SilenceWatch<Repeat> {
  private readonly controller = new AbortController();
  private timer: decisions.reads.ReadTimeout | undefined;
  private securing: AbortController | undefined;
  private secured: Repeat | undefined;
  /** The repeat that has been sent and may yet be secured. */
  private sent: Promise<unknown> | undefined;

  constructor(private readonly options: SilenceWatchOptions<Repeat>) {
    this.arm();
  }

  /** Aborts when the attempt is to be given up, since `repeat` takes its place. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** The repeat that takes the place of the attempt; undefined unless `signal` has aborted. */
  get repeat(): Repeat | undefined {
    return this.secured;
  }

  /** Resolves once it is known whether a repeat that has been sent takes the place of the attempt, which has failed. */
  async settle(): Promise<void> {
    await this.sent;
  }

  /** Starts the silence anew, after data of the attempt. */
  onData(): void {
    this.stop();
    this.arm();
  }

  /** Stops watching: the attempt has ended, or what keeps it waiting is not its backend server. */
  stop(): void {
    this.timer?.clear();
    this.securing?.abort(new Error('the attempt is not silent any more'));
    this.securing = undefined;
  }

  private arm(delayMs = this.options.silenceMs): void {
    if (delayMs === Infinity || this.signal.aborted) return;
    this.timer = decisions.reads.setReadTimeout(
      () => void this.secureRepeat(),
      delayMs,
    );
  }

  private async secureRepeat(): Promise<void> {
    const securing = new AbortController();
    this.securing = securing;
    const securingRepeat = this.options.secure(securing.signal, () => {
      this.sent = securingRepeat;
    });
    const repeat = await securingRepeat;
    this.sent = undefined;
    if (securing.signal.aborted) {
      if (repeat !== undefined) this.options.release(repeat);
      return;
    }
    this.securing = undefined;
    if (repeat === undefined) return this.arm(RETRY_MS);
    this.secured = repeat;
    this.controller.abort(new Error('silent'));
  }
}

/** Limits how long a repeat may run beside the attempt that it repeats. */
export class OverlapTimer {
  private timer: decisions.reads.ReadTimeout | undefined;
  private onOverdue: (value: 'overdue') => void = () => undefined;
  /** Resolves when the time is over. */
  readonly overdue = new Promise<'overdue'>(resolve => {
    this.onOverdue = resolve;
  });

  /** Starts the time: the repeat may run from now on. */
  start(): void {
    this.timer = decisions.reads.setReadTimeout(
      () => this.onOverdue('overdue'),
      MAX_OVERLAP_MS,
    );
  }

  stop(): void {
    this.timer?.clear();
  }
}
