// Claims on idempotency keys, stored in the platform's table. dispatcher.ts claims a key before it dispatches a request.

import * as crypto from 'node:crypto';

import * as decisions from '@banyanhall/decisions';
import * as platform from '@banyanhall/platform';

import type * as timelines from '@banyanhall/fleet/timeline.js';

const MAX_BATCH_ROWS = 100;
const MAX_COMMIT_ATTEMPTS = 4;
/** Longer answers are not stored, so a repeated request gets outcome-unknown. */
const MAX_RECEIPT_CHARS = 262_144;
/** Retry hint for a claim whose outcome is unknown or whose store is unavailable. */
const RETRY_AFTER_MS = 500;

/** A request whose idempotency key is to be claimed. */
export interface ClaimRequest {
  readonly account: string;
  /** The idempotency key; unique within the account. */
  readonly requestKey: string;
  /** Digest of the arguments, by which another request with the same key is detected. */
  readonly digest: string;
  readonly requestId: string;
}

/** A claim held by this host. Only its holder may dispatch the request. */
export interface Claim {
  readonly key: string;
  readonly digest: string;
  /** Random; identifies this claim when a commit has an unknown outcome. */
  readonly token: string;
  /** Version of the row, which the next write is conditional on. */
  readonly version: number;
}

type WriteResult =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'unavailable'};

interface FoundRow {
  readonly value: decisions.claim.ClaimRow;
  readonly version: number;
}

interface QueuedWrite {
  readonly key: string;
  readonly version: number;
  readonly value: decisions.claim.ClaimRow | undefined;
  readonly failedCommits: number;
  readonly resolve: (result: WriteResult) => void;
}

/** Commit calls, also failed ones, and the rows in them, which show how well claims are batched. */
export interface ClaimCounts {
  readonly commits: number;
  readonly rows: number;
}

/**
 * Claims on the idempotency keys of non-idempotent requests. Writes that
 * arrive while a commit is in progress are batched into the next one. When
 * the outcome of a commit is unknown, the rows are read back and compared
 * by token.
 */
export class Claims {
  private queue: QueuedWrite[] = [];
  private isCommitting = false;
  private commitCounts = {commits: 0, rows: 0};

  constructor(
    private readonly table: platform.table.Table,
    private readonly clock: decisions.clock.Clock,
    private readonly timeline: timelines.Timeline,
  ) {}

  /** Commit calls and rows since the start. */
  get counts(): ClaimCounts {
    return this.commitCounts;
  }

  /** Returns the stored answer under the key, or undefined when the key is free. Throws FailureError when the key is claimed or was used with other arguments, or the store is unavailable. */
  async lookup(
    request: ClaimRequest,
  ): Promise<decisions.claim.Receipt | undefined> {
    const row = await this.readRow(claimKeyOf(request));
    if (!row) return undefined;
    const decision = decisions.claim.decide(row.value, '', request.digest);
    return receiptOf(decision);
  }

  /** Claims the key, or returns the stored answer under it; throws FailureError otherwise. Must succeed before the request is dispatched. */
  async claim(request: ClaimRequest): Promise<Claim | decisions.claim.Receipt> {
    const key = claimKeyOf(request);
    const {digest} = request;
    const token = crypto.randomUUID();
    const value = {
      state: 'claimed' as const,
      digest,
      token,
      atMs: this.clock.nowMs(),
    };
    const result = await this.write(key, platform.table.ABSENT_VERSION, value);
    if (result.kind === 'written') {
      this.timeline.record('claimed', request.requestId, {key});
      return {key, digest, token, version: result.version};
    }
    if (result.kind === 'unavailable') throw storeUnavailable();
    const row = await this.readRow(key);
    if (!row) throw storeUnavailable();
    const decision = decisions.claim.decide(row.value, token, digest);
    const receipt = receiptOf(decision);
    return receipt ?? {key, digest, token, version: row.version};
  }

  /** Stores the answer under a claim, to be replayed to later requests with the same key. Resolves to false when it was not stored. */
  async answer(
    claim: Claim,
    receipt: decisions.claim.Receipt,
  ): Promise<boolean> {
    if (receipt.body.length > MAX_RECEIPT_CHARS) return false;
    const {digest, token, version, key} = claim;
    const atMs = this.clock.nowMs();
    const value = {state: 'answered' as const, digest, token, atMs, receipt};
    const result = await this.write(key, version, value);
    return result.kind === 'written';
  }

  /** Deletes the claim of a request that provably did not run. Resolves to whether it was deleted. */
  async release(claim: Claim): Promise<boolean> {
    const result = await this.write(claim.key, claim.version, undefined);
    return result.kind === 'written';
  }

