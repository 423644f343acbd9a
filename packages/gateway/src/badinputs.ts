import * as decisions from '@banyanhall/decisions';

import type * as logs from './logs.js';

/** The most inputs whose last content is remembered. */
const MAX_KNOWN = 4096;
const MAX_LOGGED_CHARS = 200;

/** Logs inputs that can't be read, each content of a key once, as the same one may be read again and again. */
export class BadInputs {
  /** A hash of the last content that was logged, by `what` and `key`. */
  private readonly known = new Map<string, number>();

  constructor(private readonly log: logs.Log) {}

  /** Logs that `content`, found under `key`, can't be read; `what` names its kind. */
  report(
    what: string,
    key: string,
    content: string,
    fields: logs.Fields = {},
  ): void {
    const shortKey = key.slice(0, MAX_LOGGED_CHARS);
    const name = `${what}/${shortKey}`;
    const hash = decisions.rendezvous.hash32(content);
    if (this.known.get(name) === hash) return;
    if (this.known.size >= MAX_KNOWN) this.known.clear();
    this.known.set(name, hash);
    this.log.event('bad-input', '', {what, key: shortKey, ...fields});
  }
}
