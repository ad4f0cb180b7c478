import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as handover from './handover.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as places from './places.js';
import * as scheduler from './scheduler.js';

const { test } = nodeTest;
const CELL = 'one/0';
const REQUEST = { serial: 1, targetLeftMs: 500, leaveLeftMs: 2000, giveUpLeftMs: 9000 };

/** Builds an ask of a gateway that has requests in flight. */
function buildAsk(sequence: number, requests: number, waiting: (typeof REQUEST)[] = []) {
  return schema.create(schema.ScheduleAskSchema, {
    address: '10.0.0.2:1',
    life: 'b',
    sequence,
    cell: CELL,
    inFlight: [{ serverId: 'a', requests, unreadTokens: 100 * requests, answerTokens: 0 }],
    requests: waiting,
  });
}

/** Lets a scheduler grant one slot, beside two in use, and hand its cell over to another one. */
function releaseCell() {
  const servers = schedulerFixture.buildServers([gatewayFixture.buildEntry('a', { slots: 9 })]);
  const first = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  scheduler.receiveAsk(first, buildAsk(1, 2, [REQUEST]), 1000);
  scheduler.scheduleRequests(first, () => servers, 1000);
  const messages = [...first.cells.values()].flatMap(handover.buildCellHandover);
  const next = scheduler.createScheduler('10.0.0.3:1', 'life', () => 0.5);
  messages.forEach((message) => scheduler.receiveAsk(next, message, 1010));
  const countTaken = () => [...next.cells.values()].map((cell) => places.countTaken(cell).get('a'));
  return { next, messages, countTaken };
}

test('next scheduler knows slots that are in use or granted', () => {
  // Guards against granting slots twice until all gateways have asked the next scheduler.
  assert.deepEqual(releaseCell().countTaken(), [3]);
});

test('ask of a gateway replaces what was handed over for it', () => {
  // Guards against slots that stay in use at the next scheduler after they have become free.
  const { next, messages, countTaken } = releaseCell();
  scheduler.receiveAsk(next, buildAsk(2, 1), 1020);
  messages.forEach((message) => scheduler.receiveAsk(next, message, 1030));
  assert.deepEqual(countTaken(), [1]);
});
