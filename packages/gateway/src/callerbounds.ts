/*
 * The bounds on what a process holds for callers, from the memory and the file
 * descriptors of its machine. docs/operators/client-limits.md lists them.
 */

/** The descriptors of `limits.max-fds` that are for files. */
const FILE_DESCRIPTORS = 200;
/** The shares of the others by listener; what is left is for hosts, backend servers and the store. */
const DESCRIPTOR_SHARES = {
  callers: 0.5,
  lookups: 0.05,
  checks: 0.025,
  peers: 0.1,
};
/** The least connections of a listener. */
const MIN_CONNECTIONS = 24;
/** What an open connection costs; it takes 10 to 23 KB of resident memory, the more the fewer are open. */
export const CONNECTION_BYTES = 16_384;
/** The share of the memory that connections may take by themselves. */
const CONNECTION_SHARE = 0.16;
/** The share that heads may take. */
const HEAD_SHARE = 0.105;
/** The share that heads, bodies, responses and connections may take together; a process takes about 70 MB without them, and half as much again as is counted. */
const SUM_SHARE = 0.3;

/** What a process may hold for callers. */
export interface CallerBounds {
  /** The most connections of callers. */
  readonly connections: number;
  /** The most connections that query addresses. */
  readonly lookupConnections: number;
  /** The most connections that ask whether this host is ready, and the most that read its metrics. */
  readonly checkConnections: number;
  /** The most connections at the listener for other hosts that have not shown to be of one. */
  readonly unknownPeers: number;
  readonly headBytes: number;
  readonly sumBytes: number;
}

/** No bounds; for settings without any. */
export const UNBOUNDED: CallerBounds = {
  connections: Infinity,
  lookupConnections: Infinity,
  checkConnections: Infinity,
  unknownPeers: Infinity,
  headBytes: Infinity,
  sumBytes: Infinity,
};

/** The bounds of a machine; with endless descriptors only its memory bounds connections. */
export function callerBounds(
  memoryBytes: number,
  maxDescriptors: number,
): CallerBounds {
  const usable = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
  const shareOf = (share: number) =>
    Math.max(MIN_CONNECTIONS, Math.floor(usable * share));
  const byMemory = (memoryBytes * CONNECTION_SHARE) / CONNECTION_BYTES;
  const {callers, lookups, checks, peers} = DESCRIPTOR_SHARES;
  return {
    connections: Math.floor(Math.min(shareOf(callers), byMemory)),
    lookupConnections: shareOf(lookups),
    checkConnections: shareOf(checks),
    unknownPeers: shareOf(peers),
    headBytes: memoryBytes * HEAD_SHARE,
    sumBytes: memoryBytes * SUM_SHARE,
  };
}
