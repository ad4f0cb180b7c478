import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationIndex from './configuration-index.js';
import * as configurationLease from './configuration-lease.js';
import * as configurationStatus from './configuration-status.js';
import type * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as peerView from './peer-view.js';
import * as requestAdmission from './request-admission.js';

const { test } = nodeTest;
const { LeaseStatus } = configurationLease;
const CONFIGURATION_MS = 2500;

/** Creates a gateway with version 1 whose store responds at all times. */
function createState(): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway(['a']);
  state.bounds.configurationMs = CONFIGURATION_MS;
  state.bounds.leaseMs = Infinity;
  return state;
}

/** Applies a report of a peer that has the given version active. */
function applyVersion(state: gatewayState.GatewayState, version: number, now: number): void {
  const report = { address: '10.0.0.2:1', life: 'b', sequence: now, leaving: false, peers: [] };
  const used = new Map<string, number>();
  const rest = { used, processorPercent: 50, configurationVersion: version };
  peerView.applyReport(state.peers, { ...report, ...rest }, now);
}

/** Activates a version. */
function applyConfiguration(state: gatewayState.GatewayState, version: number): void {
  const configuration = gatewayFixture.buildConfiguration(version, [gatewayFixture.buildRoute()]);
  state.index = configurationIndex.buildConfigurationIndex(configuration);
}

/** Returns the status at a time. */
function getStatus(state: gatewayState.GatewayState, now: number): configurationLease.LeaseStatus {
  return configurationStatus.getConfigurationStatus(state, gatewayFixture.buildClocks(now));
}

test('gateway that cannot read a newer configuration serves nothing', () => {
  // Guards against requests that are handled by routes that were changed seconds ago.
  const state = createState();
  applyVersion(state, 2, 100);
  assert.equal(getStatus(state, 2600), LeaseStatus.CONFIRMED);
  assert.equal(getStatus(state, 2601), LeaseStatus.OUTDATED);
  const arrived = { ...gatewayFixture.buildArrived('1'), path: '/unknown' };
  const admission = requestAdmission.admitRequest(state, arrived, gatewayFixture.buildClocks(2601));
  assert.ok(admission.kind === 'refused' && admission.refusal.retryAfterMs !== undefined);
  applyConfiguration(state, 2);
  assert.equal(getStatus(state, 2601), LeaseStatus.CONFIRMED);
});

test('series of newer configurations does not hide the age of the active one', () => {
  // Guards against a time that begins anew with each version that a peer reports.
  const state = createState();
  for (let version = 2; version <= 30; version += 1) {
    applyVersion(state, version, version * 100);
  }
  assert.equal(getStatus(state, 3000), LeaseStatus.OUTDATED);
  applyConfiguration(state, 10);
  assert.equal(getStatus(state, 3000), LeaseStatus.CONFIRMED);
  assert.equal(getStatus(state, 3601), LeaseStatus.OUTDATED);
});

test('version that only a peer knows is ignored in the end', () => {
  const state = createState();
  applyVersion(state, 2, 100);
  assert.equal(getStatus(state, 60_101), LeaseStatus.CONFIRMED);
});
