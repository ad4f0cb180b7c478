/** Applies the statements of a response about its backend server and notifies the scheduler. */
import * as pendingAsks from './pending-asks.js';
import * as backendServers from './backend-servers.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import type * as serverStatements from './server-statements.js';

/** Statements in the headers of a response. */
export type HeaderStatement = Omit<
  serverStatements.ResponseStatement,
  'answered' | 'sentWallMs'
> & {
  /** The backend server has signed the response. */
  isSigned: boolean;
};

/** Applies the statements of the response to a request; returns the resulting changes. */
export function noteResponseStatement(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  { isSigned, ...values }: HeaderStatement,
  now: number,
): serverStatements.StatementChange[] {
  const { serverId, serverBornMs, service } = request;
  if (serverId === undefined) {
    return [];
  }
  const { sentWallMs } = request;
  const statement = { ...values, sentWallMs, answered: isSigned ? request : undefined };
  const life = { id: serverId, bornMs: serverBornMs };
  const changes = backendServers.applyStatement(state.servers, life, statement, now);
  if (changes.length > 0) {
    pendingAsks.markLinkDirty(state, serverId, service);
  }
  return changes;
}
