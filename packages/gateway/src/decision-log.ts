/**
 * Log lines of decisions, bounded in volume.
 *
 * Under a burst each request makes several lines; a reader that falls behind
 * would block the process that serves. Beyond the bound lines are dropped, and
 * their number is told in the next second.
 */
import type * as bunyan from 'bunyan';

export type DecisionLog = {
  /** Writes one line, if there is room in the present second. */
  write: (event: string, fields: Record<string, unknown>, now: number) => void;
  /** Writes one line in any case, for rare events. */
  writeAlways: (event: string, fields: Record<string, unknown>) => void;
};

/** Lines of one process a second: about 200 bytes each, so some 80 KB/s. */
const LINES_PER_SECOND = 400;
const SECOND_MS = 1000;

/** Creates a log over a bunyan logger. */
export function createDecisionLog(logger: bunyan): DecisionLog {
  let secondBeganMs = 0;
  let written = 0;
  let dropped = 0;
  const beginSecond = (now: number) => {
    secondBeganMs = now;
    written = 0;
    if (dropped > 0) {
      logger.warn({ event: 'log-dropped', lines: dropped }, 'log-dropped');
      dropped = 0;
    }
  };
  return {
    write: (event, fields, now) => {
      if (now - secondBeganMs >= SECOND_MS) {
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
