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

/**
 * Tells what has become known of backend servers.
 *
 * @param from address of the gateway that told; undefined for an answer to this one
 */
export function reportStatements(
  log: decisionLog.DecisionLog,
  changes: readonly gateway.StatementChange[],
  from: string | undefined,
  now: number,
): void {
  changes.forEach((change) => log.write('server-statement', { ...change, from }, now));
}

/** Gets a value where an answer states one. */
function getStated<T>(value: wireProtocol.ParsedHeaderValue<T>): T | undefined {
  return value.kind === 'stated' ? value.value : undefined;
}

/** Takes in what one answer states; what cannot be read changes nothing. */
export function takeStatements(
  { state, readClocks, log }: StatementParts,
  request: gateway.GatewayRequest,
  { leaving, backoffMs, perSecond, isSigned }: wireProtocol.ParsedResponseHeaders,
): void {
  const now = readClocks().steadyMs;
  const code = schema.ResultCode.SERVER_STATEMENT_FAULT;
  [leaving, backoffMs, perSecond]
    .filter((one) => one.kind === 'unreadable')
    .forEach(({ text }) => {
      const line = { server: request.serverId, found: text, code, result: schema.ResultCode[code] };
      log.write('server-statement-faulty', line, now);
    });
  const statement = {
    isLeaving: leaving.kind === 'stated',
    backoffMs: getStated(backoffMs),
    perSecond: getStated(perSecond),
    // A limit that cannot be read is not lifted by that.
    isSigned: isSigned && perSecond.kind !== 'unreadable',
  };
  const changes = gateway.noteResponseStatement(state, request, statement, now);
  reportStatements(log, changes, undefined, now);
}
