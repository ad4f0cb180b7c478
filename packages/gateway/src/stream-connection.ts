/**
 * Takes connections for streams, so that the software version that a stream gets is the known one.
 *
 * Until the entry of a server that has restarted is written and read, it describes the incarnation
 * before, which may have had another version. What a server states of its start on a connection holds
 * for that connection, and for no other: a process that has gone silent leaves its connections open.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as heldRequest from './held-request.js';
import * as incarnationCheck from './incarnation-check.js';
import * as requestEnding from './request-ending.js';
import type * as taskState from './task-state.js';

type UseConnection = (connection: backendConnections.BackendConnection) => void;

/** Asks a server for its start on a connection, then passes on what was found. */
function checkIncarnation(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  { id, address }: gateway.BackendServerEntry,
  settle: (finding: incarnationCheck.IncarnationFinding) => void,
): void {
  let isSettled = false;
  const { abort } = incarnationCheck.startIncarnationCheck({
    connection: task.connections.take(address, held.request.arrived.attemptId),
    request: task.protocol.buildServerCheck(id),
    parseStart: task.protocol.parseReportedStart,
    settle: (finding) => {
      isSettled = true;
      held.attempt = undefined;
      requestEnding.runForRequest(task, held, () => settle(finding), undefined);
    },
  });
  if (!isSettled) {
    held.attempt = { abort, resume: () => {}, mayHaveBeenSent: () => false };
  }
}

/**
 * Takes a connection for a request.
 *
 * A stream that may be resumed begins, and goes on, over a connection on which the server has stated
 * that it is the incarnation of its entry. Where it has stated another start or none, a request that
 * continues a stream is not sent; one that begins a stream is, and its version counts as unknown.
 *
 * @param useConnection called with the connection, now or once the server has responded
 * @param refuse called instead if the request is not sent to this server
 */
export function takeConnection(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  useConnection: UseConnection,
  refuse: (fault: gateway.AttemptFault, reason: string) => void,
): void {
  const { connections } = task;
  const { request } = held;
  const { address, bornMs } = server;
  const { attemptId } = request.arrived;
  const continues = request.streamVersion !== undefined;
  if (!(continues || request.route.resumable) || bornMs === 0) {
    useConnection(connections.take(address, attemptId));
    return;
  }
  const known = connections.takeKnown(address, bornMs, attemptId);
  if (known !== undefined) {
    useConnection(known);
    return;
  }
  checkIncarnation(task, held, server, ({ bornMs: statedMs, isReachable }) => {
    const proven =
      statedMs === bornMs ? connections.takeKnown(address, bornMs, attemptId) : undefined;
    if (proven !== undefined) {
      useConnection(proven);
    } else if (!isReachable) {
      refuse(gateway.AttemptFault.UNREACHABLE, 'unreachable');
    } else if (continues) {
      refuse(gateway.AttemptFault.WITHDRAWN, 'restarted');
    } else {
      request.isIncarnationUnknown = true;
      useConnection(connections.take(address, attemptId));
    }
  });
}
