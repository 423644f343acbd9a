/** What may be done with a request on a route after a send that failed. */
export type Repeatability = 'idempotent' | 'non-idempotent' | 'stream';

/** A part of a route's traffic that goes to a service. */
export interface Split {
  readonly service: string;
  readonly weight: number;
}

/** Which requests a route takes and how they are treated. */
export interface Route {
  readonly name: string;
  readonly authority: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** A stream that may go on at another backend server after its last event. */
  readonly isResumable: boolean;
  readonly splits: readonly Split[];
  readonly timeoutMs: number;
  /** The time to the first byte or event within which an answer is on time. */
  readonly objectiveMs: number;
  /** How long callers wait for the first event of a stream, and between events, before they leave. */
  readonly callerPatienceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Backend servers that one request may be sent to at most. */
  readonly maxAttempts: number;
  readonly isPublic: boolean;
}

/** What the operator says of a service. */
export interface ServiceSettings {
  readonly name: string;
  /** Connections that one backend server accepts from all hosts together. */
  readonly maxConnections: number;
  /** Requests that one backend server runs at once; 0 when only its own entry says. */
  readonly capacity: number;
  /** The most that the requests running on one engine may hold; 0 for plain services. */
  readonly memoryTokens: number;
}

/** A client account: its keys and the tokens it may use. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route; equal ones leave it to the route. */
  readonly priority: number | undefined;
  /** 0 means no limit. */
  readonly tokensPerS: number;
  readonly burstTokens: number;
  /** What a request without a token count is charged. */
  readonly plainTokens: number;
}

/** What callers may send, and how long they may be idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The parts of a configuration version. */
export interface ConfigurationFields {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly accounts: readonly Account[];
  /** False when the version has no accounts at all: then no request needs a key. */
  readonly needsKeys: boolean;
  readonly limits: CallerLimits;
}

/** One version of the configuration, indexed for look-ups. Immutable. */
export class Configuration {
  private readonly routesByAuthority = new Map<string, Route[]>();
  private readonly accountsByKey = new Map<string, Account>();
  private readonly servicesByName: ReadonlyMap<string, ServiceSettings>;
  /** True when accounts differ in priority; otherwise that of the route decides. */
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

  /** The route with the longest prefix that begins `path` (without its query). */
  route(authority: string, path: string): Route | undefined {
    const routes = this.routesByAuthority.get(authority.toLowerCase()) ?? [];
    return routes.find(route => path.startsWith(route.pathPrefix));
  }

  /** The account that holds a key. */
  account(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }

  /** The terms of a service. */
  service(name: string): ServiceSettings | undefined {
    return this.servicesByName.get(name);
  }
}

/** Picks a split with chance in proportion to its weight; `roll` is from 0 to 1. */
export function pickSplit(splits: readonly Split[], roll: number): string {
  const total = splits.reduce((sum, split) => sum + split.weight, 0);
  let left = roll * total;
  for (const {service, weight} of splits) {
    left -= weight;
    if (left < 0) return service;
  }
  return splits[splits.length - 1]?.service ?? '';
}
