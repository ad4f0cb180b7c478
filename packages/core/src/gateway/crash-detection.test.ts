import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as rendezvous from '../shared/rendezvous.js';
import * as attemptEnd from './attempt-end.js';
import * as configurationLease from './configuration-lease.js';
import * as crashDetection from './crash-detection.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as lostRunMessages from './lost-run-messages.js';
import * as requestAdmission from './request-admission.js';
import * as requestEnd from './request-end.js';
import * as serverEnd from './server-end.js';
import * as serverEntries from './server-entries.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;
const CRASHING_CONTENT = 'poison';
/** Time from sending a request to its loss, milliseconds. */
const RUN_MS = 50;
/** Time after a loss from which on a response shows that the server lives, milliseconds. */
const HEARD_MS = 400;

/** Sends a request with some content; returns undefined if the content is refused. */
function sendRequest(
  state: gatewayState.GatewayState,
  now: number,
  content = CRASHING_CONTENT,
): gatewayRequest.GatewayRequest | undefined {
  configurationLease.noteConfirmed(state.lease, buildClocks(now));
  const attemptId = `${content}-${now}-${state.nextSerial}`;
  const arrived = gatewayFixture.buildArrived(attemptId, { hashContent: () => content });
  const taken = requestAdmission.admitRequest(state, arrived, buildClocks(now));
  if (taken.kind === 'refused') {
    assert.equal(taken.refusal.code, schema.ResultCode.CONTENT_SUSPENDED);
    return undefined;
  }
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(now));
  assert.equal(sent.kind, 'send');
  return sent.request;
}

/** Breaks the connection of a request. */
function failRun(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): attemptEnd.AttemptVerdict {
  const progress = { hasBegun: false, canResume: false };
  const { BROKEN } = attemptEnd.AttemptFault;
  return attemptEnd.handleAttemptFault(state, request, BROKEN, progress, buildClocks(now));
}

/** Sends a request and breaks its connection. Returns false if it is refused instead. */
function sendIntoLoss(
  state: gatewayState.GatewayState,
  now: number,
  content = CRASHING_CONTENT,
): boolean {
  const request = sendRequest(state, now, content);
  if (request === undefined) {
    return false;
  }
  serverEntries.removeEntry(state.servers, request.serverId as string, now);
  failRun(state, request, now + RUN_MS);
  return true;
}

/** Sends a request and completes it. Returns false if it is refused instead. */
function completeRun(
  state: gatewayState.GatewayState,
  now: number,
  content = CRASHING_CONTENT,
): boolean {
  const request = sendRequest(state, now, content);
  if (request !== undefined) {
    crashDetection.noteCompleteResponse(state, request, now);
    requestEnd.endRequest(state, request);
  }
  return request !== undefined;
}

/** Passes the lost runs that a gateway reports on to another one. */
function passOn(from: gatewayState.GatewayState, to: gatewayState.GatewayState, now: number): void {
  lostRunMessages.receiveLostRuns(to, lostRunMessages.listReportRuns(from, now), now);
}

// Guards against servers that are lost one after the other to a request that is sent again.
test('content that ends servers is refused', () => {
  const first = gatewayFixture.createTestGateway(['a', 'bb', 'ccc']);
  assert.equal(sendIntoLoss(first, 0), true);
  assert.equal(sendIntoLoss(first, 100), true);
  assert.equal(sendIntoLoss(first, 200), false);
  const [suspended] = crashDetection.listSuspendedContents(first, 200);
  assert.deepEqual(suspended, { digest: CRASHING_CONTENT, losses: 2, trialLeftMs: 950 });
  const second = gatewayFixture.createTestGateway(['ccc']);
  passOn(first, second, 200);
  assert.equal(sendIntoLoss(second, 300), false);
  assert.equal(sendIntoLoss(second, 300, 'other'), true);
});

