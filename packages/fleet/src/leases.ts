import * as net from 'node:net';

import type * as decisions from '@banyanhall/decisions';

/** The lease of a host, as stored in the table. */
export interface Lease {
  readonly member: decisions.membership.Member;
  /** Unix milliseconds. */
  readonly expiresAtMs: number;
}

const MAX_CHARS = 1024;
const STATES: ReadonlySet<unknown> = new Set<decisions.membership.MemberState>([
  'serving',
  'leaving',
  'suspect',
  'dead',
]);

/** Returns the lease in a row, which may have been written by another program; undefined when it is none. */
export function decode(value: unknown): Lease | undefined {
  const {member, expiresAtMs} = objectOf(value);
  const {
    host,
    region,
    zone,
    callerUrl,
    peerAddress,
    incarnation,
    state,
    cores,
  } = objectOf(member);
  const texts = [host, region, zone, callerUrl, peerAddress];
  const isValid =
    texts.every(text => typeof text === 'string' && text.length <= MAX_CHARS) &&
    host !== '' &&
    isAddress(peerAddress as string) &&
    Number.isSafeInteger(incarnation) &&
    STATES.has(state) &&
    (cores === undefined || Number.isFinite(cores)) &&
    Number.isFinite(expiresAtMs);
  return isValid ? (value as Lease) : undefined;
}

/** True for an empty text, of a host that none can connect to, and for `host:port`. */
function isAddress(text: string): boolean {
  if (text === '') return true;
  const at = text.lastIndexOf(':');
  const host = text.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  const port = text.slice(at + 1);
  const isHost = net.isIP(host) !== 0 || /^[a-z0-9.-]+$/i.test(host);
  return isHost && /^\d{1,5}$/.test(port) && Number(port) < 65_536;
}

function objectOf(value: unknown): Readonly<Record<string, unknown>> {
  const isObject = typeof value === 'object' && value !== null;
  return isObject ? (value as Readonly<Record<string, unknown>>) : {};
}
