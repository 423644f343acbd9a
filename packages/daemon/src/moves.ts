import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';
import * as platform from '@banyanhall/platform';

const MOVE_PREFIX = 'move/';
const LOG_PREFIX = 'move-log/';
const SCAN_LIMIT = 1000;
const MIN_MOVE_MS = 2 * decisions.move.ROLL_BACK_RESERVE_MS;

type Move = decisions.move.Move;

/** A move with the version of its row. */
export interface StoredMove {
  readonly move: Move;
  readonly version: number;
}

/** How writing a move ended; after `changed` it has to be read again. */
export type SaveResult =
  | {readonly kind: 'saved'; readonly stored: StoredMove}
  | {readonly kind: 'changed'}
  | {readonly kind: 'unavailable'};

/** The moves in the table: one row for the latest move of each service, and a lasting one for each that is over. */
export class MoveStore {
  constructor(
    private readonly table: platform.table.Table,
    private readonly clock: decisions.clock.Clock,
  ) {}

  /** The latest move of every service. Throws StoreError. */
  async latest(): Promise<readonly StoredMove[]> {
    const rows = await this.table.scan(MOVE_PREFIX, '', SCAN_LIMIT);
    return rows.map(row => ({move: row.value as Move, version: row.version}));
  }

  /** Every move on record. Throws StoreError. */
  async all(): Promise<readonly Move[]> {
    const logged = await this.table.scan(LOG_PREFIX, '', SCAN_LIMIT);
    const latest = await this.latest();
    const byId = new Map(logged.map(row => [row.key, row.value as Move]));
    for (const {move} of latest) byId.set(LOG_PREFIX + move.id, move);
    return [...byId.values()].sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** The row key of a service's latest move. */
  keyOf(service: string): string {
    return MOVE_PREFIX + service;
  }

  /** The writes that store a move; one that is over also gets its lasting row. */
  writes(move: Move): readonly platform.table.Write[] {
    const latest = {key: this.keyOf(move.service), value: move};
    if (!decisions.move.isFinal(move)) return [latest];
    return [latest, {key: LOG_PREFIX + move.id, value: move}];
  }

  /** Writes the next state of a move, if nobody wrote in between. */
  async save(stored: StoredMove, next: Move): Promise<SaveResult> {
    const key = this.keyOf(next.service);
    const result = await this.table.commit({
      conditions: [{key, version: stored.version}],
      writes: this.writes(next),
    });
    if (result.kind === 'committed') {
      const {version} = result;
      return {kind: 'saved', stored: {move: next, version}};
    }
    if (result.kind === 'conflict') return {kind: 'changed'};
    return {kind: result.kind === 'unknown' ? 'changed' : 'unavailable'};
  }

  /** Starts a move unless one is under way. Rejects with StoreError. */
  async start(
    request: operators.api.MoveRequest,
    service: decisions.config.Service | undefined,
  ): Promise<operators.api.MoveResult> {
    const nowMs = this.clock.nowMs();
    if (!service) return refused(`no service named "${request.service}"`);
    if (service.version === request.to) {
      return refused(`${service.name} is at ${request.to} already`);
    }
    if (request.deadlineAtMs - nowMs < MIN_MOVE_MS) {
      return refused(`the deadline has to be ${MIN_MOVE_MS} ms away or more`);
    }
    const key = this.keyOf(service.name);
    const row = (await this.table.read([key])).get(key);
    const last = row?.value as Move | undefined;
    if (last && !decisions.move.isFinal(last)) {
      return refused(`move ${last.id} of ${service.name} is under way`);
    }
    const fence = (last?.fence ?? 0) + 1;
    const move = decisions.move.createMove(
      `${service.name}-${fence}`,
      service.name,
      service.version,
      request.to,
      request.author,
      nowMs,
      request.deadlineAtMs,
      fence,
    );
    const version = row?.version ?? platform.table.ABSENT_VERSION;
    return this.told({move, version}, move);
  }

  /** Asks for a move to be taken back. Rejects with StoreError. */
  async takeBack(
    id: string,
    author: string,
  ): Promise<operators.api.MoveResult> {
    const stored = (await this.latest()).find(({move}) => move.id === id);
    if (!stored) return refused(`no move ${id} is under way`);
    const reason = `taken back by ${author}`;
    const nowMs = this.clock.nowMs();
    const next = decisions.move.rollBack(stored.move, reason, nowMs);
    if (!next) return refused(`move ${id} is ${stored.move.phase}`);
    return this.told(stored, next);
  }

  private async told(
    stored: StoredMove,
    next: Move,
  ): Promise<operators.api.MoveResult> {
    const saved = await this.save(stored, next);
    if (saved.kind === 'saved') return {kind: 'accepted', move: next};
    const key = this.keyOf(next.service);
    const row = (await this.table.read([key])).get(key);
    const found = row?.value as Move | undefined;
    const isOurs = found?.id === next.id && found.phase === next.phase;
    if (isOurs) return {kind: 'accepted', move: found};
    return refused('another change came first, or the store is away');
  }
}

function refused(message: string): operators.api.MoveResult {
  return {kind: 'refused', message};
}
