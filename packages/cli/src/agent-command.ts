/** The command that runs an agent. */
import * as clipanion from 'clipanion';
import * as agent from '@toucanproxy/agent';
import * as schema from '@toucanproxy/schema';
import * as daemonCommand from './daemon-command.js';
import * as inputFile from './input-file.js';
import * as runDaemon from './run-daemon.js';

export class AgentCommand extends clipanion.Command {
  static override paths = [['agent']];

  static override usage = clipanion.Command.Usage({
    description: 'run an agent beside its backend server',
    details: `
      Passes all requests to its backend server until SIGTERM or SIGINT; a second signal stops it
      at once. Exits with 0 after a graceful shutdown, 130 after a second signal, 4 if the settings
      have faults, and 1 if it cannot listen.
    `,
    examples: [['Run an agent from its settings', 'toucanproxy agent --settings runner-1.json']],
  });

  settings = clipanion.Option.String('--settings', { required: true, description: 'JSON file' });

  async execute(): Promise<number> {
    const read = daemonCommand.readSettings(
      this.context,
      this.settings,
      inputFile.FileKind.AGENT,
      schema.parseAgentSettings,
    );
    return read.kind === 'refused'
      ? read.exitCode
      : runDaemon.runDaemon(schema.applyAgentDefaults(read.settings), agent.startAgent);
  }
}
