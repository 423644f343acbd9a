// Lookup responses after hosts are lost, without network.

import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as membersplay from '@banyanhall/fleet/membersplay.js';

import * as addresses from './addresses.js';
import * as logs from './logs.js';
import * as verifiedhosts from './verifiedhosts.js';

/** A host that was lost for longer must not be named: `connected-ms`, and 3 s for lookups. */
const NAMED_FOR_MS = 3000 + 3000;
/** The responses of all hosts together that may name one later. */
const MAX_STALE = 3;
const POLL_MS = 100;
const CALLERS = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];

/** A fleet whose lookup responses are read. */
class LookupFleet {
  private readonly lostMs = new Map<string, number>();
  private readonly fleet: membersplay.TestFleet;
  private nowMs = 0;
  private added: number;
  /** The responses that named a host that was lost long before. */
  readonly stale: string[] = [];
  /** How many hosts the latest response of each host named. */
  readonly namedLast = new Map<string, number>();

  private readonly verified = new Map<string, verifiedhosts.VerifiedHosts>();

  constructor(timers: test.MockTimers, hosts: number) {
    this.fleet = new membersplay.TestFleet(timers, hosts, {
      onHeard: (host, from) => this.verifiedOf(host).onHeard(from),
      onMembers: host => {
        const view = this.fleet.members.get(host)?.view;
        if (view) this.verifiedOf(host).onMembers(view);
      },
    });
    this.added = hosts;
  }

  async start(): Promise<void> {
    await this.fleet.start();
  }

  get running(): readonly string[] {
    const {members, ended} = this.fleet;
    return [...members.keys()].filter(host => !ended.has(host));
  }

  kill(hosts: readonly string[]): void {
    for (const host of hosts) {
      this.fleet.kill(host);
      this.lostMs.set(host, this.nowMs);
    }
  }

  /** Starts hosts at once, those that were lost and a new one. */
  async startHosts(hosts: readonly string[]): Promise<void> {
    const added = `h${this.added++}`;
    for (const host of hosts) {
      this.lostMs.delete(host);
      this.verified.delete(host);
    }
    await Promise.all([...hosts, added].map(host => this.fleet.restart(host)));
  }

  /** Lets time pass, and reads the responses of all running hosts. */
  async pass(forMs: number): Promise<void> {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs;) {
      await this.fleet.advance(POLL_MS);
      this.nowMs += POLL_MS;
      for (const host of this.running) this.lookUp(host);
    }
  }

  /** Throws if responses named lost hosts, or if they name too few running ones now. */
  check(): void {
    const {stale, running} = this;
    const detail = `${stale.length}: ${stale.slice(0, 5).join('; ')}`;
    assert.ok(stale.length <= MAX_STALE, detail);
    const expected = Math.min(addresses.MAX_ADDRESSES, running.length);
    for (const host of running) {
      assert.equal(this.namedLast.get(host), expected, host);
    }
  }

  private verifiedOf(host: string): verifiedhosts.VerifiedHosts {
    const known = this.verified.get(host);
    if (known) return known;
    const {fleet} = this;
    const created = new verifiedhosts.VerifiedHosts({
      ...{host, log: logs.NO_LOG, clock: fleet.clock},
      probe: name => fleet.members.get(host)?.probeUnresponsive(name),
    });
    this.verified.set(host, created);
    return created;
  }

  private lookUp(host: string): void {
    const serving = this.fleet.members.get(host)?.serving ?? [];
    const verified = this.verifiedOf(host);
    for (const caller of CALLERS) {
      const query = {zone: 'z', region: 'r', caller};
      const named = verified.select(serving, from =>
        addresses.selectHosts(from, query),
      );
      this.namedLast.set(host, named.length);
      const late = named.find(each => {
        const lostMs = this.lostMs.get(each.host) ?? Infinity;
        return this.nowMs - lostMs > NAMED_FOR_MS;
      });
      if (late) this.stale.push(`${this.nowMs} ${host}: ${late.host}`);
    }
  }
}

/** How many of a fleet's hosts are lost at once. */
const LOSSES: Readonly<Record<string, (hosts: number) => number>> = {
  one: () => 1,
  'a third': hosts => Math.ceil(hosts / 3),
  'two thirds': hosts => Math.floor((hosts * 2) / 3),
  'all but two': hosts => hosts - 2,
};

// Guards against lookup responses that send callers to hosts that are gone: at hosts that went on, and at those that start later and find old leases.
for (const hosts of [9, 30, 82]) {
  for (const [name, countOf] of Object.entries(LOSSES)) {
    test.test(`${name} of ${hosts} hosts lost`, async t => {
      t.mock.timers.enable({apis: ['setInterval', 'setTimeout']});
      const fleet = new LookupFleet(t.mock.timers, hosts);
      await fleet.start();
      const lost = fleet.running.slice(0, countOf(hosts));
      fleet.kill(lost);
      await fleet.pass(10_000);
      await fleet.startHosts(lost.slice(0, Math.floor(lost.length / 2)));
      await fleet.pass(8000);
      fleet.check();
    });
  }
}

// Guards against the same when no host is left that knows which are gone.
for (const hosts of [9, 82]) {
  test.test(`all of ${hosts} hosts lost, half of them back`, async t => {
    t.mock.timers.enable({apis: ['setInterval', 'setTimeout']});
    const fleet = new LookupFleet(t.mock.timers, hosts);
    await fleet.start();
    const lost = fleet.running;
    fleet.kill(lost);
    await fleet.pass(8000);
    await fleet.startHosts(lost.slice(0, Math.floor(hosts / 2)));
    await fleet.pass(10_000);
    fleet.check();
  });
}
