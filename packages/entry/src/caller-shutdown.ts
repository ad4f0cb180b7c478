/** Ends the server for callers without losing what has arrived on its connections. */
import * as net from 'node:net';
import * as runtime from '@toucanproxy/runtime';

export type CallerShutdown = {
  /** Closes the listening socket once no connection waits in its queue, and calls `closed` then. */
  begin: (closed: () => void) => void;
  /** Checks whether the shutdown is over; to be called as each response has been sent. */
  check: () => void;
  /** Sets what is called once, at the end of the shutdown. */
  notify: (ended: () => void) => void;
};

type ShutdownOptions = {
  server: net.Server;
  connections: ReadonlySet<net.Socket>;
  /** Counts the requests without a complete response. */
  countOpen: () => number;
};

/** Returns the present time of a clock that is never set, milliseconds. */
function readSteadyMs(): number {
  return performance.now();
}

/**
 * Creates the shutdown of a server. Connections stay open to its end, as a request may have arrived
 * on each: the server refuses it and closes the connection.
 */
export function createCallerShutdown({
  server,
  connections,
  countOpen,
}: ShutdownOptions): CallerShutdown {
  let accepted = 0;
  let isPortClosed = false;
  let isChecking = false;
  let ended: (() => void) | undefined;
  server.on('connection', () => {
    accepted += 1;
  });
  const countRead = () =>
    [...connections].reduce((sum, { bytesRead }) => sum + bytesRead, accepted);
  // The turn in which this is called may have polled already.
  const runOnceRead = (step: () => void) =>
    setImmediate(() => runtime.runAfterEmptyTurn(countRead, readSteadyMs, step));
  const check = () => {
    if (!isPortClosed || ended === undefined || isChecking || countOpen() > 0) {
      return;
    }
    isChecking = true;
    runOnceRead(() => {
      isChecking = false;
      if (countOpen() === 0) {
        ended?.();
        ended = undefined;
      }
    });
  };
  return {
    begin: (closed) =>
      runOnceRead(() => {
        // The method of the HTTP server also closes connections whose response is being read.
        net.Server.prototype.close.call(server);
        isPortClosed = true;
        closed();
        check();
      }),
    check,
    notify: (given) => {
      ended = given;
      check();
    },
  };
}
