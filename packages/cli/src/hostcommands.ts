/** Commands that show the running hosts and control version moves. */
import * as fs from 'node:fs';

import * as decisions from '@banyanhall/decisions';
import * as operators from '@banyanhall/operators';
import * as clipanion from 'clipanion';

import * as base from './base.js';
import * as trace from './trace.js';

/** `banyanhall status`. */
export class StatusCommand extends base.BaseCommand {
  static override paths = [['status']];
  static override usage = clipanion.Command.Usage({
    description: 'show hosts, cells and runners as seen by one host',
  });

  async execute(): Promise<number> {
    const status =
      await this.createClient().get<operators.api.Status>('/operator/status');
    if (this.maybePrintJson(status)) return base.EXIT_CODES.ok;
    this.printLine(
      `${status.host}: ${status.isReady ? 'ready' : 'not ready'}, configuration ${status.configNumber}`,
    );
    for (const {host, region, zone, state} of status.hosts) {
      this.printLine(`  host ${host}  ${region}/${zone}  ${state}`);
    }
    for (const cell of status.cells) {
      this.printLine(
        `  cell ${cell.cell}  waiting ${cell.waiting}  running ${cell.running}`,
      );
      for (const {name, state, running, decodeTokensPerS} of cell.runners) {
        this.printLine(
          `    ${name}  ${state}  running ${running}  ${decodeTokensPerS} tokens/s`,
        );
      }
    }
    return base.EXIT_CODES.ok;
  }
}

/** `banyanhall timeline`. */
export class TimelineCommand extends base.BaseCommand {
  static override paths = [['timeline']];
  static override usage = clipanion.Command.Usage({
    description: 'show the merged events of all hosts',
    details:
      'Only hosts listed in --operator-url are included. With --trace FILE, the events are written in the Chrome trace-event format.',
  });

  trace = clipanion.Option.String('--trace', {
    description: 'write a trace file instead of printing',
  });

  request = clipanion.Option.String('--request', {
    description: 'only the events of this request',
  });

  async execute(): Promise<number> {
    const all = await this.createClient().mergedTimeline();
    const events = all.filter(
      event => !this.request || event.requestId === this.request,
    );
    if (this.trace) {
      fs.writeFileSync(this.trace, JSON.stringify(trace.toTrace(events)));
      return base.EXIT_CODES.ok;
    }
    if (this.maybePrintJson(events)) return base.EXIT_CODES.ok;
    for (const {atMs, host, kind, requestId, detail} of events) {
      const time = new Date(atMs).toISOString();
      this.printLine(
        `${time}  ${host}  ${kind}  ${requestId}  ${JSON.stringify(detail)}`,
      );
    }
    return base.EXIT_CODES.ok;
  }
}

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

/** Parses a duration from now, such as `90s`, `10m` or `2h`, or an ISO date, to wall-clock milliseconds; undefined if it is neither. */
export function parseTime(text: string, nowMs: number): number | undefined {
  const [, count, unit] = /^(\d+)([smh])$/.exec(text) ?? [];
  if (count) return nowMs + Number(count) * MS_PER_UNIT[unit];
  const atMs = Date.parse(text);
  return Number.isNaN(atMs) ? undefined : atMs;
}

type Move = decisions.move.Move;

/** Formats a version move as one line. */
function describeMove(move: Move): string {
  const by = new Date(move.deadlineAtMs).toISOString();
  const share = `${Math.round(decisions.move.candidateShare(move) * 100)}%`;
  const phase = decisions.move.effectivePhase(move, Date.now());
  return `${move.id}  ${move.service}  ${move.from} -> ${move.to}  ${phase}  ${share}  by ${by}  ${move.reason}`;
}

/** `banyanhall move start SERVICE --to VERSION --by TIME`. */
export class MoveStartCommand extends base.BaseCommand {
  static override paths = [['move', 'start']];
  static override usage = clipanion.Command.Usage({
    description: 'start a version move of a service',
    examples: [
      [
        'Within 20 minutes',
        'banyanhall move start tray-scribe --to v2 --by 20m',
      ],
    ],
  });

