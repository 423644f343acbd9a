import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

import * as decisions from '@banyanhall/decisions';
import * as operators from '@banyanhall/operators';
import * as clipanion from 'clipanion';

import * as base from './base.js';

const WAIT_TRIES = 40;
const WAIT_MS = 250;
const SEND_TRIES = 5;

/** A command that sends a change of the configuration. */
export abstract class ChangeCommand extends base.BaseCommand {
  wait = clipanion.Option.Boolean('--wait', false, {
    description: 'wait until the change is in force on every host',
  });

  ifNumber = clipanion.Option.String('--if-number', {
    description: 'only if this is still the number of the configuration',
  });

  /** Sends edits; a lost reply is settled by sending the same change id again. */
  protected async send(
    edits: readonly decisions.config.Edit[],
  ): Promise<number> {
    const client = this.client();
    const request: operators.api.ChangeRequest = {
      changeId: crypto.randomUUID(),
      author: this.author,
      expectedNumber: this.ifNumber ? Number(this.ifNumber) : undefined,
      edits,
    };
    let result = await client.change(request);
    for (let i = 0; i < SEND_TRIES && result.kind === 'unknown'; i++) {
      result = await client.change(request);
    }
    return this.told(result);
  }

  private async told(result: operators.api.ChangeResult): Promise<number> {
    switch (result.kind) {
      case 'committed':
        if (!this.wroteJson(result)) this.line(`change ${result.number}`);
        return this.wait ? this.waitFor(result.number) : base.EXIT.ok;
      case 'conflict':
        this.warn(`conflict: the configuration is at ${result.number}`);
        for (const change of result.since) {
          this.warn(`  ${describeChange(change)}`);
        }
        return base.EXIT.conflict;
      case 'invalid':
        for (const mistake of result.mistakes) this.warn(mistake);
        return base.EXIT.usage;
      case 'unavailable':
      case 'unknown':
        this.warn(`${result.kind}: ${result.message}`);
        return base.EXIT.failed;
    }
  }

  private async waitFor(number: number): Promise<number> {
    const told = new Set<string>();
    for (let i = 0; i < WAIT_TRIES; i++) {
      const hosts = await this.client().get<
        readonly operators.api.InForceStatus[]
      >(`/operator/in-force/${number}`);
      for (const {host, isInForce} of hosts) {
        if (!isInForce || told.has(host)) continue;
        told.add(host);
        if (!this.json) this.line(`${host}: in force`);
      }
      if (hosts.every(host => host.isInForce)) return base.EXIT.ok;
      await new Promise(resolve => setTimeout(resolve, WAIT_MS));
    }
    this.warn('not in force on every host yet');
    return base.EXIT.timeout;
  }
}

/** One line about a change. */
export function describeChange(change: decisions.config.Change): string {
  const edits = change.edits.map(edit => {
    const verb = edit.value ? 'set' : 'removed';
    return `${verb} ${edit.entry} ${edit.name}`;
  });
  const at = new Date(change.atMs).toISOString();
  return `${change.number}  ${at}  ${change.author}  ${edits.join(', ')}`;
}

/** Reads a file's edits, or writes every mistake with its line. */
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
    description: 'check a configuration file and put it in force',
    details:
      'Sets every profile, account and service in the file; what the file does not name stays. The whole file is one change.',
    examples: [['Apply and wait', 'banyanhall apply fleet.yaml --wait']],
  });

  file = clipanion.Option.String();

  async execute(): Promise<number> {
    const edits = readEdits(this.file, text => this.warn(text));
    if (!edits) return base.EXIT.usage;
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
    const config = await this.client().get<ConfigBody>('/operator/config');
    const entries = config.entries.filter(edit => edit.entry === this.path[0]);
    if (this.wroteJson(entries.map(edit => edit.value))) return base.EXIT.ok;
    for (const edit of entries) this.line(edit.name);
    return base.EXIT.ok;
  }
}

interface ConfigBody {
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
    const config = await this.client().get<ConfigBody>('/operator/config');
    const found = config.entries.find(
      edit => edit.entry === this.path[0] && edit.name === this.name,
    );
    if (!found) {
      this.warn(`no ${this.path[0]} named "${this.name}"`);
      return base.EXIT.failed;
    }
    this.line(JSON.stringify(found.value, null, 2));
    return base.EXIT.ok;
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
    if (!edits) return base.EXIT.usage;
    const [kind] = this.path;
    if (edits.every(edit => edit.entry === kind)) return this.send(edits);
    this.warn(`the file holds entries that are no ${kind}`);
    return base.EXIT.usage;
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
    const changes = await this.client().get<readonly decisions.config.Change[]>(
      `/operator/config/history?limit=${this.limit}`,
    );
    if (this.wroteJson(changes)) return base.EXIT.ok;
    for (const change of changes) this.line(describeChange(change));
    return base.EXIT.ok;
  }
}

/** `banyanhall config show NUMBER`. */
export class ShowCommand extends base.BaseCommand {
  static override paths = [['config', 'show']];
  static override usage = clipanion.Command.Usage({
    description: 'show one change with its values',
  });

  number = clipanion.Option.String();

  async execute(): Promise<number> {
    const path = `/operator/config/${this.number}`;
    const change = await this.client().get<decisions.config.Change>(path);
    this.line(JSON.stringify(change, null, 2));
    return base.EXIT.ok;
  }
}

/** The configuration after the changes up to a number. */
function folded(
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

function allChanges(
  command: base.BaseCommand,
): Promise<readonly decisions.config.Change[]> {
  return command
    .client()
    .get<readonly decisions.config.Change[]>(
      '/operator/config/history?limit=1000000',
    );
}

/** The edits that lead from one configuration to another. */
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
    description: 'show what differs between two configurations',
  });

  from = clipanion.Option.String();
  to = clipanion.Option.String();

  async execute(): Promise<number> {
    const changes = await allChanges(this);
    const edits = editsBetween(
      folded(changes, Number(this.from)),
      folded(changes, Number(this.to)),
    );
    if (this.wroteJson(edits)) return base.EXIT.ok;
    for (const {entry, name, value} of edits) {
      const text = value ? JSON.stringify(value) : 'removed';
      this.line(`${entry} ${name}: ${text}`);
    }
    return base.EXIT.ok;
  }
}

/** `banyanhall config rollback NUMBER`. */
export class RollbackCommand extends ChangeCommand {
  static override paths = [['config', 'rollback']];
  static override usage = clipanion.Command.Usage({
    description:
      'make a new change that restores the configuration of a number',
  });

  number = clipanion.Option.String();

  async execute(): Promise<number> {
    const changes = await allChanges(this);
    const now = folded(changes, Infinity);
    const edits = editsBetween(now, folded(changes, Number(this.number)));
    this.ifNumber ??= String(now.number);
    return this.send(edits);
  }
}
