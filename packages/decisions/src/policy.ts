import type * as config from './config.js';
import * as verdict from './verdict.js';

/** The account (by the digest of its key), profile and service that a request names, before validation. */
export interface PolicyQuery {
  readonly keySha256: string;
  /** The name of the profile; empty selects the first profile of the account. */
  readonly profile: string;
  readonly service: string;
  readonly kind: config.Service['kind'];
}

/** The entries of the configuration that apply to a request. */
export interface RequestPolicy {
  readonly account: config.Account;
  readonly profile: config.Profile;
  readonly service: config.Service;
}

/**
 * Looks up the entries that apply to a request, or returns why it is rejected.
 * An unknown profile and one that the account may not use give the same
 * failure, as do an unknown service and one of another kind.
 */
export function resolvePolicy(
  current: config.Config,
  query: PolicyQuery,
): RequestPolicy | verdict.Failure {
  const account = current.accountForKey(query.keySha256);
  if (!account) return verdict.failure('unauthorized', 'the key is not known');
  const name = query.profile || (account.profiles[0] ?? '');
  const profile = account.profiles.includes(name)
    ? current.get('profile', name)
    : undefined;
  if (!profile) {
    return verdict.failure('unknown-profile', `no profile named "${name}"`);
  }
  const service = current.get('service', query.service);
  if (!service || service.kind !== query.kind) {
    const message = `no ${query.kind} service named "${query.service}"`;
    return verdict.failure('unknown-service', message);
  }
  return {account, profile, service};
}

/** Filters the versions of a service, preferred first, to those that a profile may use; keeps their order. */
export function allowedVersions(
  profile: config.Profile,
  versions: readonly string[],
): readonly string[] {
  if (profile.versions.length === 0) return versions;
  return versions.filter(version => profile.versions.includes(version));
}
