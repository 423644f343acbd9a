// Writes generated from proto/peer.proto. The output is committed.
import {execFileSync} from 'node:child_process';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const here = dirname(fileURLToPath(import.meta.url));
const out = join(here, 'generated');
const bin = join(here, '..', '..', 'node_modules', '.bin');
const pbjs = [
  ...['-t', 'static-module', '-w', 'es6', '--es6', '--no-create'],
  ...['--no-verify', '--no-delimited', '--no-service', '--force-number'],
  ...['-o', join(out, 'peer.js'), join(here, 'proto', 'peer.proto')],
];
execFileSync(join(bin, 'pbjs'), pbjs, {stdio: 'inherit'});
const pbts = ['-o', join(out, 'peer.d.ts'), join(out, 'peer.js')];
execFileSync(join(bin, 'pbts'), pbts, {stdio: 'inherit'});
