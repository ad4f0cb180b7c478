/** Closes listening sockets without losing connections that wait to be accepted. */
import type * as net from 'node:net';

/** A turn of the event loop that takes longer was interrupted, milliseconds. */
const LONG_TURN_MS = 10;

/**
 * Runs a step right after a turn of the event loop in which nothing was counted. Without pause
 * between its poll and the step, nothing has arrived that the loop has not read.
 *
 * @param count counts what the loop has read so far
 */
export function runAfterEmptyTurn(
  count: () => number,
  readNow: () => number,
  step: () => void,
): void {
  const startMs = readNow();
  const before = count();
  setImmediate(() => {
    if (count() === before && readNow() - startMs <= LONG_TURN_MS) {
      step();
    } else {
      runAfterEmptyTurn(count, readNow, step);
    }
  });
}

/**
 * Closes a listening socket once no connection waits in its queue; `closed` is called then. The
 * kernel resets the connections that are still in the queue of a socket that is closed, with the
 * requests that have arrived on them. The event loop may accept only one of them in each turn.
 *
 * @param close closes the socket; the server's own method may do more than that
 */
export function closeWhenDrained(
  server: net.Server,
  readNow: () => number,
  close: () => void,
  closed: () => void,
): void {
  let accepted = 0;
  server.on('connection', () => {
    accepted += 1;
  });
  // The turn in which this is called may have polled already.
  setImmediate(() =>
    runAfterEmptyTurn(
      () => accepted,
      readNow,
      () => {
        close();
        closed();
      },
    ),
  );
}
