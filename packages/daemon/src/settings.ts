import * as fs from 'node:fs';
import * as net from 'node:net';
import * as util from 'node:util';

import * as peers from '@banyanhall/peers';

/** Settings of a daemon, read once at its start. */
export interface Settings {
  readonly hostId: string;
  readonly region: string;
  readonly zone: string;
  readonly callerListen: string;
  readonly callerUrl: string;
  readonly operatorListen: string;
  readonly peerListen: string;
  readonly peerAddress: string;
  readonly platformUrl: string;
  readonly fleetSecret: string;
  readonly operatorKeySha256: string;
  /** How long callers may cache the list of host addresses. */
  readonly addressKeepMs: number;
  /** `IP:PORT` of a StatsD server; empty for none. */
  readonly statsd: string;
  readonly logFormat: 'json' | 'pretty';
  /** A numeric log level of consola. */
  readonly logLevel: number;
  /** True when every time line event is written to standard output. */
  readonly timelineLog: boolean;
  readonly callerTls?: TlsKeyPair;
  readonly peerTls?: peers.links.PeerTls;
}

/** A private key and its certificate, in PEM format. */
export interface TlsKeyPair {
  readonly cert: Buffer;
  readonly key: Buffer;
}

/** The settings, the help text, or every mistake found. */
export type ParseResult =
  | {readonly kind: 'settings'; readonly settings: Settings}
  | {readonly kind: 'help'; readonly text: string}
  | {readonly kind: 'mistakes'; readonly mistakes: readonly string[]};

interface Setting {
  readonly flag: string;
  readonly help: string;
  readonly defaultValue?: string;
  /** Returns undefined for a valid value, else the rest of the message that starts with the flag, such as `must be IP:PORT`. */
  readonly check: (value: string) => string | undefined;
}

/** The numeric log level of consola for each level name. */
const LOG_LEVELS: Readonly<Record<string, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};
const ENV_PREFIX = 'BANYANHALL_';
const MIN_SECRET_CHARS = 16;

function checkAddress(value: string): string | undefined {
  const [, ip, port] = /^(.*):(\d+)$/.exec(value) ?? [];
  const isIp = ip && net.isIP(ip.replace(/^\[|\]$/g, '')) !== 0;
  return isIp && Number(port) < 65_536 ? undefined : 'must be IP:PORT';
}

function checkUrl(value: string): string | undefined {
  return /^https?:\/\/[^/]+$/.test(value)
    ? undefined
    : 'must be an http or https URL without a path';
}

function checkName(value: string): string | undefined {
  return /^[A-Za-z0-9][A-Za-z0-9._-]*$/.test(value)
    ? undefined
    : 'must be letters, digits, dots, dashes and underscores, with a letter or digit first';
}

function checkFile(value: string): string | undefined {
  return value === '' || fs.existsSync(value)
    ? undefined
    : 'must be an existing file';
}

function checkWholeNumber(value: string): string | undefined {
  return /^\d+$/.test(value) ? undefined : 'must be a whole number';
}

function oneOf(...choices: readonly string[]) {
  return (value: string): string | undefined =>
    choices.includes(value) ? undefined : `must be ${choices.join(' or ')}`;
}

function checkOptionalAddress(value: string): string | undefined {
  return value === '' ? undefined : checkAddress(value);
}

const SETTINGS: readonly Setting[] = [
  {
    flag: 'host-id',
    help: 'name of this host, unique in the fleet',
    check: checkName,
  },
  {flag: 'region', help: 'region this host is in', check: checkName},
  {
    flag: 'zone',
    help: 'availability zone this host is in',
    check: checkName,
  },
  {
    flag: 'caller-listen',
    help: 'IP:PORT for callers',
    defaultValue: '127.0.0.1:8080',
    check: checkAddress,
  },
  {
    flag: 'caller-url',
    help: 'URL advertised to callers; default: from caller-listen',
    defaultValue: '',
    check: value => (value === '' ? undefined : checkUrl(value)),
  },
  {
    flag: 'operator-listen',
    help: 'IP:PORT for operators',
    defaultValue: '127.0.0.1:8081',
    check: checkAddress,
  },
  {
    flag: 'peer-listen',
    help: 'IP:PORT for other hosts',
    defaultValue: '127.0.0.1:8082',
    check: checkAddress,
  },
  {
    flag: 'peer-address',
    help: 'IP:PORT advertised to other hosts; default: peer-listen',
    defaultValue: '',
    check: checkOptionalAddress,
  },
  {
    flag: 'platform-url',
    help: "URL of the platform's table service, object store and host list",
    check: checkUrl,
  },
  {
    flag: 'fleet-secret',
    help: `secret shared by all hosts, ${MIN_SECRET_CHARS} characters or more; preferably set by environment variable`,
    check: value =>
      value.length >= MIN_SECRET_CHARS
        ? undefined
        : `must have ${MIN_SECRET_CHARS} characters or more`,
  },
  {
    flag: 'operator-key-sha256',
    help: "SHA-256 digest of the operators' key, in hex",
    check: value =>
      /^[0-9a-f]{64}$/.test(value) ? undefined : 'must be 64 hex digits',
  },
  {
    flag: 'address-keep-ms',
    help: 'how long callers may cache the list of host addresses, in milliseconds',
    defaultValue: '5000',
    check: checkWholeNumber,
  },
  {
    flag: 'statsd',
    help: 'IP:PORT of a StatsD server; empty for none',
    defaultValue: '',
    check: checkOptionalAddress,
  },
  {
    flag: 'log-format',
    help: 'json or pretty',
    defaultValue: 'json',
    check: oneOf('json', 'pretty'),
  },
  {
    flag: 'log-level',
    help: 'error, warn, info or debug',
    defaultValue: 'info',
    check: oneOf(...Object.keys(LOG_LEVELS)),
  },
  {
    flag: 'timeline-log',
    help: 'on writes every time line event to standard output',
    defaultValue: 'off',
    check: oneOf('on', 'off'),
  },
  {
    flag: 'tls-cert',
    help: 'PEM file with the certificate for callers and operators',
    defaultValue: '',
    check: checkFile,
  },
  {
    flag: 'tls-key',
    help: 'PEM file with the private key of tls-cert',
    defaultValue: '',
    check: checkFile,
  },
  {
    flag: 'peer-tls-ca',
    help: 'PEM file with the certificate authority for TLS between hosts',
    defaultValue: '',
    check: checkFile,
  },
  {
    flag: 'peer-tls-cert',
    help: 'PEM file with the certificate for other hosts',
    defaultValue: '',
    check: checkFile,
  },
  {
    flag: 'peer-tls-key',
    help: 'PEM file with the private key of peer-tls-cert',
    defaultValue: '',
    check: checkFile,
  },
];

