import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as usage from './usage.js';

const SEED = 20261204;
const RUNS = 200;
const RATE: usage.Rate = {perS: 1000, burst: 500};
const KEY = 'a';
const MS_PER_S = 1000;
const REPORT_MS = 200;
const WINDOW_MS = 10 * MS_PER_S;
const HOSTS = ['h1', 'h2', 'h3', 'h4'];

/** Hosts that report to a hub every `REPORT_MS`, except those in `cut`, which cannot reach it. */
class Fleet {
  readonly hosts = new Map(
    HOSTS.map(name => [name, new usage.SharedUsage(WINDOW_MS)]),
  );
  private hub = new usage.Hub('1');
  private lastMs = 0;

  constructor(private readonly disconnected: readonly string[] = []) {}

  /** Runs the reports that are due by `nowMs`. */
  at(nowMs: number): this {
    for (; this.lastMs + REPORT_MS <= nowMs; this.lastMs += REPORT_MS) {
      this.report(this.lastMs + REPORT_MS);
    }
    return this;
  }

  of(host: string): usage.SharedUsage {
    return this.hosts.get(host) as usage.SharedUsage;
  }

  take(host: string, amount: number, nowMs: number): boolean {
    const shared = this.at(nowMs).of(host);
    return shared.take(KEY, amount, RATE, HOSTS.length, nowMs);
  }

  /** Replaces the hub by a new one with another epoch. */
  replaceHub(): void {
    this.hub = new usage.Hub('2');
  }

  private report(atMs: number): void {
    for (const [name, shared] of this.hosts) {
      if (this.disconnected.includes(name)) continue;
      this.hub.onTotals(name, new Map(shared.ownTotals));
    }
    for (const [name, shared] of this.hosts) {
      if (this.disconnected.includes(name)) continue;
      shared.onSums(this.hub.sumsFor(name), atMs);
    }
  }
}

/** Takes 50 for one account every 10 ms, at each host in turn, and returns the amount admitted. */
function flood(fleet: Fleet, fromMs: number, toMs: number): number {
  let taken = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
    const host = HOSTS[(nowMs / 10) % HOSTS.length];
    if (fleet.take(host, 50, nowMs)) taken += 50;
  }
  return taken;
}

test.test(
  'an overloaded account gets its rate and burst over all hosts',
  () => {
    const taken = flood(new Fleet(), 0, 20 * MS_PER_S);
    assert.ok(taken >= 0.9 * 20 * RATE.perS, `${taken}`);
    assert.ok(taken <= 1.1 * (20 * RATE.perS + RATE.burst), `${taken}`);
  },
);

test.test('an overloaded account still gets its rate after a burst', () => {
  const fleet = new Fleet();
  flood(fleet, 0, 5 * MS_PER_S);
  const taken = flood(fleet, 5 * MS_PER_S, 7 * MS_PER_S);
  assert.ok(taken >= 0.8 * 2 * RATE.perS, `${taken}`);
});

test.test(
  'hosts that cannot reach the hub stay within their shares of the rate',
  () => {
    const taken = flood(new Fleet(HOSTS), 0, 20 * MS_PER_S);
    const most = 20 * RATE.perS + (HOSTS.length * RATE.burst) / 2;
    assert.ok(taken <= 1.05 * most, `${taken}`);
  },
);

test.test('a new hub does not count earlier usage again', () => {
  const fleet = new Fleet();
  flood(fleet, 0, 10 * MS_PER_S);
  fleet.replaceHub();
  const taken = flood(fleet, 10 * MS_PER_S, 20 * MS_PER_S);
  assert.ok(taken >= 0.85 * 10 * RATE.perS, `${taken}`);
  assert.ok(taken <= 1.15 * (10 * RATE.perS + RATE.burst), `${taken}`);
});

test.test('a refund is available again on all hosts', () => {
  const fleet = new Fleet();
  assert.ok(fleet.take('h2', 1, 0));
  assert.ok(fleet.take('h1', 200, REPORT_MS));
  fleet.at(3 * REPORT_MS);
  const missing = () => fleet.of('h2').waitMs(KEY, 600, RATE);
  const before = missing();
  fleet.of('h1').refund(KEY, 200);
  fleet.at(5 * REPORT_MS);
  assert.equal(Math.round(before - missing()), 200);
});

