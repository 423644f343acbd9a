import * as clipanion from 'clipanion';

import * as client from './client.js';

/** Exit codes of the tool. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  undone: 4,
  timeout: 5,
} as const;

/** What every command has: where the hosts are, the operators' key, and the form of its output. */
export abstract class BaseCommand extends clipanion.Command {
  operatorUrl = clipanion.Option.String('--operator-url', {
    env: 'BANYANHALL_OPERATOR_URL',
    description: "URLs of hosts' operator sides, separated by commas",
  });

  operatorKey = clipanion.Option.String('--operator-key', {
    env: 'BANYANHALL_OPERATOR_KEY',
    description: "the operators' key; better set by its variable",
  });

  json = clipanion.Option.Boolean('--json', false, {
    description: 'write JSON',
  });

  /** A client for the hosts that were named. Throws a usage error without them. */
  client(): client.OperatorClient {
    if (!this.operatorUrl || !this.operatorKey) {
      throw new clipanion.UsageError(
        'set --operator-url and --operator-key, or BANYANHALL_OPERATOR_URL and BANYANHALL_OPERATOR_KEY',
      );
    }
    const urls = this.operatorUrl.split(',').filter(url => url !== '');
    return new client.OperatorClient(urls, this.operatorKey);
  }

  /** Writes a line. */
  protected line(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  /** Writes a line on standard error. */
  protected warn(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /** Writes a value as JSON when that was asked for; says whether it did. */
  protected wroteJson(value: unknown): boolean {
    if (this.json) this.line(JSON.stringify(value, null, 2));
    return this.json;
  }

  /** The name of whoever runs the tool, for the record. */
  protected get author(): string {
    return process.env.USER ?? process.env.LOGNAME ?? 'operator';
  }
}
