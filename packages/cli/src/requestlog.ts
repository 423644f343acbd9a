import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

import * as clipanion from 'clipanion';

/** One line of a host's log; fields carry their unit as a suffix. */
export interface LogLine {
  readonly time: number;
  readonly host: string;
  readonly event: string;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

/** Fields that stand in front of a line or are the same in all. */
const COMMON: ReadonlySet<string> = new Set([
  'level',
  'time',
  'host',
  'event',
  'requestId',
]);

/** The line that a text holds, whatever stands in front of it; undefined when it holds none. */
export function lineOf(text: string): LogLine | undefined {
  const at = text.indexOf('{"level"');
  if (at < 0) return undefined;
  try {
    return JSON.parse(text.slice(at)) as LogLine;
  } catch {
    // A line that was cut tells nothing.
    return undefined;
  }
}

/** The lines about one request over all hosts, in order of time, as text. */
export function story(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const own = lines
    .filter(line => line.requestId === requestId)
    .sort((a, b) => a.time - b.time);
  const startMs = own[0]?.time ?? 0;
  return own.map(line => {
    const fields = Object.entries(line)
      .filter(([name]) => !COMMON.has(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    const afterMs = String(line.time - startMs).padStart(6);
    return `${afterMs} ms  ${line.host}  ${line.event}  ${fields.join(' ')}`;
  });
}

/** Prints what happened to one request, from the logs of all hosts. */
export class StoryCommand extends clipanion.Command {
  static override paths = [['story']];
  static override usage = clipanion.Command.Usage({
    description: 'print what happened to one request',
    details:
      'Reads JSON log lines from files, or from standard input without any.',
    examples: [['From a folder of logs', '$0 story 9c41d07be2a35f68 logs/*']],
  });

  requestId = clipanion.Option.String();
  files = clipanion.Option.Rest();

  override async execute(): Promise<number> {
    const inputs: readonly stream.Readable[] =
      this.files.length > 0
        ? this.files.map(file => fs.createReadStream(file))
        : [this.context.stdin as stream.Readable];
    const lines: LogLine[] = [];
    for (const input of inputs) {
      for await (const text of readline.createInterface({input})) {
        const line = text.includes(this.requestId) ? lineOf(text) : undefined;
        if (line) lines.push(line);
      }
    }
    const told = story(lines, this.requestId);
    for (const text of told) this.context.stdout.write(`${text}\n`);
    return told.length > 0 ? 0 : 1;
  }
}
