import * as decisions from '@banyanhall/decisions';
import * as yaml from 'yaml';
import * as zod from 'zod';

const MAX_DEADLINE_MS = 3_600_000;
const DEFAULT_WEIGHT = 1;
const DEFAULT_IN_FLIGHT = 64;
const DEFAULT_SLOT_TOKENS = 16_384;
const DEFAULT_MAX_RUNNING = 8;
const SHA256_HEX = /^[0-9a-f]{64}$/;
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const name = zod
  .string()
  .regex(NAME, 'has to be 1 to 63 letters, digits, dots, dashes');
const positive = zod.number().int().positive();

const profile = zod.strictObject({
  name,
  tier: zod.union([zod.literal(1), zod.literal(2), zod.literal(3)]),
  deadlineMs: positive.max(MAX_DEADLINE_MS),
  idempotent: zod.boolean(),
  versions: zod.array(name).default([]),
});

const account = zod.strictObject({
  name,
  keySha256: zod
    .string()
    .regex(SHA256_HEX, 'has to be the SHA-256 digest of the key in hex'),
  profiles: zod.array(name).min(1),
  maxInFlight: positive.default(DEFAULT_IN_FLIGHT),
  weight: zod.number().positive().default(DEFAULT_WEIGHT),
});

const backendServer = zod.strictObject({
  name,
  url: zod.url({protocol: /^https?$/}),
  region: name,
  zone: name,
  slotTokens: positive.default(DEFAULT_SLOT_TOKENS),
  maxRunning: positive.default(DEFAULT_MAX_RUNNING),
});

const service = zod.strictObject({
  name,
  kind: zod.enum(['model', 'plain']),
  version: name,
  fencing: zod.enum(['checked', 'ignored']),
  backendServers: zod.array(backendServer),
});

/** Checks for one entry of each kind. */
export const ENTRY_SCHEMAS = {profile, account, service} as const;

const file = zod.strictObject({
  profiles: zod.array(profile).default([]),
  accounts: zod.array(account).default([]),
  services: zod.array(service).default([]),
});

/** Something wrong in a file; `line` counts from 1. */
export interface ValidationError {
  readonly line: number;
  readonly message: string;
}

/** The edits that a file asks for, or everything that is wrong with it. */
export type ParsedConfigFile =
  | {readonly kind: 'edits'; readonly edits: readonly decisions.config.Edit[]}
  | {readonly kind: 'mistakes'; readonly mistakes: readonly ValidationError[]};

/** Reads a configuration file (YAML or JSON) and checks every field of it. */
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
  const checked = file.safeParse(document.toJS() ?? {});
  if (!checked.success) {
    const mistakes = checked.error.issues.map(issue => ({
      line: lineOf(document, lines, issue),
      message: describe(issue),
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

/** Checks edits that came over the network; returns what is wrong, empty when all is well. */
export function validateEdits(
  edits: readonly decisions.config.Edit[],
): readonly string[] {
  return edits.flatMap(edit => {
    const schema = ENTRY_SCHEMAS[edit.entry];
    if (!schema) return [`no kind of entry is named "${edit.entry}"`];
    if (!edit.value) return [];
    if (edit.value.name !== edit.name) return [`${edit.name}: names differ`];
    const checked = schema.safeParse(edit.value);
    if (checked.success) return [];
    return checked.error.issues.map(i => `${edit.name}: ${describe(i)}`);
  });
}

type Issue = zod.core.$ZodIssue;

function describe(issue: Issue): string {
  const place = issue.path.map(String).join('.');
  return place === '' ? issue.message : `${place}: ${issue.message}`;
}

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

/** The place of a key in its map, or of an item in its list. */
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
