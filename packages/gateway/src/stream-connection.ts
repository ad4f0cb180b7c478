/**
 * Takes connections for streams, so that the software version that a stream gets is the known one.
 *
 * Until the entry of a server that has restarted is written and read, it describes the incarnation
 * before, which may have had another version. What a server states of its start on a connection holds
 * for that connection.
 */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as heldRequest from './held-request.js';
import * as incarnationCheck from './incarnation-check.js';
import * as requestEnding from './request-ending.js';
import type * as taskState from './task-state.js';

type UseConnection = (connection: backendConnections.BackendConnection) => void;

/** Asks a server for its start on a connection, then passes on what it has stated. */
function checkIncarnation(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  { id, address }: gateway.BackendServerEntry,
  settle: (statedMs: number | undefined) => void,
): void {
  let isSettled = false;
  const { abort } = incarnationCheck.startIncarnationCheck({
    connection: task.connections.take(address, held.request.arrived.attemptId),
    request: task.protocol.buildServerCheck(id),
    parseStart: task.protocol.parseReportedStart,
    settle: (statedMs) => {
      isSettled = true;
      held.attempt = undefined;
      requestEnding.runForRequest(task, held, () => settle(statedMs), undefined);
    },
  });
  if (!isSettled) {
    held.attempt = { abort, resume: () => {}, mayHaveBeenSent: () => false };
  }
}

/**
 * Takes a connection for a request.
 *
 * A request that continues a stream is sent only where the server has stated that it is the
 * incarnation of its entry. One that begins a stream is sent in any case; if it is not certain which
 * incarnation begins it, its version counts as unknown.
 *
 * @param useConnection called with the connection, now or once the server has responded
 * @param refuse called instead if another incarnation may be behind it
 */
export function takeConnection(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  useConnection: UseConnection,
  refuse: () => void,
): void {
  const { connections } = task;
  const { request } = held;
  const { address, bornMs } = server;
  const { attemptId } = request.arrived;
  const continues = request.streamVersion !== undefined;
  const needsProof = continues || (request.route.resumable && connections.isDoubtful(address));
  if (!needsProof || bornMs === 0) {
    useConnection(connections.take(address, attemptId));
    return;
  }
  const known = connections.takeKnown(address, bornMs, attemptId);
  if (known !== undefined) {
    useConnection(known);
    return;
  }
  checkIncarnation(task, held, server, (statedMs) => {
    if (statedMs === bornMs) {
      connections.clearDoubt(address);
    }
    const proven =
      statedMs === bornMs ? connections.takeKnown(address, bornMs, attemptId) : undefined;
    if (proven !== undefined) {
      useConnection(proven);
    } else if (continues) {
      refuse();
    } else {
      request.isIncarnationUnknown = true;
      useConnection(connections.take(address, attemptId));
    }
  });
}
