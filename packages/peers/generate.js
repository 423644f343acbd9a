// Generates the code in generated/ from proto/peer.proto. The output is committed.
import {execFileSync} from 'node:child_process';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const packageDir = dirname(fileURLToPath(import.meta.url));
const outDir = join(packageDir, 'generated');
const binDir = join(packageDir, '..', '..', 'node_modules', '.bin');
const pbjsArgs = [
  ...['-t', 'static-module', '-w', 'es6', '--es6', '--no-create'],
  ...['--no-verify', '--no-delimited', '--no-service', '--force-number'],
  ...['-o', join(outDir, 'peer.js'), join(packageDir, 'proto', 'peer.proto')],
];
execFileSync(join(binDir, 'pbjs'), pbjsArgs, {stdio: 'inherit'});
const pbtsArgs = ['-o', join(outDir, 'peer.d.ts'), join(outDir, 'peer.js')];
execFileSync(join(binDir, 'pbts'), pbtsArgs, {stdio: 'inherit'});
