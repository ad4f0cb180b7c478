import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as assignment from '../gateway/assignment.js';
import * as configurationLease from '../gateway/configuration-lease.js';
import * as firstDelay from './first-delay.js';
import * as requestAdmission from '../gateway/request-admission.js';
import * as observations from '../gateway/observations.js';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as requestEnd from '../gateway/request-end.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createTestGateway: createBench } = gatewayFixture;
/** Beyond the time at an idle engine, milliseconds. */
const EXTRA_MS = 170;
const RUN_MS = 400;
const TARGET_MS = 400;
/** Four places at 400 ms serve one in 100 ms; half as much again arrives. */
const ARRIVAL_MS = 65;

type Running = { request: assignment.Assignment['request']; sentMs: number; told: boolean };

/**
 * Runs ten seconds in which half as much again arrives as four places can do.
 * Gives the share of served requests whose first event was on time.
 */
function runFullEngines(areFirstEventsTold: boolean): number {
  const state = createBench(['a', 'bb'], [buildRoute({ targetMs: TARGET_MS })]);
  const running = new Set<Running>();
  const count = { served: 0, inTime: 0 };
  for (let now = 0; now < 10_000; now += 5) {
    configurationLease.noteConfirmed(state.lease, buildClocks(now));
    running.forEach((one) => {
      const firstMs = one.request.idleFirstMs + EXTRA_MS;
      if (!one.told && now >= one.sentMs + firstMs) {
        one.told = true;
        count.inTime += Number(now <= one.request.arrivedMs + TARGET_MS);
        if (areFirstEventsTold) {
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
        running.add({ request, sentMs: now, told: false });
      });
  }
  return count.inTime / count.served;
}

test('engines that are full begin late', () => {
  // All places are taken and each first event comes later than at an idle engine.
  // Held until only an idle engine would have them on time, most requests would
  // come late; with what was seen they are sent sooner, or leave their place to
  // one that has the time.
  assert.ok(runFullEngines(false) < 0.5, String(runFullEngines(false)));
  assert.ok(runFullEngines(true) > 0.75, String(runFullEngines(true)));
});

test('first with too little time leaves the place to the next', () => {
  // A place opens. The first in line has 100 ms left and the engine needs 200 ms:
  // sent there it comes late, and so would the one behind it.
  const state = createBench(['a']);
  gatewayFixture.setInFlight(state, 'a', 2);
  requestAdmission.admitRequest(state, buildArrived('first'), buildClocks(0));
  gatewayFixture.assignWaiting(state, buildClocks(0));
  requestAdmission.admitRequest(state, buildArrived('second'), buildClocks(500));
  gatewayFixture.assignWaiting(state, buildClocks(500));
  gatewayFixture.setInFlight(state, 'a', 1);
  const { firstDelay: seen } = gatewayFixture.getCell(state);
  firstDelay.recordExtra(seen, 200, 690);
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(690));
  assert.equal(sent.request.arrived.attemptId, 'second');
});

test('what was seen of a burst fades', () => {
  const delay = firstDelay.createFirstDelay();
  firstDelay.recordExtra(delay, 400, 0);
  assert.equal(firstDelay.estimateExtraMs(delay, 0), 400);
  assert.ok(firstDelay.estimateExtraMs(delay, 10_000) < 10);
  assert.equal(firstDelay.estimateExtraMs(firstDelay.createFirstDelay(), 0, 30), 30);
});

test('an idle engine is expected to begin at once', () => {
  const state = createBench(['a']);
  requestAdmission.admitRequest(state, buildArrived('one'), buildClocks(0));
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(1));
  observations.noteFirstEvent(state, sent.request, sent.request.idleFirstMs, 100);
  gatewayFixture.assignWaiting(state, buildClocks(400));
  const { firstDelay: seen } = gatewayFixture.getCell(state);
  assert.equal(firstDelay.estimateExtraMs(seen, 100), 0);
});
