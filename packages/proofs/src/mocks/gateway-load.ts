/** Load on a fleet of gateways in virtual time, and counts of the requests sent to a server. */
import * as assert from 'node:assert/strict';
import * as gatewayFleet from './gateway-fleet.js';
import type * as gatewayFleetState from './gateway-fleet-state.js';

/** Time between calls, milliseconds. */
export const CALL_INTERVAL_MS = 5;

/** Adds calls at all gateways in turn for a time; `injectFaults` is called in each step. */
export function runLoad(
  fleet: gatewayFleetState.GatewayFleet,
  durationMs: number,
  injectFaults: (elapsedMs: number) => void = () => {},
): void {
  const fromMs = fleet.nowMs;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CALL_INTERVAL_MS) {
    gatewayFleet.addCall(fleet, (elapsedMs / CALL_INTERVAL_MS) % fleet.states.length);
    injectFaults(elapsedMs);
    gatewayFleet.runFleet(fleet, CALL_INTERVAL_MS);
    assert.equal(fleet.nowMs, fromMs + elapsedMs + CALL_INTERVAL_MS);
  }
}

/** Lists the times at which requests were sent to a backend server, from `sinceMs` on. */
export function listSendTimes(
  { sent }: gatewayFleetState.GatewayFleet,
  serverId: string,
  sinceMs: number,
): number[] {
  return sent
    .filter((one) => one.serverId === serverId && one.atMs >= sinceMs)
    .map(({ atMs }) => atMs);
}

/** Returns the largest number of the given times that lie within one window. */
export function countMaxInWindow(times: readonly number[], windowMs: number): number {
  const counts = times.map(
    (from) => times.filter((one) => one >= from && one < from + windowMs).length,
  );
  return Math.max(...counts, 0);
}
