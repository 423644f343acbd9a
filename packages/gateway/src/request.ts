/*
 * Checks a caller's request against the configuration and prepares the headers
 * that are sent to backend servers.
 */
import type * as http from 'node:http';

import * as decisions from '@banyanhall/decisions';
import * as forwarding from '@banyanhall/forwarding';
import * as routing from '@banyanhall/routing';

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The token counts that a request states for an inference engine. */
export interface TokenDemand {
  readonly promptTokens: number;
  /** The maximum number of generated tokens. */
  readonly maxOutputTokens: number;
  /** The expected number of generated tokens. */
  readonly expectedOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** The header names of the platform's HTTP messages, and the parser of their token counts; supplied by the platform adapter. */
export interface Dialect {
  readonly names: forwarding.headers.HeaderNames;
  /** Parses the token counts from request headers; undefined when there are none. */
  readonly parseDemand: (
    headers: http.IncomingHttpHeaders,
  ) => TokenDemand | undefined;
}

/** A request read from a caller; times are on the monotonic clock. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  /** The path and query. */
  readonly target: string;
  readonly authority: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedMs: number;
  /** How long the caller waits from arrival; undefined when it states no timeout. */
  readonly callerTimeoutMs: number | undefined;
}

/** A request that passed the checks of the configuration; times are on the monotonic clock. */
export interface AcceptedRequest {
  readonly received: ReceivedRequest;
  readonly route: routing.configuration.Route;
  readonly service: string;
  /** Undefined for requests without a known API key. */
  readonly account: routing.configuration.Account | undefined;
  readonly demand: TokenDemand | undefined;
  readonly tier: decisions.config.Tier;
  /** Orders the requests of a tier, lower values first. */
  readonly urgency: number;
  /** Arrival plus the smaller of the caller's and the route's timeout. */
  readonly deadlineMs: number;
  /** When the caller gives up if it has received nothing. */
  readonly firstByteDeadlineMs: number;
  /** The latest time for a first byte that meets the route's latency objective. */
  readonly onTimeDeadlineMs: number;
  /** Equal for requests with the same account, method, target and body. */
  readonly fingerprint: string;
  /** The service and the ids of the prompt parts that other requests may share: all but the last. */
  readonly sharedParts: readonly string[];
  /** The regions of the backend servers that it may be sent to: those that its route and its account allow; undefined means all. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** Builds a request from what was read of it. */
export function toReceived(
  request: http.IncomingMessage,
  id: string,
  body: Buffer,
  arrivedMs: number,
  names: forwarding.headers.HeaderNames,
): ReceivedRequest {
  const timeoutMs = Number(
    forwarding.headers.value(request.headers, names.remainingMs),
  );
  return {
    ...{id, body, arrivedMs},
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    authority: request.headers.host ?? '',
    headers: request.headers,
    rawHeaders: request.rawHeaders,
    callerTimeoutMs: timeoutMs > 0 ? timeoutMs : undefined,
  };
}

/** A rejection by this host, sent to the caller as an error response. */
export interface Rejection {
  readonly kind: 'rejection';
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
  /** The inputs of the decision, for the log. */
  readonly detail?: string;
}

/** Builds a rejection. */
export function rejection(
  status: number,
  reason: string,
  retryAfterMs?: number,
  detail?: string,
): Rejection {
  return {kind: 'rejection', status, reason, retryAfterMs, detail};
}

/** The retry-after time given by a host that has no configuration yet. */
const NOT_READY_RETRY_AFTER_MS = 300;

/** Checks a request against the configuration in force; `roll`, a random number from 0 to 1, selects a service among the route's splits. */
export function accept(
  configuration: routing.configuration.Configuration | undefined,
  received: ReceivedRequest,
  dialect: Dialect,
  roll: number,
  fingerprintOf: (text: string, body: Buffer) => string,
): (AcceptedRequest & {readonly kind: 'accepted'}) | Rejection {
  if (!configuration) {
    return rejection(503, 'no-configuration', NOT_READY_RETRY_AFTER_MS);
  }
  const [path] = received.target.split('?', 1);
  const route = configuration.route(received.authority, path);
  if (!route) {
    const detail = `${received.authority}${path}`;
    return rejection(404, 'no-route', undefined, detail);
  }
  const {names} = dialect;
  const key = forwarding.headers.value(received.headers, names.key);
  const needsKey = configuration.fields.needsKeys && !route.isPublic;
  const account = key === undefined ? undefined : configuration.account(key);
  if (needsKey && !account) return rejection(401, 'unknown-key');
  const allowedRegions = decisions.regions.intersection(
    route.allowedRegions,
    account?.allowedRegions,
  );
  if (allowedRegions?.length === 0) {
    return rejectionWithoutRegion(route, account);
  }
  const service = routing.configuration.pickSplit(route.splits, roll);
  const callerTimeoutMs = received.callerTimeoutMs ?? route.timeoutMs;
  const demand = dialect.parseDemand(received.headers);
  const accountPriority = configuration.hasAccountPriorities
    ? account?.priority
    : undefined;
  const text = `${account?.name ?? ''} ${received.method} ${received.target}`;
  return {
    kind: 'accepted',
    ...{received, route, service, account, demand, allowedRegions},
    tier: tierOf(accountPriority ?? route.priority),
    urgency: route.priority,
    deadlineMs: received.arrivedMs + Math.min(callerTimeoutMs, route.timeoutMs),
    firstByteDeadlineMs:
      received.arrivedMs + Math.min(callerTimeoutMs, route.callerPatienceMs),
    onTimeDeadlineMs: received.arrivedMs + route.objectiveMs,
    fingerprint: fingerprintOf(text, received.body),
    sharedParts: sharedPartsOf(service, demand),
  };
}

/** The reason for which requests are rejected that have no backend server in a region that they may use. */
export const NO_SERVER_IN_REGIONS = 'no-server-in-regions';
/** Their retry-after time; only a new backend server or configuration helps. */
export const NO_SERVER_IN_REGIONS_RETRY_AFTER_MS = 1000;

/** Rejects a request whose route and account allow no region together. */
function rejectionWithoutRegion(
  route: routing.configuration.Route,
  account: routing.configuration.Account | undefined,
): Rejection {
  const list = (regions: readonly string[] | undefined) =>
    regions === undefined ? 'all' : `(${regions.join(' ')})`;
  const detail = `regions of route ${list(route.allowedRegions)}, of account ${list(account?.allowedRegions)}`;
  return rejection(
    ...([503, NO_SERVER_IN_REGIONS] as const),
    ...([NO_SERVER_IN_REGIONS_RETRY_AFTER_MS, detail] as const),
  );
}

/** The most parts of a prompt that are compared with those of other requests. */
const MAX_SHARED_PARTS = 64;

/** Names prompt parts together with the service, since another engine may well serve a part that one can't. */
function sharedPartsOf(
  service: string,
  demand: TokenDemand | undefined,
): readonly string[] {
  const shared = demand?.parts.slice(0, -1) ?? [];
  return shared.slice(0, MAX_SHARED_PARTS).map(({id}) => `${service}/${id}`);
}

/** The tokens that a request takes from its account's rate limit. */
export function chargedTokens(
  account: routing.configuration.Account,
  demand: TokenDemand | undefined,
): number {
  if (!demand) return account.plainTokens;
  return demand.promptTokens + demand.maxOutputTokens;
}

/** The tier, 1 to 3, of a priority; priority 0 is the most urgent. */
function tierOf(priority: number): decisions.config.Tier {
  return Math.min(3, Math.max(1, priority + 1)) as decisions.config.Tier;
}

/** The headers sent to the backend server: the caller's end-to-end headers without reserved ones, plus `addedHeaders`. */
export function outboundHeaders(
  accepted: AcceptedRequest,
  dialect: Dialect,
  addedHeaders: Readonly<Record<string, string>>,
): readonly string[] {
  const {names} = dialect;
  const {received} = accepted;
  const dropped = new Set([
    names.key,
    names.account,
    names.remainingMs,
    names.expectedServer,
    'content-length',
    ...names.reserved,
    ...Object.keys(addedHeaders),
  ]);
  const headers = forwarding.headers.endToEnd(
    received.rawHeaders,
    received.headers,
    dropped,
  );
  const hasBody =
    received.body.length > 0 ||
    received.headers['content-length'] !== undefined ||
    received.headers['transfer-encoding'] !== undefined;
  if (hasBody) headers.push('Content-Length', String(received.body.length));
  if (accepted.account) headers.push(names.account, accepted.account.name);
  for (const [name, value] of Object.entries(addedHeaders))
    headers.push(name, value);
  return headers;
}

/** The maximum number of prompt blocks whose hashes are sent to keepers. */
const MAX_PREFIX_BLOCKS = 16;

/** Chained hashes of a prompt's blocks, from which keepers estimate prefix cache hits. */
export function prefixBlockHashes(
  demand: TokenDemand | undefined,
): readonly number[] {
  const chain: number[] = [];
  for (const {id, tokens} of demand?.parts ?? []) {
    const blocks = Math.floor(tokens / decisions.prefixcache.BLOCK_TOKENS);
    for (let i = 0; i < blocks && chain.length < MAX_PREFIX_BLOCKS; i++) {
      const previous = chain[chain.length - 1] ?? 0;
      chain.push(decisions.rendezvous.hash32(`${previous}:${id}`));
    }
  }
  return chain;
}
