/** Writes log lines as JSON to standard output. */
import * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as logOutput from './log-output.js';

const LEVELS: Record<schema.LogLevel, bunyan.LogLevelString> = {
  [schema.LogLevel.UNSPECIFIED]: 'info',
  [schema.LogLevel.DEBUG]: 'debug',
  [schema.LogLevel.INFO]: 'info',
  [schema.LogLevel.WARN]: 'warn',
  [schema.LogLevel.ERROR]: 'error',
};

/** Creates the logger of one process. */
export function createLogger(name: string, fields: Record<string, unknown>): bunyan {
  logOutput.keepWithoutReader();
  const direct = bunyan.createLogger({ name, ...fields });
  const output = logOutput.createLogOutput(process.stdout, (lines) =>
    direct.warn({ event: 'log-dropped', lines }, 'log-dropped'),
  );
  const stream = { write: (line: object) => output.write(String(line)) };
  return bunyan.createLogger({ name, ...fields, streams: [{ stream }] });
}

/**
 * Sets the minimum level that is logged, from the active documents.
 *
 * A process with several documents uses the lowest level of all of them, so that the owner of each
 * document gets the lines that it requests.
 */
export function applyLogLevel(logger: bunyan, documents: core.DocumentStore): void {
  const levels = [...documents.values()].map(
    ({ document }) => document.logLevel || schema.LogLevel.INFO,
  );
  const minLevel = levels.length === 0 ? schema.LogLevel.INFO : Math.min(...levels);
  logger.level(LEVELS[minLevel as schema.LogLevel]);
}

/** Writes the line of a log effect. */
export function writeLog(logger: bunyan, line: core.LogEffect): void {
  logger[LEVELS[line.level] as 'info']({ event: line.event, ...line.fields }, line.event);
}
