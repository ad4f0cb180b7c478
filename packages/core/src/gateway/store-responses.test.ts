import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as peerView from './peer-view.js';
import * as storeResponses from './store-responses.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;

/** Creates a gateway that has version 1 and has confirmed nothing yet. */
function createState(): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway(['a']);
  state.lease = configurationLease.createConfigurationLease();
  return state;
}

/** Takes in a report of a peer that has a version in force. */
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

/** Tells whether callers with keys are served. */
function isConfirmed(state: gatewayState.GatewayState, now: number): boolean {
  const standing = configurationLease.getLeaseStatus(
    state.lease,
    true,
    state.bounds.leaseMs,
    buildClocks(now),
  );
  return standing === configurationLease.LeaseStatus.CONFIRMED;
}

test('list that is older than a peer confirms nothing', () => {
  // Guards against keys that were taken away, at a gateway that starts on a restored backup.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, news: 'store-behind' });
  assert.equal(isConfirmed(state, 20), false);
});

test('changes that are older than a peer have all listed', () => {
  // Guards against a lease that is lost since changes leave something out for a moment.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), false, 20);
  assert.deepEqual(outcome, { isListDue: true, news: undefined });
  assert.ok(isConfirmed(state, 20));
  storeResponses.noteStoreResponse(state, buildClocks(30), true, 40);
  assert.equal(isConfirmed(state, 40), false);
});

test('version that a peer tells after the call is on its way', () => {
  // Guards against gateways that refuse callers with each change of the configuration.
  const state = createState();
  applyVersion(state, 2, 15);
  const outcome = storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, news: undefined });
  assert.ok(isConfirmed(state, 20));
});

test('store that has caught up confirms again', () => {
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

test('peer that tells a wrong version locks nobody out for good', () => {
  const state = createState();
  applyVersion(state, 1e9, 5);
  storeResponses.noteStoreResponse(state, buildClocks(10), true, 20);
  storeResponses.noteStoreResponse(state, buildClocks(61_000), false, 61_010);
  assert.ok(isConfirmed(state, 61_010));
});
