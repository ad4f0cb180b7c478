/**
 * Rate limits that backend servers name in their answers.
 *
 * A backend server under overload names the requests a second that it takes from all gateways
 * together. The limit holds until an answer of the same life names none.
 */
import * as asking from './asking.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';

export type NamedLimit = {
  /** Requests a second; undefined once the limit is lifted. */
  perSecond: number | undefined;
  /** When an answer last told so, milliseconds. */
  toldMs: number;
};

/** By the id of the backend server. */
export type RateLimits = Map<string, NamedLimit>;

/** A change of a limit, for the log. */
export type RateLimitChange = {
  server: string;
  perSecond: number | undefined;
  before: number | undefined;
};

/**
 * A lifted limit is told to schedulers for this time, milliseconds: longer than a gateway
 * that has been told of the limit only goes without an answer of a busy backend server.
 */
const LIFTED_TOLD_MS = 10_000;

/**
 * Tells whether an answer that names no limit lifts one.
 *
 * Only if the limit was known when the request was sent, here or to the scheduler. Answers
 * overtake each other: one from before the overload may come in after the first that names it.
 */
function isLifting(
  known: NamedLimit | undefined,
  { sentMs, isRateLimited }: gatewayRequest.GatewayRequest,
): boolean {
  const isKnownHere = known?.perSecond !== undefined && sentMs > known.toldMs;
  return isKnownHere || (isRateLimited && known?.perSecond === undefined);
}

/**
 * Takes in what an answer says; gives it where it is news.
 *
 * @param perSecond requests a second; undefined where the answer names no limit
 */
export function noteRateLimit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  perSecond: number | undefined,
  now: number,
): RateLimitChange | undefined {
  const { serverId: server, service } = request;
  if (server === undefined) {
    return undefined;
  }
  const known = state.rateLimits.get(server);
  if (perSecond === undefined && !isLifting(known, request)) {
    return undefined;
  }
  state.rateLimits.set(server, { perSecond, toldMs: now });
  if (known !== undefined && perSecond === known.perSecond) {
    return undefined;
  }
  asking.noteNews(state, server, service);
  return { server, perSecond, before: known?.perSecond };
}

/** Lists what schedulers are told, lately lifted limits included. */
export function listTold(
  { rateLimits }: gatewayState.GatewayState,
  now: number,
): [string, NamedLimit][] {
  return [...rateLimits].filter(
    ([, { perSecond, toldMs }]) => perSecond !== undefined || now - toldMs < LIFTED_TOLD_MS,
  );
}

/** Lists the limits that are in force, as this gateway was told. */
export function listRateLimits({
  rateLimits,
}: gatewayState.GatewayState): { server: string; perSecond: number }[] {
  return [...rateLimits].flatMap(([server, { perSecond }]) =>
    perSecond === undefined ? [] : [{ server, perSecond }],
  );
}
