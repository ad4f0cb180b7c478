/** The command that runs an entry. */
import * as clipanion from 'clipanion';
import * as entry from '@toucanproxy/entry';
import * as schema from '@toucanproxy/schema';
import * as runDaemon from './run-daemon.js';

export class EntryCommand extends clipanion.Command {
  static override paths = [['entry']];

  static override usage = clipanion.Command.Usage({
    description: 'run an entry',
    examples: [['Run an entry from its settings', 'toucanproxy entry --settings entry-1.json']],
  });

  settings = clipanion.Option.String('--settings', { required: true });

  async execute(): Promise<number> {
    const settings = runDaemon.readSettings(this.settings, schema.parseEntrySettings);
    return runDaemon.runDaemon(settings, entry.startEntry);
  }
}
