/**
 * Decides which requests a gateway that shuts down still sends, and refuses the others in time.
 *
 * A request that is still waiting when the process exits would get no response at all. One that is
 * sent too late would be cut while it runs, and its caller could not tell whether it may be
 * repeated. A request waits for as long as a run of its route fits into the rest of the grace
 * period; then it is refused as not run, and its caller can use another gateway.
 */
import * as schema from '@toucanproxy/schema';
import * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as pendingAsks from './pending-asks.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as runTimes from './run-times.js';

/** How long requests are still admitted after shutdown was requested, milliseconds. */
const SERVE_MS = 2500;
/** Part of the grace period that is reserved for sending the last responses, milliseconds. */
const FLUSH_MS = 400;
/** Time for the end of a response to be read and passed on, milliseconds. */
const RESPONSE_MS = 100;
/**
 * Part of the grace period in which a request is sent if a typical run of its route fits into the
 * rest. Later, a long one must fit.
 */
const EARLY_SHARE = 3 / 8;
/** Time that a refused caller needs at another gateway in addition to a run, milliseconds. */
const RETRY_RESERVE_MS = 500;
/** Time in which a gateway that has exited is replaced, milliseconds. */
const RESTART_MS = 1000;

/** Records that a shutdown was requested; returns false if one is in progress already. */
export function beginShutdown(
  state: gatewayState.GatewayState,
  graceMs: number,
  now: number,
): boolean {
  if (state.shutdownMs > 0) {
    return false;
  }
  state.shutdownMs = now;
  state.shutdownGraceMs = graceMs;
  // Outdated: this gateway schedules no cells from now on.
  state.ranking.revision = -1;
  return true;
}

/** Computes how long after the request for shutdown running requests are ended, milliseconds. */
export function computeRunLimitMs({ shutdownGraceMs }: gatewayState.GatewayState): number {
  return Math.max(shutdownGraceMs - FLUSH_MS, 0);
}

/**
 * Computes until when a request may be sent; Infinity unless the gateway is shutting down.
 *
 * @param estimate how long runs of its route take; undefined if unknown
 */
function computeLastSendMs(
  state: gatewayState.GatewayState,
  { giveUpMs, hasBegun }: gatewayRequest.GatewayRequest,
  estimate: runTimes.RunTimeEstimate | undefined,
): number {
  const { shutdownMs, shutdownGraceMs } = state;
  if (shutdownMs === 0) {
    return Infinity;
  }
  const endMs = shutdownMs + computeRunLimitMs(state) - RESPONSE_MS;
  // Only this gateway can complete a begun response, so it is not given up as long as there is time.
  if (hasBegun) {
    return endMs;
  }
  const earlyMs = Math.min(shutdownMs + shutdownGraceMs * EARLY_SHARE, endMs);
  const { typicalMs, longMs } = estimate ?? { typicalMs: 0, longMs: Infinity };
  const lastMs = Math.max(Math.min(earlyMs, endMs - typicalMs), endMs - longMs);
  // Only where the shutdown ends the wait before the request itself would.
  const isShortened = giveUpMs > endMs;
  return isShortened ? Math.min(lastMs, giveUpMs - typicalMs - RETRY_RESERVE_MS) : lastMs;
}

/** Builds the refusal of a request that this gateway does not send before it exits. */
export function buildShutdownRefusal(
  state: gatewayState.GatewayState,
  now: number,
): refusal.Refusal {
  const { shutdownMs, shutdownGraceMs, peers, seeds } = state;
  const isAlone = peers.byAddress.size === 0 && seeds.length === 0;
  const exitMs = Math.max(shutdownMs + shutdownGraceMs - now, 0);
  const earliestMs = isAlone ? exitMs + RESTART_MS : refusal.OTHER_GATEWAY_RETRY_AFTER_MS;
  // Spread, as many callers may be refused at the same time.
  const spreadMs = refusal.OTHER_GATEWAY_RETRY_AFTER_MS * state.drawRandom();
  return refusal.buildRefusal(schema.ResultCode.SHUTTING_DOWN, earliestMs + spreadMs);
}

/** Returns the refusal of a request that is too late to be sent at a shutdown, if it is. */
export function findSendRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const isStopping = state.shutdownMs > 0;
  const estimate = isStopping
    ? runTimes.estimateRunTime(state.runTimes, request.route.name)
    : undefined;
  return now > computeLastSendMs(state, request, estimate)
    ? buildShutdownRefusal(state, now)
    : undefined;
}

/** Returns the refusal of a request that arrives too late at a shutdown, if it does. */
export function findArrivalRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  return state.shutdownMs > 0 && now - state.shutdownMs > SERVE_MS
    ? buildShutdownRefusal(state, now)
    : findSendRefusal(state, request, now);
}

/** A refused request and the refusal for its caller. */
export type LateRequest = { request: gatewayRequest.GatewayRequest; refusal: refusal.Refusal };

/** Refuses the waiting requests that are too late to be sent at a shutdown. */
export function refuseLate(state: gatewayState.GatewayState, now: number): LateRequest[] {
  if (state.shutdownMs === 0) {
    return [];
  }
  const waiting = [...state.requests.values()].filter(
    ({ phase }) => phase === gatewayRequest.RequestPhase.WAITING,
  );
  const routes = new Set(waiting.map(({ route }) => route.name));
  const estimates = new Map(
    [...routes].map((name) => [name, runTimes.estimateRunTime(state.runTimes, name)]),
  );
  return waiting
    .filter((request) => now > computeLastSendMs(state, request, estimates.get(request.route.name)))
    .map((request) => {
      pendingAsks.withdrawAsk(state, request);
      const notRun = buildShutdownRefusal(state, now);
      return { request, refusal: requestEnd.refuseWaiting(state, request, notRun) };
    });
}
