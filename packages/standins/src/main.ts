import type * as http from 'node:http';

import * as engine from './engine.js';
import * as plain from './plain.js';
import * as platform from './platform.js';
import * as server from './server.js';

/** A stand-in that serves HTTP on a loopback port. */
interface StandIn {
  listen(port: number): Promise<http.Server>;
}

/** Stand-in constructors by the kind on the command line. */
const FACTORIES: Readonly<
  Record<string, (options: object, versions: readonly string[]) => StandIn>
> = {
  engine: (options, versions) => new engine.EngineStandIn(options, versions),
  plain: (options, versions) => new plain.PlainStandIn(options, versions),
  platform: options => new platform.PlatformStandIn(options),
};

const USAGE =
  'usage: main.js engine|plain|platform PORT [BEHAVIOUR-JSON] [VERSIONS]';

/** Starts the stand-in of the command line and prints `listening PORT` once it serves. */
async function main(): Promise<void> {
  const [kind, port, behaviour = '{}', versions = 'v1'] = process.argv.slice(2);
  const create = FACTORIES[kind];
  if (!create) {
    console.error(USAGE);
    process.exit(2);
  }
  const standIn = create(JSON.parse(behaviour) as object, versions.split(','));
  const listening = await standIn.listen(Number(port));
  console.log(`listening ${server.portOf(listening)}`);
}

await main();
