/**
 * Writes log lines to standard output with a limit on the buffered bytes.
 *
 * When the reader of the log stalls, the pipe fills up and Node.js buffers further lines in memory.
 * Without a limit the process would grow until it is killed. Above the limit lines are dropped, and
 * their number is reported once lines can be written again.
 *
 * Each line is written at once. If lines were batched for some milliseconds, a process that is
 * killed would lose the lines about what it did last.
 */

/** The part of a writable stream that is used here; `process.stdout` has it. */
export type LogSink = {
  write: (text: string) => unknown;
  /** Number of bytes that are buffered and not written out yet. */
  writableLength: number;
};

export type LogOutput = { write: (line: string) => void };

/** Limit of buffered bytes; enough for a stall of ten seconds at 400 lines per second. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Ignores that nobody reads the output of this process any more: what it logs is lost, nothing else. */
export function keepWithoutReader(): void {
  [process.stdout, process.stderr]
    .filter((output) => !output.listeners('error').includes(dropError))
    .forEach((output) => output.on('error', dropError));
}

/** Drops the error of a line that could not be written. */
function dropError(): void {}

/**
 * Creates a log output that writes to a sink.
 *
 * @param reportDropped called with the number of dropped lines once lines can be written again
 */
export function createLogOutput(sink: LogSink, reportDropped: (lines: number) => void): LogOutput {
  let dropped = 0;
  return {
    write: (line) => {
      if (sink.writableLength > MAX_BUFFERED_BYTES) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        const lines = dropped;
        dropped = 0;
        reportDropped(lines);
      }
      sink.write(line);
    },
  };
}
