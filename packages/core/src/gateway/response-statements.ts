/** Takes in what an answer states about its backend server, and has its scheduler told. */
import * as pendingAsks from './pending-asks.js';
import * as backendServers from './backend-servers.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import type * as serverStatements from './server-statements.js';

/** What an answer says in its head. */
export type StatedValues = Omit<serverStatements.ResponseStatement, 'answered' | 'sentWallMs'> & {
  /** The backend server has signed the answer. */
  isSigned: boolean;
};

/** Takes in what the answer to a request states, and gives what is news. */
export function noteResponseStatement(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  { isSigned, ...values }: StatedValues,
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
