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
    description: 'show the hosts, cells and runners as one host sees them',
  });

  async execute(): Promise<number> {
    const status =
      await this.client().get<operators.api.Status>('/operator/status');
    if (this.wroteJson(status)) return base.EXIT.ok;
    this.line(
      `${status.host}: ${status.isReady ? 'ready' : 'not ready'}, configuration ${status.configNumber}`,
    );
    for (const {host, region, zone, state} of status.hosts) {
      this.line(`  host ${host}  ${region}/${zone}  ${state}`);
    }
    for (const cell of status.cells) {
      this.line(
        `  cell ${cell.cell}  waiting ${cell.waiting}  running ${cell.running}`,
      );
      for (const {name, state, running, decodeTokensPerS} of cell.runners) {
        this.line(
          `    ${name}  ${state}  running ${running}  ${decodeTokensPerS} tokens/s`,
        );
      }
    }
    return base.EXIT.ok;
  }
}

/** `banyanhall timeline`. */
export class TimelineCommand extends base.BaseCommand {
  static override paths = [['timeline']];
  static override usage = clipanion.Command.Usage({
    description: 'merge the events of all hosts into one list',
    details:
      'Name every host in --operator-url. With --trace FILE the list is written in the Chrome trace-event format.',
  });

  trace = clipanion.Option.String('--trace', {
    description: 'write a trace file instead',
  });

  request = clipanion.Option.String('--request', {
    description: 'only the events of this request',
  });

  async execute(): Promise<number> {
    const all = await this.client().timelines();
    const events = all.filter(
      event => !this.request || event.requestId === this.request,
    );
    if (this.trace) {
      fs.writeFileSync(this.trace, JSON.stringify(trace.toTrace(events)));
      return base.EXIT.ok;
    }
    if (this.wroteJson(events)) return base.EXIT.ok;
    for (const {atMs, host, kind, requestId, detail} of events) {
      const time = new Date(atMs).toISOString();
      this.line(
        `${time}  ${host}  ${kind}  ${requestId}  ${JSON.stringify(detail)}`,
      );
    }
    return base.EXIT.ok;
  }
}

const UNITS_MS: Readonly<Record<string, number>> = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

/** A point in time from `10m` or an ISO date; undefined when it is neither. */
export function parseTime(text: string, nowMs: number): number | undefined {
  const [, count, unit] = /^(\d+)([smh])$/.exec(text) ?? [];
  if (count) return nowMs + Number(count) * UNITS_MS[unit];
  const atMs = Date.parse(text);
  return Number.isNaN(atMs) ? undefined : atMs;
}

type Move = decisions.move.Move;

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
    description: 'start moving a service to a version',
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
      this.warn('--by has to be like 20m, or an ISO date');
      return base.EXIT.usage;
    }
    const {service, to, author} = this;
    const body = {service, to, author, deadlineAtMs};
    const result = await this.client().move('/operator/moves', body);
    return this.told(result);
  }

  private told(result: operators.api.MoveResult): number {
    if (this.wroteJson(result)) {
      return result.kind === 'accepted' ? base.EXIT.ok : base.EXIT.conflict;
    }
    if (result.kind === 'accepted') {
      this.line(describeMove(result.move));
      return base.EXIT.ok;
    }
    this.warn(result.message);
    return base.EXIT.conflict;
  }
}

async function moves(command: base.BaseCommand): Promise<readonly Move[]> {
  return command.client().get<readonly Move[]>('/operator/moves');
}

/** `banyanhall move list`. */
export class MoveListCommand extends base.BaseCommand {
  static override paths = [['move', 'list']];
  static override usage = clipanion.Command.Usage({
    description: 'list every move on record',
  });

  async execute(): Promise<number> {
    const all = await moves(this);
    if (this.wroteJson(all)) return base.EXIT.ok;
    for (const move of all) this.line(describeMove(move));
    return base.EXIT.ok;
  }
}

const WATCH_MS = 500;

/** `banyanhall move status|watch|wait ID`. */
export class MoveWatchCommand extends base.BaseCommand {
  static override paths = [
    ['move', 'status'],
    ['move', 'watch'],
    ['move', 'wait'],
  ];
  static override usage = clipanion.Command.Usage({
    description: 'show a move; watch and wait stay until it is over',
    details: `Exit code ${base.EXIT.ok} when it is done, ${base.EXIT.undone} when it was taken back.`,
  });

  id = clipanion.Option.String();

  async execute(): Promise<number> {
    const isOnce = this.path[1] === 'status';
    let last = '';
    for (;;) {
      const found = (await moves(this)).find(move => move.id === this.id);
      if (!found) {
        this.warn(`no move ${this.id}`);
        return base.EXIT.failed;
      }
      const text = describeMove(found);
      if (this.path[1] !== 'wait' && text !== last && !this.wroteJson(found)) {
        this.line(text);
      }
      last = text;
      const phase = decisions.move.effectivePhase(found, Date.now());
      if (phase === 'finished') return base.EXIT.ok;
      if (phase === 'taken-back') return base.EXIT.undone;
      if (isOnce) return base.EXIT.ok;
      await new Promise(resolve => setTimeout(resolve, WATCH_MS));
    }
  }
}

/** `banyanhall move take-back ID`. */
export class MoveTakeBackCommand extends base.BaseCommand {
  static override paths = [['move', 'take-back']];
  static override usage = clipanion.Command.Usage({
    description: 'take a move back',
  });

  id = clipanion.Option.String();

  async execute(): Promise<number> {
    const path = `/operator/moves/${this.id}/take-back`;
    const result = await this.client().move(path, {author: this.author});
    if (this.wroteJson(result)) return base.EXIT.ok;
    if (result.kind === 'accepted') {
      this.line(describeMove(result.move));
      return base.EXIT.ok;
    }
    this.warn(result.message);
    return base.EXIT.conflict;
  }
}
