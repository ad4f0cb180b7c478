import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as scheduler from './scheduler.js';
import * as slotTurnaround from './slot-turnaround.js';

const { test } = nodeTest;
const ASKER = '10.0.0.2:1';
const SLOTS = 6;
const RUN_MS = 70;
/** Time after which a scheduler that took over grants all slots. */
const TAKEN_OVER_MS = 300;
const { UNIT } = schema.ServerObservation_Kind;

/** Asks for slots for 20 requests at one server whose requests take `RUN_MS`; counts the grants. */
function countGranted(replyMs: number, areEngines: boolean): number {
  const entry = gatewayFixture.buildEntry('a', { slots: SLOTS });
  const servers = schedulerFixture.buildServers([entry], { areEngines });
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const ask = schema.create(schema.ScheduleAskSchema, {
    address: ASKER,
    life: 'b',
    sequence: 1,
    cell: 'one/0',
    inFlight: [{ serverId: 'a', requests: 1 }],
    observations: [{ serverId: 'a', kind: UNIT, ms: RUN_MS }],
    requests: Array.from({ length: 20 }, (_, index) => ({
      serial: index + 1,
      targetLeftMs: 500,
      leaveLeftMs: 2000,
      giveUpLeftMs: 9000,
    })),
    replyMs,
  });
  scheduler.receiveAsk(own, ask, 1000);
  return scheduler
    .scheduleRequests(own, () => servers, 1000 + TAKEN_OVER_MS)
    .filter(({ kind }) => kind === 'granted').length;
}

test('slots of plain servers stay busy though gateways reply late', () => {
  // Failure: short requests wait while a third of each slot's time passes between two of them.
  assert.equal(countGranted(24, false), SLOTS - 1 + 2);
});

test('prompt gateways get no more than the slots', () => {
  assert.equal(countGranted(2, false), SLOTS - 1);
});

test('engines get no more than their slots', () => {
  // Failure: a more urgent request waits inside the engine for a long response.
  assert.equal(countGranted(24, true), SLOTS - 1);
});

test('late replies move at most half a server of requests out of the queue', () => {
  assert.equal(slotTurnaround.countGrantsAhead(SLOTS, 5000, RUN_MS), SLOTS / 2);
});

test('turnaround is weighted by requests in flight', () => {
  const askers = new Map([
    ['a', { replyMs: 10, inFlight: new Map([['x', 3]]) }],
    ['b', { replyMs: 50, inFlight: new Map([['x', 1]]) }],
    ['c', { replyMs: 900, inFlight: new Map<string, number>() }],
  ]) as never;
  assert.equal(slotTurnaround.estimateTurnaroundMs({ askers }), 20);
});
