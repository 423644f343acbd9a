// Compares policies for version moves in a simulation (`npm run moves`).

import * as util from 'node:util';

import * as figures from './figures.js';
import * as policies from './movepolicies.js';
import * as simulation from './simulation.js';

const MOVES_PER_KIND = 200;

/** The results of all moves of one kind under one policy. */
export interface KindResult {
  readonly policy: string;
  readonly kind: simulation.Kind;
  readonly results: readonly policies.MoveResult[];
}

/** Simulates `count` moves of every kind under every policy, with the same seeds for each. */
export function runAll(seed: number, count: number): readonly KindResult[] {
  return Object.keys(policies.POLICIES).flatMap(policy =>
    simulation.KINDS.map(kind => ({
      policy,
      kind,
      results: Array.from({length: count}, (_, i) =>
        policies.runMove(policies.POLICIES[policy], kind, seed * 1000 + i),
      ),
    })),
  );
}

/** The share of moves that ended correctly: a bad version rolled back, a good one finished. */
export function correctShare({kind, results}: KindResult): number {
  const expected = simulation.isBad(kind) ? 'taken-back' : 'finished';
  const count = results.filter(({ending}) => ending === expected).length;
  return count / results.length;
}

/** The mean number of bad requests of a move. */
export function meanBad({results}: KindResult): number {
  const sum = results.reduce((total, each) => total + each.badRequests, 0);
  return sum / results.length;
}

function table(all: readonly KindResult[]): string {
  const header = ['policy', 'kind', 'right %', 'bad req', 'exposed s', 'p95 s'];
  const pad = (text: string | number) => String(text).padStart(18);
  const rows = all.map(each => {
    const exposedS = each.results.map(({exposureMs}) => exposureMs / 1000);
    return [
      ...[each.policy, each.kind, (100 * correctShare(each)).toFixed(1)],
      meanBad(each).toFixed(1),
      figures.quantile(exposedS, 0.5).toFixed(1),
      figures.quantile(exposedS, 0.95).toFixed(1),
    ];
  });
  return [header, ...rows].map(row => row.map(pad).join('')).join('\n');
}

/** The mean number of bad requests of moves to a bad version under `ours`, divided by that under `fixed-ramp`. */
export function badRequestRatio(all: readonly KindResult[]): number {
  const mean = (policy: string) => {
    const own = all.filter(
      each => each.policy === policy && simulation.isBad(each.kind),
    );
    return own.reduce((sum, each) => sum + meanBad(each), 0) / own.length;
  };
  return mean('ours') / mean('fixed-ramp');
}

/** Prints the results; the target is that `ours` ends every move correctly with at most a tenth of the bad requests of `fixed-ramp`. */
function main(): void {
  const {values} = util.parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      count: {type: 'string', default: String(MOVES_PER_KIND)},
    },
  });
  const all = runAll(Number(values.seed), Number(values.count));
  console.log(`${values.count} moves of each kind, seed ${values.seed}`);
  console.log(table(all));
  const ratio = badRequestRatio(all);
  console.log(`\nours / fixed ramp, bad requests: ${ratio.toFixed(3)}`);
  const ours = all.filter(each => each.policy === 'ours');
  const isMet = ours.every(each => correctShare(each) === 1) && ratio <= 0.1;
  console.log(isMet ? 'target met' : 'target missed');
  process.exit(isMet ? 0 : 1);
}

if (process.argv[1]?.endsWith('moves.js')) main();