test.test('usage of a restarted host is counted from zero', () => {
  const hub = new usage.Hub('1');
  const total = () => hub.sumsFor('h1').sums[0]?.total;
  hub.onTotals('h1', new Map([[KEY, 100]]));
  assert.equal(total(), 0);
  hub.onTotals('h1', new Map([[KEY, 130]]));
  assert.equal(total(), 30);
  hub.onTotals('h1', new Map([[KEY, 7]]));
  assert.equal(total(), 37);
});

// The hosts that reach the hub may together admit the limit, and so may those that do not reach it.
test.test(
  'counts stay within twice the limit plus the admissions of two report intervals, with or without the hub',
  () => {
    const ask = fc.record({host: fc.nat(3), gapMs: fc.nat(40)});
    fc.assert(
      fc.property(
        fc.array(ask, {minLength: 50, maxLength: 400}),
        fc.subarray(HOSTS),
        (asks, disconnected) => {
          const limit = 20;
          const fleet = new Fleet(disconnected);
          const taken: number[] = [];
          let nowMs = 0;
          for (const {host, gapMs} of asks) {
            nowMs += gapMs;
            const shared = fleet.at(nowMs).of(HOSTS[host]);
            if (!shared.fits(KEY, limit, HOSTS.length, nowMs)) continue;
            shared.add(KEY, 1, nowMs);
            taken.push(nowMs);
          }
          for (const startMs of taken) {
            const within = (ms: number) =>
              taken.filter(t => t >= startMs && t < startMs + ms).length;
            const betweenReports = Math.max(
              ...taken.map(
                s => taken.filter(t => t >= s && t < s + 2 * REPORT_MS).length,
              ),
            );
            assert.ok(within(WINDOW_MS) <= 2 * limit + betweenReports);
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  },
);

test.test(
  'many hosts stay near the limit of an overloaded account in every window',
  () => {
    const names = Array.from({length: 66}, (_, i) => `h${i}`);
    const hosts = new Map(
      names.map(name => [name, new usage.SharedUsage(WINDOW_MS)]),
    );
    const hub = new usage.Hub('1');
    const rate = {perS: 100_000, burst: 200_000};
    const windowMs = 8 * MS_PER_S;
    // Sums from a busy hub arrive late, just within SUMS_TTL_MS.
    const reportMs = 1100;
    const taken: {readonly atMs: number; readonly amount: number}[] = [];
    // The hosts in turn take 7.5 times the rate in total.
    const amount = 4000;
    const stepMs = (amount * MS_PER_S) / (7.5 * rate.perS);
    for (let nowMs = 0; nowMs < 30 * MS_PER_S; nowMs += stepMs) {
      const isReport =
        Math.floor(nowMs / reportMs) > (nowMs - stepMs) / reportMs;
      if (isReport) {
        for (const [name, shared] of hosts) {
          hub.onTotals(name, new Map(shared.ownTotals));
        }
        for (const [name, shared] of hosts) {
          shared.onSums(hub.sumsFor(name), nowMs);
        }
      }
      const name = names[Math.floor(nowMs / stepMs) % names.length];
      const shared = hosts.get(name) as usage.SharedUsage;
      if (shared.take(KEY, amount, rate, names.length, nowMs)) {
        taken.push({atMs: nowMs, amount});
      }
    }
    const used = (fromMs: number) =>
      taken
        .filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs)
        .reduce((sum, each) => sum + each.amount, 0);
    const allowed = ((rate.perS * windowMs) / MS_PER_S + rate.burst) * 1.1;
    for (let fromMs = 0; fromMs <= 22 * MS_PER_S; fromMs += 500) {
      assert.ok(used(fromMs) <= allowed, `${used(fromMs)} from ${fromMs}`);
    }
    assert.ok(used(15 * MS_PER_S) >= 0.75 * rate.perS * (windowMs / MS_PER_S));
  },
);
