import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptEnd from './attempt-end.js';
import * as configurationLease from './configuration-lease.js';
import * as crashDetection from './crash-detection.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as lostRunMessages from './lost-run-messages.js';
import * as observations from './observations.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as partMessages from './part-messages.js';
import * as promptParts from './prompt-parts.js';
import type * as refusal from './refusal.js';
import * as requestAdmission from './request-admission.js';
import * as requestEnd from './request-end.js';
import * as serverEntries from './server-entries.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;
const CAUSE = 'cafe';
const SHARED = ['5c1e07a2', 'e4402b7d'];
const SERVERS = Array.from({ length: 20 }, (_, index) => `server-${index}`);
const RUN_MS = 100;
const PEER = '10.0.0.2:7600';
const MAX_DATAGRAM_BYTES = 1400;

/** Admits a request whose prompt has some shared parts and one of its own. */
function admitRequest(
  state: gatewayState.GatewayState,
  now: number,
  parts: readonly string[],
): requestAdmission.AdmissionResult {
  configurationLease.noteConfirmed(state.lease, buildClocks(now));
  const arrived = gatewayFixture.buildArrived(`attempt-${now}-${state.nextSerial}`, {
    promptParts: [...parts, `f00${state.nextSerial}`],
  });
  return requestAdmission.admitRequest(state, arrived, buildClocks(now));
}

/** Sends a request with some parts; returns its refusal if it is refused. */
function sendRequest(
  state: gatewayState.GatewayState,
  now: number,
  parts: readonly string[] = [SHARED[0], CAUSE, SHARED[1]],
): gatewayRequest.GatewayRequest | refusal.Refusal {
  const taken = admitRequest(state, now, parts);
  if (taken.kind === 'refused') {
    assert.equal(taken.refusal.code, schema.ResultCode.CONTENT_SUSPENDED);
    return taken.refusal;
  }
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(now));
  assert.equal(sent.kind, 'send');
  return sent.request;
}

/** Sends a request and loses its server at all gateways; returns whether it was sent. */
function sendIntoLoss(
  state: gatewayState.GatewayState,
  now: number,
  others: readonly gatewayState.GatewayState[] = [],
): boolean {
  const request = sendRequest(state, now);
  if (!('serial' in request)) {
    return false;
  }
  [state, ...others].forEach(({ servers }) =>
    serverEntries.removeEntry(servers, request.serverId as string, now),
  );
  const progress = { hasBegun: false, canResume: false };
  const { BROKEN } = attemptEnd.AttemptFault;
  attemptEnd.handleAttemptFault(state, request, BROKEN, progress, buildClocks(now + RUN_MS));
  return true;
}

/** Sends a request and completes it; returns whether it was sent. */
function completeRun(state: gatewayState.GatewayState, now: number, parts: string[]): boolean {
  const request = sendRequest(state, now, parts);
  if (!('serial' in request)) {
    return false;
  }
  promptParts.noteSoundRun(state, request, now);
  requestEnd.endRequest(state, request);
  return true;
}

/** Creates two gateways that know of another one. */
function createPair(): gatewayState.GatewayState[] {
  return [1, 2].map(() => {
    const state = gatewayFixture.createTestGateway(SERVERS);
    gatewayFixture.receivePeerReport(state, PEER, 0);
    return state;
  });
}

/** Delivers messages about lost runs; each must fit in a datagram. */
function deliver(
  messages: readonly outgoingMessage.OutgoingMessage[],
  to: gatewayState.GatewayState,
  now: number,
): void {
  messages.forEach((message) => {
    assert.ok(message.kind === 'lostRuns');
    const bytes = schema.toBinary(schema.LostRunsSchema, message.lostRuns);
    assert.ok(bytes.length < MAX_DATAGRAM_BYTES, `${bytes.length} bytes`);
    const { runs, parts } = schema.fromBinary(schema.LostRunsSchema, bytes);
    partMessages.receivePartStandings(to, parts, now);
    lostRunMessages.receiveLostRuns(to, runs, now);
  });
}

