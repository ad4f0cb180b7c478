/**
 * Checks which incarnation of a backend server is behind a connection.
 *
 * The entry of a server that has restarted still describes the incarnation before, until the next
 * one has written its own and the gateway has read it. A connection belongs to one process, so what
 * its report states holds for all later requests on the connection.
 */
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';

export type IncarnationCheckOptions = {
  connection: backendConnections.BackendConnection;
  /** Asks for the server's report. */
  request: backendAttempt.OutgoingRequest;
  /** Parses from the report when the process started, milliseconds since the Unix epoch. */
  parseStart: (report: Buffer) => number | undefined;
  /** Called once, unless the check is aborted; undefined if the server has not stated its start. */
  settle: (bornMs: number | undefined) => void;
};

/** A server that has not responded after this time counts as not stating its start, milliseconds. */
const MAX_CHECK_MS = 400;
/** A longer report closes its connection; bytes. */
const MAX_REPORT_BYTES = 65_536;

/** Starts a check; the connection can be reused afterwards, unless it has failed. */
export function startIncarnationCheck({
  connection,
  request,
  parseStart,
  settle,
}: IncarnationCheckOptions): { abort: () => void } {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let timer: NodeJS.Timeout | undefined;
  const end = (bornMs: number | undefined) => {
    clearTimeout(timer);
    settle(bornMs);
  };
  const attempt = backendAttempt.startAttempt(connection, request, {
    canSend: () => true,
    onHead: () => true,
    onData: (chunk) => {
      bytes += chunk.length;
      if (bytes <= MAX_REPORT_BYTES) {
        chunks.push(chunk);
      }
      return true;
    },
    onEnd: () => {
      const bornMs = bytes <= MAX_REPORT_BYTES ? parseStart(Buffer.concat(chunks)) : undefined;
      connection.bornMs = bornMs;
      end(bornMs);
    },
    onWithdrawn: () => end(undefined),
    onBroken: () => end(undefined),
  });
  const abort = () => {
    clearTimeout(timer);
    attempt.abort();
  };
  timer = setTimeout(() => {
    attempt.abort();
    settle(undefined);
  }, MAX_CHECK_MS);
  return { abort };
}
