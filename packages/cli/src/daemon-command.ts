/** Reads the settings for the commands that run a daemon. */
import * as fs from 'node:fs';
import * as clipanion from 'clipanion';
import * as schema from '@toucanproxy/schema';
import * as exitCode from './exit-code.js';
import * as inputFile from './input-file.js';

export type SettingsRead<T> =
  { kind: 'read'; settings: T } | { kind: 'refused'; exitCode: exitCode.ExitCode };

/** Reads a settings file; prints its faults and returns an exit code if it has any. */
export function readSettings<T>(
  context: clipanion.BaseContext,
  path: string,
  fileKind: inputFile.FileKind,
  parse: (json: string) => schema.ParseResult<T>,
): SettingsRead<T> {
  let text: string;
  try {
    text = fs.readFileSync(path, 'utf8');
  } catch (error) {
    context.stderr.write(`${path}: cannot be read: ${(error as NodeJS.ErrnoException).code}\n`);
    return { kind: 'refused', exitCode: exitCode.ExitCode.USAGE };
  }
  const parsed = parse(text);
  if (parsed.kind === 'faulty') {
    context.stderr.write(inputFile.formatFaults(path, fileKind, parsed.faults));
    return { kind: 'refused', exitCode: exitCode.ExitCode.FAULTY };
  }
  return { kind: 'read', settings: parsed.value };
}
