/**
 * Measures how long new connections wait to be accepted.
 *
 * The event loop may accept only one connection in each turn. If its turns are long, connections
 * wait in the queue of the listening socket although each turn is short compared with that wait.
 * While connections are accepted in each turn, a connection of this process to itself is queued
 * behind the others from time to time, and the time until it is accepted is the delay.
 */
import * as net from 'node:net';

export type AcceptDelay = {
  /**
   * Records an accepted connection, and how long it may have waited because the event loop stalled,
   * milliseconds. Returns whether it was opened by this process to measure; such a connection has
   * been closed.
   */
  noteAccepted: (socket: net.Socket, unreadMs: number) => boolean;
  /** Returns how long a connection that is accepted now may have waited, milliseconds. */
  getDelayMs: () => number;
  /** Returns how long connections have waited as measured, milliseconds; 0 without a queue. */
  getMeasuredMs: () => number;
  stop: () => void;
};

type Probe = {
  socket: net.Socket;
  startMs: number;
  /** Whether the connection has been established, and so is in the queue. */
  isQueued: boolean;
};

type DelayState = {
  openProbe: () => net.Socket;
  readNow: () => number;
  /** When the queue was last known to be empty; undefined if it is empty. */
  queuedSinceMs: number | undefined;
  accepted: number;
  probe: Probe | undefined;
  lastProbeMs: number;
  /** Delay that the last probe had; undefined until there is one since the queue was empty. */
  delayMs: number | undefined;
  /** The event loop stalled when the first connection was queued. */
  isAfterStall: boolean;
};

/** The queue is measured if connections were accepted in each turn for this time, milliseconds. */
const MIN_QUEUED_MS = 50;
/** Time between two measurements, milliseconds. */
const PROBE_MS = 100;

/**
 * Time after which a probe that has not been established is given up, milliseconds. The kernel
 * drops the first packet of a connection if the queue is full, and sends it again after a second;
 * the age of the probe would then be taken for the wait of connections that are queued.
 */
const CONNECT_MS = 100;

/** Ends a measurement. */
function closeProbe(state: DelayState): void {
  state.probe?.socket.destroy();
  state.probe = undefined;
}

/** Ends a measurement whose connection is not established in time, as seen after a poll. */
function giveUpUnqueued(state: DelayState, probe: Probe): void {
  setImmediate(() => {
    if (state.probe !== probe || probe.isQueued) {
      return;
    }
    if (state.readNow() - probe.startMs >= CONNECT_MS) {
      closeProbe(state);
    } else {
      giveUpUnqueued(state, probe);
    }
  });
}

/** Starts a measurement if one is due. */
function startProbe(state: DelayState): void {
  const { queuedSinceMs, probe, lastProbeMs, readNow } = state;
  const now = readNow();
  const isQueued = queuedSinceMs !== undefined && now - queuedSinceMs >= MIN_QUEUED_MS;
  if (!isQueued || probe !== undefined || now - lastProbeMs < PROBE_MS) {
    return;
  }
  const socket = state.openProbe();
  // A probe that fails measures nothing; the next one follows.
  socket.on('error', () => closeProbe(state));
  const started: Probe = { socket, startMs: now, isQueued: false };
  socket.on('connect', () => {
    started.isQueued = true;
  });
  state.probe = started;
  // The first callback runs before the next poll.
  setImmediate(() => giveUpUnqueued(state, started));
  state.lastProbeMs = now;
}

/** Waits for a turn of the event loop that accepts no connection: the queue is then empty. */
function waitForEmpty(state: DelayState): void {
  const { accepted } = state;
  setImmediate(() => {
    if (state.accepted > accepted) {
      waitForEmpty(state);
      return;
    }
    // A probe that was lost would count as waiting until it is sent again, seconds later.
    closeProbe(state);
    state.queuedSinceMs = undefined;
    state.delayMs = undefined;
  });
}

/** Returns whether an accepted connection is the one that was opened to measure. */
function isProbe({ probe }: DelayState, socket: net.Socket): boolean {
  const port = probe === undefined ? undefined : (probe.socket.address() as net.AddressInfo).port;
  return port !== undefined && port === socket.remotePort;
}

/** Returns the measured delay, milliseconds; that of an open measurement if it is longer. */
function getMeasuredMs({ probe, delayMs, readNow }: DelayState): number {
  return Math.max(delayMs ?? 0, probe === undefined ? 0 : readNow() - probe.startMs);
}

/**
 * Computes how long a connection that is accepted now may have waited, milliseconds. After a stall,
 * it may have been queued at the beginning of the stall as long as nothing has been measured.
 */
function computeDelay(state: DelayState): number {
  const { queuedSinceMs, delayMs, isAfterStall } = state;
  return delayMs === undefined && isAfterStall && queuedSinceMs !== undefined
    ? state.readNow() - queuedSinceMs
    : getMeasuredMs(state);
}

/**
 * Starts to measure.
 *
 * @param openProbe opens a connection to the listening socket
 */
export function startAcceptDelay(openProbe: () => net.Socket, readNow: () => number): AcceptDelay {
  const state: DelayState = {
    openProbe,
    readNow,
    queuedSinceMs: undefined,
    accepted: 0,
    probe: undefined,
    lastProbeMs: -Infinity,
    delayMs: undefined,
    isAfterStall: false,
  };
  return {
    noteAccepted: (socket, unreadMs) => {
      state.accepted += 1;
      if (state.queuedSinceMs === undefined) {
        state.queuedSinceMs = readNow() - unreadMs;
        state.isAfterStall = unreadMs > 0;
        // The first callback runs in this turn, the next one after the poll of the next turn.
        setImmediate(() => waitForEmpty(state));
      }
      if (isProbe(state, socket)) {
        state.delayMs = readNow() - (state.probe?.startMs ?? readNow());
        closeProbe(state);
        socket.destroy();
        return true;
      }
      startProbe(state);
      return false;
    },
    getDelayMs: () => computeDelay(state),
    getMeasuredMs: () => getMeasuredMs(state),
    stop: () => closeProbe(state),
  };
}
