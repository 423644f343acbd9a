import * as clipanion from 'clipanion';

import * as changes from './configcommands.js';
import * as stories from './requestlog.js';
import * as watching from './hostcommands.js';

const VERSION = '0.1.0';

const COMMANDS = [
  changes.ApplyCommand,
  changes.ListCommand,
  changes.GetCommand,
  changes.SetCommand,
  changes.HistoryCommand,
  changes.ShowCommand,
  changes.DiffCommand,
  changes.RollbackCommand,
  stories.StoryCommand,
  watching.StatusCommand,
  watching.TimelineCommand,
  watching.MoveStartCommand,
  watching.MoveListCommand,
  watching.MoveWatchCommand,
  watching.MoveTakeBackCommand,
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
];

const cli = new clipanion.Cli({
  binaryLabel: 'banyanhall, the operators’ tool',
  binaryName: 'banyanhall',
  binaryVersion: VERSION,
});
for (const command of COMMANDS) cli.register(command);
await cli.runExit(process.argv.slice(2));
