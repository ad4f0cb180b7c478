/** Applies what responses state about their backend servers, and logs the changes. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as wireProtocol from './wire-protocol.js';

export type StatementDependencies = {
  state: gateway.GatewayState;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
};

/**
 * Logs changes in what backend servers state.
 *
 * @param from address of the gateway that passed the statement on; undefined if it came in a
 *   response to this gateway
 */
export function reportStatements(
  log: decisionLog.DecisionLog,
  changes: readonly gateway.StatementChange[],
  from: string | undefined,
  now: number,
): void {
  changes.forEach((change) => log.write('server-statement', { ...change, from }, now));
}

/** Returns the value if the response states one. */
function getStated<T>(value: wireProtocol.ParsedHeaderValue<T>): T | undefined {
  return value.kind === 'stated' ? value.value : undefined;
}

/** Applies what one response states; values that cannot be parsed are logged and ignored. */
export function applyStatements(
  { state, readClocks, log }: StatementDependencies,
  request: gateway.GatewayRequest,
  { leaving, backoffMs, perSecond, isSigned }: wireProtocol.ParsedResponseHeaders,
): void {
  const now = readClocks().steadyMs;
  const code = schema.ResultCode.SERVER_STATEMENT_FAULT;
  [leaving, backoffMs, perSecond]
    .filter((value) => value.kind === 'unreadable')
    .forEach(({ text }) => {
      const line = { server: request.serverId, found: text, code, result: schema.ResultCode[code] };
      log.write('server-statement-faulty', line, now);
    });
  const statement = {
    isLeaving: leaving.kind === 'stated',
    backoffMs: getStated(backoffMs),
    perSecond: getStated(perSecond),
    // A signed response without a rate limit can lift the limit; one with an unreadable limit must
    // not.
    isSigned: isSigned && perSecond.kind !== 'unreadable',
  };
  const changes = gateway.noteResponseStatement(state, request, statement, now);
  reportStatements(log, changes, undefined, now);
}
