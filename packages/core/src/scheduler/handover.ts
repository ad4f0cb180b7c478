/**
 * Hands a cell over to its next scheduler.
 *
 * A scheduler that leaves tells the next one which slots are in use, on behalf of the gateways that
 * use them. Each message is replaced by the next ask of its gateway, whose sequence number is
 * higher.
 */
import * as schema from '@toucanproxy/schema';
import type * as cells from './cell.js';

/** Lists the slots that a gateway uses or was granted, by backend server. */
function listUse({ inFlight, work, reportsWork, unreportedGrants }: cells.CellAsker): {
  serverId: string;
  requests: number;
  unreadTokens?: number;
  answerTokens?: number;
}[] {
  const grantedIds = unreportedGrants.map(({ serverId }) => serverId);
  const serverIds = [...new Set([...inFlight.keys(), ...grantedIds])];
  return serverIds.map((serverId) => {
    const granted = unreportedGrants.filter((grant) => grant.serverId === serverId);
    const requests = (inFlight.get(serverId) ?? 0) + granted.length;
    if (!reportsWork) {
      return { serverId, requests };
    }
    const works = [work.get(serverId), ...granted.map((grant) => grant.work)];
    return {
      serverId,
      requests,
      unreadTokens: works.reduce((sum, one) => sum + (one?.unreadTokens ?? 0), 0),
      answerTokens: works.reduce((sum, one) => sum + (one?.answerTokens ?? 0), 0),
    };
  });
}

/** Builds the messages that tell the next scheduler of a cell which slots are in use. */
export function buildCellHandover({ name, askers }: cells.Cell): schema.ScheduleAsk[] {
  return [...askers].flatMap(([address, asker]) => {
    const inFlight = listUse(asker);
    const { life, sequence, failureDomain } = asker;
    return inFlight.length === 0
      ? []
      : [
          schema.create(schema.ScheduleAskSchema, {
            address,
            life,
            sequence,
            cell: name,
            failureDomain,
            inFlight,
          }),
        ];
  });
}
