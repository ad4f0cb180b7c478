/**
 * Runs one attempt: one request on one connection to a backend server.
 *
 * If a response has no length, the HTTP library treats a connection reset as its normal end, so a
 * truncated response would look complete to the caller. The connection therefore records a reset
 * itself, before the library handles it, and the attempt checks for one.
 */
import * as runtime from '@toucanproxy/runtime';
import type * as backendConnections from './backend-connections.js';
import * as carriedCalls from './carried-calls.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import type * as wireProtocol from './wire-protocol.js';

/**
 * Callbacks of an attempt. The last one is `onEnd`, `onWithdrawn` or `onBroken`, unless the attempt
 * is aborted or `onHead` stops it.
 */
export type AttemptListener = {
  /** Returns false to stop the attempt. */
  onHead: (status: number, headers: wireProtocol.RawHeaders, isNewConnection: boolean) => boolean;
  /** Returns false to pause until `resume` is called. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  /** Called before the end of the attempt if bytes of a further response followed its body. */
  onExtraResponse?: () => void;
  /** Called before the first byte is sent; returning false withdraws the request. */
  canSend: () => boolean;
  /** The attempt ended because `canSend` returned false; no byte of the request was sent. */
  onWithdrawn: () => void;
  /** The connection failed; `mayHaveBeenSent` is false if no byte of the request was sent. */
  onBroken: (reason: string, mayHaveBeenSent: boolean) => void;
};

export type OutgoingRequest = {
  /** Id that the headers state, by which a response names its request; absent if they state none. */
  attemptId?: string;
  method: string;
  path: string;
  headers: wireProtocol.RawHeaders;
  body: Buffer | null;
};

export type BackendAttempt = {
  /** Ends the attempt and closes its connection; no callback is called afterwards. */
  abort: () => void;
  resume: () => void;
  /** Returns false as long as no byte of the request can have been sent. */
  mayHaveBeenSent: () => boolean;
};

const MAX_INFORMATIONAL_STATUS = 199;
/**
 * Limit of the bytes of a response that are not in its body, such as interim responses and the
 * framing of chunks. It includes bytes that have been read and not yet parsed.
 */
const MAX_OVERHEAD_BYTES = 262_144;
/** Overhead that each byte of the body adds to the limit; a chunk of one byte has 5. */
const OVERHEAD_PER_BODY_BYTE = 16;

/** Time in which the rest of a further response follows its first bytes, milliseconds. */
const EXCESS_MS = 20;

/** Converts the raw headers of the HTTP library to text. */
function toRawHeaders(headers: Buffer[]): wireProtocol.RawHeaders {
  return headers.map((part) => part.toString('latin1'));
}

/** Adds a limit of the bytes outside the body of the response to a handler. */
function addOverheadLimit<H extends { onData: (chunk: Buffer) => boolean }>(
  handler: H,
  connection: backendConnections.BackendConnection,
  handleExcess: () => void,
): H {
  const bytesBefore = connection.countBytesRead();
  let bodyBytes = 0;
  connection.setReadListener(() => {
    const overheadBytes = connection.countBytesRead() - bytesBefore - bodyBytes;
    if (overheadBytes > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * bodyBytes) {
      handleExcess();
    }
  });
  const onData = (chunk: Buffer) => {
    bodyBytes += chunk.length;
    return handler.onData(chunk);
  };
  return { ...handler, onData };
}

type AttemptState = {
  connection: backendConnections.BackendConnection;
  listener: AttemptListener;
  attemptId: string | undefined;
  isNewConnection: boolean;
  isSent: boolean;
  hasEnded: boolean;
  /** Whether the response marks its own end. */
  isDelimited: boolean;
  isKeptAlive: boolean;
  scan: runtime.ResponseScan;
  resume: () => void;
};

/** Ends an attempt once; its connection is closed unless it can be used again. */
function endAttempt(state: AttemptState, notify: () => void, isReusable: boolean): void {
  if (!state.hasEnded) {
    state.hasEnded = true;
    state.connection.setReadListener(() => {});
    state.connection.setFailureListener(() => {});
    state.connection.release(isReusable);
    notify();
  }
}

/** Ends an attempt that has failed. */
function endBroken(state: AttemptState, reason: string): void {
  endAttempt(state, () => state.listener.onBroken(reason, state.isSent), false);
}

/** Ends an attempt whose response cannot be told from a further one behind it. */
function endWithExtraResponse(state: AttemptState): void {
  if (!state.hasEnded) {
    state.listener.onExtraResponse?.();
    endBroken(state, 'extra-response');
  }
}

