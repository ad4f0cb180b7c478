import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as peerView from './peer-view.js';
import * as storeResponses from './store-responses.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;

/** Creates a gateway that has version 1 of the configuration and no confirmed lease. */
function createState(): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway(['a']);
  state.lease = configurationLease.createConfigurationLease();
  return state;
}

/** Applies a report of a peer whose active configuration has the given version. */
function applyVersion(state: gatewayState.GatewayState, version: number, now: number): void {
  const report = {
    address: '10.0.0.2:1',
    life: 'b',
    sequence: now,
    leaving: false,
    used: new Map<string, number>(),
    processorPercent: 50,
    configurationVersion: version,
    peers: [],
  };
  peerView.applyReport(state.peers, report, now);
}

/** Returns whether requests with a credential are served. */
function isConfirmed(state: gatewayState.GatewayState, now: number): boolean {
  const status = configurationLease.getLeaseStatus(
    state.lease,
    true,
    state.bounds.leaseMs,
    buildClocks(now),
  );
  return status === configurationLease.LeaseStatus.CONFIRMED;
}

test('list with an older version than a peer does not renew the lease', () => {
  // A gateway that starts with a store restored from an older backup must not accept credentials
  // that have been revoked since.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, logEvent: 'store-behind' });
  assert.equal(isConfirmed(state, 20), false);
});

test('changes with an older version than a peer trigger a full list', () => {
  // Changes may omit something for a moment; the lease must not be lost because of that.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), false, 20);
  assert.deepEqual(outcome, { isListDue: true, logEvent: undefined });
  assert.ok(isConfirmed(state, 20));
  storeResponses.noteStoreResponse(state, buildClocks(30), true, 40);
  assert.equal(isConfirmed(state, 40), false);
});

test('version that a peer reports after the store call was sent', () => {
  // A change of the configuration must not make gateways reject callers.
  const state = createState();
  applyVersion(state, 2, 15);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, logEvent: undefined });
  assert.ok(isConfirmed(state, 20));
});

test('store that has caught up renews the lease', () => {
  const state = createState();
  applyVersion(state, 2, 5);
  storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  storeResponses.noteStoreResponse(state, buildClocks(30), false, 40);
  assert.equal(isConfirmed(state, 40), false);
  assert.ok(state.index !== undefined);
  state.index.configuration.version = 2;
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(50), false, 60);
  assert.equal(outcome.logEvent, 'store-caught-up');
  assert.ok(isConfirmed(state, 60));
});

test('peer that reports a wrong version does not lock callers out for good', () => {
  const state = createState();
  applyVersion(state, 1e9, 5);
  storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  storeResponses.noteStoreResponse(state, buildClocks(61_000), false, 61_010);
  assert.ok(isConfirmed(state, 61_010));
});
