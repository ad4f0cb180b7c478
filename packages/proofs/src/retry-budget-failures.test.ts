import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { runLoad } = gatewayLoad;
/** Window over which the retry budget is enforced, milliseconds. */
const WINDOW_MS = 10_000;
const FLEET = { gateways: 4, servers: 8, slots: 8, runMs: 50, isRepeatable: true };

/** Makes all backend servers respond with errors from now on. */
function failAllServers(fleet: gatewayFleetState.GatewayFleet): void {
  gatewayFleetState.listServerIds(fleet).forEach((id) => fleet.failing.add(id));
}

/** Lists when requests were sent that had been sent before. */
function listRetryTimes({ sent }: gatewayFleetState.GatewayFleet): number[] {
  const seen = new Set<string>();
  return sent.flatMap(({ attemptId, atMs }) => {
    const isRetry = seen.has(attemptId);
    seen.add(attemptId);
    return isRetry ? [atMs] : [];
  });
}

/** Checks that every window has retries, and no more than the budget that all gateways share. */
function checkBudget(fleet: gatewayFleetState.GatewayFleet): void {
  const requests = WINDOW_MS / gatewayLoad.CALL_INTERVAL_MS;
  const allowed = requests * gatewayFleetState.RETRY_RATIO + gatewayFleetState.RETRY_EXTRA;
  const most = gatewayLoad.countMaxInWindow(listRetryTimes(fleet), WINDOW_MS);
  assert.ok(most <= allowed, `${most} retries of ${allowed}`);
  assert.ok(most > allowed / 2, `only ${most} retries of ${allowed}`);
}

test('retries after a sudden failure of all servers', () => {
  // Guards against a budget that is spent at once after a calm time and again as it recovers.
  const fleet = gatewayFleet.createFleet(FLEET);
  runLoad(fleet, WINDOW_MS);
  failAllServers(fleet);
  runLoad(fleet, 2 * WINDOW_MS);
  checkBudget(fleet);
});

test('retries while gateways are killed in turn', () => {
  // Guards against restarted gateways that spend again what their predecessors have spent.
  const fleet = gatewayFleet.createFleet(FLEET);
  runLoad(fleet, WINDOW_MS);
  failAllServers(fleet);
  runLoad(fleet, 2 * WINDOW_MS, (elapsedMs) => {
    if (elapsedMs % 1000 === 500) {
      gatewayFaults.restartGateway(fleet, Math.floor(elapsedMs / 1000) % FLEET.gateways);
    }
  });
  checkBudget(fleet);
});

test('retries while all gateways are killed several times', () => {
  // Guards against a fleet that begins anew with a whole budget within one window.
  const fleet = gatewayFleet.createFleet(FLEET);
  failAllServers(fleet);
  runLoad(fleet, 2 * WINDOW_MS, (elapsedMs) => {
    if (elapsedMs % 3000 === 2500) {
      fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index));
    }
  });
  checkBudget(fleet);
});

test('retries of gateways that have not heard their peers', () => {
  // Guards against gateways that each take the additional retries of the whole fleet.
  const fleet = gatewayFleet.createFleet({ ...FLEET, gateways: 8 });
  fleet.states.forEach((_, from) =>
    fleet.states.forEach((__, to) => gatewayFaults.setPathBlocked(fleet, from, to, true)),
  );
  fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index));
  runLoad(fleet, WINDOW_MS);
  failAllServers(fleet);
  runLoad(fleet, 2 * WINDOW_MS);
  checkBudget(fleet);
});
