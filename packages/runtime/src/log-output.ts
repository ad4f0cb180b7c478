/**
 * Where log lines go: standard output, in batches and with a bound.
 *
 * A reader that stalls fills the pipe, and what is written after that is kept in
 * memory. Without a bound the process would grow until it is killed. Beyond the
 * bound lines are dropped, and their number is told once there is room again.
 */

/** The part of a writable stream that is used; standard output is one. */
export type LogSink = {
  write: (text: string) => unknown;
  /** Bytes that were written and have not left yet. */
  writableLength: number;
};

export type LogOutput = {
  write: (line: string) => void;
  /** Hands everything that waits to the sink. */
  flush: () => void;
};

export type LogOutputOptions = {
  sink: LogSink;
  /** Calls back after a time in milliseconds. */
  delay: (callback: () => void, ms: number) => void;
  /** Told how many lines were dropped, once lines leave again. */
  reportDropped: (lines: number) => void;
};

/**
 * Lines are gathered for this time, milliseconds. One system call for each line
 * costs more than making the line; nobody reads a log sooner.
 */
const GATHER_MS = 20;
/** Kept for a reader that has stalled, bytes: ten seconds at 400 lines a second. */
const MAX_KEPT_BYTES = 1_048_576;

/** Creates an output over a sink. */
export function createLogOutput({ sink, delay, reportDropped }: LogOutputOptions): LogOutput {
  let gathered: string[] = [];
  let isDue = false;
  let dropped = 0;
  const flush = () => {
    isDue = false;
    const lines = gathered;
    gathered = [];
    if (lines.length === 0) {
      return;
    }
    if (sink.writableLength > MAX_KEPT_BYTES) {
      dropped += lines.length;
      return;
    }
    sink.write(lines.join(''));
    if (dropped > 0) {
      const told = dropped;
      dropped = 0;
      reportDropped(told);
    }
  };
  return {
    write: (line) => {
      gathered.push(line);
      if (!isDue) {
        isDue = true;
        delay(flush, GATHER_MS);
      }
    },
    flush,
  };
}
