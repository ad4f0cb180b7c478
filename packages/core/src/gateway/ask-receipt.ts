/** Receives the asks that other gateways send to this one as the scheduler of a cell. */
import type * as schema from '@toucanproxy/schema';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import * as cellHandover from './cell-handover.js';
import type * as gatewayState from './gateway-state.js';
import * as serverStatements from './server-statements.js';

/**
 * Receives an ask; returns the resulting changes of backend server statements.
 *
 * A backend server's statement to another gateway that it is leaving applies here too until the
 * server restarts; otherwise the scheduler would grant slots there. Statements about an earlier
 * incarnation, from a gateway that has not read of the restart yet, are ignored. Asks for a cell that
 * was handed over are not answered: its next scheduler would grant the same slots.
 */
export function receiveAsk(
  state: gatewayState.GatewayState,
  ask: schema.ScheduleAsk,
  now: number,
): serverStatements.StatementChange[] {
  const changes = ask.statements
    .filter(({ isLeaving }) => isLeaving)
    .flatMap(({ serverId, bornMs, sentWallMs }) => {
      const departure = { ...serverStatements.EMPTY_STATEMENT, sentWallMs, isLeaving: true };
      const life = { id: serverId, bornMs };
      return backendServers.applyStatement(state.servers, life, departure, now);
    });
  if (cellHandover.isHandedOver(state, ask.cell, now)) {
    return changes;
  }
  const statements = ask.statements.filter((statement) => {
    const known = state.servers.byId.get(statement.serverId);
    return known === undefined || serverStatements.isAboutLife(statement, known.entry.bornMs);
  });
  scheduler.receiveAsk(state.scheduler, { ...ask, statements }, now);
  return changes;
}
