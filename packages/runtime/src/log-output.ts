/**
 * Where log lines go: standard output, with a bound.
 *
 * A reader that stalls fills the pipe, and what is written after that is kept in
 * memory. Without a bound the process would grow until it is killed. Beyond the
 * bound lines are dropped, and their number is told once there is room again.
 *
 * Each line leaves at once. Gathered for some milliseconds they would be lost with
 * a process that is killed, just those that tell what it did last.
 */

/** The part of a writable stream that is used; standard output is one. */
export type LogSink = {
  write: (text: string) => unknown;
  /** Bytes that were written and have not left yet. */
  writableLength: number;
};

export type LogOutput = { write: (line: string) => void };

/** Kept for a reader that has stalled, bytes: ten seconds at 400 lines a second. */
const MAX_KEPT_BYTES = 1_048_576;

/**
 * Creates an output over a sink.
 *
 * @param reportDropped told how many lines were dropped, once lines leave again
 */
export function createLogOutput(sink: LogSink, reportDropped: (lines: number) => void): LogOutput {
  let dropped = 0;
  return {
    write: (line) => {
      if (sink.writableLength > MAX_KEPT_BYTES) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        const told = dropped;
        dropped = 0;
        reportDropped(told);
      }
      sink.write(line);
    },
  };
}
