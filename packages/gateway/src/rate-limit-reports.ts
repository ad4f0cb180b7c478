/** Takes in the rate limits that answers of backend servers name, and logs them. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as wireProtocol from './wire-protocol.js';

export type RateLimitParts = {
  state: gateway.GatewayState;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
};

/**
 * Takes in what one answer says. A limit that cannot be read changes nothing; an answer that is
 * not signed, such as a refusal, lifts none.
 */
export function takeRateLimit(
  { state, readClocks, log }: RateLimitParts,
  request: gateway.GatewayRequest,
  { rateLimit, isSigned }: wireProtocol.AnswerNames,
): void {
  if (rateLimit.kind === 'none' && !isSigned) {
    return;
  }
  const now = readClocks().steadyMs;
  if (rateLimit.kind === 'unreadable') {
    const code = schema.ResultCode.RATE_LIMIT_FAULT;
    const line = { server: request.serverId, found: rateLimit.text };
    log.write('rate-limit-faulty', { ...line, code, result: schema.ResultCode[code] }, now);
    return;
  }
  const perSecond = rateLimit.kind === 'named' ? rateLimit.perSecond : undefined;
  const change = gateway.noteRateLimit(state, request, perSecond, now);
  if (change !== undefined) {
    log.write(change.perSecond === undefined ? 'rate-limit-lifted' : 'rate-limit', change, now);
  }
}
