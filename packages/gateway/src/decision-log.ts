/**
 * Log of decisions, limited in the number of lines per second.
 *
 * In a burst each request writes several lines, and a log reader that falls behind would block the
 * process that serves requests. Lines above the limit are dropped, and their number is logged in
 * the next second.
 */
import type * as bunyan from 'bunyan';

export type DecisionLog = {
  /** Writes one line unless the limit for the current second is reached. */
  write: (event: string, fields: Record<string, unknown>, now: number) => void;
  /** Writes one line regardless of the limit; for rare events. */
  writeAlways: (event: string, fields: Record<string, unknown>) => void;
};

/** Limit for one process; at about 200 bytes per line some 80 KB/s. */
const LINES_PER_SECOND = 400;
const SECOND_MS = 1000;

/** Creates a decision log that writes to a bunyan logger. */
export function createDecisionLog(logger: bunyan): DecisionLog {
  let secondStartMs = 0;
  let written = 0;
  let dropped = 0;
  const beginSecond = (now: number) => {
    secondStartMs = now;
    written = 0;
    if (dropped > 0) {
      logger.warn({ event: 'log-dropped', lines: dropped }, 'log-dropped');
      dropped = 0;
    }
  };
  return {
    write: (event, fields, now) => {
      if (now - secondStartMs >= SECOND_MS) {
        beginSecond(now);
      }
      if (written >= LINES_PER_SECOND) {
        dropped += 1;
        return;
      }
      written += 1;
      logger.info({ event, ...fields }, event);
    },
    writeAlways: (event, fields) => logger.info({ event, ...fields }, event),
  };
}
