/*
 * One account of what a process holds for callers and requests: connections,
 * heads, bodies and responses. Each request is bounded by itself; the account
 * bounds their sums.
 */

import type * as stream from 'node:stream';

import * as decisions from '@banyanhall/decisions';

/** From this share of the limit on, requests that hold much read more slowly. */
const CROWDED_SHARE = 0.5;
/** A request that holds a smaller share of the limit never reads more slowly. */
const LARGE_SHARE = 0.005;
/** The pause after each chunk of a request that reads more slowly. */
export const PAUSE_MS = 50;
/** A pause after a smaller chunk would let many parsed ones wait. */
const MIN_PAUSED_CHUNK_BYTES = 1024;

/** Added for each chunk, since a buffer has a size of its own. */
export const CHUNK_OVERHEAD_BYTES = 256;

/** Why a request was ended for room; the reason of its signal. */
export const NO_ROOM_REASON = new Error('no room in the buffers');

/** What memory is held for. */
export type HeldClass = 'connections' | 'heads' | 'bodies' | 'responses';

/** All classes. */
export const HELD_CLASSES: readonly HeldClass[] = [
  'connections',
  'heads',
  'bodies',
  'responses',
];

/** Limits besides that of bodies and responses; none by default. */
export interface AccountLimits {
  /** The most bytes of heads. */
  readonly headBytes: number;
  /** The most bytes of all classes together. */
  readonly sumBytes: number;
}

const NO_LIMITS: AccountLimits = {headBytes: Infinity, sumBytes: Infinity};

/** How the account acts on what a holding stands for. */
export interface HoldingOptions {
  /** The stage at first; `running` by default. */
  readonly stage?: decisions.closingorder.Stage;
  /** Closes the connection at once. */
  readonly close?: () => void;
}

/** What one request holds in buffers. */
export interface Holding {
  /** Adds a chunk of a response that was read from `source`, which is paused for a moment if the buffers fill. */
  addChunk(bytes: number, source?: stream.Readable): void;
  /** Sets how many bytes of a part that grows and shrinks are held, such as of an event that is not complete. */
  setPart(part: string, bytes: number, heldClass?: HeldClass): void;
  /** True if the next chunk of this size is to be read after a pause. */
  isSlowed(chunkBytes: number): boolean;
  /** Aborted with `NO_ROOM_REASON` when the request is to be ended for room. */
  readonly signal: AbortSignal;
  /** Its caller sent something that counts. */
  markProgress(): void;
  /** Changes how far it has come. */
  setStage(stage: decisions.closingorder.Stage): void;
  /** Spares the request from now on, as long as others can be ended: its answer is complete. */
  markReady(): void;
  /** Ends the holding. */
  release(): void;
}

/** A bound on some classes together. */
interface Bound {
  readonly classes: readonly HeldClass[];
  readonly limitBytes: number;
}

/**
 * The bytes that all connections and requests hold, up to limits. At a limit,
 * `decisions.closingorder` chooses the one that is ended. An ended one is
 * counted until it is released.
 */
export class BufferAccount {
  private readonly holdings = new Set<OpenHolding>();
  private readonly ending = new Set<OpenHolding>();
  private readonly sums = noBytes();
  private endingSumBytes = 0;
  private endedCount = 0;
  private readonly bounds: readonly Bound[];

  /** `limitBytes` is the most bytes of bodies and responses. */
  constructor(
    readonly limitBytes: number,
    limits: AccountLimits = NO_LIMITS,
    private readonly nowMs: () => number = () => performance.now(),
  ) {
    this.bounds = [
      {classes: ['bodies', 'responses'], limitBytes},
      {classes: ['heads'], limitBytes: limits.headBytes},
      {classes: HELD_CLASSES, limitBytes: limits.sumBytes},
    ];
  }

  /** The bytes of bodies and responses held now. */
  get heldBytes(): number {
    return this.sums.bodies + this.sums.responses;
  }

  /** The bytes held now, by class. */
  get heldByClass(): Readonly<Record<HeldClass, number>> {
    return this.sums;
  }

  /** The bytes of ended requests whose connection has not closed yet. */
  get endingBytes(): number {
    return this.endingSumBytes;
  }

  /** The number of requests that were ended for room. */
  get ended(): number {
    return this.endedCount;
  }

  /** Opens the holding of a request or connection. */
  open(options: HoldingOptions = {}): Holding {
    const holding = new OpenHolding(this, options, this.nowMs);
    this.holdings.add(holding);
    return holding;
  }

  /** True if a request with so many bytes is to read more slowly. */
  isSlowed(bytes: number): boolean {
    return (
      this.heldBytes > this.limitBytes * CROWDED_SHARE &&
      bytes > this.limitBytes * LARGE_SHARE
    );
  }

