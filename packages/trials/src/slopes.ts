// How the resource use of hosts grows with the number of hosts, the rate of
// requests and the number of client accounts (`npm run slopes`).

import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';

import type * as decisions from '@banyanhall/decisions';
import type * as operators from '@banyanhall/operators';
import got from 'got';

import * as callers from './caller.js';
import * as figures from './figures.js';
import * as fleets from './fleet.js';
import * as plans from './plans.js';

/** The time without changes before the first measurement of a fleet. */
const SETTLE_MS = 4000;
const WINDOW_MS = 10_000;
const CHANGE_COUNT = 8;
const ACCOUNTS_IN_ONE_CHANGE = 2000;

/** Counters of all hosts, of their network traffic and of the store at one time. */
interface Snapshot {
  readonly atMs: number;
  readonly usages: readonly operators.api.HostUsage[];
  readonly peerWireBytes: number;
  readonly storeWireBytes: number;
  readonly store: {readonly reads: number; readonly writes: number};
}

/** Resource use between two snapshots: means per host, but totals for the reads and writes of the store. `heapMb` and `rssMb` are those of the last snapshot. */
interface Rates {
  readonly cpuPercent: number;
  readonly peerWireBytesPerS: number;
  readonly storeWireBytesPerS: number;
  readonly peerItemsPerS: number;
  readonly heapMb: number;
  readonly rssMb: number;
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
}

async function takeSnapshot(fleet: fleets.Fleet): Promise<Snapshot> {
  const statuses = await Promise.all(
    fleet.running.map(host =>
      fleet.callOperator<operators.api.Status>(host, '/operator/status'),
    ),
  );
  const store = await got(`${fleet.platformUrl}/counts`).json<{
    readonly reads: number;
    readonly writes: number;
  }>();
  const wire = (pick: (host: fleets.Host) => number) =>
    fleet.hosts.reduce((sum, host) => sum + pick(host), 0);
  return {
    atMs: performance.now(),
    usages: statuses.map(status => status.usage),
    peerWireBytes: wire(host => host.peerRelay.passedBytes),
    storeWireBytes: wire(host => host.platformRelay.passedBytes),
    store,
  };
}

function ratesBetween(first: Snapshot, last: Snapshot): Rates {
  const seconds = (last.atMs - first.atMs) / 1000;
  const hosts = last.usages.length;
  const mean = (pick: (usage: operators.api.HostUsage) => number) =>
    last.usages.reduce((sum, usage) => sum + pick(usage), 0) / hosts;
  const rate = (pick: (usage: operators.api.HostUsage) => number) => {
    const before = first.usages.reduce((sum, usage) => sum + pick(usage), 0);
    const after = last.usages.reduce((sum, usage) => sum + pick(usage), 0);
    return (after - before) / hosts / seconds;
  };
  const mb = 1024 * 1024;
  return {
    cpuPercent: rate(usage => usage.cpuMs) / 10,
    peerWireBytesPerS:
      (last.peerWireBytes - first.peerWireBytes) / hosts / seconds,
    storeWireBytesPerS:
      (last.storeWireBytes - first.storeWireBytes) / hosts / seconds,
    peerItemsPerS: rate(usage => usage.peerItems),
    heapMb: mean(usage => usage.heapBytes) / mb,
    rssMb: mean(usage => usage.rssBytes) / mb,
    storeReadsPerS: (last.store.reads - first.store.reads) / seconds,
    storeWritesPerS: (last.store.writes - first.store.writes) / seconds,
  };
}

/** Measures resource use while `work` runs. */
async function measureWindow(
  fleet: fleets.Fleet,
  work: () => Promise<void> = () => timers.setTimeout(WINDOW_MS),
): Promise<Rates> {
  const first = await takeSnapshot(fleet);
  await work();
  return ratesBetween(first, await takeSnapshot(fleet));
}

function printRates(label: string, rates: Rates, note = ''): void {
  const cells = figures.row(
    rates.cpuPercent.toFixed(2),
    Math.round(rates.peerWireBytesPerS),
    Math.round(rates.storeWireBytesPerS),
    rates.peerItemsPerS.toFixed(1),
    rates.heapMb.toFixed(1),
    rates.rssMb.toFixed(0),
    rates.storeReadsPerS.toFixed(1),
    rates.storeWritesPerS.toFixed(1),
  );
  console.log(`${label.padEnd(28)}${cells}  ${note}`);
}

function printHeader(): void {
  const cells = figures.row(
    ...['cpu %', 'peer B/s', 'store B/s', 'items/s'],
    ...['heap MB', 'rss MB', 'reads/s', 'writes/s'],
  );
  console.log(`${'per host (store: all)'.padEnd(28)}${cells}`);
}

/** A plan with 13 availability zones in 5 regions. */
function plan(hosts: number): fleets.FleetPlan {
  return {
    ...plans.DEFAULT_PLAN,
    hosts,
    locations: Array.from({length: 13}, (_, i) => ({
      region: `region-${(i % 5) + 1}`,
      zone: `zone-${i + 1}`,
    })),
  };
}

