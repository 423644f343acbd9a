// Hosts that watch each other, on a simulated clock without network, for tests.

import type * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';
import type * as platform from '@banyanhall/platform';

import * as membersModule from './members.js';
import type * as routers from './router.js';
import * as timelines from './timeline.js';

const STEP_MS = 50;
const SETTLE_MS = 5000;

/** Sees what happens at each host. */
export interface FleetObserver {
  /** Called when a message arrives at `host`. */
  readonly onHeard?: (host: string, from: string) => void;
  /** Called when `host` sees a change of the members. */
  readonly onMembers?: (host: string) => void;
}

/** In-memory hosts on a simulated clock; a message takes one step to arrive. */
export class TestFleet {
  readonly members = new Map<string, membersModule.Members>();
  readonly sent = new Map<string, number>();
  /** How often the parts of any host were told of a change. */
  changes = 0;
  /** The leases in the table. */
  rows = new Map<string, platform.table.Row>();
  /** When leases were written, in milliseconds. */
  readonly writesMs: number[] = [];
  /** True while the table refuses to be read. */
  isRefusingScans = false;
  /** True while writes to the table end with an exception. */
  isWriteFailing = false;
  /** The side of each host in a partition; hosts of different sides don't reach each other. */
  sides = new Map<string, number>();
  /** By how much the wall clock of a host is ahead; 0 unless given. */
  readonly clockAheadMs = new Map<string, number>();
  /** Hosts whose process has ended. */
  readonly ended = new Set<string>();
  /** Links that were closed for their silence. */
  dropped = 0;
  readonly clock: decisions.clock.Clock = {
    nowMs: () => this.nowMs,
    monotonicMs: () => this.nowMs,
  };
  private readonly undelivered: (() => void)[] = [];
  private nowMs = 0;

  constructor(
    private readonly timers: test.MockTimers,
    hosts: number,
    private readonly observer: FleetObserver = {},
  ) {
    for (let i = 0; i < hosts; i++) this.add(`h${i}`);
  }

  /** Cuts hosts off from those of another side, until `heal`. */
  cut(sideOf: (index: number) => number): void {
    [...this.members.keys()].forEach((host, i) =>
      this.sides.set(host, sideOf(i)),
    );
  }

  heal(): void {
    this.sides.clear();
  }

  /** Ends a process without notice. */
  kill(host: string): void {
    this.members.get(host)?.stop();
    this.ended.add(host);
  }

  /** Starts a process again under the name that it had. */
  async restart(host: string): Promise<void> {
    this.ended.delete(host);
    this.add(host, this.nowMs + this.aheadMs(host) + 1);
    await this.members.get(host)?.start();
  }

  /** The hosts that don't count all others as serving. */
  get apart(): readonly string[] {
    const alive = [...this.members].filter(([host]) => !this.ended.has(host));
    return alive
      .filter(([, {serving}]) => serving.length !== alive.length)
      .map(([host]) => host);
  }

  async start(): Promise<void> {
    for (const members of this.members.values()) await members.start();
    await this.advance(SETTLE_MS);
  }

  /** Advances the clock, firing timers and delivering messages. */
  async advance(forMs: number): Promise<void> {
    for (let endMs = this.nowMs + forMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS;
      this.timers.tick(STEP_MS);
      for (const deliver of this.undelivered.splice(0)) deliver();
      await Promise.resolve();
    }
  }

  /** The number of messages of a kind sent so far. */
  count(kind: string): number {
    return this.sent.get(kind) ?? 0;
  }

  /** Adds a host without starting it. */
  add(host: string, incarnation = 1): void {
    const clock: decisions.clock.Clock = {
      ...this.clock,
      nowMs: () => this.nowMs + this.aheadMs(host),
    };
    const send = (to: string, item: peers.messages.Message) => {
      this.sent.set(item.kind, this.count(item.kind) + 1);
      this.undelivered.push(() => this.deliver(host, to, item));
      return true;
    };
    const table = {
      scan: () =>
        this.isRefusingScans
          ? Promise.reject(new Error('refused'))
          : Promise.resolve([...this.rows.values()]),
      commit: ({writes}: platform.table.Transaction) => {
        if (this.isWriteFailing) return Promise.reject(new Error('write'));
        for (const {key, value} of writes) {
          this.writesMs.push(this.nowMs);
          if (value) this.rows.set(key, {key, value, version: 1});
          else this.rows.delete(key);
        }
        return Promise.resolve({kind: 'committed' as const, version: 1});
      },
      read: () => Promise.resolve(new Map()),
    };
    this.members.set(
      host,
      new membersModule.Members({
        ...{table, clock, timeline: new timelines.Timeline(host)},
        router: {send} as unknown as routers.Router,
        random: decisions.random.seeded(decisions.rendezvous.hash32(host)),
        self: {
          ...{host, region: 'r', zone: 'z', callerUrl: '', peerAddress: ''},
          ...{incarnation, state: 'serving'},
        },
        configState: () => ({configNumber: 0, configAgeMs: 0}),
        onChange: () => {
          this.changes++;
          this.observer.onMembers?.(host);
        },
        onConfigState: () => undefined,
        ...{onDead: () => undefined, onSilent: () => void this.dropped++},
      }),
    );
  }

  private aheadMs(host: string): number {
    return this.clockAheadMs.get(host) ?? 0;
  }

  private deliver(
    from: string,
    to: string,
    item: peers.messages.Message,
  ): void {
    if (this.ended.has(from) || this.ended.has(to)) return;
    if (this.sides.get(from) !== this.sides.get(to)) return;
    const members = this.members.get(to);
    this.observer.onHeard?.(to, from);
    members?.onMessageFrom(from);
    if (item.kind === 'probe') members?.onProbe(from, item.body);
    if (item.kind === 'ack') members?.onAck(from, item.body);
    if (item.kind === 'news') members?.onNews(from, item.body.members);
  }
}
