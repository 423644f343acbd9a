// Entry point of `banyanhalld`: parses the settings and runs the daemon until SIGTERM or SIGINT.

import * as daemons from './daemon.js';
import * as settings from './settings.js';

const USAGE_STATUS = 2;

async function main(): Promise<void> {
  const parsed = settings.parse(process.argv.slice(2), process.env);
  if (parsed.kind === 'help') {
    process.stdout.write(parsed.text);
    return;
  }
  if (parsed.kind === 'mistakes') {
    for (const mistake of parsed.mistakes) console.error(mistake);
    process.exit(USAGE_STATUS);
  }
  const daemon = new daemons.Daemon(parsed.settings);
  const stop = () => void daemon.stop().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}

await main();
