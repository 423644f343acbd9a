import * as directories from './directory.js';
import type * as logs from './logs.js';

/** The most starts of backend servers of which it is remembered that an unreadable statement was logged. */
const MAX_STARTS = 1024;
const MAX_LOGGED_CHARS = 200;

/** Logs once for a start of a backend server that it states something that can't be read. */
export class UnreadableStatements {
  private readonly starts = new Set<string>();

  constructor(private readonly log: logs.Log) {}

  /** Logs the headers of an answer that could not be read, as `name: value`. */
  report(entry: directories.ServerEntry, unreadable: readonly string[]): void {
    const start = directories.startOf(entry);
    if (unreadable.length === 0 || this.starts.has(start)) return;
    if (this.starts.size >= MAX_STARTS) this.starts.clear();
    this.starts.add(start);
    this.log.event('bad-input', '', {
      ...{what: 'statement of a backend server', key: entry.id},
      detail: unreadable.join('; ').slice(0, MAX_LOGGED_CHARS),
    });
  }
}
