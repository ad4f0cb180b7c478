/** The command that runs a gateway on the platform. */
import * as clipanion from 'clipanion';
import * as platform from '@toucanproxy/platform';
import * as daemonCommand from './daemon-command.js';
import * as inputFile from './input-file.js';
import * as runDaemon from './run-daemon.js';

export class GatewayCommand extends clipanion.Command {
  static override paths = [['gateway']];

  static override usage = clipanion.Command.Usage({
    description: 'run a gateway',
    details: `
      Accepts requests like an entry, but sends them to backend servers directly, without agents.
      Reads the platform's settings file. Exits with 0 after a graceful shutdown, 130 after a
      second signal, 4 if the settings have faults, and 1 if it cannot listen.
    `,
    examples: [['Run a gateway', 'toucanproxy gateway --settings node.json']],
  });

  settings = clipanion.Option.String('--settings', { required: true, description: 'JSON file' });

  async execute(): Promise<number> {
    const read = daemonCommand.readSettings(
      this.context,
      this.settings,
      inputFile.FileKind.GATEWAY,
      platform.parseSettings,
    );
    return read.kind === 'refused'
      ? read.exitCode
      : runDaemon.runDaemon(read.settings, platform.startGateway);
  }
}