/** Loses servers to a part, one after the other; returns when the last run was sent. */
function endServers(state: gatewayState.GatewayState, count: number): number {
  const times = Array.from({ length: count }, (_, index) => (index + 1) * 200);
  times.forEach((now) => assert.ok(sendIntoLoss(state, now)));
  return times.at(-1) ?? 0;
}

// Guards against requests that crash one server after the other and are alike in one part only.
test('requests with a part that ends servers are refused', () => {
  const state = gatewayFixture.createTestGateway(SERVERS);
  const lastMs = endServers(state, 2);
  const refused = sendRequest(state, lastMs + RUN_MS + 10, ['1', CAUSE, '2']);
  assert.ok('code' in refused);
  assert.equal(refused.retryAfterMs, 990);
  assert.equal(refused.part, CAUSE);
  assert.ok('serial' in sendRequest(state, lastMs + RUN_MS + 10, ['1', '2']));
  assert.equal(promptParts.listSuspended(state, lastMs + RUN_MS)[0].trialLeftMs, 1000);
});

// Guards against blaming the part of a prompt that belongs to one request or session alone.
test('last part of a prompt is never refused', () => {
  const state = gatewayFixture.createTestGateway(SERVERS);
  [200, 400, 600, 800].forEach((now) => {
    const request = sendRequest(state, now, []);
    assert.ok('serial' in request);
    Object.assign(request.arrived, { promptParts: [CAUSE] });
    crashDetection.noteLostRun(state, request, now + RUN_MS);
  });
  assert.equal(state.partLosses.byPart.size, 0);
});

// Guards against refusing for long what ran beside the cause, once the crashes have stopped.
test('trial that completes ends the refusal of a part', () => {
  const state = gatewayFixture.createTestGateway(SERVERS);
  const lastMs = endServers(state, 2);
  assert.ok(!completeRun(state, lastMs + 500, SHARED));
  assert.ok(completeRun(state, lastMs + RUN_MS + 1000, SHARED));
  assert.ok(completeRun(state, lastMs + RUN_MS + 1001, SHARED));
  const [{ part }, ...others] = promptParts.listSuspended(state, lastMs + RUN_MS + 1002);
  assert.equal(part, CAUSE);
  assert.deepEqual(others, []);
});

// Guards against trials that end servers for as long as such requests come.
test('trials of the cause become rare', () => {
  const [first, second] = createPair();
  const arrivals: number[] = [];
  for (let now = 0; now < 20 * 60_000; now += 100) {
    [first, second].forEach((state, index) => {
      const other = index === 0 ? second : first;
      gatewayFixture.receivePeerReport(state, PEER, now);
      if (sendIntoLoss(state, now, [other])) {
        arrivals.push(now);
      }
      deliver(lostRunMessages.collectLostRuns(state, now + 1), other, now + 2);
    });
  }
  const [, , , , fifthMs = Infinity] = arrivals;
  const late = arrivals.filter((ms) => ms > fifthMs + RUN_MS + 3000);
  assert.ok(arrivals.length >= 4, `${arrivals.length} arrivals`);
  assert.ok(late.length <= 2, `arrivals at ${arrivals.join()}`);
});

// Guards against a second trial while the first one waits for a silent server.
test('trial is announced when it is sent', () => {
  const [first, second] = createPair();
  const lastMs = endServers(first, 2) + RUN_MS;
  deliver(partMessages.buildPartsFor(first, PEER, lastMs), second, lastMs);
  const turnsMs = 2000;
  const now = lastMs + 1000 + turnsMs;
  const trial = sendRequest(first, now);
  assert.ok('serial' in trial && trial.isTrial);
  const standings = partMessages.listReportStandings(first, now);
  partMessages.receivePartStandings(second, standings, now);
  assert.ok('code' in sendRequest(second, now + 1));
  assert.ok('code' in sendRequest(second, now + 9000));
  assert.ok('serial' in sendRequest(second, now + 10_000 + turnsMs));
});

