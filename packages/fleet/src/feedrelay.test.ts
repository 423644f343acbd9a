import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as decisions from '@banyanhall/decisions';
import type * as peers from '@banyanhall/peers';

import * as feedrelay from './feedrelay.js';

const TABLE = 'servers';
const HEARTBEAT_MS = 500;
const MAX_AGE_MS = 1300;

/** Returns the position of a revision in the first era. */
function at(revision: number, era = 1): decisions.storeposition.StorePosition {
  return decisions.storeposition.StorePosition.of(era, revision);
}

/** A row of text `x` at a revision. */
function row(revision: number, text = 'x', era = 1): feedrelay.FeedRow {
  return {key: `k${revision}`, text, position: at(revision, era)};
}

/** Expects a batch and returns it. */
function batchOf(
  read: feedrelay.FeedBatch | 'restored' | undefined,
): feedrelay.FeedBatch {
  assert.ok(read !== undefined && read !== 'restored');
  return read;
}

function memberOf(i: number, zones: number): decisions.membership.Member {
  return {
    ...{host: `h${i}`, region: 'r', zone: `z${i % zones}`, callerUrl: ''},
    ...{peerAddress: '', incarnation: 1, state: 'serving', cores: 1},
  };
}

/** Hosts whose messages arrive at once, except those from and to `frozen` hosts. */
class Fleet {
  nowMs = 10_000;
  /** How far the wall clock is ahead of the monotonic one. */
  wallAheadMs = 0;
  messages = 0;
  /** The era of the store. */
  era = 1;
  /** True if hosts run a build that states no era. */
  isOldBuild = false;
  readonly frozen = new Set<string>();
  /** The hosts whose feed calls hang. */
  readonly unanswered = new Set<string>();
  members: readonly decisions.membership.Member[];
  private readonly relays = new Map<string, feedrelay.FeedRelay>();

  constructor(hosts: number, zones: number) {
    this.members = Array.from({length: hosts}, (_, i) => memberOf(i, zones));
    const clock = {
      nowMs: () => this.nowMs + this.wallAheadMs,
      monotonicMs: () => this.nowMs,
    };
    for (const {host, zone} of this.members) {
      const relay = new feedrelay.FeedRelay({
        ...{host, zone, clock, serving: () => this.members},
        send: (to, item) => this.deliver(host, to, item),
      });
      this.relays.set(host, relay);
    }
  }

  of(host: string): feedrelay.FeedRelay {
    return this.relays.get(host) as feedrelay.FeedRelay;
  }

  get watchers(): readonly string[] {
    return this.members
      .map(({host}) => host)
      .filter(host => this.of(host).isWatcher);
  }

  get follower(): feedrelay.FeedRelay {
    const found = this.members.find(({host}) => !this.of(host).isWatcher);
    return this.of(found?.host ?? '');
  }

  /**
   * Lets time pass in heartbeats of all hosts that are not frozen. With a
   * `revision`, the store answers each watcher as often that nothing changed.
   */
  pass(forMs: number, revision?: number): void {
    for (let ms = 0; ms < forMs; ms += HEARTBEAT_MS) {
      this.nowMs += HEARTBEAT_MS;
      for (const [host, relay] of this.relays) {
        if (!this.frozen.has(host)) relay.tick();
      }
      if (revision !== undefined) this.read(revision, revision, []);
    }
  }

  /** All watchers read a batch from the store. */
  read(from: number, to: number, rows: readonly feedrelay.FeedRow[]): void {
    for (const host of this.watchers) {
      if (!this.frozen.has(host) && !this.unanswered.has(host))
        this.of(host).publish(TABLE, {
          from: at(from, this.era),
          to: at(to, this.era),
          rows,
        });
    }
  }

  private deliver(
    from: string,
    to: string,
    item: peers.messages.Message,
  ): void {
    this.messages++;
    if (this.frozen.has(from) || this.frozen.has(to)) return;
    if (item.kind !== 'feed') return;
    const hidden = this.isOldBuild && {hasEra: false, era: 0};
    this.of(to).onFeed(from, {...item.body, ...hidden});
  }
}

test.test('each zone has two watchers, a small fleet three', () => {
  assert.equal(new Fleet(195, 6).watchers.length, 12);
  assert.equal(new Fleet(9, 3).watchers.length, 3);
});

test.test('a follower gets the changes of a watcher', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, [row(7)]);
  const batch = await fleet.follower.next(TABLE, at(6), MAX_AGE_MS);
  assert.deepEqual(batch, {from: at(5), to: at(8), rows: [row(7)]});
});

test.test('a follower waits for the next change', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, [row(7)]);
  const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS);
  fleet.read(8, 9, [row(9)]);
  assert.deepEqual(batchOf(await next).rows, [row(9)]);
});

