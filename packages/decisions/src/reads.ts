/*
 * The order between what a process decides and what it has read. An event loop
 * that is late runs timers and the first messages before it reads what else has
 * arrived meanwhile, such as the close of a caller.
 */

/** The longest time for which callbacks run before sockets are read again. */
const MAX_BATCH_MS = 10;
/** A look at the sockets that may have begun longer ago, as the process was paused or slow meanwhile, is repeated. */
const MAX_LOOK_AGE_MS = 200;

/** Runs callbacks, each once the event loop has looked at all sockets since it was added. */
class ReadQueue {
  /** Added since the sockets were last looked at. */
  private added: (() => void)[] = [];
  private due: (() => void)[] = [];
  private isScheduled = false;
  /** Before the event loop last looked at the sockets. */
  private lookedAfterMs = 0;
  /** True if the last look was too old; the next one counts, so that an event loop whose every turn is slow goes on. */
  private isRepeating = false;

  add(callback: () => void): void {
    this.added.push(callback);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  /** Runs after the event loop has read the sockets that were readable. */
  private run(): void {
    this.isScheduled = false;
    const startMs = performance.now();
    const isOld =
      this.due.length > 0 && startMs - this.lookedAfterMs > MAX_LOOK_AGE_MS;
    this.isRepeating = isOld && !this.isRepeating;
    let count = 0;
    while (
      !this.isRepeating &&
      count < this.due.length &&
      performance.now() - startMs < MAX_BATCH_MS
    ) {
      this.due[count++]();
    }
    // What was added while sockets were read may have come before others that were.
    this.due = [...this.due.slice(count), ...this.added];
    this.added = [];
    if (this.due.length > 0) this.schedule();
    this.lookedAfterMs = performance.now();
  }
}

const queue = new ReadQueue();

/** Calls back once all that has arrived at this process by now has been read. */
export function afterReads(callback: () => void): void {
  queue.add(callback);
}

/** Resolves once all that has arrived at this process by now has been read. */
export function whenRead(): Promise<void> {
  return new Promise(afterReads);
}

/** A timer that was set by `setReadTimeout`. */
export interface ReadTimeout {
  /** Ends the timer, also between its time and its callback. */
  readonly clear: () => void;
}

/** Calls back after a time, and once all that has arrived by then has been read. */
export function setReadTimeout(
  callback: () => void,
  delayMs: number,
): ReadTimeout {
  let isCleared = false;
  const timer = setTimeout(() => {
    afterReads(() => {
      if (!isCleared) callback();
    });
  }, delayMs);
  return {
    clear: () => {
      isCleared = true;
      clearTimeout(timer);
    },
  };
}