// Guards against losses at several gateways that count as one.
test('losses observed by several gateways add up', () => {
  const [first, second, third] = ['a', 'bb', 'ccc'].map((id) =>
    gatewayFixture.createTestGateway([id, 'dddd']),
  );
  sendIntoLoss(first, 0);
  passOn(first, second, 50);
  assert.equal(sendIntoLoss(second, 100), true);
  assert.equal(sendRequest(second, 200), undefined);
  assert.notEqual(sendRequest(third, 200), undefined);
  const separate = ['a', 'bb', 'ccc'].map((id) => gatewayFixture.createTestGateway([id, 'dddd']));
  [0, 100].forEach((now, index) => sendIntoLoss(separate[index], now));
  separate.forEach((state) => passOn(state, separate[2], 200));
  assert.equal(sendRequest(separate[2], 200), undefined);
});

// Guards against refusing content that runs at several servers which lose power together.
test('frequently requested content is not refused after unrelated losses', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd']);
  const [one, other] = [sendRequest(state, 0, 'usual'), sendRequest(state, 0, 'usual')];
  assert.notEqual(one?.serverId, other?.serverId);
  [one, other].forEach((request) => request && failRun(state, request, 100));
  assert.equal(completeRun(state, 200, 'usual'), true);
  assert.equal(sendIntoLoss(state, 5000, 'usual'), true);
  assert.equal(completeRun(state, 5200, 'usual'), true);
});

// Guards against refusing content whose connections to many servers are reset together.
test('runs that are lost together count as one loss', () => {
  const ids = ['a', 'bb', 'ccc', 'dddd'];
  const state = gatewayFixture.createTestGateway([...ids, 'eeeee']);
  const sent = ids.map((_, index) => sendRequest(state, 10 * index));
  assert.equal(new Set(sent.map((request) => request?.serverId)).size, ids.length);
  sent.forEach((request, index) => request && failRun(state, request, 50 + 10 * index));
  assert.equal(completeRun(state, 100), true);
});

// Guards against counting resets of connections to servers that live on.
test('a connection reset alone is not a loss', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc']);
  const servers = new Set<string>();
  for (let now = 0; now < 4000; now += 1000) {
    const request = sendRequest(state, now) as gatewayRequest.GatewayRequest;
    const answered = { ...request };
    servers.add(request.serverId as string);
    failRun(state, request, now);
    crashDetection.noteServerHeard(state, answered, now + HEARD_MS);
  }
  servers.forEach((id) => serverEnd.forgetServer(state, id, false, 4000));
  assert.ok(servers.size > 1);
  assert.notEqual(sendRequest(state, 4000), undefined);
});

// Guards against a server that ends while it is leaving, which hides what ends it.
test('losses at leaving servers count', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb']);
  for (let now = 0; now < 200; now += 100) {
    const request = sendRequest(state, now) as gatewayRequest.GatewayRequest;
    const entry = gatewayFixture.buildEntry(request.serverId as string, { leaving: true });
    serverEntries.applyEntry(state.servers, entry, now);
    failRun(state, request, now + 50);
  }
  assert.equal(sendRequest(state, 200), undefined);
});

// Guards against servers that fall silent, so that no connection breaks and runs are cancelled.
test('a cancelled run at a silent server is a loss, at another it is not', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff']);
  const cancelRun = (now: number, content: string, isHeard: boolean) => {
    const request = sendRequest(state, now, content) as gatewayRequest.GatewayRequest;
    if (isHeard) {
      crashDetection.noteServerHeard(state, request, now + 950);
    }
    const serverId = request.serverId as string;
    requestEnd.abandonRequest(state, request, true, now + 1000);
    serverEntries.removeEntry(state.servers, serverId, now + 1000);
  };
  [0, 2000, 4000].forEach((now) => cancelRun(now, 'heard', true));
  assert.notEqual(sendRequest(state, 6000, 'heard'), undefined);
  [10_000, 12_000].forEach((now) => cancelRun(now, CRASHING_CONTENT, false));
  assert.equal(sendRequest(state, 13_500), undefined);
});

// Guards against callers that send the content in parallel to servers which all fall silent.
test('servers that fall silent together are enough to refuse content', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd']);
  const sent = [0, 1, 2].map(() => sendRequest(state, 0));
  sent.forEach((request) => request && requestEnd.abandonRequest(state, request, true, 1000));
  assert.equal(sendRequest(state, 1100), undefined);
});

