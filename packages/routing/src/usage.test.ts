import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as usage from './usage.js';

const SEED = 20261204;
const RUNS = 200;
const KEY = 'a';
const MS_PER_S = 1000;
const REPORT_MS = 200;
const WINDOW_MS = 10 * MS_PER_S;
const HOSTS = ['h1', 'h2', 'h3', 'h4'];

/** Hosts that report to a hub every `REPORT_MS`, except those in `cut`, which cannot reach it. */
class Fleet {
  readonly hosts = new Map(
    HOSTS.map(name => [name, new usage.SharedUsage(WINDOW_MS, 0, () => 0.5)]),
  );
  private readonly hub = new usage.Hub('1', WINDOW_MS);
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

  private report(atMs: number): void {
    for (const [name, shared] of this.hosts) {
      if (this.disconnected.includes(name)) continue;
      this.hub.onUsage(name, shared.report(atMs), atMs);
    }
    for (const [name, shared] of this.hosts) {
      if (this.disconnected.includes(name)) continue;
      shared.onSums(this.hub.sumsFor(name, atMs), atMs);
    }
  }
}

function reportOf(amount: number): usage.Report {
  return {entries: [{key: KEY, amount, own: 0, recent: 0}], knownMs: 0};
}

test.test('usage of a restarted host is counted from zero', () => {
  const hub = new usage.Hub('1', WINDOW_MS);
  const total = () => hub.sumsFor('h1', 0).sums[0]?.total;
  hub.onUsage('h1', reportOf(100), 0);
  assert.equal(total(), 0);
  hub.onUsage('h1', reportOf(130), 300);
  assert.equal(total(), 30);
  hub.onUsage('h1', reportOf(7), 600);
  assert.equal(total(), 37);
});

// Guards against a budget that is raised by all that a host counted in a long partition.
test.test('a host that returns is counted from its return', () => {
  const hub = new usage.Hub('1', WINDOW_MS);
  const total = () => hub.sumsFor('h1', 0).sums[0]?.total;
  hub.onUsage('h1', reportOf(100), 0);
  hub.onUsage('h1', reportOf(900), 60_000);
  assert.equal(total(), 0);
  hub.onUsage('h1', reportOf(930), 60_300);
  assert.equal(total(), 30);
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
            const limits = {soft: limit, hard: 2 * limit};
            if (!shared.fits(KEY, limits, HOSTS.length, nowMs)) continue;
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

/** Spends a budget, loses the hub and all hosts but `survivors`, and returns for how long after their return nothing may be used. */
function spentMs(survivors: number, darkMs: number): number {
  const create = () => new usage.SharedUsage(WINDOW_MS, 0, () => 0.5);
  const before = HOSTS.map(create);
  let hub = new usage.Hub('1', WINDOW_MS);
  const report = (hosts: readonly usage.SharedUsage[], atMs: number): void => {
    hosts.forEach((host, i) => hub.onUsage(HOSTS[i], host.report(atMs), atMs));
    hosts.forEach((host, i) => host.onSums(hub.sumsFor(HOSTS[i], atMs), atMs));
  };
  for (let nowMs = 0; nowMs < 2000; nowMs += REPORT_MS) {
    for (const host of before) host.add(KEY, 5, nowMs);
    report(before, nowMs);
  }
  hub = new usage.Hub('2', WINDOW_MS);
  const after = before.map((host, i) => (i < survivors ? host : create()));
  const backMs = 2000 + darkMs;
  let lastMs = backMs;
  for (let nowMs = backMs; nowMs < 40_000; nowMs += REPORT_MS) {
    report(after, nowMs);
    const limits = {soft: 20, hard: 40};
    const canUse = after.every(host =>
      host.fits(KEY, limits, HOSTS.length, nowMs),
    );
    if (!canUse) lastMs = nowMs;
  }
  return lastMs - backMs;
}

// Guards against a budget that stays spent for longer than a window after a loss of power, as hosts tell each other of its use (RECOVER).
test.test('a spent budget is back a window after its hub', () => {
  for (const survivors of [1, 3]) {
    for (const darkMs of [0, 1000, 3100, 4000, 6000, 9000]) {
      const spent = spentMs(survivors, darkMs);
      const detail = `${survivors} survivors, dark for ${darkMs} ms: spent for ${spent} ms`;
      assert.ok(spent > 0 && spent <= WINDOW_MS + usage.BUCKET_MS, detail);
    }
  }
});
