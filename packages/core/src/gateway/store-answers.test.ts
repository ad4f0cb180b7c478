import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as belief from './belief.js';
import type * as gatewayState from './gateway-state.js';
import * as gatewayBench from './mocks/gateway-bench.js';
import * as peerView from './peer-view.js';
import * as storeAnswers from './store-answers.js';

const { test } = nodeTest;
const { buildClocks } = gatewayBench;

/** Creates a gateway that has version 1 of the configuration and no confirmed lease. */
function createState(): gatewayState.GatewayState {
  const state = gatewayBench.createBench(['a']);
  state.belief = belief.createBelief();
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
  const standing = belief.getStanding(state.belief, true, state.bounds.leaseMs, buildClocks(now));
  return standing === belief.Standing.CONFIRMED;
}

test('list with an older version than a peer does not renew the lease', () => {
  // A gateway that starts with a store restored from an older backup must not accept keys that
  // have been revoked since.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeAnswers.noteStoreAnswer(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, news: 'store-behind' });
  assert.equal(isConfirmed(state, 20), false);
});

test('changes with an older version than a peer trigger a full list', () => {
  // Changes may omit something for a moment; the lease must not be lost because of that.
  const state = createState();
  applyVersion(state, 2, 5);
  const outcome = storeAnswers.noteStoreAnswer(state, buildClocks(10), false, 20);
  assert.deepEqual(outcome, { isListDue: true, news: undefined });
  assert.ok(isConfirmed(state, 20));
  storeAnswers.noteStoreAnswer(state, buildClocks(30), true, 40);
  assert.equal(isConfirmed(state, 40), false);
});

test('version that a peer reports after the store call was sent', () => {
  // Gateways must not reject callers with each change of the configuration.
  const state = createState();
  applyVersion(state, 2, 15);
  const outcome = storeAnswers.noteStoreAnswer(state, buildClocks(10), true, 20);
  assert.deepEqual(outcome, { isListDue: false, news: undefined });
  assert.ok(isConfirmed(state, 20));
});

test('store that has caught up renews the lease', () => {
  const state = createState();
  applyVersion(state, 2, 5);
  storeAnswers.noteStoreAnswer(state, buildClocks(10), true, 20);
  storeAnswers.noteStoreAnswer(state, buildClocks(30), false, 40);
  assert.equal(isConfirmed(state, 40), false);
  assert.ok(state.index !== undefined);
  state.index.configuration.version = 2;
  const outcome = storeAnswers.noteStoreAnswer(state, buildClocks(50), false, 60);
  assert.equal(outcome.news, 'store-caught-up');
  assert.ok(isConfirmed(state, 60));
});

test('peer that reports a wrong version does not lock callers out for good', () => {
  const state = createState();
  applyVersion(state, 1e9, 5);
  storeAnswers.noteStoreAnswer(state, buildClocks(10), true, 20);
  storeAnswers.noteStoreAnswer(state, buildClocks(61_000), false, 61_010);
  assert.ok(isConfirmed(state, 61_010));
});