/** Measures hosts without load, which shows the cost of membership and configuration, and then changes of the configuration. */
async function measureIdle(hosts: number): Promise<void> {
  const fleet = await fleets.Fleet.start(plan(hosts));
  try {
    await timers.setTimeout(SETTLE_MS);
    printRates(`idle, ${hosts} hosts`, await measureWindow(fleet));
    await measureChanges(fleet, hosts);
  } finally {
    await fleet.stop();
  }
}

/** Commits changes of the configuration one after the other and measures how long each takes to be in force on every host. */
async function measureChanges(
  fleet: fleets.Fleet,
  hosts: number,
): Promise<void> {
  const timesMs: number[] = [];
  const rates = await measureWindow(fleet, async () => {
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const profile = {...plans.PROFILES[0], deadlineMs: 8000 + i};
      const startedMs = performance.now();
      await fleet.commitChange([
        {entry: 'profile', name: profile.name, value: profile},
      ]);
      timesMs.push(performance.now() - startedMs);
    }
  });
  const p50 = figures.quantile(timesMs, 0.5).toFixed(0);
  const most = Math.max(...timesMs).toFixed(0);
  printRates(
    `changes, ${hosts} hosts`,
    rates,
    `in force: median ${p50} ms, most ${most} ms`,
  );
}

/** Measures hosts at a constant rate of requests: credits, each of which needs a claim, or chats of 4 tokens. Traffic to keepers is included. */
async function measureRequests(perS: number, isCredit: boolean): Promise<void> {
  const fleet = await fleets.Fleet.start(plan(8));
  const caller = new callers.Caller(fleet.hosts.map(host => host.callerUrl));
  try {
    await timers.setTimeout(SETTLE_MS);
    const rates = await measureWindow(fleet, () =>
      sendAtRate(caller, perS, isCredit),
    );
    const kind = isCredit ? 'claimed calls' : 'chats of 4 tokens';
    const snapshot = await takeSnapshot(fleet);
    const commits = snapshot.usages.reduce((sum, u) => sum + u.claimCommits, 0);
    const rows = snapshot.usages.reduce((sum, u) => sum + u.claimRows, 0);
    const note = isCredit ? `${rows} claim rows in ${commits} commits` : '';
    printRates(`${perS}/s ${kind}, 8 hosts`, rates, note);
  } finally {
    caller.close();
    await fleet.stop();
  }
}

async function sendAtRate(
  caller: callers.Caller,
  perS: number,
  isCredit: boolean,
): Promise<void> {
  const [account] = plans.DEFAULT_PLAN.accounts;
  const pending: Promise<unknown>[] = [];
  const count = Math.round((perS * WINDOW_MS) / 1000);
  for (let i = 0; i < count; i++) {
    const chatRequest = {
      ...{account, profile: 'gate', service: 'tray-scribe'},
      ...{prompt: `request ${i}`, maxTokens: 4, timeoutMs: 10_000},
    };
    pending.push(
      isCredit
        ? caller.plain(account, 'credit', 'tray-ledger/credits', {})
        : caller.chat(chatRequest),
    );
    await timers.setTimeout(1000 / perS);
  }
  await Promise.all(pending);
}

/** Measures the memory that a configuration with `count` client accounts takes on idle hosts, and then changes of the configuration. */
async function measureAccounts(count: number): Promise<void> {
  const fleet = await fleets.Fleet.start(plan(8));
  try {
    for (let at = 0; at < count; at += ACCOUNTS_IN_ONE_CHANGE) {
      await fleet.commitChange(
        accountEdits(at, Math.min(count, at + ACCOUNTS_IN_ONE_CHANGE)),
      );
    }
    await timers.setTimeout(SETTLE_MS);
    printRates(`${count} accounts, 8 hosts`, await measureWindow(fleet));
    await measureChanges(fleet, 8);
  } finally {
    await fleet.stop();
  }
}

function accountEdits(
  from: number,
  to: number,
): readonly decisions.config.Edit[] {
  return Array.from({length: to - from}, (_, i) => {
    const name = `account-${from + i}`;
    const value = {
      name,
      keySha256: crypto.createHash('sha256').update(name).digest('hex'),
      profiles: ['gate', 'clerk', 'batch'],
      maxInFlight: 64,
      weight: 1,
    };
    return {entry: 'account', name, value};
  });
}

const SECTIONS: Readonly<
  Record<string, (sizes: readonly number[]) => Promise<void>>
> = {
  hosts: async sizes => {
    for (const hosts of sizes) await measureIdle(hosts);
  },
  requests: async () => {
    for (const perS of [20, 40, 80]) await measureRequests(perS, false);
  },
  claims: async () => {
    for (const perS of [20, 40, 80]) await measureRequests(perS, true);
  },
  accounts: async () => {
    for (const count of [1000, 10_000, 34_000]) await measureAccounts(count);
  },
};

async function main(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      section: {type: 'string', default: Object.keys(SECTIONS).join(',')},
      hosts: {type: 'string', default: '8,16,32,64'},
    },
  });
  printHeader();
  const sizes = values.hosts.split(',').map(Number);
  for (const name of values.section.split(',')) await SECTIONS[name](sizes);
}

await main();