  service = clipanion.Option.String();
  to = clipanion.Option.String('--to', {required: true});
  by = clipanion.Option.String('--by', {required: true});

  async execute(): Promise<number> {
    const deadlineAtMs = parseTime(this.by, Date.now());
    if (!deadlineAtMs) {
      this.warn('--by must be a duration such as 20m or an ISO date');
      return base.EXIT_CODES.usage;
    }
    const {service, to, author} = this;
    const body = {service, to, author, deadlineAtMs};
    const result = await this.createClient().postMove('/operator/moves', body);
    return this.reportResult(result);
  }

  /** Prints the outcome of the request and returns the exit code. */
  private reportResult(result: operators.api.MoveResult): number {
    if (this.maybePrintJson(result)) {
      return result.kind === 'accepted'
        ? base.EXIT_CODES.ok
        : base.EXIT_CODES.conflict;
    }
    if (result.kind === 'accepted') {
      this.printLine(describeMove(result.move));
      return base.EXIT_CODES.ok;
    }
    this.warn(result.message);
    return base.EXIT_CODES.conflict;
  }
}

/** Fetches all version moves on record. */
async function fetchMoves(command: base.BaseCommand): Promise<readonly Move[]> {
  return command.createClient().get<readonly Move[]>('/operator/moves');
}

/** `banyanhall move list`. */
export class MoveListCommand extends base.BaseCommand {
  static override paths = [['move', 'list']];
  static override usage = clipanion.Command.Usage({
    description: 'list all version moves on record',
  });

  async execute(): Promise<number> {
    const all = await fetchMoves(this);
    if (this.maybePrintJson(all)) return base.EXIT_CODES.ok;
    for (const move of all) this.printLine(describeMove(move));
    return base.EXIT_CODES.ok;
  }
}

const WATCH_POLL_INTERVAL_MS = 500;

/** `banyanhall move status|watch|wait ID`. */
export class MoveWatchCommand extends base.BaseCommand {
  static override paths = [
    ['move', 'status'],
    ['move', 'watch'],
    ['move', 'wait'],
  ];
  static override usage = clipanion.Command.Usage({
    description: 'show a version move; watch and wait block until it ends',
    details: `Exits with ${base.EXIT_CODES.ok} when the move is finished and ${base.EXIT_CODES.rolledBack} when it was rolled back.`,
  });

  id = clipanion.Option.String();

  async execute(): Promise<number> {
    const isOnce = this.path[1] === 'status';
    let lastText = '';
    for (;;) {
      const found = (await fetchMoves(this)).find(move => move.id === this.id);
      if (!found) {
        this.warn(`version move "${this.id}" does not exist`);
        return base.EXIT_CODES.failed;
      }
      const text = describeMove(found);
      if (
        this.path[1] !== 'wait' &&
        text !== lastText &&
        !this.maybePrintJson(found)
      ) {
        this.printLine(text);
      }
      lastText = text;
      const phase = decisions.move.effectivePhase(found, Date.now());
      if (phase === 'finished') return base.EXIT_CODES.ok;
      if (phase === 'taken-back') return base.EXIT_CODES.rolledBack;
      if (isOnce) return base.EXIT_CODES.ok;
      await new Promise(resolve => setTimeout(resolve, WATCH_POLL_INTERVAL_MS));
    }
  }
}

/** `banyanhall move take-back ID`. */
export class MoveRollBackCommand extends base.BaseCommand {
  static override paths = [['move', 'take-back']];
  static override usage = clipanion.Command.Usage({
    description: 'roll back a version move',
  });

  id = clipanion.Option.String();

  async execute(): Promise<number> {
    const path = `/operator/moves/${this.id}/take-back`;
    const result = await this.createClient().postMove(path, {
      author: this.author,
    });
    if (this.maybePrintJson(result)) return base.EXIT_CODES.ok;
    if (result.kind === 'accepted') {
      this.printLine(describeMove(result.move));
      return base.EXIT_CODES.ok;
    }
    this.warn(result.message);
    return base.EXIT_CODES.conflict;
  }
}
