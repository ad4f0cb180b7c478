/** Takes in what another gateway tells this one as the scheduler of a cell. */
import type * as schema from '@toucanproxy/schema';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import type * as gatewayState from './gateway-state.js';
import * as serverStatements from './server-statements.js';

const LEAVING = { ...serverStatements.NOTHING_STATED, isLeaving: true };

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
    .flatMap(({ serverId, bornMs }) =>
      backendServers.applyStatement(state.servers, { id: serverId, bornMs }, LEAVING, now),
    );
  const statements = ask.statements.filter(({ serverId, bornMs }) => {
    const known = state.servers.byId.get(serverId);
    return known === undefined || known.entry.bornMs === bornMs;
  });
  scheduler.receiveAsk(state.scheduler, { ...ask, statements }, now);
  return changes;
}
