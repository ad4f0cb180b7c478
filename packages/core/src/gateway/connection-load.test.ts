import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as connectionLoad from './connection-load.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';

const { test } = nodeTest;
const DOMAIN = 'zone-1';
const STEP_MS = 50;
const LATE_MS = 400;
const TOO_LATE_MS = 900;

/** Creates a gateway with one peer of the given load. */
function createGateway(loadPercent: number, failureDomain = DOMAIN) {
  const peers = peerView.createPeerView();
  peerView.applyReport(
    peers,
    {
      address: '10.0.0.1:1',
      life: 'a',
      sequence: 1000,
      leaving: false,
      used: new Map(),
      workspaceCount: 0,
      processorPercent: 50,
      configurationVersion: 1,
      peers: [],
      failureDomain,
      loadPercent,
    },
    0,
  );
  const load = connectionLoad.createConnectionLoad();
  return { peers, failureDomain: DOMAIN, connectionLoad: load } as gatewayState.GatewayState;
}

/** Checks connections that have waited for the given times, one each step; lists the refused ones. */
function checkEach(state: gatewayState.GatewayState, waits: number[]): number[] {
  return waits.flatMap((waitedMs, index) =>
    connectionLoad.checkConnection(state, waitedMs, index * STEP_MS).refusal !== undefined
      ? [index]
      : [],
  );
}

test('connections that wait long are refused while a peer has time left', () => {
  // Guards against connections that wait in the queue until their callers have left.
  assert.deepEqual(checkEach(createGateway(30), Array(7).fill(LATE_MS)), [4, 5, 6]);
});

test('connections in time are served again', () => {
  const state = createGateway(30);
  assert.deepEqual(checkEach(state, [...Array(5).fill(LATE_MS), 100, LATE_MS]), [4]);
});

test('a short queue refuses nothing', () => {
  // Guards against refusing connections after a single stall.
  assert.deepEqual(checkEach(createGateway(30), [TOO_LATE_MS, TOO_LATE_MS, 0]), []);
});

[
  { name: 'loaded', state: createGateway(90) },
  { name: 'in another domain', state: createGateway(30, 'zone-2') },
].forEach(({ name, state }) =>
  test(`without a peer that has time left: ${name}`, () => {
    // Guards against retries that go round between overloaded gateways.
    assert.deepEqual(checkEach(state, Array(9).fill(LATE_MS)), []);
  }),
);

test('connections whose callers have left are refused in any case', () => {
  // Guards against a gateway that reads only requests of callers that have left.
  assert.deepEqual(checkEach(createGateway(100), Array(6).fill(TOO_LATE_MS)), [4, 5]);
});

test('changes are told once', () => {
  const state = createGateway(30);
  const waits = [...Array(6).fill(LATE_MS), 0, 0] as number[];
  const changes = waits.map(
    (waitedMs, index) =>
      connectionLoad.checkConnection(state, waitedMs, index * STEP_MS).change ?? '',
  );
  assert.deepEqual(changes, ['', '', '', '', 'begun', '', 'ended', '']);
});

test('caller is sent to another gateway at once if that has time left', () => {
  // Guards against callers that all come back to a gateway before its queue is shorter.
  [
    { loadPercent: 30, waitedMs: LATE_MS, retryAfterMs: 100 },
    { loadPercent: 100, waitedMs: TOO_LATE_MS, retryAfterMs: TOO_LATE_MS },
  ].forEach(({ loadPercent, waitedMs, retryAfterMs }) => {
    const state = createGateway(loadPercent);
    checkEach(state, Array(5).fill(waitedMs) as number[]);
    const { refusal } = connectionLoad.checkConnection(state, waitedMs, 5 * STEP_MS);
    assert.deepEqual(refusal, { code: schema.ResultCode.GATEWAY_OVERLOADED, retryAfterMs });
  });
});
