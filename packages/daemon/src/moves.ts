// Storage of version moves in the platform's table.

import * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';
import * as platform from '@banyanhall/platform';

const MOVE_PREFIX = 'move/';
const MOVE_LOG_PREFIX = 'move-log/';
const SCAN_LIMIT_ROWS = 1000;
/** Least time from the start of a move to its deadline, so that it can be rolled back before the deadline. */
const MIN_MOVE_DURATION_MS = 2 * decisions.move.ROLL_BACK_RESERVE_MS;

type Move = decisions.move.Move;

/** A move and the version of its row, which the next write is conditional on. */
export interface StoredMove {
  readonly move: Move;
  readonly version: number;
}

/** Result of writing a move. After `changed`, which includes an unknown outcome, the caller must read the move again. */
export type SaveResult =
  | {readonly kind: 'saved'; readonly stored: StoredMove}
  | {readonly kind: 'changed'}
  | {readonly kind: 'unavailable'};

/** Stores version moves in the table: one row for the latest move of each service, and a permanent row for each finished one. */
export class MoveStore {
  constructor(
    private readonly table: platform.table.Table,
    private readonly clock: decisions.clock.Clock,
  ) {}

  /** Reads the latest move of every service. Rejects with StoreError. */
  async latest(): Promise<readonly StoredMove[]> {
    const rows = await this.table.scan(MOVE_PREFIX, '', SCAN_LIMIT_ROWS);
    return rows.map(row => ({move: row.value as Move, version: row.version}));
  }

  /** Reads the finished moves and the latest move of every service, ordered by start. Rejects with StoreError. */
  async all(): Promise<readonly Move[]> {
    const logged = await this.table.scan(MOVE_LOG_PREFIX, '', SCAN_LIMIT_ROWS);
    const latest = await this.latest();
    const byId = new Map(logged.map(row => [row.key, row.value as Move]));
    for (const {move} of latest) byId.set(MOVE_LOG_PREFIX + move.id, move);
    return [...byId.values()].sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** The row key of a service's latest move. */
  latestKey(service: string): string {
    return MOVE_PREFIX + service;
  }

  /** The writes that store a move; a finished move also gets its permanent row. */
  writes(move: Move): readonly platform.table.Write[] {
    const latest = {key: this.latestKey(move.service), value: move};
    if (!decisions.move.isFinal(move)) return [latest];
    return [latest, {key: MOVE_LOG_PREFIX + move.id, value: move}];
  }

  /** Writes the next state of a move, provided that its row is unchanged since it was read. */
  async save(stored: StoredMove, next: Move): Promise<SaveResult> {
    const key = this.latestKey(next.service);
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

  /** Starts a move unless one is in progress for the service. Rejects with StoreError. */
  async start(
    request: operators.api.MoveRequest,
    service: decisions.config.Service | undefined,
  ): Promise<operators.api.MoveResult> {
    const nowMs = this.clock.nowMs();
    if (!service) return refusal(`no service named "${request.service}"`);
    if (service.version === request.to) {
      return refusal(`${service.name} is already at version ${request.to}`);
    }
    if (request.deadlineAtMs - nowMs < MIN_MOVE_DURATION_MS) {
      return refusal(
        `the deadline must be at least ${MIN_MOVE_DURATION_MS} ms from now`,
      );
    }
    const key = this.latestKey(service.name);
    const row = (await this.table.read([key])).get(key);
    const last = row?.value as Move | undefined;
    if (last && !decisions.move.isFinal(last)) {
      return refusal(`move ${last.id} of ${service.name} is in progress`);
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
    return this.saveAndReport({move, version}, move);
  }

  /** Requests the rollback of a move. Rejects with StoreError. */
  async rollBack(
    id: string,
    author: string,
  ): Promise<operators.api.MoveResult> {
    const stored = (await this.latest()).find(({move}) => move.id === id);
    if (!stored) return refusal(`no move ${id} is in progress`);
    const reason = `taken back by ${author}`;
    const nowMs = this.clock.nowMs();
    const next = decisions.move.rollBack(stored.move, reason, nowMs);
    if (!next) return refusal(`move ${id} is ${stored.move.phase}`);
    return this.saveAndReport(stored, next);
  }

  /** Saves a move and reads it back when the write did not succeed, since its reply may have been lost. */
  private async saveAndReport(
    stored: StoredMove,
    next: Move,
  ): Promise<operators.api.MoveResult> {
    const saved = await this.save(stored, next);
    if (saved.kind === 'saved') return {kind: 'accepted', move: next};
    const key = this.latestKey(next.service);
    const row = (await this.table.read([key])).get(key);
    const found = row?.value as Move | undefined;
    const isApplied = found?.id === next.id && found.phase === next.phase;
    if (isApplied) return {kind: 'accepted', move: found};
    return refusal(
      'the move changed concurrently, or the store is unavailable',
    );
  }
}

function refusal(message: string): operators.api.MoveResult {
  return {kind: 'refused', message};
}
