import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as scheduler from '../scheduler/index.js';
import * as askMessages from './ask-messages.js';
import * as assignment from './assignment.js';
import * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as pendingAsks from './pending-asks.js';
import * as recentUse from './recent-use.js';
import * as requestAdmission from './request-admission.js';
import * as serverEntries from './server-entries.js';

const { test } = nodeTest;
const SERVICE = 'one';
const SERVERS = Array.from({ length: 20 }, (_, index) => `i-${String(index).padStart(10, '0')}`);
const REQUESTS = 8;
const OBSERVATIONS = 12;
const STATEMENTS = 8;
const MAX_DATAGRAM_BYTES = 1400;

/** Admits a request, and records that its workspace used the service lately. */
function admitRequest(state: gatewayState.GatewayState, index: number): void {
  const arrived = gatewayFixture.buildArrived(`5c1e07a291bd3f0${index}`);
  const admission = requestAdmission.admitRequest(state, arrived, gatewayFixture.buildClocks(10));
  assert.equal(admission.kind, 'admitted');
  if (admission.kind === 'admitted') {
    const { use } = gatewayState.getServiceState(state, SERVICE);
    const workspace = `workspace-${index}`;
    recentUse.noteAsk(use, workspace, 10);
    recentUse.noteSent(use, { ...admission.request, workspace }, 10);
  }
}

test('asks with all kinds of items fit a datagram', () => {
  // Failure: an ask that is split on the network is lost with any of its parts.
  const state = gatewayFixture.createTestGateway(SERVERS);
  SERVERS.forEach((id) => gatewayFixture.setInFlight(state, id, 5));
  SERVERS.slice(0, OBSERVATIONS).forEach((serverId) => {
    const { FIRST_EVENT } = schema.ServerObservation_Kind;
    pendingAsks.noteObservation(state, { serverId, service: SERVICE }, FIRST_EVENT, 12.5, 10);
  });
  SERVERS.slice(0, STATEMENTS).forEach((id) =>
    state.servers.statements.set(id, {
      bornMs: 1,
      sentWallMs: 1,
      leavingSinceMs: undefined,
      backoffUntilMs: 0,
      rateLimit: { perSecond: 1.5, statedMs: 1 },
      statedMs: 1,
    }),
  );
  Array.from({ length: REQUESTS }, (_, index) => index).forEach((index) =>
    admitRequest(state, index),
  );
  const asks = askMessages.collectAsks(state, 20).map(({ ask }) => ask);
  const requests = asks.reduce((sum, one) => sum + one.requests.length, 0);
  assert.equal(requests, REQUESTS);
  assert.ok(asks.some((ask) => ask.recentUse.length === REQUESTS));
  asks.forEach((ask) => {
    const bytes = schema.toBinary(schema.ScheduleAskSchema, ask).length;
    assert.ok(bytes <= MAX_DATAGRAM_BYTES, String(bytes));
  });
});

test('request asks again when its cell is dropped', () => {
  // Guards against a request that waits without an ask after its cell has gone.
  const ids = Array.from({ length: 60 }, (_, index) => `server-${index}`);
  const state = gatewayFixture.createTestGateway(ids);
  state.drawRandom = () => 0;
  admitRequest(state, 1);
  const [request] = state.requests.values();
  assert.equal(request.cell, scheduler.formatCellName(SERVICE, 0));
  const reply = schema.create(schema.ScheduleReplySchema, {
    address: gatewayFixture.ADDRESS,
    cell: request.cell,
    refusals: [{ serial: request.serial, isOnArrival: true, retryAfterMs: 100 }],
  });
  assignment.applyReply(state, reply, gatewayFixture.buildClocks(20));
  assert.equal(request.cell, scheduler.formatCellName(SERVICE, 1));
  ids.slice(20).forEach((id) => serverEntries.removeEntry(state.servers, id, 30));
  askMessages.collectAsks(state, 40);
  assert.deepEqual([...(state.links.get(request.cell)?.asks.keys() ?? [])], [request.serial]);
});

test('ask with long ids of callers fits a datagram', () => {
  // Guards against a caller's id so long that no request in its message gets a slot.
  const state = gatewayFixture.createTestGateway(SERVERS);
  Array.from({ length: REQUESTS }, (_, index) => index).forEach((index) => {
    const arrived = gatewayFixture.buildArrived(`${index}${'x'.repeat(16_000)}`);
    requestAdmission.admitRequest(state, arrived, gatewayFixture.buildClocks(10));
  });
  const asks = askMessages.collectAsks(state, 20).map(({ ask }) => ask);
  assert.equal(
    asks.reduce((sum, one) => sum + one.requests.length, 0),
    REQUESTS,
  );
  asks.forEach((ask) => {
    const bytes = schema.toBinary(schema.ScheduleAskSchema, ask).length;
    assert.ok(bytes <= MAX_DATAGRAM_BYTES, String(bytes));
  });
});
