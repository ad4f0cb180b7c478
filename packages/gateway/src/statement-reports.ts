/** Takes in what answers state about their backend servers, and logs what is news. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as wireProtocol from './wire-protocol.js';

export type StatementParts = {
  state: gateway.GatewayState;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
};

/** Takes in what one answer states; what cannot be read changes nothing. */
export function takeStatements(
  { state, readClocks, log }: StatementParts,
  { serverId, serverBornMs }: gateway.GatewayRequest,
  { leaving, backoffMs }: wireProtocol.AnswerNames,
): void {
  if (serverId === undefined) {
    return;
  }
  const now = readClocks().steadyMs;
  const code = schema.ResultCode.SERVER_STATEMENT_FAULT;
  [leaving, backoffMs]
    .filter((one) => one.kind === 'unreadable')
    .forEach(({ text }) => {
      const line = { server: serverId, found: text, code, result: schema.ResultCode[code] };
      log.write('server-statement-faulty', line, now);
    });
  const statement = {
    isLeaving: leaving.kind === 'stated',
    backoffMs: backoffMs.kind === 'stated' ? backoffMs.value : undefined,
  };
  const life = { id: serverId, bornMs: serverBornMs };
  gateway
    .applyStatement(state.servers, life, statement, now)
    .forEach((change) => log.write('server-statement', change, now));
}
