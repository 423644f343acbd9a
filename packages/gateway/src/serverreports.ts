// What the answers to this host's requests tell of backend servers: their load
// reports and their statements.

import type * as forwarding from '@banyanhall/forwarding';

import * as directories from './directory.js';
import type * as logs from './logs.js';

/** The most headers of starts of backend servers of which it is remembered that an unreadable value was logged. */
const MAX_UNREADABLE = 1024;
const MAX_LOGGED_CHARS = 200;

/** Logs what backend servers state that can't be read. */
export class UnreadableLog {
  private readonly logged = new Set<string>();

  constructor(private readonly log: logs.Log) {}

  /** Logs each header that could not be read, once for a start of a backend server. */
  report(
    entry: directories.ServerEntry,
    unreadable: readonly forwarding.statements.Unreadable[],
  ): void {
    for (const {header, text} of unreadable) {
      const key = `${directories.startOf(entry)} ${header}`;
      if (this.logged.has(key)) continue;
      if (this.logged.size >= MAX_UNREADABLE) this.logged.clear();
      this.logged.add(key);
      this.log.event('bad-input', '', {
        ...{what: 'statement of a backend server', key: entry.id},
        detail: `${header}: ${text}`.slice(0, MAX_LOGGED_CHARS),
      });
    }
  }
}
