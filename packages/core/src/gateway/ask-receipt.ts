/** Takes in what another gateway tells this one as the scheduler of a cell. */
import type * as schema from '@toucanproxy/schema';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import type * as gatewayState from './gateway-state.js';
import * as serverStatements from './server-statements.js';

/**
 * Takes in an ask; gives what is news of backend servers.
 *
 * A departure that another gateway was told of holds here too: it ends with the life of the
 * backend server, and a scheduler that did not know of it would grant places there. What is told
 * of an earlier life, by a gateway that has not read of the restart yet, is left out.
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
  const statements = ask.statements.filter((statement) => {
    const known = state.servers.byId.get(statement.serverId);
    return known === undefined || serverStatements.isAbout(statement, known.entry.bornMs);
  });
  scheduler.receiveAsk(state.scheduler, { ...ask, statements }, now);
  return changes;
}