  private async readRow(key: string): Promise<FoundRow | undefined> {
    const rows = await this.table.read([key]).catch(() => {
      throw storeUnavailable();
    });
    const row = rows.get(key);
    if (!row) return undefined;
    const value = row.value as decisions.claim.ClaimRow;
    return {value, version: row.version};
  }

  private write(
    key: string,
    version: number,
    value: decisions.claim.ClaimRow | undefined,
  ): Promise<WriteResult> {
    return new Promise(resolve => {
      this.queue.push({key, version, value, failedCommits: 0, resolve});
      void this.commitBatches();
    });
  }

  private async commitBatches(): Promise<void> {
    if (this.isCommitting) return;
    this.isCommitting = true;
    await new Promise(resolve => setImmediate(resolve));
    while (this.queue.length > 0) {
      const batch = this.nextBatch();
      const result = await this.table.commit({
        conditions: batch.map(({key, version}) => ({key, version})),
        writes: batch.map(({key, value}) => ({key, value})),
      });
      this.commitCounts = {
        commits: this.commitCounts.commits + 1,
        rows: this.commitCounts.rows + batch.length,
      };
      await this.resolveBatch(batch, result);
    }
    this.isCommitting = false;
  }

  /** Takes the next batch off the queue. It holds each key once, so that the writes of a batch do not conflict with each other. */
  private nextBatch(): readonly QueuedWrite[] {
    const keys = new Set<string>();
    const batch: QueuedWrite[] = [];
    const rest: QueuedWrite[] = [];
    for (const queued of this.queue) {
      const isIncluded = batch.length < MAX_BATCH_ROWS && !keys.has(queued.key);
      (isIncluded ? batch : rest).push(queued);
      keys.add(queued.key);
    }
    this.queue = rest;
    return batch;
  }

  private async resolveBatch(
    batch: readonly QueuedWrite[],
    result: platform.table.CommitResult,
  ): Promise<void> {
    switch (result.kind) {
      case 'committed':
        for (const queued of batch) {
          queued.resolve({kind: 'written', version: result.version});
        }
        return;
      case 'conflict':
        for (const queued of batch) {
          if (result.keys.includes(queued.key)) {
            queued.resolve({kind: 'conflict'});
          } else this.queue.push(queued);
        }
        return;
      case 'not-committed':
        for (const queued of batch) queued.resolve({kind: 'unavailable'});
        return;
      case 'unknown':
        return this.resolveByReading(batch);
    }
  }

  private async resolveByReading(batch: readonly QueuedWrite[]): Promise<void> {
    const keys = batch.map(queued => queued.key);
    const rows = await this.table.read(keys).catch(() => undefined);
    for (const queued of batch) {
      const row = rows?.get(queued.key);
      const value = row?.value as decisions.claim.ClaimRow | undefined;
      const isWritten = isSameClaim(value, queued.value);
      if (rows && isWritten) {
        queued.resolve({kind: 'written', version: row?.version ?? 0});
      } else if (queued.failedCommits + 1 < MAX_COMMIT_ATTEMPTS) {
        this.queue.push({...queued, failedCommits: queued.failedCommits + 1});
      } else queued.resolve({kind: 'unavailable'});
    }
  }
}

function isSameClaim(
  found: decisions.claim.ClaimRow | undefined,
  wanted: decisions.claim.ClaimRow | undefined,
): boolean {
  return found?.token === wanted?.token && found?.state === wanted?.state;
}

function claimKeyOf(request: ClaimRequest): string {
  return decisions.claim.claimKey(request.account, request.requestKey);
}

/** Returns the receipt of a replay, undefined when the request may be dispatched; throws FailureError for other decisions. */
function receiptOf(
  decision: decisions.claim.ClaimDecision,
): decisions.claim.Receipt | undefined {
  switch (decision.kind) {
    case 'replay':
      return decision.receipt;
    case 'conflict':
      throw new decisions.verdict.FailureError(
        decisions.verdict.failure(
          'idempotency-conflict',
          'the idempotency key was used for a request with other arguments; this request did not run',
        ),
      );
    case 'outcome-unknown':
      throw new decisions.verdict.FailureError(
        decisions.verdict.failure(
          'outcome-unknown',
          'an earlier request with this idempotency key may have run; it is not run again',
          'may-have-run',
          RETRY_AFTER_MS,
        ),
      );
    case 'dispatch':
      return undefined;
  }
}

function storeUnavailable(): decisions.verdict.FailureError {
  return new decisions.verdict.FailureError(
    decisions.verdict.failure(
      'store-unavailable',
      'the request needs a claim and the store is unavailable; this request did not run, earlier ones with the same key may have',
      'not-run',
      RETRY_AFTER_MS,
    ),
  );
}
