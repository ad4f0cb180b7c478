/** The commands of `toucanproxy`, registered by name. */
import * as clipanion from 'clipanion';
import * as agentCommand from './agent-command.js';
import * as entryCommand from './entry-command.js';

const VERSION = '0.1.0';

/** Builds the command line. */
export function buildCli(): clipanion.Cli {
  const cli = new clipanion.Cli({
    binaryLabel: 'toucanproxy',
    binaryName: 'toucanproxy',
    binaryVersion: VERSION,
  });
  cli.register(clipanion.Builtins.HelpCommand);
  cli.register(clipanion.Builtins.VersionCommand);
  cli.register(entryCommand.EntryCommand);
  cli.register(agentCommand.AgentCommand);
  return cli;
}
