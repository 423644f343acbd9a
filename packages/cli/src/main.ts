/** Entry point of the `banyanhall` command. */
import * as clipanion from 'clipanion';

import * as configcommands from './configcommands.js';
import * as requestlog from './requestlog.js';
import * as hostcommands from './hostcommands.js';

const VERSION = '0.1.0';

const COMMANDS = [
  configcommands.ApplyCommand,
  configcommands.ListCommand,
  configcommands.GetCommand,
  configcommands.SetCommand,
  configcommands.HistoryCommand,
  configcommands.ShowCommand,
  configcommands.DiffCommand,
  configcommands.RollbackCommand,
  requestlog.StoryCommand,
  hostcommands.StatusCommand,
  hostcommands.TimelineCommand,
  hostcommands.MoveStartCommand,
  hostcommands.MoveListCommand,
  hostcommands.MoveWatchCommand,
  hostcommands.MoveRollBackCommand,
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
];

const cli = new clipanion.Cli({
  binaryLabel: 'banyanhall, the operator command-line tool',
  binaryName: 'banyanhall',
  binaryVersion: VERSION,
});
for (const command of COMMANDS) cli.register(command);
await cli.runExit(process.argv.slice(2));
