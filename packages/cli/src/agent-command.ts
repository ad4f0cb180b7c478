/** The command that runs an agent. */
import * as clipanion from 'clipanion';
import * as agent from '@toucanproxy/agent';
import * as schema from '@toucanproxy/schema';
import * as runDaemon from './run-daemon.js';

export class AgentCommand extends clipanion.Command {
  static override paths = [['agent']];

  static override usage = clipanion.Command.Usage({
    description: 'run an agent beside its backend server',
    examples: [['Run an agent from its settings', 'toucanproxy agent --settings agent-1.json']],
  });

  settings = clipanion.Option.String('--settings', { required: true });

  async execute(): Promise<number> {
    const settings = runDaemon.readSettings(this.settings, schema.parseAgentSettings);
    return runDaemon.runDaemon(settings, agent.startAgent);
  }
}