/** Name of the environment variable for a flag. */
export function envName(flag: string): string {
  return ENV_PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

/** Formats the help text: every setting with its flag, variable and default. */
export function helpText(): string {
  const rows = SETTINGS.map(({flag, help, defaultValue}) => {
    const note = defaultValue ? ` (default ${defaultValue})` : '';
    return `  --${flag}  ${envName(flag)}\n      ${help}${note}`;
  });
  return `banyanhalld: the banyanhall daemon\n\nSettings, as flags or environment variables:\n${rows.join('\n')}\n`;
}

/** Parses settings from flags and environment variables; flags take precedence. Returns all mistakes, not just the first. */
export function parse(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): ParseResult {
  if (args.includes('--help')) return {kind: 'help', text: helpText()};
  const options = Object.fromEntries(
    SETTINGS.map(({flag}) => [flag, {type: 'string' as const}]),
  );
  let flags: Readonly<Record<string, string | boolean | undefined>>;
  try {
    flags = util.parseArgs({args: [...args], options}).values;
  } catch (error) {
    return {kind: 'mistakes', mistakes: [(error as Error).message]};
  }
  const values: Record<string, string> = {};
  const mistakes: string[] = [];
  for (const {flag, defaultValue, check} of SETTINGS) {
    const value = flags[flag] ?? env[envName(flag)] ?? defaultValue;
    if (value === undefined) {
      mistakes.push(`--${flag} (${envName(flag)}) is required`);
      continue;
    }
    const mistake = check(String(value));
    if (mistake) mistakes.push(`--${flag} (${envName(flag)}) ${mistake}`);
    values[flag] = String(value);
  }
  mistakes.push(...incompleteGroups(values));
  if (mistakes.length > 0) return {kind: 'mistakes', mistakes};
  return {kind: 'settings', settings: buildSettings(values)};
}

/** Returns a mistake for each group of flags of which only some are set. */
function incompleteGroups(
  values: Readonly<Record<string, string>>,
): readonly string[] {
  const groups = [
    ['tls-cert', 'tls-key'],
    ['peer-tls-ca', 'peer-tls-cert', 'peer-tls-key'],
  ];
  return groups.flatMap(group => {
    const given = group.filter(flag => values[flag]);
    const isComplete = given.length === 0 || given.length === group.length;
    return isComplete ? [] : [`${group.join(', ')} must be set together`];
  });
}

function buildSettings(values: Readonly<Record<string, string>>): Settings {
  const read = (flag: string) => fs.readFileSync(values[flag]);
  const hasTls = values['tls-cert'] !== '';
  const scheme = hasTls ? 'https' : 'http';
  return {
    hostId: values['host-id'],
    region: values.region,
    zone: values.zone,
    callerListen: values['caller-listen'],
    callerUrl: values['caller-url'] || `${scheme}://${values['caller-listen']}`,
    operatorListen: values['operator-listen'],
    peerListen: values['peer-listen'],
    peerAddress: values['peer-address'] || values['peer-listen'],
    platformUrl: values['platform-url'],
    fleetSecret: values['fleet-secret'],
    operatorKeySha256: values['operator-key-sha256'],
    addressKeepMs: Number(values['address-keep-ms']),
    statsd: values.statsd,
    logFormat: values['log-format'] as 'json' | 'pretty',
    logLevel: LOG_LEVELS[values['log-level']],
    timelineLog: values['timeline-log'] === 'on',
    callerTls: hasTls
      ? {cert: read('tls-cert'), key: read('tls-key')}
      : undefined,
    peerTls: values['peer-tls-ca']
      ? {
          ca: read('peer-tls-ca'),
          cert: read('peer-tls-cert'),
          key: read('peer-tls-key'),
        }
      : undefined,
  };
}
