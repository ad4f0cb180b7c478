/**
 * Runs one attempt: one request on one connection to a backend server.
 *
 * If a response has no length, the HTTP library treats a connection reset as its normal end, so a
 * truncated response would look complete to the caller. The connection therefore records a reset
 * itself, before the library handles it, and the attempt checks for one.
 */
import type * as backendConnections from './backend-connections.js';
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
  /** Called before the first byte is sent; returning false withdraws the request. */
  canSend: () => boolean;
  /** The attempt ended because `canSend` returned false; no byte of the request was sent. */
  onWithdrawn: () => void;
  /** The connection failed; `mayHaveBeenSent` is false if no byte of the request was sent. */
  onBroken: (reason: string, mayHaveBeenSent: boolean) => void;
};

export type OutgoingRequest = {
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

/** Converts the raw headers of the HTTP library to text. */
function toRawHeaders(headers: Buffer[]): wireProtocol.RawHeaders {
  return headers.map((part) => part.toString('latin1'));
}

/** Describes an error for the log: its code if it has one, otherwise its message. */
function describeError(error: Error): string {
  return (error as { code?: string }).code ?? error.message;
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

/** Starts an attempt: sends a request over a connection. */
export function startAttempt(
  connection: backendConnections.BackendConnection,
  request: OutgoingRequest,
  listener: AttemptListener,
): BackendAttempt {
  let isSent = false;
  let ended = false;
  let isDelimited = false;
  let isKeptAlive = true;
  let resume = () => {};
  const isNewConnection = connection.completedResponses === 0;
  const end = (notify: () => void, isReusable: boolean) => {
    if (!ended) {
      ended = true;
      connection.setReadListener(() => {});
      connection.release(isReusable);
      notify();
    }
  };
  const endBroken = (reason: string) => end(() => listener.onBroken(reason, isSent), false);
  const handler = {
    onConnect: (abort: () => void) => {
      if (ended || listener.canSend()) {
        isSent = true;
        return;
      }
      end(listener.onWithdrawn, false);
      abort();
    },
    onHeaders: (status: number, rawHeaders: Buffer[], resumeReading: () => void) => {
      if (status <= MAX_INFORMATIONAL_STATUS) {
        return true;
      }
      resume = resumeReading;
      const headers = toRawHeaders(rawHeaders);
      isDelimited =
        endToEndHeaders.detectFraming(status, headers) !== endToEndHeaders.BodyFraming.UNTIL_CLOSE;
      isKeptAlive = endToEndHeaders.findHeader(headers, 'connection')?.toLowerCase() !== 'close';
      if (!ended && !listener.onHead(status, headers, isNewConnection)) {
        end(() => {}, false);
      }
      return true;
    },
    onData: (chunk: Buffer) => ended || listener.onData(chunk),
    onComplete: () =>
      connection.wasReset() && !isDelimited
        ? endBroken('reset')
        : end(listener.onEnd, isDelimited && isKeptAlive),
    onError: (error: Error) => endBroken(describeError(error)),
  };
  connection.client.dispatch(
    { ...request, idempotent: true, blocking: false },
    addOverheadLimit(handler, connection, () => endBroken('overhead-too-long')),
  );
  return {
    abort: () => end(() => {}, false),
    resume: () => resume(),
    mayHaveBeenSent: () => isSent,
  };
}
