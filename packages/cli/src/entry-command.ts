/** The command that runs an entry. */
import * as clipanion from 'clipanion';
import * as entry from '@toucanproxy/entry';
import * as schema from '@toucanproxy/schema';
import * as daemonCommand from './daemon-command.js';
import * as inputFile from './input-file.js';
import * as runDaemon from './run-daemon.js';

export class EntryCommand extends clipanion.Command {
  static override paths = [['entry']];

  static override usage = clipanion.Command.Usage({
    description: 'run an entry',
    details: `
      Accepts requests from callers until SIGTERM or SIGINT; a second signal stops it at once.
      Exits with 0 after a graceful shutdown, 130 after a second signal, 4 if the settings have
      faults, and 1 if it cannot listen.
    `,
    examples: [['Run an entry from its settings', 'toucanproxy entry --settings entry-1.json']],
  });

  settings = clipanion.Option.String('--settings', { required: true, description: 'JSON file' });

  async execute(): Promise<number> {
    const read = daemonCommand.readSettings(
      this.context,
      this.settings,
      inputFile.FileKind.ENTRY,
      schema.parseEntrySettings,
    );
    return read.kind === 'refused'
      ? read.exitCode
      : runDaemon.runDaemon(schema.applyEntryDefaults(read.settings), entry.startEntry);
  }
}
