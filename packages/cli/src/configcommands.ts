/** Commands that read or change the configuration. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

import * as decisions from '@banyanhall/decisions';
import * as operators from '@banyanhall/operators';
import * as clipanion from 'clipanion';

import * as base from './base.js';

const MAX_WAIT_POLLS = 40;
const WAIT_POLL_INTERVAL_MS = 250;
const MAX_RESENDS = 5;

/** Base class of the commands that change the configuration. */
export abstract class ChangeCommand extends base.BaseCommand {
  wait = clipanion.Option.Boolean('--wait', false, {
    description: 'wait until the change is in force on every host',
  });

  ifNumber = clipanion.Option.String('--if-number', {
    description: 'reject the change unless the configuration is at this number',
  });

  /** Sends edits as one change. If the outcome is unknown, resends it with the same change id. */
  protected async send(
    edits: readonly decisions.config.Edit[],
  ): Promise<number> {
    const client = this.createClient();
    const request: operators.api.ChangeRequest = {
      changeId: crypto.randomUUID(),
      author: this.author,
      expectedNumber: this.ifNumber ? Number(this.ifNumber) : undefined,
      edits,
    };
    let result = await client.postChange(request);
    for (let i = 0; i < MAX_RESENDS && result.kind === 'unknown'; i++) {
      result = await client.postChange(request);
    }
    return this.reportResult(result);
  }

  /** Prints the outcome of a change and returns the exit code. */
  private async reportResult(
    result: operators.api.ChangeResult,
  ): Promise<number> {
    switch (result.kind) {
      case 'committed':
        if (!this.maybePrintJson(result))
          this.printLine(`change ${result.number}`);
        return this.wait
          ? this.waitUntilInForce(result.number)
          : base.EXIT_CODES.ok;
      case 'conflict':
        this.warn(
          `conflict: the configuration is at ${result.number}; changes since:`,
        );
        for (const change of result.since) {
          this.warn(`  ${describeChange(change)}`);
        }
        return base.EXIT_CODES.conflict;
      case 'invalid':
        for (const mistake of result.mistakes) this.warn(mistake);
        return base.EXIT_CODES.usage;
      case 'unavailable':
      case 'unknown':
        this.warn(`${result.kind}: ${result.message}`);
        return base.EXIT_CODES.failed;
    }
  }

  /** Polls until every host has applied the change; returns the exit code. */
  private async waitUntilInForce(number: number): Promise<number> {
    const reportedHosts = new Set<string>();
    for (let i = 0; i < MAX_WAIT_POLLS; i++) {
      const hosts = await this.createClient().get<
        readonly operators.api.InForceStatus[]
      >(`/operator/in-force/${number}`);
      for (const {host, isInForce} of hosts) {
        if (!isInForce || reportedHosts.has(host)) continue;
        reportedHosts.add(host);
        if (!this.json) this.printLine(`${host}: in force`);
      }
      if (hosts.every(host => host.isInForce)) return base.EXIT_CODES.ok;
      await new Promise(resolve => setTimeout(resolve, WAIT_POLL_INTERVAL_MS));
    }
    this.warn('timed out: the change is not in force on every host');
    return base.EXIT_CODES.timeout;
  }
}

/** Formats a change as one line. */
export function describeChange(change: decisions.config.Change): string {
  const edits = change.edits.map(edit => {
    const verb = edit.value ? 'set' : 'removed';
    return `${verb} ${edit.entry} ${edit.name}`;
  });
  const time = new Date(change.atMs).toISOString();
  return `${change.number}  ${time}  ${change.author}  ${edits.join(', ')}`;
}

/** Reads the edits from a configuration file. Reports errors through `warn` and returns undefined if there are any. */
function readEdits(
  path: string,
  warn: (text: string) => void,
): readonly decisions.config.Edit[] | undefined {
  let text: string;
  try {
    text = fs.readFileSync(path, 'utf8');
  } catch (error) {
    warn((error as Error).message);
    return undefined;
  }
  const parsed = operators.configfile.parseConfigFile(text);
  if (parsed.kind === 'edits') return parsed.edits;
  for (const {line, message} of parsed.mistakes) {
    warn(`${path}:${line}: ${message}`);
  }
  return undefined;
}

/** `banyanhall apply FILE`. */
export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']];
  static override usage = clipanion.Command.Usage({
    description: 'validate and apply a configuration file',
    details:
      'Sets every profile, account and service in the file in a single change. Entries that are not in the file stay as they are.',
    examples: [['Apply and wait', 'banyanhall apply fleet.yaml --wait']],
  });

  file = clipanion.Option.String();

  async execute(): Promise<number> {
    const edits = readEdits(this.file, text => this.warn(text));
    if (!edits) return base.EXIT_CODES.usage;
    return this.send(edits);
  }
}

const KINDS: readonly string[] = decisions.config.ENTRY_KINDS;

/** `banyanhall profile|account|service list`. */
export class ListCommand extends base.BaseCommand {
  static override paths = KINDS.map(kind => [kind, 'list']);
  static override usage = clipanion.Command.Usage({
    description: 'list the entries of a kind',
  });

  async execute(): Promise<number> {
    const config =
      await this.createClient().get<ConfigResponse>('/operator/config');
    const entries = config.entries.filter(edit => edit.entry === this.path[0]);
    if (this.maybePrintJson(entries.map(edit => edit.value)))
      return base.EXIT_CODES.ok;
    for (const edit of entries) this.printLine(edit.name);
    return base.EXIT_CODES.ok;
  }
}

