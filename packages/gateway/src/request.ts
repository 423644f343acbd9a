import type * as http from 'node:http';

import * as decisions from '@banyanhall/decisions';
import * as forwarding from '@banyanhall/forwarding';
import * as routing from '@banyanhall/routing';

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of an engine. */
export interface TokenDemand {
  readonly promptTokens: number;
  /** The most that may be generated. */
  readonly maxOutputTokens: number;
  /** The length that is to be expected. */
  readonly expectedOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** What callers' and backend servers' messages look like; given by the adapter. */
export interface Dialect {
  readonly names: forwarding.headers.HeaderNames;
  /** The demand that the headers state; undefined for requests that state none. */
  readonly demand: (
    headers: http.IncomingHttpHeaders,
  ) => TokenDemand | undefined;
}

/** A request that was read from a caller; times on the monotonic clock. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly authority: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedMs: number;
  /** How long the caller waits; undefined when it does not say. */
  readonly callerTimeoutMs: number | undefined;
}

/** A request that the configuration allows. */
export interface AcceptedRequest {
  readonly received: ReceivedRequest;
  readonly route: routing.configuration.Route;
  readonly service: string;
  readonly account: routing.configuration.Account | undefined;
  readonly demand: TokenDemand | undefined;
  readonly tier: decisions.config.Tier;
  /** Orders the requests of a tier. */
  readonly urgency: number;
  /** When the first of the caller's patience and the route's timeout ends. */
  readonly deadlineMs: number;
  /** When the caller leaves if nothing has come. */
  readonly firstByteDeadlineMs: number;
  /** The latest first byte that is on time. */
  readonly onTimeDeadlineMs: number;
  /** Identifies a request that comes again: same account, path and body. */
  readonly fingerprint: string;
}

/** A refusal by this host; the request has not run. */
export interface Rejection {
  readonly kind: 'refusal';
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
  /** What decided it, for the log. */
  readonly detail?: string;
}

/** Builds a refusal. */
export function rejection(
  status: number,
  reason: string,
  retryAfterMs?: number,
  detail?: string,
): Rejection {
  return {kind: 'refusal', status, reason, retryAfterMs, detail};
}

/** How soon a host that knows no configuration yet may be asked again. */
const NOT_READY_RETRY_MS = 300;

/** Checks a request against the configuration in force. */
export function accept(
  configuration: routing.configuration.Configuration | undefined,
  received: ReceivedRequest,
  dialect: Dialect,
  roll: number,
  fingerprintOf: (text: string, body: Buffer) => string,
): (AcceptedRequest & {readonly kind: 'accepted'}) | Rejection {
  if (!configuration) {
    return rejection(503, 'no-configuration', NOT_READY_RETRY_MS);
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
  const service = routing.configuration.pickSplit(route.splits, roll);
  const patienceMs = received.callerTimeoutMs ?? route.timeoutMs;
  const demand = dialect.demand(received.headers);
  const accountPriority = configuration.hasAccountPriorities
    ? account?.priority
    : undefined;
  const text = `${account?.name ?? ''} ${received.method} ${received.target}`;
  return {
    kind: 'accepted',
    ...{received, route, service, account, demand},
    tier: tierOf(accountPriority ?? route.priority),
    urgency: route.priority,
    deadlineMs: received.arrivedMs + Math.min(patienceMs, route.timeoutMs),
    firstByteDeadlineMs:
      received.arrivedMs + Math.min(patienceMs, route.callerPatienceMs),
    onTimeDeadlineMs: received.arrivedMs + route.objectiveMs,
    fingerprint: fingerprintOf(text, received.body),
  };
}

/** The tokens that a request counts as against its account's limit. */
export function chargedTokens(
  account: routing.configuration.Account,
  demand: TokenDemand | undefined,
): number {
  if (!demand) return account.plainTokens;
  return demand.promptTokens + demand.maxOutputTokens;
}

/** The tier that goes with a priority, 0 being the most urgent. */
function tierOf(priority: number): decisions.config.Tier {
  return Math.min(3, Math.max(1, priority + 1)) as decisions.config.Tier;
}

/** The headers that a request leaves with. */
export function outboundHeaders(
  accepted: AcceptedRequest,
  dialect: Dialect,
  set: Readonly<Record<string, string>>,
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
    ...Object.keys(set),
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
  for (const [name, value] of Object.entries(set)) headers.push(name, value);
  return headers;
}

/** Blocks of a prompt that are told to keepers at most. */
const MAX_CHAIN = 16;

/** Block hashes of a prompt's parts, as the guess of prefix caches takes them. */
export function prefixBlockHashes(
  demand: TokenDemand | undefined,
): readonly number[] {
  const chain: number[] = [];
  for (const {id, tokens} of demand?.parts ?? []) {
    const blocks = Math.floor(tokens / decisions.prefixcache.BLOCK_TOKENS);
    for (let i = 0; i < blocks && chain.length < MAX_CHAIN; i++) {
      const previous = chain[chain.length - 1] ?? 0;
      chain.push(decisions.rendezvous.hash32(`${previous}:${id}`));
    }
  }
  return chain;
}