/** Handles the status and headers of the final response. */
function handleHead(state: AttemptState, status: number, headers: wireProtocol.RawHeaders): void {
  const { connection, listener, attemptId, isNewConnection } = state;
  if (attemptId === undefined) {
    carriedCalls.recordPlainHead(connection.calls, status, headers);
  }
  state.isDelimited =
    endToEndHeaders.detectFraming(status, headers) !== endToEndHeaders.BodyFraming.UNTIL_CLOSE;
  state.isKeptAlive = endToEndHeaders.findHeader(headers, 'connection')?.toLowerCase() !== 'close';
  if (!state.hasEnded && !listener.onHead(status, headers, isNewConnection)) {
    endAttempt(state, () => {}, false);
  }
}

/** Passes on bytes of the body, up to a further response; returns false to pause. */
function passBody(state: AttemptState, { body, next }: runtime.ScanResult): boolean {
  const { listener } = state;
  const canContinue = body.length === 0 || listener.onData(body);
  if (next === runtime.HeadVerdict.BODY || state.hasEnded) {
    return canContinue;
  }
  listener.onExtraResponse?.();
  // A body that is shorter than its length has not ended where the next response begins.
  if (next === runtime.HeadVerdict.RESPONSE && !state.isDelimited) {
    endAttempt(state, listener.onEnd, false);
  } else {
    endBroken(state, 'extra-response');
  }
  return canContinue;
}

/** Handles the end of the response, or of its connection. */
function handleComplete(state: AttemptState): void {
  const { connection, listener, scan, isDelimited, isKeptAlive } = state;
  if (connection.wasReset() && !isDelimited) {
    endBroken(state, 'reset');
    return;
  }
  if (isDelimited && scan.held.length > 0) {
    setTimeout(() => connection.runContained(() => handleHeldEnd(state)), EXCESS_MS);
    return;
  }
  passBody(state, runtime.completeScan(scan));
  endAttempt(state, listener.onEnd, isDelimited && isKeptAlive);
}

/**
 * Handles the end of a body of a stated length whose last bytes may begin a further response: it does
 * if more bytes follow.
 */
function handleHeldEnd(state: AttemptState): void {
  const { connection, listener, scan, isKeptAlive } = state;
  if (state.hasEnded) {
    return;
  }
  if (connection.hasExcess()) {
    endWithExtraResponse(state);
    return;
  }
  // Behind a body whose connection is closed, nothing more is read.
  const isOpen = !connection.client.destroyed;
  passBody(state, isOpen ? runtime.releaseHeld(scan) : runtime.completeScan(scan));
  endAttempt(state, listener.onEnd, isKeptAlive);
}

/** Builds the callbacks of the HTTP library. */
function buildHandler(state: AttemptState) {
  const { listener, scan } = state;
  return {
    onConnect: (abort: () => void) => {
      if (state.hasEnded || listener.canSend()) {
        state.isSent = true;
        return;
      }
      endAttempt(state, listener.onWithdrawn, false);
      abort();
    },
    onHeaders: (
      status: number,
      rawHeaders: Buffer[],
      resumeReading: () => void,
      reason: string,
    ) => {
      const headers = toRawHeaders(rawHeaders);
      if (runtime.hasFurtherHead(reason, headers)) {
        endWithExtraResponse(state);
      } else if (status > MAX_INFORMATIONAL_STATUS) {
        state.resume = resumeReading;
        handleHead(state, status, headers);
      }
      return true;
    },
    onData: (chunk: Buffer) => state.hasEnded || passBody(state, runtime.scanChunk(scan, chunk)),
    onComplete: () => handleComplete(state),
    onError: (error: Error) => endBroken(state, runtime.describeConnectionError(error)),
  };
}

/** Starts an attempt: sends a request over a connection. */
export function startAttempt(
  connection: backendConnections.BackendConnection,
  { attemptId, ...message }: OutgoingRequest,
  listener: AttemptListener,
): BackendAttempt {
  const state: AttemptState = {
    connection,
    listener,
    attemptId,
    isNewConnection: connection.completedResponses === 0,
    isSent: false,
    hasEnded: false,
    isDelimited: false,
    isKeptAlive: true,
    scan: runtime.createResponseScan((status, headers) =>
      carriedCalls.judgeHead(connection.calls, status, headers),
    ),
    resume: () => {},
  };
  if (attemptId !== undefined) {
    carriedCalls.recordCall(connection.calls, attemptId);
  }
  connection.setFailureListener(() => endBroken(state, 'internal-error'));
  connection.client.dispatch(
    { ...message, idempotent: true, blocking: false },
    addOverheadLimit(buildHandler(state), connection, () => endBroken(state, 'overhead-too-long')),
  );
  return {
    abort: () => endAttempt(state, () => {}, false),
    resume: () => state.resume(),
    mayHaveBeenSent: () => state.isSent,
  };
}