/** Response body of `GET /operator/config`; `entries` holds one edit per entry, which sets it. */
interface ConfigResponse {
  readonly number: number;
  readonly entries: readonly decisions.config.Edit[];
}

/** `banyanhall profile|account|service get NAME`. */
export class GetCommand extends base.BaseCommand {
  static override paths = KINDS.map(kind => [kind, 'get']);
  static override usage = clipanion.Command.Usage({
    description: 'show one entry as JSON',
  });

  name = clipanion.Option.String();

  async execute(): Promise<number> {
    const config =
      await this.createClient().get<ConfigResponse>('/operator/config');
    const found = config.entries.find(
      edit => edit.entry === this.path[0] && edit.name === this.name,
    );
    if (!found) {
      this.warn(`${this.path[0]} "${this.name}" does not exist`);
      return base.EXIT_CODES.failed;
    }
    this.printLine(JSON.stringify(found.value, null, 2));
    return base.EXIT_CODES.ok;
  }
}

/** `banyanhall profile|account|service set FILE`. */
export class SetCommand extends ChangeCommand {
  static override paths = KINDS.map(kind => [kind, 'set']);
  static override usage = clipanion.Command.Usage({
    description: 'set the entries of one kind from a configuration file',
  });

  file = clipanion.Option.String();

  async execute(): Promise<number> {
    const edits = readEdits(this.file, text => this.warn(text));
    if (!edits) return base.EXIT_CODES.usage;
    const [kind] = this.path;
    if (edits.every(edit => edit.entry === kind)) return this.send(edits);
    this.warn(
      `expected only ${kind} entries, but the file has entries of other kinds`,
    );
    return base.EXIT_CODES.usage;
  }
}

/** `banyanhall config history`. */
export class HistoryCommand extends base.BaseCommand {
  static override paths = [['config', 'history']];
  static override usage = clipanion.Command.Usage({
    description: 'list the latest changes',
  });

  limit = clipanion.Option.String('--limit', '20');

  async execute(): Promise<number> {
    const changes = await this.createClient().get<
      readonly decisions.config.Change[]
    >(`/operator/config/history?limit=${this.limit}`);
    if (this.maybePrintJson(changes)) return base.EXIT_CODES.ok;
    for (const change of changes) this.printLine(describeChange(change));
    return base.EXIT_CODES.ok;
  }
}

/** `banyanhall config show NUMBER`. */
export class ShowCommand extends base.BaseCommand {
  static override paths = [['config', 'show']];
  static override usage = clipanion.Command.Usage({
    description: 'show one change with its edits',
  });

  number = clipanion.Option.String();

  async execute(): Promise<number> {
    const path = `/operator/config/${this.number}`;
    const change = await this.createClient().get<decisions.config.Change>(path);
    this.printLine(JSON.stringify(change, null, 2));
    return base.EXIT_CODES.ok;
  }
}

/** Rebuilds the configuration at `number` from all changes. */
function configAt(
  changes: readonly decisions.config.Change[],
  number: number,
): decisions.config.Config {
  return changes
    .filter(change => change.number <= number)
    .reduce(
      (config, change) => config.apply(change),
      decisions.config.Config.empty,
    );
}

/** Fetches the history of the configuration, oldest change first. */
function fetchAllChanges(
  command: base.BaseCommand,
): Promise<readonly decisions.config.Change[]> {
  return command
    .createClient()
    .get<readonly decisions.config.Change[]>(
      '/operator/config/history?limit=1000000',
    );
}

/** The edits that turn `from` into `to`. */
function editsBetween(
  from: decisions.config.Config,
  to: decisions.config.Config,
): readonly decisions.config.Edit[] {
  const key = (edit: decisions.config.Edit) => `${edit.entry}/${edit.name}`;
  const before = new Map(from.toEdits().map(edit => [key(edit), edit]));
  const after = new Map(to.toEdits().map(edit => [key(edit), edit]));
  const changed = [...after.values()].filter(
    edit => JSON.stringify(edit) !== JSON.stringify(before.get(key(edit))),
  );
  const removed = [...before.values()]
    .filter(edit => !after.has(key(edit)))
    .map(({entry, name}) => ({entry, name}));
  return [...changed, ...removed];
}

/** `banyanhall config diff FROM TO`. */
export class DiffCommand extends base.BaseCommand {
  static override paths = [['config', 'diff']];
  static override usage = clipanion.Command.Usage({
    description: 'show the edits between two configuration numbers',
  });

  from = clipanion.Option.String();
  to = clipanion.Option.String();

  async execute(): Promise<number> {
    const changes = await fetchAllChanges(this);
    const edits = editsBetween(
      configAt(changes, Number(this.from)),
      configAt(changes, Number(this.to)),
    );
    if (this.maybePrintJson(edits)) return base.EXIT_CODES.ok;
    for (const {entry, name, value} of edits) {
      const text = value ? JSON.stringify(value) : 'removed';
      this.printLine(`${entry} ${name}: ${text}`);
    }
    return base.EXIT_CODES.ok;
  }
}

/** `banyanhall config rollback NUMBER`. */
export class RollbackCommand extends ChangeCommand {
  static override paths = [['config', 'rollback']];
  static override usage = clipanion.Command.Usage({
    description: 'restore the configuration of a given number as a new change',
  });

  number = clipanion.Option.String();

  async execute(): Promise<number> {
    const changes = await fetchAllChanges(this);
    const current = configAt(changes, Infinity);
    const edits = editsBetween(current, configAt(changes, Number(this.number)));
    this.ifNumber ??= String(current.number);
    return this.send(edits);
  }
}
