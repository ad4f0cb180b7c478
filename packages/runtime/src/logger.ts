/** Log lines as JSON on standard output. */
import * as bunyan from 'bunyan';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

const LEVELS: Record<schema.LogLevel, bunyan.LogLevelString> = {
  [schema.LogLevel.UNSPECIFIED]: 'info',
  [schema.LogLevel.DEBUG]: 'debug',
  [schema.LogLevel.INFO]: 'info',
  [schema.LogLevel.WARN]: 'warn',
  [schema.LogLevel.ERROR]: 'error',
};

/** Creates the log of one process. */
export function createLogger(name: string, fields: Record<string, unknown>): bunyan {
  return bunyan.createLogger({ name, ...fields });
}

/** Sets the least level that is written. */
export function setLevel(logger: bunyan, level: schema.LogLevel): void {
  logger.level(LEVELS[level]);
}

/** Writes one line that a core asked for. */
export function writeLog(logger: bunyan, line: core.LogEffect): void {
  logger[LEVELS[line.level] as 'info']({ event: line.event, ...line.fields }, line.event);
}
