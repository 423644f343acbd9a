import type * as config from './config.js';
import * as verdict from './verdict.js';

/** What a caller asked for, before it was checked. */
export interface PolicyQuery {
  readonly keySha256: string;
  /** Empty picks the account's first profile. */
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

/** Finds the terms of a request, or says what is wrong with it; unknown and forbidden look alike. */
export function resolvePolicy(
  current: config.Config,
  asked: PolicyQuery,
): RequestPolicy | verdict.Failure {
  const account = current.accountForKey(asked.keySha256);
  if (!account) return verdict.failure('unauthorized', 'the key is not known');
  const name = asked.profile || (account.profiles[0] ?? '');
  const profile = account.profiles.includes(name)
    ? current.get('profile', name)
    : undefined;
  if (!profile) {
    return verdict.failure('unknown-profile', `no profile named "${name}"`);
  }
  const service = current.get('service', asked.service);
  if (!service || service.kind !== asked.kind) {
    const message = `no ${asked.kind} service named "${asked.service}"`;
    return verdict.failure('unknown-service', message);
  }
  return {account, profile, service};
}

/** The versions that a profile may reach, out of those a service has; the preferred one first. */
export function allowedVersions(
  profile: config.Profile,
  versions: readonly string[],
): readonly string[] {
  if (profile.versions.length === 0) return versions;
  return versions.filter(version => profile.versions.includes(version));
}