test.test('a host reads the store until it hears a watcher', async () => {
  assert.equal(
    await new Fleet(61, 6).follower.next(TABLE, at(1), MAX_AGE_MS),
    undefined,
  );
});

test.test('a follower that missed a batch reads the store', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, [row(7)]);
  assert.equal(await fleet.follower.next(TABLE, at(4), MAX_AGE_MS), undefined);
});

test.test('one of the watchers may be frozen', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, []);
  const zone = fleet.members.find(m => fleet.of(m.host) === fleet.follower);
  const near = feedrelay.watchersOf(zone?.zone ?? '', fleet.members);
  fleet.frozen.add(near[0]);
  fleet.pass(4000, 8);
  const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS);
  fleet.read(8, 10, [row(10)]);
  assert.deepEqual(batchOf(await next).rows, [row(10)]);
});

test.test(
  'a follower reads the store when all watchers are silent',
  async () => {
    const fleet = new Fleet(61, 6);
    fleet.read(5, 8, []);
    for (const host of fleet.watchers) fleet.frozen.add(host);
    fleet.pass(1500);
    assert.equal(
      await fleet.follower.next(TABLE, at(8), MAX_AGE_MS),
      undefined,
    );
  },
);

// Guards against a change that comes late because followers take a watcher's heartbeat for news of the store.
test.test(
  'a follower reads the store when the calls of all watchers hang',
  async () => {
    const fleet = new Fleet(9, 3);
    fleet.read(5, 8, []);
    for (const host of fleet.watchers) fleet.unanswered.add(host);
    fleet.pass(1500, 8);
    assert.equal(
      await fleet.follower.next(TABLE, at(8), MAX_AGE_MS),
      undefined,
    );
  },
);

test.test('the calls of one watcher may hang', async () => {
  const fleet = new Fleet(9, 3);
  fleet.read(5, 8, []);
  fleet.unanswered.add(fleet.watchers[0]);
  fleet.pass(4000, 8);
  const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS);
  fleet.read(8, 10, [row(10)]);
  assert.deepEqual(batchOf(await next).rows, [row(10)]);
});

test.test(
  'a watcher whose monotonic clock stood still says nothing until it has read',
  async () => {
    const fleet = new Fleet(9, 3);
    fleet.read(5, 8, []);
    fleet.wallAheadMs += 4000;
    fleet.pass(HEARTBEAT_MS);
    fleet.pass(1500);
    assert.equal(
      await fleet.follower.next(TABLE, at(8), MAX_AGE_MS),
      undefined,
    );
  },
);

test.test('a watcher that wakes says nothing until it has read', async () => {
  const fleet = new Fleet(61, 6);
  const {watchers, follower} = fleet;
  fleet.read(5, 8, []);
  for (const host of watchers) fleet.frozen.add(host);
  fleet.pass(4000);
  fleet.frozen.clear();
  fleet.pass(HEARTBEAT_MS);
  assert.equal(await follower.next(TABLE, at(8), MAX_AGE_MS), undefined);
  fleet.read(8, 12, [row(11)]);
  assert.deepEqual(
    batchOf(await follower.next(TABLE, at(8), MAX_AGE_MS)).rows,
    [row(11)],
  );
});

test.test('older news of another watcher is left out', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, [row(7)]);
  fleet.read(3, 6, [row(4)]);
  const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS);
  fleet.read(8, 9, [row(9)]);
  assert.deepEqual(batchOf(await next).to, at(9));
});

test.test(
  'a follower turns to the store as soon as it refuses the watchers',
  async () => {
    const fleet = new Fleet(61, 6);
    fleet.read(5, 8, []);
    const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS);
    for (const host of fleet.watchers) fleet.of(host).publishFailure(TABLE);
    assert.equal(await next, undefined);
  },
);

test.test('large rows are announced, not passed on', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, [row(7, 'x'.repeat(100_000))]);
  assert.equal(await fleet.follower.next(TABLE, at(6), MAX_AGE_MS), undefined);
});

test.test('a follower that becomes a watcher reads the store', async () => {
  const fleet = new Fleet(61, 6);
  fleet.read(5, 8, []);
  const {follower, watchers} = fleet;
  const next = follower.next(TABLE, at(8), MAX_AGE_MS);
  const isFollower = ({host}: decisions.membership.Member) =>
    fleet.of(host) === follower;
  fleet.members = fleet.members.filter(
    m => isFollower(m) || !watchers.includes(m.host),
  );
  fleet.members = fleet.members.filter(isFollower);
  follower.onMembers();
  assert.equal(await next, undefined);
});

