// A roll-out completes; then the store comes back from a copy that is 5 s old
// while the processes of the system are killed and start again.
import * as path from 'node:path';

import * as deployment from '../lib-2/deployment.mjs';
import * as site from '../lib-2/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** `all` processes are killed, or only that of the `driver` of the roll-out, or `none`. */
const VICTIMS = process.env.VICTIMS ?? 'all';
const HAS_DRILL = process.env.DRILL !== '0';
const PER_S = 20;
/** The new version is good, and faster than the old one, which takes 40 ms. */
const NEW_WORK_MS = 30;
const DURATION_S = 16;
/** How old the copy is, and for how long the store is away. */
const COPY_AGE_MS = 5000;
const AWAY_MS = 1000;
/** `recovery-s` of the sheet, and how long traffic goes on after that. */
const RECOVERY_MS = 12_000;
const AFTER_MS = 46_000;
/** RULES.md: a server goes on for `drain-ms` after the store has its report, and a little longer. */
const DRAIN_MS = 4000;
/** "At `reverted`, the new runners drain some seconds later." */
const REVERTED_DRAIN_MS = 3000;
/** The store drops an entry after three heartbeats of silence. */
const EXPIRY_MS = 3 * site.HEARTBEAT_MS;

await site.runCase(path.dirname(new URL(import.meta.url).pathname), async run => {
  const {note, atEnd} = run;
  const {store, hosts, first, startRunners} = await deployment.start(run, {
    state: deployment.desiredState({version: 7}),
  });
  const load = deployment.startLoad(hosts, PER_S);
  await site.sleep(3000);

  const orderMs = site.nowMs();
  const at = () => `${((site.nowMs() - orderMs) / 1000).toFixed(2)} s`;
  const order = {service: deployment.SERVICE, to: 'v2', 'duration-s': DURATION_S};
  store.put('op', 'rollout/ledger', JSON.stringify(order));
  const second = await startRunners('v2', {workMs: NEW_WORK_MS});

  const copies = [];
  const copying = setInterval(() => {
    if (!store.isAway) copies.push({atMs: site.nowMs(), copy: store.copy()});
  }, 250);
  atEnd(() => clearInterval(copying));
  // The platform's side of a roll-out.
  let completedMs;
  let isReverted = false;
  let lastText = '';
  const dropEntries = runners => {
    for (const runner of runners) store.put('servers', runner.id, undefined);
  };
  const acting = setInterval(() => {
    if (store.isAway) return;
    const text = store.get('status', 'rollout/ledger') ?? '';
    if (text === lastText) return;
    lastText = text;
    note(at(), 'status/rollout/ledger', text);
    const {state} = JSON.parse(text || '{}');
    if (state === 'completed' && completedMs === undefined) {
      completedMs = site.nowMs();
      for (const runner of first) runner.stop();
      setTimeout(() => dropEntries(first), EXPIRY_MS);
    }
    if (state !== 'reverted' || isReverted) return;
    isReverted = true;
    setTimeout(() => {
      note(at(), 'the servers of v2 drain');
      for (const runner of second) {
        runner.state = 'draining';
        runner.beat();
      }
      setTimeout(() => {
        for (const runner of second) runner.stop();
        dropEntries(second);
      }, DRAIN_MS);
    }, REVERTED_DRAIN_MS);
  }, 20);
  atEnd(() => clearInterval(acting));

  while (completedMs === undefined) {
    if (site.nowMs() - orderMs > DURATION_S * 1000) {
      throw new site.CannotRun('the good version was not completed');
    }
    await site.sleep(20);
  }
  await site.sleep(1000);
  if (HAS_TROUBLE) {
    const {copy} = copies.findLast(
      ({atMs}) => atMs <= site.nowMs() - COPY_AGE_MS,
    );
    const drivers = hosts.filter(host =>
      host.events('rollout').some(line => line.includes('term begun')),
    );
    const victims = {all: hosts, driver: drivers, none: []}[VICTIMS];
    note(at(), 'killed:', victims.map(({name}) => name).join(' ') || 'none');
    if (HAS_DRILL) {
      note(at(), 'the store is away');
      store.isAway = true;
    }
    await Promise.all(victims.map(host => host.kill()));
    await site.sleep(AWAY_MS);
    if (HAS_DRILL) {
      store.restore(copy);
      store.isAway = false;
      note(at(), 'the store is back from a copy, era', store.era);
      // The servers of v1 are gone; their entries in the copy expire.
      setTimeout(() => dropEntries(first), EXPIRY_MS);
    }
    for (const host of victims) host.start();
  }
  for (const host of hosts) await host.untilReady();
  const backMs = site.nowMs();
  note(at(), 'the machines are back');
  await site.sleep(RECOVERY_MS + AFTER_MS);
  const answers = await load.stop();

  for (let t = -15; t < (RECOVERY_MS + AFTER_MS) / 1000; t += 3) {
    const fromMs = backMs + t * 1000;
    const inSpan = answers.filter(
      ({sentMs}) => sentMs >= fromMs && sentMs < fromMs + 3000,
    );
    note(`  sent ${t} to ${t + 3} s after that:`, deployment.counts(inSpan.map(a => a.status)));
  }
  note('the hosts on the roll-out:');
  for (const line of deployment.rolloutLines(hosts)) note(line);
  const isServed = ({status, isWhole, signature}) =>
    status === 200 && isWhole && signature !== undefined;
  const shareOf = group => group.filter(isServed).length / group.length;
  const before = shareOf(
    answers.filter(({sentMs}) => sentMs < backMs - 5000),
  );
  const after = shareOf(
    answers.filter(({sentMs}) => sentMs > backMs + RECOVERY_MS),
  );
  note(`served before: ${before.toFixed(3)}; sent later than recovery-s: ${after.toFixed(3)} (least 0.25)`);
  return before < 0.25 || after >= 0.25;
});