// Guards against trials at silent servers that are repeated each second, as they bring nothing new.
test('a further loss at a server that was lost delays the next trial', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb']);
  const endRun = (serverId: string, now: number) => {
    const request = sendRequest(state, now) as gatewayRequest.GatewayRequest;
    requestEnd.abandonRequest(state, { ...request, serverId }, true, now + 800);
  };
  endRun('a', 0);
  endRun('bb', 1000);
  endRun('a', 2900);
  assert.equal(sendRequest(state, 4600), undefined);
  assert.notEqual(sendRequest(state, 4800), undefined);
});

// Guards against refusing what callers often leave before it can be answered.
test('runs that are cancelled early are no losses', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc']);
  [0, 1000, 2000].forEach((now) => {
    const request = sendRequest(state, now, 'left') as gatewayRequest.GatewayRequest;
    requestEnd.abandonRequest(state, request, true, now + HEARD_MS);
    serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry(`d${now}`), now);
  });
  assert.equal(state.lostRuns.byDigest.size, 0);
  assert.notEqual(sendRequest(state, 3000, 'left'), undefined);
});

// Guards against content that stays refused although it only ran next to the cause.
test('refused content is tried and served again once it completes', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd', 'eeeee']);
  const peer = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd', 'eeeee']);
  [0, 100].forEach((now) => sendIntoLoss(state, now));
  passOn(state, peer, 200);
  assert.equal(completeRun(state, 1000), false);
  assert.notEqual(sendRequest(state, 1200), undefined);
  assert.equal(sendRequest(state, 1300), undefined);
  assert.equal(sendRequest(peer, 1000), undefined);
  assert.equal(completeRun(state, 2300), true);
  passOn(state, peer, 2400);
  assert.equal(completeRun(peer, 2400), true);
  assert.equal(completeRun(state, 2400), true);
});

// Guards against callers that send refused content to several gateways at once.
test('gateways try refused content one after the other', () => {
  const other = '10.0.0.2:7600';
  const contents = Array.from({ length: 20 }, (_, index) => `poison-${index}`);
  const own = gatewayFixture.createTestGateway([]).address;
  const isFirst = (content: string) =>
    rendezvous.rankByRendezvous(content, [own, other])[0] === own;
  contents.forEach((content) => {
    const state = gatewayFixture.createTestGateway(['a', 'bb', 'ccc', 'dddd']);
    [0, 100].forEach((now) => sendIntoLoss(state, now, content));
    gatewayFixture.receivePeerReport(state, other, 1100);
    assert.equal(completeRun(state, 1200, content), isFirst(content));
    gatewayFixture.receivePeerReport(state, other, 3100);
    assert.equal(completeRun(state, 3200, content), true);
  });
  assert.equal(new Set(contents.map(isFirst)).size, 2);
});

// Guards against trials that end a server each second.
test('trials that end servers become rare', () => {
  const ids = Array.from({ length: 10 }, (_, index) => 'x'.repeat(index + 1));
  const state = gatewayFixture.createTestGateway(ids);
  const lostMs: number[] = [];
  for (let now = 0; now < 200_000; now += 400) {
    if (sendIntoLoss(state, now)) {
      lostMs.push(now);
    }
  }
  assert.deepEqual(lostMs, [0, 400, 1600, 12_000, 112_400]);
});

// Guards against taking responses of a restarted server for those of the one that was lost.
test('a server that restarts under its id was lost', () => {
  const state = gatewayFixture.createTestGateway(['a', 'bb']);
  const lost = sendRequest(state, 0) as gatewayRequest.GatewayRequest;
  const { serverId } = lost;
  failRun(state, lost, 50);
  const answered = { ...lost, serverId };
  crashDetection.noteServerHeard(state, answered, 50 + HEARD_MS);
  serverEnd.forgetServer(state, serverId as string, true, 1000);
  assert.equal(sendIntoLoss(state, 1100), true);
  assert.equal(sendRequest(state, 1200), undefined);
});
