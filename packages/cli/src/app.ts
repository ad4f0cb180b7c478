/** The `toucanproxy` command line: registers the commands and runs one of them. */
import * as clipanion from 'clipanion';
import * as agentCommand from './agent-command.js';
import * as checkCommand from './check-command.js';
import * as entryCommand from './entry-command.js';
import * as exitCode from './exit-code.js';
import * as explainCommand from './explain-command.js';
import * as gatewayCommand from './gateway-command.js';
import * as statusCommand from './status-command.js';

const VERSION = '0.1.0';

/** Builds the command line with all its commands. */
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
  cli.register(gatewayCommand.GatewayCommand);
  cli.register(checkCommand.CheckCommand);
  cli.register(statusCommand.StatusCommand);
  cli.register(explainCommand.ExplainCommand);
  return cli;
}

/** Runs the command line with the given arguments and returns its exit code. */
export async function runCli(
  args: string[],
  context: clipanion.BaseContext = clipanion.Cli.defaultContext,
): Promise<number> {
  const cli = buildCli();
  let command: clipanion.Command;
  try {
    command = cli.process(args);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return exitCode.ExitCode.USAGE;
  }
  return cli.run(command, context);
}
