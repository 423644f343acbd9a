/**
 * Parses and validates operator input: configuration files (YAML or JSON),
 * and edits that arrive over the operator API.
 */
import * as decisions from '@banyanhall/decisions';
import * as yaml from 'yaml';
import * as zod from 'zod';

const MAX_DEADLINE_MS = 3_600_000;
const DEFAULT_WEIGHT = 1;
const DEFAULT_MAX_IN_FLIGHT = 64;
const DEFAULT_SLOT_TOKENS = 16_384;
const DEFAULT_MAX_RUNNING = 8;
const SHA256_HEX_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const name = zod
  .string()
  .regex(
    NAME_PATTERN,
    'must start with a letter or digit and have at most 63 letters, digits, dots, underscores and dashes',
  );
const positiveInteger = zod.number().int().positive();

const profile = zod.strictObject({
  name,
  tier: zod.union([zod.literal(1), zod.literal(2), zod.literal(3)]),
  deadlineMs: positiveInteger.max(MAX_DEADLINE_MS),
  idempotent: zod.boolean(),
  versions: zod.array(name).default([]),
});

const account = zod.strictObject({
  name,
  keySha256: zod
    .string()
    .regex(
      SHA256_HEX_PATTERN,
      'must be a SHA-256 digest: 64 lowercase hex digits',
    ),
  profiles: zod.array(name).min(1),
  maxInFlight: positiveInteger.default(DEFAULT_MAX_IN_FLIGHT),
  weight: zod.number().positive().default(DEFAULT_WEIGHT),
});

const backendServer = zod.strictObject({
  name,
  url: zod.url({protocol: /^https?$/}),
  region: name,
  zone: name,
  slotTokens: positiveInteger.default(DEFAULT_SLOT_TOKENS),
  maxRunning: positiveInteger.default(DEFAULT_MAX_RUNNING),
});

const service = zod.strictObject({
  name,
  kind: zod.enum(['model', 'plain']),
  version: name,
  fencing: zod.enum(['checked', 'ignored']),
  backendServers: zod.array(backendServer),
});

/** The schema of each kind of configuration entry. */
export const ENTRY_SCHEMAS = {profile, account, service} as const;

/** The schema of a whole file; missing sections are empty. */
const configFile = zod.strictObject({
  profiles: zod.array(profile).default([]),
  accounts: zod.array(account).default([]),
  services: zod.array(service).default([]),
});

/** An error in a configuration file; `line` is 1-based. */
export interface ValidationError {
  readonly line: number;
  readonly message: string;
}

/** The result of parsing a file: its edits, or all of its errors. */
export type ParsedConfigFile =
  | {readonly kind: 'edits'; readonly edits: readonly decisions.config.Edit[]}
  | {readonly kind: 'mistakes'; readonly mistakes: readonly ValidationError[]};

/**
 * Parses the text of a configuration file (YAML or JSON) into one edit per
 * entry. Unknown fields are errors.
 */
export function parseConfigFile(text: string): ParsedConfigFile {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    const mistakes = document.errors.map(error => ({
      line: error.linePos?.[0].line ?? 1,
      message: error.message.split('\n')[0],
    }));
    return {kind: 'mistakes', mistakes};
  }
  const checked = configFile.safeParse(document.toJS() ?? {});
  if (!checked.success) {
    const mistakes = checked.error.issues.map(issue => ({
      line: lineOf(document, lines, issue),
      message: describeIssue(issue),
    }));
    return {kind: 'mistakes', mistakes};
  }
  const {profiles, accounts, services} = checked.data;
  const edits: readonly decisions.config.Edit[] = [
    ...profiles.map(value => ({
      entry: 'profile' as const,
      name: value.name,
      value,
    })),
    ...accounts.map(value => ({
      entry: 'account' as const,
      name: value.name,
      value,
    })),
    ...services.map(value => ({
      entry: 'service' as const,
      name: value.name,
      value,
    })),
  ];
  return {kind: 'edits', edits};
}

/**
 * Validates edits received over the network. Returns one message per error,
 * or an empty array if all edits are valid. Edits without a value remove an
 * entry and need no validation.
 */
export function validateEdits(
  edits: readonly decisions.config.Edit[],
): readonly string[] {
  return edits.flatMap(edit => {
    const schema = ENTRY_SCHEMAS[edit.entry];
    if (!schema)
      return [
        `unknown entry kind "${edit.entry}": expected profile, account or service`,
      ];
    if (!edit.value) return [];
    if (edit.value.name !== edit.name)
      return [
        `${edit.name}: the name of the edit and the name in its value differ`,
      ];
    const checked = schema.safeParse(edit.value);
    if (checked.success) return [];
    return checked.error.issues.map(i => `${edit.name}: ${describeIssue(i)}`);
  });
}

type Issue = zod.core.$ZodIssue;

/** Formats an issue as `path: message`. */
function describeIssue(issue: Issue): string {
  const path = issue.path.map(String).join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
}

/**
 * The line an issue refers to. Falls back to the closest ancestor that is in
 * the document, since a missing field has no position of its own.
 */
function lineOf(
  document: yaml.Document.Parsed,
  lines: yaml.LineCounter,
  issue: Issue,
): number {
  const unknown = issue.code === 'unrecognized_keys' ? issue.keys : [];
  const path = [...issue.path, ...unknown.slice(0, 1)] as unknown[];
  for (let length = path.length; length >= 0; length--) {
    const offset = offsetOf(document, path.slice(0, length));
    if (offset !== undefined) return lines.linePos(offset).line;
  }
  return 1;
}

/** The offset of a map key or list item in the text; undefined if the path is not in the document. */
function offsetOf(
  document: yaml.Document.Parsed,
  path: readonly unknown[],
): number | undefined {
  const last = path[path.length - 1];
  const parent: unknown =
    path.length === 0 ? undefined : document.getIn(path.slice(0, -1), true);
  if (yaml.isMap(parent)) {
    const pair = parent.items.find(
      item => yaml.isScalar(item.key) && item.key.value === last,
    );
    const key = pair?.key;
    return yaml.isNode(key) ? key.range?.[0] : undefined;
  }
  const node: unknown = document.getIn(path, true);
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}
