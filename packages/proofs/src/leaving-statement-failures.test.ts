import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { runLoad } = gatewayLoad;
const LEAVING_SERVER = 'server-0';
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };

/** Lists requests that a gateway sent to the server after a response had reported it as leaving. */
function listSentAfterStatement(
  { sent, receivedStatements }: gatewayFleetState.GatewayFleet,
  graceMs = 0,
): gatewayFleetState.SentRequest[] {
  return sent.filter(
    (one) =>
      one.serverId === LEAVING_SERVER &&
      receivedStatements.some(
        ({ gateway, serverId, atMs }) =>
          gateway === one.gateway && serverId === LEAVING_SERVER && one.atMs > atMs + graceMs,
      ),
  );
}

test('server that reports that it is leaving gets no more requests', () => {
  // Guards against gateways that learn of a leaving server only from the store, which may be
  // unavailable.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  fleet.reportingLeaving.add(LEAVING_SERVER);
  runLoad(fleet, 4000);
  assert.equal(fleet.receivedStatements.length > 0, true);
  assert.deepEqual(listSentAfterStatement(fleet), []);
});

/** Lists the requests that any gateway sent to the leaving server from `sinceMs` on. */
function listSentSince(
  { sent }: gatewayFleetState.GatewayFleet,
  sinceMs: number,
): gatewayFleetState.SentRequest[] {
  return sent.filter(({ serverId, atMs }) => serverId === LEAVING_SERVER && atMs >= sinceMs);
}

/** Runs a fleet until a server has reported to a gateway that it is leaving; returns the time. */
function runUntilStatement(fleet: gatewayFleetState.GatewayFleet): number {
  runLoad(fleet, 1000);
  fleet.reportingLeaving.add(LEAVING_SERVER);
  while (fleet.receivedStatements.length === 0) {
    runLoad(fleet, 10);
  }
  return fleet.nowMs;
}

test('gateways that did not receive the statement stop too', () => {
  // Guards against a scheduler that keeps granting places at a leaving server.
  const fleet = createFleet(FLEET);
  const statementMs = runUntilStatement(fleet);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentSince(fleet, statementMs + 100), []);
});

test('scheduler killed after a server has reported that it is leaving', () => {
  // Guards against a leaving state that is lost together with the scheduler that knew of it.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runUntilStatement(fleet);
  runLoad(fleet, 500);
  gatewayFaults.stopGateway(fleet, scheduler);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterStatement(fleet), []);
});

test('leaving server with schedulers that restart in turn', () => {
  const fleet = createFleet(FLEET);
  const statementMs = runUntilStatement(fleet);
  runLoad(fleet, 6000, (elapsedMs) => {
    if (elapsedMs % 1000 === 500) {
      assert.deepEqual(listSentAfterStatement(fleet), []);
      const index = Math.floor(elapsedMs / 1000) % FLEET.gateways;
      gatewayFaults.restartGateway(fleet, index);
      fleet.receivedStatements = fleet.receivedStatements.filter(
        ({ gateway }) => gateway !== index,
      );
    }
  });
  assert.deepEqual(listSentAfterStatement(fleet), []);
  const all = listSentSince(fleet, statementMs + 100);
  assert.ok(all.length < 20, String(all.length));
});

test('leaving server with a partition between gateways', () => {
  const fleet = createFleet(FLEET);
  runUntilStatement(fleet);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setPathBlocked(fleet, from, to, true);
      gatewayFaults.setPathBlocked(fleet, to, from, true);
    }),
  );
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterStatement(fleet), []);
});

test('leaving server with a third of the datagrams lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  const statementMs = runUntilStatement(fleet);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterStatement(fleet), []);
  assert.deepEqual(listSentSince(fleet, statementMs + 1000), []);
});

test('store entry that says ready does not undo the leaving state', () => {
  // Guards against a store entry that was written before the server reported that it was
  // leaving, and is read afterwards.
  const fleet = createFleet(FLEET);
  runUntilStatement(fleet);
  gatewayFaults.applyServerEntry(fleet, LEAVING_SERVER, { revision: { epoch: 0, count: 9 } });
  runLoad(fleet, 2000);
  assert.deepEqual(listSentAfterStatement(fleet), []);
});

test('next incarnation of a server that had left gets requests', () => {
  // Guards against a leaving state that is applied to the next incarnation of the server,
  // because a gateway that reads the store late still passes it on.
  const fleet = createFleet(FLEET);
  runUntilStatement(fleet);
  runLoad(fleet, 500);
  fleet.reportingLeaving.clear();
  const newIncarnation = { bornMs: fleet.nowMs, revision: { epoch: 0, count: 9 } };
  [0, 1, 2].forEach((index) =>
    gatewayFaults.applyServerEntry(fleet, LEAVING_SERVER, newIncarnation, index),
  );
  runLoad(fleet, 500);
  gatewayFaults.applyServerEntry(fleet, LEAVING_SERVER, newIncarnation, 3);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listSentSince(fleet, sinceMs).length > 10);
});

test('next incarnation reports that it is leaving before its store entry is read', () => {
  // Guards against a leaving state that is attributed to the previous incarnation and dropped
  // with it.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  const newIncarnation = { bornMs: fleet.nowMs, revision: { epoch: 0, count: 9 } };
  runUntilStatement(fleet);
  runLoad(fleet, 500);
  gatewayFaults.applyServerEntry(fleet, LEAVING_SERVER, newIncarnation);
  runLoad(fleet, 1000);
  assert.deepEqual(listSentAfterStatement(fleet), []);
});

test('all servers of a service leave', () => {
  // Guards against callers that wait until their deadline although all servers are leaving.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  gatewayFleetState.listServerIds(fleet).forEach((id) => fleet.reportingLeaving.add(id));
  runLoad(fleet, 1000);
  const sinceMs = fleet.nowMs;
  const sentBefore = fleet.sent.length;
  runLoad(fleet, 1000);
  assert.equal(fleet.sent.length, sentBefore);
  assert.ok(fleet.refused.filter(({ atMs }) => atMs >= sinceMs).length > 100);
});
