/**
 * Counts the work that this gateway's requests have left at each backend server.
 *
 * Engines read prompts one after the other, so a request waits for the prompts that were sent to
 * its engine before it. With a count of requests alone, a scheduler places short requests behind
 * prompts of tens of thousands of tokens.
 */
import * as scheduler from '../scheduler/index.js';
import * as configuration from './configuration.js';
import type * as gatewayRequest from './gateway-request.js';

/** Tokens of prompts without a first event, and of responses. */
export type WorkInFlight = { unreadTokens: number; answerTokens: number };

export const NO_WORK: WorkInFlight = { unreadTokens: 0, answerTokens: 0 };

/**
 * Reports whether the prompt of a request counts as unread: until its first event or, for a
 * response that is buffered and has no events, for the time in which it should have been read.
 */
function isUnread(request: gatewayRequest.GatewayRequest, now: number): boolean {
  const { route, hasFirstEvent, sentMs, predictedFirstMs } = request;
  const isStream = route.kind === configuration.RouteKind.STREAM;
  return !hasFirstEvent && (isStream || now - sentMs < predictedFirstMs);
}

/** Counts the work by backend server. */
export function countWork(
  requests: Iterable<gatewayRequest.GatewayRequest>,
  now: number,
): Map<string, WorkInFlight> {
  const sums = new Map<string, WorkInFlight>();
  [...requests].forEach((request) => {
    const { serverId, arrived } = request;
    if (serverId !== undefined) {
      const { unreadTokens, answerTokens } = sums.get(serverId) ?? NO_WORK;
      const { prompt = 0, answer = 0 } = arrived.tokens ?? {};
      sums.set(serverId, {
        unreadTokens: scheduler.toWireNumber(unreadTokens + (isUnread(request, now) ? prompt : 0)),
        answerTokens: scheduler.toWireNumber(
          answerTokens + Math.min(arrived.answerGuess ?? answer, answer),
        ),
      });
    }
  });
  return sums;
}