  /** Counts a change of an open holding, and ends others or itself for room. */
  change(holding: OpenHolding, heldClass: HeldClass, bytes: number): void {
    if (this.ending.has(holding)) {
      holding.held[heldClass] += bytes;
      this.endingSumBytes += bytes;
      return;
    }
    if (!this.holdings.has(holding)) return;
    holding.held[heldClass] += bytes;
    this.sums[heldClass] += bytes;
    if (bytes <= 0) return;
    for (const bound of this.bounds) {
      if (bound.classes.includes(heldClass)) this.makeRoom(bound);
    }
  }

  /** Forgets a holding. */
  close(holding: OpenHolding): void {
    if (this.ending.delete(holding)) {
      this.endingSumBytes -= bytesOf(holding, HELD_CLASSES);
    }
    if (!this.holdings.delete(holding)) return;
    for (const each of HELD_CLASSES) this.sums[each] -= holding.held[each];
  }

  private makeRoom({classes, limitBytes}: Bound): void {
    const isOver = (extraBytes: number) => {
      let bytes = extraBytes;
      for (const each of classes) bytes += this.sums[each];
      return bytes > limitBytes;
    };
    while (isOver(0)) {
      if (!this.endFirst(classes)) break;
    }
    // What an ended request holds besides its head is dropped at once.
    if (!classes.includes('heads')) return;
    let endingBytes = this.endingSumBytes;
    for (const holding of [...this.ending]) {
      if (!isOver(endingBytes)) break;
      const bytes = bytesOf(holding, HELD_CLASSES);
      if (holding.closeConnection()) endingBytes -= bytes;
    }
  }

  private endFirst(classes: readonly HeldClass[]): boolean {
    const first = decisions.closingorder.firstToEnd(
      candidates(this.holdings, classes),
      this.nowMs(),
    );
    if (!first) return false;
    const {holding} = first;
    this.close(holding);
    this.ending.add(holding);
    this.endingSumBytes += bytesOf(holding, HELD_CLASSES);
    this.endedCount++;
    holding.end();
    return true;
  }
}

interface EndableHolding extends decisions.closingorder.Candidate {
  readonly holding: OpenHolding;
}

/** The holdings that hold something of these classes. What an idle connection itself costs frees too little. */
function* candidates(
  holdings: Iterable<OpenHolding>,
  classes: readonly HeldClass[],
): Generator<EndableHolding> {
  for (const holding of holdings) {
    const bytes = bytesOf(holding, classes);
    const ownBytes = classes.includes('connections')
      ? holding.held.connections
      : 0;
    if (bytes <= ownBytes) continue;
    yield {
      ...{holding, bytes, stage: holding.stage},
      progressMs: holding.progressMs,
    };
  }
}

function bytesOf(holding: OpenHolding, classes: readonly HeldClass[]): number {
  let bytes = 0;
  for (const each of classes) bytes += holding.held[each];
  return bytes;
}

function noBytes(): Record<HeldClass, number> {
  return {connections: 0, heads: 0, bodies: 0, responses: 0};
}

class OpenHolding implements Holding {
  readonly held = noBytes();
  stage: decisions.closingorder.Stage;
  progressMs: number;
  private readonly parts = new Map<string, number>();
  private readonly controller = new AbortController();

  constructor(
    private readonly account: BufferAccount,
    private readonly options: HoldingOptions,
    private readonly nowMs: () => number,
  ) {
    this.stage = options.stage ?? 'running';
    this.progressMs = nowMs();
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  addChunk(bytes: number, source?: stream.Readable): void {
    this.account.change(this, 'responses', bytes + CHUNK_OVERHEAD_BYTES);
    if (!source || !this.isSlowed(bytes)) return;
    source.pause();
    setTimeout(() => source.resume(), PAUSE_MS);
  }

  isSlowed(chunkBytes: number): boolean {
    if (chunkBytes < MIN_PAUSED_CHUNK_BYTES) return false;
    return this.account.isSlowed(this.held.bodies + this.held.responses);
  }

  setPart(
    part: string,
    bytes: number,
    heldClass: HeldClass = 'responses',
  ): void {
    const before = this.parts.get(part) ?? 0;
    if (bytes === before) return;
    this.parts.set(part, bytes);
    this.account.change(this, heldClass, bytes - before);
  }

  markProgress(): void {
    this.progressMs = this.nowMs();
  }

  setStage(stage: decisions.closingorder.Stage): void {
    this.stage = stage;
  }

  markReady(): void {
    this.stage = 'ready';
  }

  release(): void {
    this.account.close(this);
  }

  end(): void {
    this.controller.abort(NO_ROOM_REASON);
  }

  /** Closes the connection of a request that has not been sent; one that may run is still to be answered. */
  closeConnection(): boolean {
    if (this.stage === 'running' || this.stage === 'ready') return false;
    this.options.close?.();
    return true;
  }
}