// Guards against a gateway that begins anew and sends the part on.
test('gateway that has just started refuses the part', () => {
  const [first, second] = createPair();
  for (let run = 0; run < 200; run += 1) {
    const request = sendRequest(first, 100, [`a${run}`, 'b']);
    assert.ok('serial' in request);
    crashDetection.noteLostRun(first, request, 150);
    requestEnd.endRequest(first, request);
  }
  const now = endServers(first, 2) + RUN_MS;
  const messages = partMessages.buildPartsFor(first, PEER, now + 10);
  assert.ok(messages.length <= 2);
  deliver(messages, second, now + 12);
  assert.ok('code' in sendRequest(second, now + 20));
});

// Guards against losses that two gateways see one each of.
test('losses at several gateways count together', () => {
  const [first, second] = createPair();
  assert.ok(sendIntoLoss(first, 200, [second]));
  deliver(lostRunMessages.collectLostRuns(first, 300), second, 302);
  assert.deepEqual(lostRunMessages.collectLostRuns(first, 310), []);
  assert.ok(sendIntoLoss(second, 400, [first]));
  assert.ok('code' in sendRequest(second, 510));
  const reported = partMessages.listReportPartRuns(second, 520);
  lostRunMessages.receiveLostRuns(first, reported, 522);
  assert.ok('code' in sendRequest(first, 530));
});

// Guards against a part that others go on refusing after a run with it has completed.
test('clearance reaches other gateways', () => {
  const [first, second] = createPair();
  endServers(first, 2);
  deliver(partMessages.buildPartsFor(first, PEER, 500), second, 502);
  assert.ok(!completeRun(second, 600, SHARED));
  const request = sendRequest(first, 610, []) as gatewayRequest.GatewayRequest;
  Object.assign(request.arrived, { promptParts: [...SHARED, '1'] });
  assert.ok(promptParts.noteSoundRun(first, request, 700));
  deliver(lostRunMessages.collectLostRuns(first, 710), second, 712);
  assert.ok(completeRun(second, 720, SHARED));
  assert.ok(!promptParts.noteSoundRun(first, request, 730));
  assert.deepEqual(lostRunMessages.collectLostRuns(first, 800), []);
});

// Guards against blaming the parts of streams that break long after their first event.
test('stream that has gone on for a second is sound', () => {
  const state = gatewayFixture.createTestGateway(SERVERS);
  const request = sendRequest(state, 100) as gatewayRequest.GatewayRequest;
  observations.noteFirstEvent(state, request, 50, 150);
  assert.ok(!promptParts.noteStreamed(state, request, 1100));
  assert.equal(request.soundMs, -Infinity);
  promptParts.noteStreamed(state, request, 1150);
  crashDetection.noteLostRun(state, request, 1200);
  assert.equal(state.partLosses.byPart.size, 0);
  assert.ok(sendIntoLoss(state, 1300));
  assert.ok(promptParts.noteStreamed(state, request, 1500));
  assert.ok(!promptParts.noteStreamed(state, request, 1510));
});

// Guards against waiting requests that are sent after the part has been refused.
test('request that waits is refused with its part', () => {
  const state = gatewayFixture.createTestGateway(SERVERS);
  const waiting = admitRequest(state, 0, [CAUSE]);
  assert.equal(waiting.kind, 'admitted');
  [100, 300].forEach((sentMs, index) => {
    const run = { serverId: `lost-${index}`, bornMs: 1, sentMs, lostMs: sentMs + RUN_MS };
    partMessages.receivePartRuns(
      state,
      [
        schema.create(schema.LostRunSchema, {
          serverId: run.serverId,
          serverBornMs: run.bornMs,
          runMs: RUN_MS,
          ageMs: 400 - run.lostMs,
          parts: [BigInt(`0x${CAUSE}`)],
        }),
      ],
      400,
    );
  });
  configurationLease.noteConfirmed(state.lease, buildClocks(410));
  const [ended] = gatewayFixture.assignWaiting(state, buildClocks(410));
  assert.ok(ended.kind === 'refuse');
  assert.equal(ended.refusal.code, schema.ResultCode.CONTENT_SUSPENDED);
  assert.equal(ended.refusal.retryAfterMs, 990);
});
