/** Log lines as JSON on standard output. */
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

/** Creates the log of one process. */
export function createLogger(name: string, fields: Record<string, unknown>): bunyan {
  const direct = bunyan.createLogger({ name, ...fields });
  const output = logOutput.createLogOutput(process.stdout, (lines) =>
    direct.warn({ event: 'log-dropped', lines }, 'log-dropped'),
  );
  const stream = { write: (line: object) => output.write(String(line)) };
  return bunyan.createLogger({ name, ...fields, streams: [{ stream }] });
}

/**
 * Sets the least level that is written, from the documents in force.
 *
 * A process with several documents follows the most talkative one, so that
 * none of their owners misses lines that were asked for.
 */
export function applyLogLevel(logger: bunyan, documents: core.DocumentStore): void {
  const levels = [...documents.values()].map(
    ({ document }) => document.logLevel || schema.LogLevel.INFO,
  );
  const least = levels.length === 0 ? schema.LogLevel.INFO : Math.min(...levels);
  logger.level(LEVELS[least as schema.LogLevel]);
}

/** Writes one line that a core asked for. */
export function writeLog(logger: bunyan, line: core.LogEffect): void {
  logger[LEVELS[line.level] as 'info']({ event: line.event, ...line.fields }, line.event);
}
