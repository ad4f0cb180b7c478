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

/** What a check has found. */
export enum CheckFinding {
  RESPONDED = 'responded',
  /** No response on an open connection. */
  SILENT = 'silent',
  /** Another incarnation of the backend server, which cannot have sent the response. */
  RESTARTED = 'restarted',
  /** Another backend server has the address. */
  MISDIRECTED = 'misdirected',
  REFUSED = 'refused',
  /** No connection, or only ones that break. */
  UNREACHABLE = 'unreachable',
}

const PRESENT_FINDINGS: ReadonlySet<CheckFinding> = new Set([
  CheckFinding.RESPONDED,
  CheckFinding.SILENT,
]);

/** Returns whether a finding means that the backend server has outlived the connection. */
export function isPresent(finding: CheckFinding): boolean {
  return PRESENT_FINDINGS.has(finding);
}

export type ServerCheckOptions = {
  /** Opens a new connection to the backend server. */
  open: () => backendConnections.BackendConnection;
  request: backendAttempt.OutgoingRequest;
  /** Returns whether an incarnation that started at a time can have sent the response. */
  canBeSender: (bornMs: number) => boolean;
  /** Parses when the process of the backend server started, milliseconds since the Unix epoch. */
  parseStart: (report: Buffer) => number | undefined;
  /** Returns whether a response comes from another backend server at the same address. */
  isMisdirected: (status: number, headers: wireProtocol.RawHeaders) => boolean;
  readNow: () => number;
  /** Runs a step once the event loop has read what has arrived. */
  runAfterPoll: (step: () => void) => void;
  /** Called once, unless the check is aborted; a server that cannot be reached counts as gone. */
  settle: (finding: CheckFinding, ms: number) => void;
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
const STATUS_OK = 200;

/** Ends the check with a result. */
function endCheck(state: CheckState, finding: CheckFinding): void {
  if (!state.isSettled) {
    state.isSettled = true;
    state.options.settle(finding, state.options.readNow() - state.startedMs);
  }
}

/**
 * Handles a connection that failed before a whole report. Any bytes on it show that the server is
 * present. A break alone shows nothing, and the server is asked again: a port may accept connections
 * for a server that is gone, and a server may reset those beyond its limit.
 */
function handleBroken(state: CheckState, reason: string, hasResponded: boolean): void {
  if (state.isSettled) {
    return;
  }
  const elapsedMs = state.options.readNow() - state.startedMs;
  if (hasResponded) {
    endCheck(state, CheckFinding.RESPONDED);
  } else if (reason === REFUSED) {
    endCheck(state, CheckFinding.REFUSED);
  } else if (elapsedMs >= MAX_CHECK_MS) {
    endCheck(state, CheckFinding.UNREACHABLE);
  } else {
    state.retryTimer = setTimeout(() => sendRequest(state), RETRY_MS);
  }
}

/** Sends the request of the check over a new connection. */
function sendRequest(state: CheckState): void {
  const { open, request, isMisdirected, canBeSender, parseStart, runAfterPoll } = state.options;
  const report = byteCollector.createByteCollector();
  let isReport = false;
  let silenceTimer: NodeJS.Timeout | undefined;
  let isOver = false;
  const handleSilence = () => {
    if (!isOver) {
      state.attempt?.abort();
      endCheck(state, CheckFinding.SILENT);
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
      isReport = status === STATUS_OK;
      if (!isReport) {
        const isOther = isMisdirected(status, headers);
        endCheck(state, isOther ? CheckFinding.MISDIRECTED : CheckFinding.RESPONDED);
      }
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
      const bornMs = isReport ? parseStart(byteCollector.takeBytes(report)) : undefined;
      // Streams that begin or go on over this connection need not ask again.
      connection.bornMs = bornMs;
      const isSender = bornMs === undefined || canBeSender(bornMs);
      endCheck(state, isSender ? CheckFinding.RESPONDED : CheckFinding.RESTARTED);
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
