/**
 * Rate limits that backend servers name in their answers.
 *
 * A backend server in need names the requests a second that it takes from all gateways
 * together. The limit holds until an answer of the same life names none.
 */
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
 * Takes in what an answer says; gives it where it is news.
 *
 * An answer without a limit lifts one only if its request was sent after the limit was last
 * named. Answers overtake each other: one from before the need may come in after the first
 * that names it.
 *
 * @param perSecond requests a second; undefined where the answer names no limit
 */
export function noteRateLimit(
  { rateLimits }: gatewayState.GatewayState,
  { serverId: server, sentMs }: gatewayRequest.GatewayRequest,
  perSecond: number | undefined,
  now: number,
): RateLimitChange | undefined {
  if (server === undefined) {
    return undefined;
  }
  const known = rateLimits.get(server);
  const before = known?.perSecond;
  const isLifted = before !== undefined && sentMs > (known?.toldMs ?? Infinity);
  if (perSecond === undefined && !isLifted) {
    return undefined;
  }
  rateLimits.set(server, { perSecond, toldMs: now });
  return perSecond === before ? undefined : { server, perSecond, before };
}

/** Lists the limits that are in force, as this gateway was told. */
export function listRateLimits({
  rateLimits,
}: gatewayState.GatewayState): { server: string; perSecond: number }[] {
  return [...rateLimits].flatMap(([server, { perSecond }]) =>
    perSecond === undefined ? [] : [{ server, perSecond }],
  );
}
