/**
 * Measures stalls of the event loop, and runs steps after it has polled its connections.
 *
 * A timer fires in each turn of the loop that begins after it is due, before the loop polls. Data
 * that is read at some time arrived at the earliest after the last poll that is known to be
 * complete: the one that followed the previous firing of the timer.
 */
import * as gateway from '@toucanproxy/core/gateway';

export type EventLoop = {
  /**
   * Computes how long data that is read now may have waited in the kernel, milliseconds; 0 unless
   * the event loop has stalled.
   */
  computeUnreadMs: () => number;
  /** Runs a step at once or, if the event loop has stalled, after the current turn has polled. */
  runWhenPolled: (step: () => void) => void;
  /** Runs a step after the current turn has polled; if it has stalled, after one more poll. */
  runAfterPoll: (step: () => void) => void;
  stop: () => void;
};

/** Interval of the timer that notices stalls, milliseconds. */
const TICK_MS = 20;

/**
 * Starts to measure.
 *
 * @param noteDelay called in turns of the event loop with the time by which the turn is late, ms
 */
export function startEventLoop(
  readNow: () => number,
  noteDelay: (delayMs: number, now: number) => void,
): EventLoop {
  let polledMs = readNow();
  let lastMs = polledMs;
  const timer = setInterval(() => {
    const tickMs = readNow();
    noteDelay(Math.max(tickMs - lastMs - TICK_MS, 0), tickMs);
    lastMs = tickMs;
    // Runs after the poll of this turn.
    setImmediate(() => {
      polledMs = tickMs;
    });
  }, TICK_MS);
  const computeUnreadMs = () => gateway.computeUnreadMs(readNow() - polledMs - TICK_MS);
  return {
    computeUnreadMs,
    runWhenPolled: (step) => {
      if (computeUnreadMs() > 0) {
        setImmediate(step);
      } else {
        step();
      }
    },
    runAfterPoll: (step) => {
      setImmediate(() => {
        if (computeUnreadMs() > 0) {
          setImmediate(step);
        } else {
          step();
        }
      });
    },
    stop: () => clearInterval(timer),
  };
}
