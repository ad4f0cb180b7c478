/**
 * Decides which new connections a gateway closes unread because it gets more of them than it can
 * accept in time.
 *
 * The load: most new connections of a failure domain at one gateway. They wait in the queue of its
 * listening socket until their callers have left, and so do those that follow. A caller whose
 * connection is closed unread tries another gateway at once.
 */

export type ConnectionLoad = {
  /** Since when new connections have waited too long, milliseconds; undefined if they have not. */
  lateSinceMs: number | undefined;
  isClosing: boolean;
};

/** What to do with a new connection, and whether that begins or ends a series of closed ones. */
export type ConnectionVerdict = { isClosed: boolean; change: 'begun' | 'ended' | undefined };

/**
 * Longest wait of a new connection, milliseconds. Callers abandon a request that is not read for a
 * second, and the request waits for further turns of the event loop after it has been read.
 */
const MAX_WAIT_MS = 250;
/** Connections are closed once they have waited too long for this time, milliseconds. */
const GRACE_MS = 200;

/** Creates the load of a gateway that has just started. */
export function createConnectionLoad(): ConnectionLoad {
  return { lateSinceMs: undefined, isClosing: false };
}

/**
 * Decides whether a new connection is closed unread.
 *
 * @param waitedMs how long it has waited to be accepted, as measured, milliseconds
 */
export function judgeConnection(
  load: ConnectionLoad,
  waitedMs: number,
  now: number,
): ConnectionVerdict {
  load.lateSinceMs = waitedMs <= MAX_WAIT_MS ? undefined : (load.lateSinceMs ?? now);
  const wasClosing = load.isClosing;
  load.isClosing = load.lateSinceMs !== undefined && now - load.lateSinceMs >= GRACE_MS;
  if (load.isClosing === wasClosing) {
    return { isClosed: load.isClosing, change: undefined };
  }
  return { isClosed: load.isClosing, change: load.isClosing ? 'begun' : 'ended' };
}
