/** Time limits of a call whose response arrives in parts. */

export type CallLimits = {
  /** Longest time without any byte of the response, milliseconds. */
  idleMs: number;
  /** Longest time until the response is complete, milliseconds. */
  totalMs: number;
};

export type CallTimer = {
  /** Records that a part of the response has arrived. */
  noteProgress: () => void;
  stop: () => void;
};

/** Time to read what has arrived during a stall of the event loop, milliseconds. */
const READ_MS = 100;

/**
 * Starts the timers of one call; `expire` is called when it exceeds a limit.
 *
 * After a stall of the event loop, timers run before sockets are read. A response that arrived in
 * time is then still unread, so a limit takes effect only if nothing is read afterwards either.
 */
export function startCallTimer({ idleMs, totalMs }: CallLimits, expire: () => void): CallTimer {
  let parts = 0;
  let grace: NodeJS.Timeout | undefined;
  const expireUnlessRead = (handleProgress: () => void) => {
    const before = parts;
    setImmediate(() => (parts === before ? expire() : handleProgress()));
  };
  const idle = setTimeout(() => expireUnlessRead(() => idle.refresh()), idleMs);
  const total = setTimeout(
    () =>
      expireUnlessRead(() => {
        grace = setTimeout(expire, READ_MS);
      }),
    totalMs,
  );
  return {
    noteProgress: () => {
      parts += 1;
      idle.refresh();
    },
    stop: () => [idle, total, grace].forEach((timer) => clearTimeout(timer)),
  };
}
