import * as crypto from 'node:crypto';

import * as decisions from '@banyanhall/decisions';
import * as platform from '@banyanhall/platform';

import type * as timelines from '@banyanhall/fleet/timeline.js';

const MAX_GROUP = 100;
const MAX_TRIES = 4;
const MAX_RECEIPT_CHARS = 262_144;
const UNKNOWN_RETRY_MS = 500;

/** A request key to be claimed for one attempt. */
export interface ClaimRequest {
  readonly account: string;
  readonly requestKey: string;
  readonly digest: string;
  readonly requestId: string;
}

/** A claim that this host holds; only its holder may dispatch the request. */
export interface Claim {
  readonly key: string;
  readonly digest: string;
  readonly token: string;
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

interface Queued {
  readonly key: string;
  readonly version: number;
  readonly value: decisions.claim.ClaimRow | undefined;
  readonly tries: number;
  readonly resolve: (result: WriteResult) => void;
}

/** Counts for measuring how well claims share transactions. */
export interface ClaimCounts {
  readonly commits: number;
  readonly rows: number;
}

/**
 * Claims on the keys of non-idempotent requests. Rows that come while a
 * commit is under way leave together in the next one. A lost reply is
 * settled by reading back the own token.
 */
export class Claims {
  private queue: Queued[] = [];
  private isCommitting = false;
  private counted = {commits: 0, rows: 0};

  constructor(
    private readonly table: platform.table.Table,
    private readonly clock: decisions.clock.Clock,
    private readonly timeline: timelines.Timeline,
  ) {}

  get counts(): ClaimCounts {
    return this.counted;
  }

  /** The stored answer under the key if there is one; throws FailureError when the key is taken or unknown. */
  async lookup(
    request: ClaimRequest,
  ): Promise<decisions.claim.Receipt | undefined> {
    const row = await this.readRow(keyOf(request));
    if (!row) return undefined;
    const decision = decisions.claim.decide(row.value, '', request.digest);
    return receiptOf(decision);
  }

  /** Claims the key, or throws FailureError (or the stored answer is returned). Nothing is dispatched before. */
  async claim(request: ClaimRequest): Promise<Claim | decisions.claim.Receipt> {
    const key = keyOf(request);
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
    if (result.kind === 'unavailable') throw storeFailure();
    const row = await this.readRow(key);
    if (!row) throw storeFailure();
    const decision = decisions.claim.decide(row.value, token, digest);
    const receipt = receiptOf(decision);
    return receipt ?? {key, digest, token, version: row.version};
  }

  /** Stores the answer under a claim, for later attempts with the same key. */
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

  /** Gives a claim back whose request was proved not to have run. */
  async release(claim: Claim): Promise<boolean> {
    const result = await this.write(claim.key, claim.version, undefined);
    return result.kind === 'written';
  }

  private async readRow(key: string): Promise<FoundRow | undefined> {
    const rows = await this.table.read([key]).catch(() => {
      throw storeFailure();
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
      this.queue.push({key, version, value, tries: 0, resolve});
      void this.commitGroups();
    });
  }

  private async commitGroups(): Promise<void> {
    if (this.isCommitting) return;
    this.isCommitting = true;
    await new Promise(resolve => setImmediate(resolve));
    while (this.queue.length > 0) {
      const group = this.takeGroup();
      const result = await this.table.commit({
        conditions: group.map(({key, version}) => ({key, version})),
        writes: group.map(({key, value}) => ({key, value})),
      });
      this.counted = {
        commits: this.counted.commits + 1,
        rows: this.counted.rows + group.length,
      };
      await this.settle(group, result);
    }
    this.isCommitting = false;
  }

  /** The next group; a key stands in it once, so that no row conflicts with its own group. */
  private takeGroup(): readonly Queued[] {
    const keys = new Set<string>();
    const group: Queued[] = [];
    const rest: Queued[] = [];
    for (const queued of this.queue) {
      const isFree = group.length < MAX_GROUP && !keys.has(queued.key);
      (isFree ? group : rest).push(queued);
      keys.add(queued.key);
    }
    this.queue = rest;
    return group;
  }

  private async settle(
    group: readonly Queued[],
    result: platform.table.CommitResult,
  ): Promise<void> {
    switch (result.kind) {
      case 'committed':
        for (const queued of group) {
          queued.resolve({kind: 'written', version: result.version});
        }
        return;
      case 'conflict':
        for (const queued of group) {
          if (result.keys.includes(queued.key)) {
            queued.resolve({kind: 'conflict'});
          } else this.queue.push(queued);
        }
        return;
      case 'not-committed':
        for (const queued of group) queued.resolve({kind: 'unavailable'});
        return;
      case 'unknown':
        return this.settleByReading(group);
    }
  }

  private async settleByReading(group: readonly Queued[]): Promise<void> {
    const keys = group.map(queued => queued.key);
    const rows = await this.table.read(keys).catch(() => undefined);
    for (const queued of group) {
      const row = rows?.get(queued.key);
      const value = row?.value as decisions.claim.ClaimRow | undefined;
      const isWritten = isSame(value, queued.value);
      if (rows && isWritten) {
        queued.resolve({kind: 'written', version: row?.version ?? 0});
      } else if (queued.tries + 1 < MAX_TRIES) {
        this.queue.push({...queued, tries: queued.tries + 1});
      } else queued.resolve({kind: 'unavailable'});
    }
  }
}

function isSame(
  found: decisions.claim.ClaimRow | undefined,
  wanted: decisions.claim.ClaimRow | undefined,
): boolean {
  return found?.token === wanted?.token && found?.state === wanted?.state;
}

function keyOf(request: ClaimRequest): string {
  return decisions.claim.claimKey(request.account, request.requestKey);
}

/** The receipt in a decision; throws FailureError for the others. */
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
          'the key was used for a request with other arguments; this one did not run',
        ),
      );
    case 'outcome-unknown':
      throw new decisions.verdict.FailureError(
        decisions.verdict.failure(
          'outcome-unknown',
          'an earlier attempt with this key may have run; it is not run again',
          'may-have-run',
          UNKNOWN_RETRY_MS,
        ),
      );
    case 'dispatch':
      return undefined;
  }
}

function storeFailure(): decisions.verdict.FailureError {
  return new decisions.verdict.FailureError(
    decisions.verdict.failure(
      'store-unavailable',
      'the request needs a claim and the store does not answer; this attempt did not run, earlier ones with the same key may have',
      'not-run',
      UNKNOWN_RETRY_MS,
    ),
  );
}
