import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as usage from './usage.js';

const SEED = 20261204;
const RUNS = 200;
const RATE: usage.Rate = {perS: 1000, burst: 500};
const KEY = 'a';
const S = 1000;

/** Hosts that report to each other every `everyMs`; `cut` ones hear and are heard by nobody. */
class Fleet {
  private readonly buckets: ReadonlyMap<string, usage.SharedBuckets>;
  private lastMs = 0;

  constructor(
    names: readonly string[],
    private readonly everyMs: number,
    private readonly cut: readonly string[] = [],
  ) {
    this.buckets = new Map(
      names.map(name => [name, new usage.SharedBuckets()]),
    );
  }

  take(host: string, amount: number, nowMs: number): boolean {
    for (; this.lastMs + this.everyMs <= nowMs; this.lastMs += this.everyMs) {
      this.report(this.lastMs + this.everyMs);
    }
    const others = [...this.buckets.keys()].filter(name => name !== host);
    const bucket = this.buckets.get(host) as usage.SharedBuckets;
    return bucket.take(KEY, amount, RATE, others, nowMs);
  }

  private report(atMs: number): void {
    for (const [from, bucket] of this.buckets) {
      const amounts = new Map(bucket.ownTotals);
      for (const [to, other] of this.buckets) {
        if (from === to || this.cut.includes(from) || this.cut.includes(to)) {
          continue;
        }
        other.onReport({host: from, atMs, amounts});
      }
    }
  }
}

/** What a hot account gets over `forMs` when it asks every 10 ms at each host in turn. */
function flood(fleet: Fleet, hosts: readonly string[], forMs: number): number {
  let taken = 0;
  for (let nowMs = 0; nowMs < forMs; nowMs += 10) {
    const host = hosts[(nowMs / 10) % hosts.length];
    if (fleet.take(host, 50, nowMs)) taken += 50;
  }
  return taken;
}

const HOSTS = ['h1', 'h2', 'h3', 'h4'];

test.test('hot account gets its rate and burst over all hosts', () => {
  const taken = flood(new Fleet(HOSTS, 200), HOSTS, 20 * S);
  assert.ok(taken >= 0.85 * 20 * RATE.perS, `${taken}`);
  assert.ok(taken <= 1.15 * (20 * RATE.perS + RATE.burst), `${taken}`);
});

test.test('hot account is not shut out after a burst', () => {
  const fleet = new Fleet(HOSTS, 200);
  flood(fleet, HOSTS, 5 * S);
  let taken = 0;
  for (let nowMs = 5 * S; nowMs < 7 * S; nowMs += 10) {
    if (fleet.take('h1', 50, nowMs)) taken += 50;
  }
  assert.ok(taken >= 0.7 * 2 * RATE.perS, `${taken}`);
});

test.test(
  'hosts cut from each other stay within their shares of the rate',
  () => {
    const fleet = new Fleet(HOSTS, 200, HOSTS);
    const taken = flood(fleet, HOSTS, 20 * S);
    const most = 20 * RATE.perS + HOSTS.length * RATE.burst;
    assert.ok(taken <= 1.05 * most, `${taken}`);
  },
);

test.test('what is put back can be taken again', () => {
  const buckets = new usage.SharedBuckets();
  assert.ok(buckets.take(KEY, 250, RATE, [], 0));
  assert.ok(!buckets.take(KEY, 250, RATE, [], 0));
  buckets.giveBack(KEY, 250);
  assert.ok(buckets.take(KEY, 250, RATE, [], 0));
});

test.test('a restarted host does not take its old totals again', () => {
  const buckets = new usage.SharedBuckets();
  buckets.take(KEY, 1, RATE, ['h2'], 0);
  const report = (total: number, atMs: number) =>
    buckets.onReport({host: 'h2', atMs, amounts: new Map([[KEY, total]])});
  report(5000, 0);
  assert.equal(Math.round(buckets.waitMs(KEY, 249, RATE)), 0);
  report(10, 100);
  assert.ok(buckets.waitMs(KEY, 249, RATE) > 0);
});

test.test('repeats of all hosts stay within the limit and one report', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({host: fc.nat(3), gapMs: fc.nat(40)}), {
        minLength: 50,
        maxLength: 400,
      }),
      asks => {
        const limit = 20;
        const windowMs = 10 * S;
        const all = HOSTS.map(
          () => new usage.SharedUsage(windowMs, -2 * windowMs),
        );
        const taken: number[] = [];
        let nowMs = 0;
        let reportedMs = 0;
        for (const {host, gapMs} of asks) {
          nowMs += gapMs;
          if (nowMs - reportedMs >= 400) {
            reportedMs = nowMs;
            all.forEach((from, i) =>
              all.forEach((to, j) => {
                if (i === j) return;
                const amounts = from.report(nowMs);
                to.onReport({host: HOSTS[i], atMs: nowMs, amounts});
              }),
            );
          }
          const others = HOSTS.filter((_, i) => i !== host);
          if (!all[host].fits(KEY, 1, limit, others, nowMs)) continue;
          all[host].use(KEY, 1, nowMs);
          taken.push(nowMs);
        }
        for (const startMs of taken) {
          const inWindow = taken.filter(
            t => t >= startMs && t < startMs + windowMs,
          );
          const unseen = taken.filter(
            t => t >= startMs && t < startMs + 2 * 440,
          );
          assert.ok(inWindow.length <= limit + unseen.length + limit);
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});
