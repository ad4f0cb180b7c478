import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as assignment from '../gateway/assignment.js';
import * as configurationLease from '../gateway/configuration-lease.js';
import * as addedLatency from './added-latency.js';
import * as requestAdmission from '../gateway/request-admission.js';
import * as observations from '../gateway/observations.js';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as requestEnd from '../gateway/request-end.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createTestGateway } = gatewayFixture;
/** Additional time to the first event compared with an idle engine, milliseconds. */
const ADDED_MS = 170;
const RUN_MS = 400;
const TARGET_MS = 400;
/** Four slots at 400 ms serve a request every 100 ms; arrivals exceed this by half. */
const ARRIVAL_MS = 65;

type Running = { request: assignment.Assignment['request']; sentMs: number; reported: boolean };

/**
 * Simulates ten seconds in which arrivals exceed the capacity of four slots by half. Returns the
 * share of the served requests whose first event was on time.
 */
function runFullEngines(areFirstEventsReported: boolean): number {
  const state = createTestGateway(['a', 'bb'], [buildRoute({ targetMs: TARGET_MS })]);
  const running = new Set<Running>();
  const count = { served: 0, inTime: 0 };
  for (let now = 0; now < 10_000; now += 5) {
    configurationLease.noteConfirmed(state.lease, buildClocks(now));
    running.forEach((one) => {
      const firstMs = one.request.idleFirstMs + ADDED_MS;
      if (!one.reported && now >= one.sentMs + firstMs) {
        one.reported = true;
        count.inTime += Number(now <= one.request.arrivedMs + TARGET_MS);
        if (areFirstEventsReported) {
          observations.noteFirstEvent(state, one.request, firstMs, now);
        }
      }
      if (now >= one.sentMs + RUN_MS) {
        running.delete(one);
        requestEnd.endRequest(state, one.request);
      }
    });
    if (now % ARRIVAL_MS === 0) {
      requestAdmission.admitRequest(state, buildArrived(String(now)), buildClocks(now));
    }
    gatewayFixture
      .assignWaiting(state, buildClocks(now))
      .filter((one) => one.kind === 'send')
      .forEach(({ request }) => {
        count.served += 1;
        running.add({ request, sentMs: now, reported: false });
      });
  }
  return count.inTime / count.served;
}

test('full engines: measured latency keeps more requests on time', () => {
  // All slots are in use, and first events come later than at an idle engine. Guards against
  // requests that are held until only an idle engine could serve them on time, so that most are
  // late. With the measured latency they are sent earlier, or a request with enough time is sent.
  assert.ok(runFullEngines(false) < 0.5, String(runFullEngines(false)));
  assert.ok(runFullEngines(true) > 0.75, String(runFullEngines(true)));
});

test('request with too little time leaves the slot to the next', () => {
  // A slot becomes free. The first request has 100 ms left, but the engine needs 200 ms. If it
  // were sent there, it would be late, and so would the request behind it.
  const state = createTestGateway(['a']);
  gatewayFixture.setInFlight(state, 'a', 2);
  requestAdmission.admitRequest(state, buildArrived('first'), buildClocks(0));
  gatewayFixture.assignWaiting(state, buildClocks(0));
  requestAdmission.admitRequest(state, buildArrived('second'), buildClocks(500));
  gatewayFixture.assignWaiting(state, buildClocks(500));
  gatewayFixture.setInFlight(state, 'a', 1);
  const { addedLatency: seen } = gatewayFixture.getCell(state);
  addedLatency.recordAddedLatency(seen, 200, 690);
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(690));
  assert.equal(sent.request.arrived.attemptId, 'second');
});

test('latency measured during a burst decays', () => {
  const latency = addedLatency.createAddedLatency();
  addedLatency.recordAddedLatency(latency, 400, 0);
  assert.equal(addedLatency.estimateAddedLatencyMs(latency, 0), 400);
  assert.ok(addedLatency.estimateAddedLatencyMs(latency, 10_000) < 10);
  assert.equal(addedLatency.estimateAddedLatencyMs(addedLatency.createAddedLatency(), 0, 30), 30);
});

test('an idle engine has no added latency', () => {
  const state = createTestGateway(['a']);
  requestAdmission.admitRequest(state, buildArrived('one'), buildClocks(0));
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(1));
  observations.noteFirstEvent(state, sent.request, sent.request.idleFirstMs, 100);
  gatewayFixture.assignWaiting(state, buildClocks(400));
  const { addedLatency: seen } = gatewayFixture.getCell(state);
  assert.equal(addedLatency.estimateAddedLatencyMs(seen, 100), 0);
});
