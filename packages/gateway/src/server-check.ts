/**
 * Checks whether the process that sent a response has outlived the end of its connection.
 *
 * A process that crashes closes its connections like one that has sent a complete response, and
 * another one may listen in its place at once. Only a statement of the process itself, asked for
 * after the end, proves that it lives; silence proves nothing, on an open connection neither.
 */
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';
import * as byteCollector from './byte-collector.js';
import type * as wireProtocol from './wire-protocol.js';

/** What a check has found. */
export enum CheckFinding {
  /** A report with a start that was known before the request was sent; any response if none was. */
  RESPONDED = 'responded',
  /** A report with another start: of an incarnation that may have replaced the sender since. */
  RESTARTED = 'restarted',
  /** Another backend server has the address. */
  MISDIRECTED = 'misdirected',
  REFUSED = 'refused',
  /** No report on an open connection. */
  SILENT = 'silent',
  /** No connection, or only ones that break or bring no report. */
  UNREACHABLE = 'unreachable',
}

/** Returns whether a finding proves that the sender has outlived the connection. */
export function isPresent(finding: CheckFinding): boolean {
  return finding === CheckFinding.RESPONDED;
}

export type ServerCheckOptions = {
  /** Opens a new connection to the backend server. */
  open: () => backendConnections.BackendConnection;
  request: backendAttempt.OutgoingRequest;
  /** Starts at this address that were known before the request was sent; none if it states none. */
  knownStarts: readonly number[];
  /** Parses when the process of the backend server started, milliseconds since the Unix epoch. */
  parseStart: (report: Buffer) => number | undefined;
  /** Returns whether a response comes from another backend server at the same address. */
  isMisdirected: (status: number, headers: wireProtocol.RawHeaders) => boolean;
  readNow: () => number;
  /** Runs a step once the event loop has read what has arrived. */
  runAfterPoll: (step: () => void) => void;
  /** Called once, unless the check is aborted. */
  settle: (finding: CheckFinding, ms: number) => void;
};

/** Once the check has ended, `abort` has no effect: its connection serves the next request. */
export type ServerCheck = { abort: () => void };

type CheckState = {
  options: ServerCheckOptions;
  startedMs: number;
  isSettled: boolean;
  /** Whether the request was sent on the present connection. */
  isOpen: boolean;
  attempt: backendAttempt.BackendAttempt | undefined;
  retryTimer: NodeJS.Timeout | undefined;
  endTimer: NodeJS.Timeout | undefined;
};

/** Pause before the next connection, milliseconds. */
const RETRY_MS = 50;
/** Time after which a backend server that has not stated its start counts as gone, milliseconds. */
const MAX_CHECK_MS = 1000;
/** A longer response to the check closes its connection; bytes. */
const MAX_RESPONSE_BYTES = 65_536;
const REFUSED = 'ECONNREFUSED';
const STATUS_OK = 200;

/** Stops the timers of a check. */
function stopTimers({ retryTimer, endTimer }: CheckState): void {
  clearTimeout(retryTimer);
  clearTimeout(endTimer);
}

/** Ends the check with a result. */
function endCheck(state: CheckState, finding: CheckFinding): void {
  if (!state.isSettled) {
    state.isSettled = true;
    stopTimers(state);
    state.options.settle(finding, state.options.readNow() - state.startedMs);
  }
}

/** Ends a check whose time is over. */
function endLate(state: CheckState): void {
  if (!state.isSettled) {
    endCheck(state, state.isOpen ? CheckFinding.SILENT : CheckFinding.UNREACHABLE);
    state.attempt?.abort();
  }
}

/** Asks again after what proves nothing. */
function askAgain(state: CheckState): void {
  if (!state.isSettled) {
    state.isOpen = false;
    state.retryTimer = setTimeout(() => sendRequest(state), RETRY_MS);
  }
}

/**
 * Handles a response that does not state a start, or a connection that failed before a whole report
 * with any bytes on it. Where no start is known, nothing more can be had.
 */
function handleUnstated(state: CheckState): void {
  if (state.options.knownStarts.length === 0) {
    endCheck(state, CheckFinding.RESPONDED);
  } else {
    askAgain(state);
  }
}

/**
 * Handles a connection that failed before a whole report. A break shows nothing, and the server is
 * asked again: a port may accept connections for a server that is gone, and a server may reset those
 * beyond its limit.
 */
function handleBroken(state: CheckState, reason: string, hasResponded: boolean): void {
  if (hasResponded) {
    handleUnstated(state);
  } else if (reason === REFUSED) {
    endCheck(state, CheckFinding.REFUSED);
  } else {
    askAgain(state);
  }
}

/** Handles the start that a report states. */
function handleStart(state: CheckState, bornMs: number | undefined): void {
  const { knownStarts } = state.options;
  if (bornMs === undefined) {
    handleUnstated(state);
  } else {
    const isSender = knownStarts.length === 0 || knownStarts.includes(bornMs);
    endCheck(state, isSender ? CheckFinding.RESPONDED : CheckFinding.RESTARTED);
  }
}

/** Sends the request of the check over a new connection. */
function sendRequest(state: CheckState): void {
  const { open, request, isMisdirected, parseStart } = state.options;
  const report = byteCollector.createByteCollector();
  let isReport = false;
  const connection = open();
  const attempt = backendAttempt.startAttempt(connection, request, {
    canSend: () => {
      state.isOpen = true;
      return !state.isSettled;
    },
    onHead: (status, headers) => {
      isReport = status === STATUS_OK;
      if (!isReport && isMisdirected(status, headers)) {
        endCheck(state, CheckFinding.MISDIRECTED);
      }
      return true;
    },
    onData: (chunk) => {
      byteCollector.addBytes(report, chunk);
      if (report.length > MAX_RESPONSE_BYTES) {
        attempt.abort();
        handleUnstated(state);
      }
      return true;
    },
    onEnd: () => {
      const bornMs = isReport ? parseStart(byteCollector.takeBytes(report)) : undefined;
      // Streams that begin or go on over this connection need not ask again.
      connection.noteStart(bornMs);
      handleStart(state, bornMs);
    },
    onWithdrawn: () => {},
    onBroken: (reason) => handleBroken(state, reason, connection.countBytesRead() > 0),
  });
  state.attempt = attempt;
}

/** Starts a check. */
export function startServerCheck(options: ServerCheckOptions): ServerCheck {
  const state: CheckState = {
    options,
    startedMs: options.readNow(),
    isSettled: false,
    isOpen: false,
    attempt: undefined,
    retryTimer: undefined,
    endTimer: undefined,
  };
  state.endTimer = setTimeout(() => options.runAfterPoll(() => endLate(state)), MAX_CHECK_MS);
  sendRequest(state);
  return {
    abort: () => {
      if (!state.isSettled) {
        state.isSettled = true;
        stopTimers(state);
        state.attempt?.abort();
      }
    },
  };
}
