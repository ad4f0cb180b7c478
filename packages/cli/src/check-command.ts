/** The command that checks settings and service documents. */
import * as clipanion from 'clipanion';
import * as schema from '@toucanproxy/schema';
import * as effectiveValues from './effective-values.js';
import * as exitCode from './exit-code.js';
import * as inputFile from './input-file.js';

const { ExitCode } = exitCode;
const { FileKind } = inputFile;

export class CheckCommand extends clipanion.Command {
  static override paths = [['check']];

  static override usage = clipanion.Command.Usage({
    description: 'check settings, service documents and configurations',
    details: `
      Lists all faults at once, each with its place in the file, the value found and what is
      allowed. The daemons refuse files with the same faults. Exits with 0 if there are no faults,
      4 if there are any, and 2 if a file cannot be read.
    `,
    examples: [
      ['Check files; the kind of each is detected', 'toucanproxy check entry-1.json brimwit.json'],
      [
        'Show the effective values, defaults included',
        'toucanproxy check --effective brimwit.json',
      ],
      ['Check a change', 'toucanproxy check --after brimwit-6.json brimwit-7.json'],
    ],
  });

  kind = clipanion.Option.String('--kind', {
    description:
      'document, entry, agent, gateway or configuration; detected from the content by default',
  });

  effective = clipanion.Option.Boolean('--effective', false, {
    description: 'print each file with its defaults filled in',
  });

  after = clipanion.Option.String('--after', {
    description: 'the active document, which the checked file is to replace',
  });

  files = clipanion.Option.Rest({ required: 1, name: 'FILE' });

  async execute(): Promise<number> {
    const kinds = Object.values(FileKind) as string[];
    if (this.kind !== undefined && !kinds.includes(this.kind)) {
      this.context.stderr.write(`--kind: found ${this.kind}; allowed: ${kinds.join(', ')}\n`);
      return ExitCode.USAGE;
    }
    const codes = this.files.map((path) => this.checkFile(path));
    return [ExitCode.USAGE, ExitCode.FAULTY].find((code) => codes.includes(code)) ?? ExitCode.OK;
  }

  /** Checks one file and prints the result. */
  private checkFile(path: string): exitCode.ExitCode {
    const input = inputFile.readInput(path, this.kind as inputFile.FileKind | undefined);
    if (input.kind === 'unreadable') {
      this.context.stderr.write(`${path}: cannot be read: ${input.reason}\n`);
      return ExitCode.USAGE;
    }
    if (input.kind === 'faulty') {
      this.context.stdout.write(inputFile.formatFaults(path, input.fileKind, input.faults));
      return ExitCode.FAULTY;
    }
    if (this.after !== undefined) {
      return this.checkReplacement(path, this.after, input);
    }
    this.printValid(path, input);
    return ExitCode.OK;
  }

  /** Checks the change from the active document to a new one. */
  private checkReplacement(
    path: string,
    before: string,
    after: Extract<inputFile.Input, { kind: 'valid' }>,
  ): exitCode.ExitCode {
    const old = inputFile.readInput(before, FileKind.DOCUMENT);
    if (old.kind !== 'valid' || old.fileKind !== FileKind.DOCUMENT) {
      this.context.stderr.write(`${before}: --after needs a document without faults\n`);
      return ExitCode.USAGE;
    }
    if (after.fileKind !== FileKind.DOCUMENT) {
      this.context.stderr.write(`${path}: --after compares service documents only\n`);
      return ExitCode.USAGE;
    }
    const faults = schema.checkChange(old.value, after.value);
    if (faults.length > 0) {
      this.context.stdout.write(inputFile.formatFaults(path, FileKind.DOCUMENT, faults));
      return ExitCode.FAULTY;
    }
    this.printValid(path, after);
    return ExitCode.OK;
  }

  /** Prints that a file has no faults, or its effective values. */
  private printValid(path: string, input: Extract<inputFile.Input, { kind: 'valid' }>): void {
    const text = this.effective
      ? effectiveValues.formatEffective(input)
      : `${path}: ${input.fileKind} without faults`;
    this.context.stdout.write(`${text}\n`);
  }
}
