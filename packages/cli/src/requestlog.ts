/** The `story` command: reconstructs the course of one request from the logs of several hosts. */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

import * as clipanion from 'clipanion';

/** A JSON log line of a host. `time` is wall-clock time in milliseconds. */
export interface LogLine {
  readonly time: number;
  readonly host: string;
  readonly event: string;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

/** Fields that are printed separately or carry no information within one request. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'host',
  'event',
  'requestId',
]);

/** Parses the log line in a text, ignoring any prefix such as a timestamp; undefined if there is none. */
export function parseLogLine(text: string): LogLine | undefined {
  const jsonStart = text.indexOf('{"level"');
  if (jsonStart < 0) return undefined;
  try {
    return JSON.parse(text.slice(jsonStart)) as LogLine;
  } catch {
    // A truncated line.
    return undefined;
  }
}

/** True if a line is about the request, or about a crash that the request is refused for. */
function isAbout(
  line: LogLine,
  requestId: string,
  refusals: readonly string[],
): boolean {
  if (line.requestId === requestId) return true;
  const {crashId} = line;
  if (typeof crashId !== 'string') return false;
  return refusals.some(detail => detail.split(' ').includes(crashId));
}

/**
 * Formats the log lines of one request in order of time, with the time since
 * the first of them. Those of the crashes that it was refused for are included.
 */
export function formatRequestLog(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const refusals = lines
    .filter(line => line.requestId === requestId && line.event === 'refused')
    .map(line => String(line.detail));
  const own = lines
    .filter(line => isAbout(line, requestId, refusals))
    .sort((a, b) => a.time - b.time);
  const startMs = own[0]?.time ?? 0;
  return own.map(line => {
    const fields = Object.entries(line)
      .filter(([name]) => !OMITTED_FIELDS.has(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    const afterMs = String(line.time - startMs).padStart(6);
    return `${afterMs} ms  ${line.host}  ${line.event}  ${fields.join(' ')}`;
  });
}

/** `banyanhall story REQUEST_ID [FILE...]`. */
export class StoryCommand extends clipanion.Command {
  static override paths = [['story']];
  static override usage = clipanion.Command.Usage({
    description: 'print the log lines of one request, in order of time',
    details:
      'Reads JSON log lines from the given files, or from standard input if there are none.',
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
        const isNeeded =
          text.includes(this.requestId) || text.includes('"crashId"');
        const line = isNeeded ? parseLogLine(text) : undefined;
        if (line) lines.push(line);
      }
    }
    const outputLines = formatRequestLog(lines, this.requestId);
    for (const text of outputLines) this.context.stdout.write(`${text}\n`);
    return outputLines.length > 0 ? 0 : 1;
  }
}
