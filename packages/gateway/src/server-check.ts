/**
 * Checks whether a backend server has outlived the end of a connection.
 *
 * A process that crashes closes its connections like one that has sent a complete response. While it
 * exits, its port may still accept connections, so an accepted one proves nothing at first.
 */
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';
import * as byteCollector from './byte-collector.js';
import type * as wireProtocol from './wire-protocol.js';

export type ServerCheckOptions = {
  /** Opens a new connection to the backend server. */
  open: () => backendConnections.BackendConnection;
  request: backendAttempt.OutgoingRequest;
  /** Parses when the process of the backend server started, milliseconds since the Unix epoch. */
  parseStart: (report: Buffer) => number | undefined;
  /** Returns whether a response comes from another backend server at the same address. */
  isMisdirected: (status: number, headers: wireProtocol.RawHeaders) => boolean;
  readNow: () => number;
  /** Runs a step once the event loop has read what has arrived. */
  runAfterPoll: (step: () => void) => void;
  /** Called once, unless the check is aborted; a server that cannot be reached counts as gone. */
  settle: (isPresent: boolean) => void;
};

/** Once the check has ended, `abort` has no effect: its connection serves the next request. */
export type ServerCheck = { abort: () => void };

type CheckState = {
  options: ServerCheckOptions;
  startedMs: number;
  isSettled: boolean;
  attempt: backendAttempt.BackendAttempt | undefined;
  retryTimer: NodeJS.Timeout | undefined;
};

/** A process that is exiting closes its port and its connections within this time, milliseconds. */
const EXIT_MS = 150;
/** Pause before the next connection, milliseconds. */
const RETRY_MS = 50;
/** Time after which a backend server that has not responded counts as gone, milliseconds. */
const MAX_CHECK_MS = 1000;
/** A longer response to the check closes its connection; bytes. */
const MAX_RESPONSE_BYTES = 65_536;
const REFUSED = 'ECONNREFUSED';

/** Ends the check with a result. */
function endCheck(state: CheckState, isPresent: boolean): void {
  if (!state.isSettled) {
    state.isSettled = true;
    state.options.settle(isPresent);
  }
}

/**
 * Handles a connection that failed before a whole head. Any bytes on it show that the server is
 * present. A break alone shows nothing, and the server is asked again: a port may accept connections
 * for a server that is gone, and a server may reset those beyond its limit.
 */
function handleBroken(state: CheckState, reason: string, hasResponded: boolean): void {
  if (state.isSettled) {
    return;
  }
  const elapsedMs = state.options.readNow() - state.startedMs;
  if (hasResponded) {
    endCheck(state, true);
  } else if (reason === REFUSED || elapsedMs >= MAX_CHECK_MS) {
    endCheck(state, false);
  } else {
    state.retryTimer = setTimeout(() => sendRequest(state), RETRY_MS);
  }
}

/** Sends the request of the check over a new connection. */
function sendRequest(state: CheckState): void {
  const { open, request, isMisdirected, parseStart, runAfterPoll } = state.options;
  const report = byteCollector.createByteCollector();
  let isReport = false;
  let silenceTimer: NodeJS.Timeout | undefined;
  let isOver = false;
  const handleSilence = () => {
    if (!isOver) {
      state.attempt?.abort();
      endCheck(state, true);
    }
  };
  const handleEnd = () => {
    isOver = true;
    clearTimeout(silenceTimer);
  };
  const connection = open();
  const attempt = backendAttempt.startAttempt(connection, request, {
    canSend: () => {
      silenceTimer = setTimeout(() => runAfterPoll(handleSilence), EXIT_MS);
      return !state.isSettled;
    },
    onHead: (status, headers) => {
      isReport = !isMisdirected(status, headers);
      endCheck(state, isReport);
      return true;
    },
    onData: (chunk) => {
      byteCollector.addBytes(report, chunk);
      if (report.length > MAX_RESPONSE_BYTES) {
        attempt.abort();
      }
      return true;
    },
    onEnd: () => {
      // Streams that begin or go on over this connection need not ask again.
      connection.bornMs = isReport ? parseStart(byteCollector.takeBytes(report)) : undefined;
      handleEnd();
    },
    onWithdrawn: handleEnd,
    onBroken: (reason) => {
      handleEnd();
      handleBroken(state, reason, connection.countBytesRead() > 0);
    },
  });
  state.attempt = attempt;
}

/** Starts a check. */
export function startServerCheck(options: ServerCheckOptions): ServerCheck {
  const state: CheckState = {
    options,
    startedMs: options.readNow(),
    isSettled: false,
    attempt: undefined,
    retryTimer: undefined,
  };
  sendRequest(state);
  return {
    abort: () => {
      if (!state.isSettled) {
        state.isSettled = true;
        clearTimeout(state.retryTimer);
        state.attempt?.abort();
      }
    },
  };
}
