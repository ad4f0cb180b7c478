/**
 * One request on one connection to a backend server.
 *
 * The HTTP library takes a reset for the end of an answer that has no length;
 * such an answer is cut, and its caller would not see it. So the connection
 * notes a reset by itself, before the library hears of it.
 */
import type * as backendConnections from './backend-connections.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import type * as wireProtocol from './wire-protocol.js';

/** What an attempt tells as it goes on; one of `onEnd`, `onWithdrawn` and `onBroken` ends it. */
export type AttemptListener = {
  /** Gives false to stop the attempt. */
  onHead: (status: number, headers: wireProtocol.RawHeaders, isFresh: boolean) => boolean;
  /** Gives false to pause until `resume` is called. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  /** Asked before the first byte leaves; false withdraws the request. */
  mayLeave: () => boolean;
  /** No byte of the request has left, as `mayLeave` did not let it. */
  onWithdrawn: () => void;
  /** `mayHaveLeft` is false where no byte of the request left. */
  onBroken: (reason: string, mayHaveLeft: boolean) => void;
};

export type OutgoingRequest = {
  method: string;
  path: string;
  headers: wireProtocol.RawHeaders;
  body: Buffer | null;
};

export type BackendAttempt = {
  /** Ends the attempt and its connection; nothing more is told. */
  abort: () => void;
  resume: () => void;
  /** False while no byte of the request can have left. */
  mayHaveLeft: () => boolean;
};

const SWITCHING_MAX_STATUS = 199;

/** Reads the raw headers of the HTTP library. */
function toRawHeaders(headers: Buffer[]): wireProtocol.RawHeaders {
  return headers.map((one) => one.toString('latin1'));
}

/** Names an error for the log. */
function describeError(error: Error): string {
  return (error as { code?: string }).code ?? error.message;
}

/** Sends a request over a connection. */
export function startAttempt(
  connection: backendConnections.BackendConnection,
  request: OutgoingRequest,
  listener: AttemptListener,
): BackendAttempt {
  let left = false;
  let ended = false;
  let hasLength = false;
  let isKept = true;
  let resume = () => {};
  const isFresh = connection.answered === 0;
  const end = (tell: () => void, isClean: boolean) => {
    if (!ended) {
      ended = true;
      connection.release(isClean);
      tell();
    }
  };
  const handler = {
    onConnect: (abort: () => void) => {
      if (ended || listener.mayLeave()) {
        left = true;
        return;
      }
      end(listener.onWithdrawn, false);
      abort();
    },
    onHeaders: (status: number, given: Buffer[], resumeReading: () => void) => {
      if (status <= SWITCHING_MAX_STATUS) {
        return true;
      }
      resume = resumeReading;
      const headers = toRawHeaders(given);
      hasLength = endToEndHeaders.isFramed(status, headers);
      isKept = endToEndHeaders.findHeader(headers, 'connection')?.toLowerCase() !== 'close';
      if (!ended && !listener.onHead(status, headers, isFresh)) {
        end(() => {}, false);
      }
      return true;
    },
    onData: (chunk: Buffer) => ended || listener.onData(chunk),
    onComplete: () => {
      const isCut = connection.wasReset() && !hasLength;
      const tell = isCut ? () => listener.onBroken('reset', true) : listener.onEnd;
      end(tell, !isCut && hasLength && isKept);
    },
    onError: (error: Error) => {
      end(() => listener.onBroken(describeError(error), left), false);
    },
  };
  const options = { ...request, idempotent: true, blocking: false };
  connection.client.dispatch(options, handler);
  return {
    abort: () => end(() => {}, false),
    resume: () => resume(),
    mayHaveLeft: () => left,
  };
}
