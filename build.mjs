// Bundles the program that runs on the platform under target/, with a small one that loads it and its compiled code.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

/** The runtime's flags in deploy/system.toml; compiled code is used only under the flags it was compiled with. */
const RUNTIME_FLAGS = ['--max-old-space-size=200'];
const WARM_UP_TIMEOUT_MS = 60_000;

/** Takes the project's packages from their sources, so that nothing is built outside target/. */
const fromSources = {
  name: 'from-sources',
  setup(build) {
    build.onResolve({filter: /^@banyanhall\//}, ({path: name}) => {
      const [, folder, file = 'index.js'] = name.split('/');
      const source = file.replace(/\.js$/, '.ts');
      return {path: path.resolve('packages', folder, 'src', source)};
    });
  },
};

/** Leaves out what the HTTP client loads for HTTP/2, which nothing here uses: it sets up a TLS context in each process that starts. */
const withoutHttp2Client = {
  name: 'without-http2-client',
  setup(build) {
    const namespace = 'without-http2-client';
    build.onResolve({filter: /^http2-wrapper$/}, ({path: name}) => {
      return {path: name, namespace};
    });
    build.onLoad({filter: /.*/, namespace}, () => {
      return {contents: 'export default {};'};
    });
  },
};

const entryPoints = {
  host: 'platform/src/main.ts',
  banyanhalld: 'platform/src/launch.ts',
  warmup: 'platform/src/warmup.ts',
};
await Promise.all(
  Object.entries(entryPoints).map(([name, entryPoint]) =>
    esbuild.build({
      entryPoints: [entryPoint],
      outfile: `target/${name}.cjs`,
      bundle: true,
      minify: true,
      keepNames: true,
      charset: 'ascii',
      platform: 'node',
      format: 'cjs',
      target: 'node20',
      plugins: [fromSources, withoutHttp2Client],
      logLevel: 'warning',
    }),
  ),
);

fs.rmSync('target/host.cache', {force: true});
const warmUp = childProcess.spawnSync(
  process.execPath,
  [...RUNTIME_FLAGS, 'target/warmup.cjs'],
  {stdio: ['ignore', 'ignore', 'inherit'], timeout: WARM_UP_TIMEOUT_MS},
);
if (warmUp.status !== 0) {
  console.error(
    'the program was not compiled ahead; it will start more slowly',
  );
}
