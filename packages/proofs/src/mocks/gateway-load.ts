/** Load on a fleet of gateways in virtual time, and what a backend server got of it. */
import * as assert from 'node:assert/strict';
import * as gatewayFleet from './gateway-fleet.js';
import type * as gatewayFleetState from './gateway-fleet-state.js';

const CALL_INTERVAL_MS = 5;

/** Lets calls come in at all gateways in turn for a time. */
export function runLoad(
  fleet: gatewayFleetState.GatewayFleet,
  forMs: number,
  befall: (passedMs: number) => void = () => {},
): void {
  const fromMs = fleet.nowMs;
  for (let passedMs = 0; passedMs < forMs; passedMs += CALL_INTERVAL_MS) {
    gatewayFleet.addCall(fleet, (passedMs / CALL_INTERVAL_MS) % fleet.states.length);
    befall(passedMs);
    gatewayFleet.runFleet(fleet, CALL_INTERVAL_MS);
    assert.equal(fleet.nowMs, fromMs + passedMs + CALL_INTERVAL_MS);
  }
}

/** Lists when a backend server got requests since a time, milliseconds. */
export function listTimes(
  { sent }: gatewayFleetState.GatewayFleet,
  serverId: string,
  sinceMs: number,
): number[] {
  return sent
    .filter((one) => one.serverId === serverId && one.atMs >= sinceMs)
    .map(({ atMs }) => atMs);
}

/** Counts the most of some times that lie within a window. */
export function countMostWithin(times: readonly number[], windowMs: number): number {
  const counts = times.map(
    (from) => times.filter((one) => one >= from && one < from + windowMs).length,
  );
  return Math.max(...counts, 0);
}
