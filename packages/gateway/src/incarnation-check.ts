/**
 * Checks which incarnation of a backend server is behind a connection.
 *
 * The entry of a server that has restarted still describes the incarnation before, until the next
 * one has written its own and the gateway has read it. A connection belongs to one process, so what
 * its report states holds for all later requests on the connection.
 */
import * as backendAttempt from './backend-attempt.js';
import type * as backendConnections from './backend-connections.js';
import * as byteCollector from './byte-collector.js';

export type IncarnationCheckOptions = {
  connection: backendConnections.BackendConnection;
  /** Asks for the server's report. */
  request: backendAttempt.OutgoingRequest;
  /** Parses from the report when the process started, milliseconds since the Unix epoch. */
  parseStart: (report: Buffer) => number | undefined;
  /** Called once, unless the check is aborted. */
  settle: (finding: IncarnationFinding) => void;
};

export type IncarnationFinding = {
  /** Undefined if the server has not stated its start. */
  bornMs: number | undefined;
  /** False if the call could not be sent. */
  isReachable: boolean;
};

/** A server that has not responded after this time counts as not stating its start, milliseconds. */
const MAX_CHECK_MS = 400;
const STATUS_OK = 200;
/** A longer report closes its connection; bytes. */
const MAX_REPORT_BYTES = 65_536;

/** Starts a check; the connection can be reused afterwards, unless it has failed. */
export function startIncarnationCheck({
  connection,
  request,
  parseStart,
  settle,
}: IncarnationCheckOptions): { abort: () => void } {
  const report = byteCollector.createByteCollector();
  let isReport = false;
  let isOver = false;
  let timer: NodeJS.Timeout | undefined;
  const end = (finding: IncarnationFinding) => {
    if (!isOver) {
      isOver = true;
      clearTimeout(timer);
      settle(finding);
    }
  };
  const endUnknown = () => end({ bornMs: undefined, isReachable: true });
  const attempt = backendAttempt.startAttempt(connection, request, {
    canSend: () => !isOver,
    onHead: (status, headers) => {
      // A response that states the id of a request is a late one to that request.
      if (connection.calls.findAttemptId(status, headers) !== undefined) {
        endUnknown();
        return false;
      }
      isReport = status === STATUS_OK;
      return true;
    },
    onData: (chunk) => {
      byteCollector.addBytes(report, chunk);
      if (report.length > MAX_REPORT_BYTES) {
        attempt.abort();
        endUnknown();
      }
      return true;
    },
    onEnd: () => {
      connection.noteStart(isReport ? parseStart(byteCollector.takeBytes(report)) : undefined);
      end({ bornMs: connection.bornMs, isReachable: true });
    },
    onWithdrawn: endUnknown,
    onBroken: (_, mayHaveBeenSent) => end({ bornMs: undefined, isReachable: mayHaveBeenSent }),
  });
  timer = setTimeout(() => {
    const isReachable = attempt.mayHaveBeenSent();
    attempt.abort();
    end({ bornMs: undefined, isReachable });
  }, MAX_CHECK_MS);
  return {
    abort: () => {
      isOver = true;
      clearTimeout(timer);
      attempt.abort();
    },
  };
}
