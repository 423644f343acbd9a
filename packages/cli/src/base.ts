/** The options and output helpers that all commands share. */
import * as clipanion from 'clipanion';

import * as client from './client.js';

/**
 * Exit codes. `conflict` means that a configuration change or an operation on a
 * version move was refused, `rolledBack` that a version move was rolled back,
 * and `timeout` that a wait expired.
 */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  rolledBack: 4,
  timeout: 5,
} as const;

/** Base class of the commands that call the operator API: host URLs, operator key and output format. */
export abstract class BaseCommand extends clipanion.Command {
  operatorUrl = clipanion.Option.String('--operator-url', {
    env: 'BANYANHALL_OPERATOR_URL',
    description: 'operator API URLs of the hosts, separated by commas',
  });

  operatorKey = clipanion.Option.String('--operator-key', {
    env: 'BANYANHALL_OPERATOR_KEY',
    description:
      'operator key; prefer the environment variable, since other users can see command lines',
  });

  json = clipanion.Option.Boolean('--json', false, {
    description: 'print JSON',
  });

  /** Creates a client for the given hosts. Throws UsageError if the URLs or the key are not set. */
  createClient(): client.OperatorClient {
    if (!this.operatorUrl || !this.operatorKey) {
      throw new clipanion.UsageError(
        'set --operator-url and --operator-key, or BANYANHALL_OPERATOR_URL and BANYANHALL_OPERATOR_KEY',
      );
    }
    const urls = this.operatorUrl.split(',').filter(url => url !== '');
    return new client.OperatorClient(urls, this.operatorKey);
  }

  /** Prints a line on standard output. */
  protected printLine(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints a line on standard error. */
  protected warn(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /** Prints a value as JSON if `--json` is set; returns whether it is set. */
  protected maybePrintJson(value: unknown): boolean {
    if (this.json) this.printLine(JSON.stringify(value, null, 2));
    return this.json;
  }

  /** The user name recorded as the author of changes and version moves. */
  protected get author(): string {
    return process.env.USER ?? process.env.LOGNAME ?? 'operator';
  }
}
