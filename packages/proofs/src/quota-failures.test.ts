import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { runLoad } = gatewayLoad;
/** Window over which quotas are enforced, milliseconds. */
const WINDOW_MS = 8000;
const TOKENS_PER_CALL = 550;
const QUOTA = {
  unit: gateway.QuotaUnit.TOKENS,
  perSecond: 20_000,
  burst: 20_000,
  defaultTokens: TOKENS_PER_CALL,
};
/** What a window may exceed a quota by: a share of the window's quota, and a number of tokens. */
const ALLOWED = { overage: 0.25, slack: 20_000 };
const FLEET = { gateways: 4, servers: 8, slots: 8, runMs: 50, quota: QUOTA };

/** Checks that every window has at most the tokens that the quota and its tolerance allow. */
function checkQuota({ sent }: gatewayFleetState.GatewayFleet): void {
  const windowS = WINDOW_MS / 1000;
  const declared = QUOTA.perSecond * windowS + QUOTA.burst;
  const allowed = declared * (1 + ALLOWED.overage) + ALLOWED.slack;
  const times = sent.map(({ atMs }) => atMs);
  const most = gatewayLoad.countMaxInWindow(times, WINDOW_MS) * TOKENS_PER_CALL;
  assert.ok(most <= allowed, `${most} tokens of ${allowed}`);
  assert.ok(most > declared / 2, `only ${most} tokens of ${allowed}`);
}

test('quota while gateways are killed in turn', () => {
  // Guards against restarted gateways that each admit a part of a burst again.
  const fleet = gatewayFleet.createFleet(FLEET);
  runLoad(fleet, 4000);
  runLoad(fleet, 2 * WINDOW_MS, (elapsedMs) => {
    if (elapsedMs % 1000 === 500) {
      gatewayFaults.restartGateway(fleet, Math.floor(elapsedMs / 1000) % FLEET.gateways);
    }
  });
  checkQuota(fleet);
});

test('quota while all gateways are killed several times', () => {
  // Guards against a fleet that admits a whole burst after each restart.
  const fleet = gatewayFleet.createFleet(FLEET);
  runLoad(fleet, 2 * WINDOW_MS, (elapsedMs) => {
    if (elapsedMs % 3000 === 2500) {
      fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index));
    }
  });
  checkQuota(fleet);
});