test.test('heartbeats grow with the hosts, not with their square', () => {
  const perHostS = (hosts: number): number => {
    const fleet = new Fleet(hosts, 6);
    fleet.read(5, 8, []);
    fleet.messages = 0;
    fleet.pass(10_000);
    return fleet.messages / hosts / 10;
  };
  for (const hosts of [61, 195, 320]) assert.ok(perHostS(hosts) <= 4);
});

// Guards against a follower that compares revisions of two eras and takes an older watcher's word for the newer store.
test.test(
  'a watcher of an earlier era neither applies nor confirms',
  async () => {
    const fleet = new Fleet(9, 3);
    fleet.read(5, 8, []);
    fleet.read(8, 12, [row(11)]);
    assert.equal(
      await fleet.follower.next(TABLE, at(8, 2), MAX_AGE_MS),
      undefined,
    );
  },
);

// Guards against a follower that goes on from a position that the restored store does not have, or has as another one.
test.test(
  'a follower lists the table when a watcher has read a later era',
  async () => {
    const fleet = new Fleet(9, 3);
    const {follower} = fleet;
    fleet.read(5, 8, []);
    const next = follower.next(TABLE, at(8), MAX_AGE_MS);
    fleet.era = 2;
    fleet.read(3, 3, []);
    assert.equal(await next, 'restored');
    // Told once: if the list shows no later era, the follower reads the store itself.
    assert.equal(await follower.next(TABLE, at(8), MAX_AGE_MS), undefined);
    const after = follower.next(TABLE, at(3, 2), MAX_AGE_MS);
    fleet.read(3, 4, [row(4, 'x', 2)]);
    assert.deepEqual(batchOf(await after), {
      ...{from: at(3, 2), to: at(4, 2), rows: [row(4, 'x', 2)]},
    });
  },
);

// Guards against followers that wait for a watcher although another call of theirs has shown a restore.
test.test('an aborted wait ends at once', async () => {
  const fleet = new Fleet(9, 3);
  fleet.read(5, 8, []);
  const abort = new AbortController();
  const {signal} = abort;
  const next = fleet.follower.next(TABLE, at(8), MAX_AGE_MS, signal);
  abort.abort();
  assert.equal(await next, undefined);
});

test.test('a watcher that knows of a restore confirms no earlier era', () => {
  const fleet = new Fleet(9, 3);
  fleet.read(5, 8, []);
  for (const host of fleet.watchers) fleet.of(host).onStoreRestored();
  fleet.messages = 0;
  fleet.pass(HEARTBEAT_MS);
  assert.equal(fleet.messages, 0);
});

test.test('a host follows watchers of a build that states no era', async () => {
  const fleet = new Fleet(9, 3);
  const {follower} = fleet;
  fleet.isOldBuild = true;
  const first = follower.next(TABLE, at(8), MAX_AGE_MS);
  assert.equal(await first, undefined);
  fleet.read(8, 8, []);
  const next = follower.next(TABLE, at(8), MAX_AGE_MS);
  fleet.read(8, 9, [row(9)]);
  assert.deepEqual(batchOf(await next).rows, [row(9)]);
});

// Guards against revisions of an unknown era, which may be of the store before it came back.
test.test(
  'after a restore a build that states no era is not followed',
  async () => {
    const fleet = new Fleet(9, 3);
    const {follower} = fleet;
    fleet.isOldBuild = true;
    await follower.next(TABLE, at(8), MAX_AGE_MS);
    await follower.next(TABLE, at(3, 2), MAX_AGE_MS);
    fleet.read(8, 9, [row(9)]);
    assert.equal(await follower.next(TABLE, at(3, 2), MAX_AGE_MS), undefined);
  },
);

// Guards against a watcher that knows no changes while the store refuses it, and one that keeps batches that it has read itself.
test.test('a watcher takes changes from another one', () => {
  const fleet = new Fleet(4, 1);
  const [refused] = fleet.watchers;
  fleet.unanswered.add(refused);
  fleet.read(10, 11, []);
  fleet.read(11, 12, [row(12)]);
  const first = batchOf(fleet.of(refused).take(TABLE, at(10)));
  const next = fleet.of(refused).take(TABLE, first.to);
  assert.deepEqual(batchOf(next).rows, [row(12)]);
  assert.equal(fleet.of(refused).take(TABLE, at(12)), undefined);
  assert.equal(fleet.of(refused).take(TABLE, at(11, 2)), undefined);
  fleet.unanswered.clear();
  fleet.read(12, 14, [row(14)]);
  fleet.of(refused).publish(TABLE, {from: at(12), to: at(14), rows: []});
  assert.equal(fleet.of(refused).take(TABLE, at(12)), undefined);
});
