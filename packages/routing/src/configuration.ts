// The routes, services and client accounts of one configuration version, indexed so that a
// host can look them up for each request.

/** Whether a request on a route may be retried after an attempt that may have run; a `stream` only if it is resumable. */
export type Repeatability = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that receives a part of a route's traffic, in proportion to `weight`. */
export interface Split {
  readonly service: string;
  readonly weight: number;
}

/** Which requests a route matches, and the retry, deadline and priority settings that apply. */
export interface Route {
  readonly name: string;
  readonly authority: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** True when a broken stream may be resumed on another backend server after its last event. */
  readonly isResumable: boolean;
  readonly splits: readonly Split[];
  readonly timeoutMs: number;
  /** Target for the time to the first byte or event of a response. */
  readonly objectiveMs: number;
  /** How long callers wait for the first event of a stream, and then for each further one, before they disconnect. */
  readonly callerPatienceMs: number;
  /** Lower values are more urgent; 0 is the most urgent. */
  readonly priority: number;
  /** The most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** True when requests need no API key even if the configuration defines accounts. */
  readonly isPublic: boolean;
  /** The regions of the backend servers that requests may be sent to; undefined means all, an empty list none. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** Capacity limits of the backend servers of a service, as set by the operator. */
export interface ServiceSettings {
  readonly name: string;
  /** The path of health checks; empty if there is none. */
  readonly healthPath: string;
  /** The most connections to one backend server, summed over all hosts. */
  readonly maxConnections: number;
  /** Requests that one backend server runs at once; 0 leaves it to the backend server's own entry. */
  readonly capacity: number;
  /** Tokens that the running requests of one inference engine may hold; 0 for services without an engine. */
  readonly memoryTokens: number;
  /** How backend servers warm up after a start; undefined if they need not. */
  readonly warmup?: WarmupSettings;
}

/** How the backend servers of a service warm up. */
export interface WarmupSettings {
  /** How long a backend server is cold after it starts. */
  readonly durationMs: number;
  /** The requests per second that it serves meanwhile. */
  readonly perS: number;
}

/** A client account with its API keys and token rate limit. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority, unless all accounts have the same one. */
  readonly priority: number | undefined;
  /** The limit on the average rate; 0 means no limit. */
  readonly tokensPerS: number;
  readonly burstTokens: number;
  /** Tokens charged for a request that has no token count. */
  readonly plainTokens: number;
  /** The same as for routes; a request is sent only to regions that both allow. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** Size and time limits for requests from callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The content of one configuration version. */
export interface ConfigurationFields {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly accounts: readonly Account[];
  /** False when the version defines no accounts; requests then need no API key. */
  readonly needsKeys: boolean;
  readonly limits: CallerLimits;
  /** What could not be read of the restrictions to regions; they allow only what could. */
  readonly regionMistakes?: readonly string[];
}

/** One immutable version of the configuration, with indexes by authority, API key and service. */
export class Configuration {
  private readonly routesByAuthority = new Map<string, Route[]>();
  private readonly accountsByKey = new Map<string, Account>();
  private readonly servicesByName: ReadonlyMap<string, ServiceSettings>;
  /** True when accounts differ in priority; otherwise the route's priority applies. */
  readonly hasAccountPriorities: boolean;

  constructor(readonly fields: ConfigurationFields) {
    for (const route of fields.routes) {
      const authority = route.authority.toLowerCase();
      const known = this.routesByAuthority.get(authority) ?? [];
      known.push(route);
      this.routesByAuthority.set(authority, known);
    }
    for (const routes of this.routesByAuthority.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of fields.accounts) {
      for (const key of account.keys) this.accountsByKey.set(key, account);
    }
    const priorities = new Set(fields.accounts.map(a => a.priority));
    this.hasAccountPriorities = priorities.size > 1;
    this.servicesByName = new Map(fields.services.map(s => [s.name, s]));
  }

  get version(): number {
    return this.fields.version;
  }

  get limits(): CallerLimits {
    return this.fields.limits;
  }

  /** Returns the route of `authority` whose path prefix is the longest that matches `path`, which excludes the query. */
  route(authority: string, path: string): Route | undefined {
    const routes = this.routesByAuthority.get(authority.toLowerCase()) ?? [];
    return routes.find(route => path.startsWith(route.pathPrefix));
  }

  /** Returns the regions that the restricted routes of `authority` allow, together; undefined without any. */
  regionsOfName(authority: string): readonly string[] | undefined {
    const routes = this.routesByAuthority.get(authority.toLowerCase()) ?? [];
    const restricted = routes.filter(route => route.allowedRegions);
    if (restricted.length === 0) return undefined;
    const all = restricted.flatMap(route => route.allowedRegions ?? []);
    return [...new Set(all)];
  }

  /** Returns the account that an API key belongs to. */
  account(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }

  /** Returns the settings of a service. */
  service(name: string): ServiceSettings | undefined {
    return this.servicesByName.get(name);
  }
}

/** Returns a service picked at random by weight; empty without splits. `roll` is a random number from 0 to 1. */
export function pickSplit(splits: readonly Split[], roll: number): string {
  const total = splits.reduce((sum, split) => sum + split.weight, 0);
  let remaining = roll * total;
  for (const {service, weight} of splits) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return splits[splits.length - 1]?.service ?? '';
}
