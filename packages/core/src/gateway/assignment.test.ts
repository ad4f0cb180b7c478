import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as askMessages from './ask-messages.js';
import type * as assignment from './assignment.js';
import * as serverEntries from './server-entries.js';
import * as configurationLease from './configuration-lease.js';
import * as configuration from './configuration.js';
import * as configurationIndex from './configuration-index.js';
import * as recentUse from './recent-use.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as requestEnd from './request-end.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createTestGateway } = gatewayFixture;

/** Lists the result codes of the refused requests. */
function listRefusals(assignments: assignment.Assignment[]): string[] {
  return assignments.flatMap((one) =>
    one.kind === 'refuse' ? [schema.ResultCode[one.refusal.code]] : [],
  );
}

test('no more requests are sent than there are slots', () => {
  const state = createTestGateway(['a', 'bb']);
  for (let index = 0; index < 10; index += 1) {
    requestAdmission.admitRequest(state, buildArrived(String(index)), buildClocks(0));
  }
  assert.equal(gatewayFixture.assignWaiting(state, buildClocks(1)).length, 4);
  assert.equal(state.inFlight.get('a'), 2);
});

test('credential revoked while a request waits', () => {
  // A new configuration revokes the credential of a request that waits for a slot. The request
  // must not run.
  const state = createTestGateway([]);
  requestAdmission.admitRequest(state, buildArrived('1'), buildClocks(0));
  const next = gatewayFixture.buildConfiguration(2, [buildRoute()], []);
  state.index = configurationIndex.buildConfigurationIndex(next);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a'), 0);
  assert.deepEqual(listRefusals(gatewayFixture.assignWaiting(state, buildClocks(10))), [
    'UNAUTHENTICATED',
  ]);
});

test('lease expired while a request waits', () => {
  // The process is suspended while a request waits and resumes after the configuration lease has
  // expired. Its configuration may be outdated, so the request is refused as not run.
  const state = createTestGateway(['a']);
  requestAdmission.admitRequest(state, buildArrived('1'), buildClocks(0));
  const woken = { steadyMs: 10, wallMs: 9000, uptimeMs: 9000 };
  assert.deepEqual(listRefusals(gatewayFixture.assignWaiting(state, woken)), [
    'CONFIGURATION_UNCONFIRMED',
  ]);
});

test('public route needs no configuration lease', () => {
  const state = createTestGateway(['a'], [buildRoute({ isPublic: true })]);
  const arrived = buildArrived('1', { credential: undefined });
  const late = buildClocks(60_000);
  assert.equal(requestAdmission.admitRequest(state, arrived, late).kind, 'admitted');
  assert.equal(gatewayFixture.assignWaiting(state, late)[0].kind, 'send');
});

test('long prompt waits for a fast engine', () => {
  // The fast engine is full and the slow one has a free slot. There, the first token of a long
  // prompt would be a second late, but that of a short prompt would be on time. The long prompt
  // waits and the short one, although queued behind it, is sent.
  const state = createTestGateway(['fast', 'slow']);
  const fast = gatewayFixture.getServerHealth(state, 'fast');
  const slow = gatewayFixture.getServerHealth(state, 'slow');
  Object.assign(fast.pace, { unitMs: 3, samples: 5 });
  Object.assign(slow.pace, { unitMs: 15, samples: 5 });
  gatewayFixture.setInFlight(state, 'fast', 2);
  const long = buildArrived('long', { tokens: { prompt: 10_000, answer: 100 } });
  requestAdmission.admitRequest(state, long, buildClocks(0));
  requestAdmission.admitRequest(state, buildArrived('short'), buildClocks(0));
  const sent = gatewayFixture.assignWaiting(state, buildClocks(1));
  assert.deepEqual(
    sent.map(({ request }) => request.arrived.attemptId),
    ['short'],
  );
});

test('long response is not started where it cannot be completed in time', () => {
  // A slow engine is free and a fast one is full. The response would take four seconds on the slow
  // one, but the caller's deadline is in three, so the request waits for the fast one.
  const state = createTestGateway(['fast', 'slow']);
  const fast = gatewayFixture.getServerHealth(state, 'fast');
  const slow = gatewayFixture.getServerHealth(state, 'slow');
  Object.assign(fast.pace, { unitMs: 20, samples: 5 });
  Object.assign(slow.pace, { unitMs: 80, samples: 5 });
  gatewayFixture.setInFlight(state, 'fast', 2);
  const tokens = { prompt: 100, answer: 250 };
  const long = buildArrived('long', { tokens, deadlineMs: 3000 });
  requestAdmission.admitRequest(state, long, buildClocks(0));
  assert.deepEqual(gatewayFixture.assignWaiting(state, buildClocks(1)), []);
  gatewayFixture.setInFlight(state, 'fast', 0);
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(2));
  assert.equal(sent.kind === 'send' && sent.server.id, 'fast');
});

test('burst of twice the capacity', () => {
  // For ten seconds, requests arrive at twice the capacity of the engines, half of them urgent.
  // The urgent ones are served on time. The others are refused soon after their target of 0.8 s,
  // once requests of their rank no longer get slots, and not only when their callers disconnect
  // at 3.2 s.
  const routes = [
    buildRoute({ name: 'urgent', prefix: '/a/', urgency: 0 }),
    buildRoute({ name: 'other', prefix: '/b/', urgency: 1 }),
  ];
  const state = createTestGateway(['a', 'bb'], routes);
  const runMs = 400;
  const running: { endMs: number; request: assignment.Assignment['request'] }[] = [];
  const count = { urgent: 0, urgentInTime: 0, other: 0, otherSent: 0 };
  const heldMs: number[] = [];
  for (let now = 0; now < 10_000; now += 10) {
    configurationLease.noteConfirmed(state.lease, buildClocks(now));
    running
      .filter(({ endMs }) => endMs <= now)
      .forEach((one) => {
        running.splice(running.indexOf(one), 1);
        requestEnd.endRequest(state, one.request);
      });
    // Four slots at 400 ms a request serve one request each 100 ms, and two arrive.
    if (now % 100 === 0) {
      ['/a/x', '/b/x'].forEach((path) => {
        requestAdmission.admitRequest(
          state,
          buildArrived(`${path}${now}`, { path }),
          buildClocks(now),
        );
      });
      count.urgent += 1;
      count.other += 1;
    }
    gatewayFixture.assignWaiting(state, buildClocks(now)).forEach((one) => {
      const { request } = one;
      if (one.kind === 'refuse') {
        heldMs.push(now - request.arrivedMs);
        return;
      }
      running.push({ endMs: now + runMs, request });
      const isUrgent = request.route.name === 'urgent';
      count.urgentInTime += Number(isUrgent && now < request.targetMs);
      count.otherSent += Number(!isUrgent);
    });
  }
  assert.ok(count.urgentInTime >= 0.95 * count.urgent, JSON.stringify(count));
  assert.ok(count.otherSent < 0.3 * count.other, JSON.stringify(count));
  assert.ok(Math.max(...heldMs) <= 1600, String(Math.max(...heldMs)));
});

test('requests beyond the declared quota go last', () => {
  // One workspace sends more than its declared quota, but within the tolerance. Another one sends
  // a request of a less urgent tier within its quota. When a slot becomes free, the excess of the
  // first workspace must not delay the request of the second.
  const routes = [buildRoute(), buildRoute({ name: 'later', prefix: '/b/', urgency: 1 })];
  const state = createTestGateway([], routes);
  state.bounds.quotaTolerance = { overage: 1, slack: 10_000, windowMs: 8000 };
  const unit = configuration.QuotaUnit.TOKENS;
  const quota = { unit, perSecond: 100, burst: 1000, defaultTokens: 10 };
  const workspaces = [
    { name: 'w1', credentials: [gatewayFixture.KEY], urgency: undefined, quota, regions: [] },
    { name: 'w2', credentials: ['key-2'], urgency: undefined, quota: undefined, regions: [] },
  ];
  const declared = gatewayFixture.buildConfiguration(2, routes, workspaces);
  state.index = configurationIndex.buildConfigurationIndex(declared);
  requestAdmission.admitRequest(state, buildArrived('unknown past'), buildClocks(0));
  configurationLease.noteConfirmed(state.lease, buildClocks(8000));
  requestAdmission.admitRequest(state, buildArrived('first'), buildClocks(8000));
  requestAdmission.admitRequest(state, buildArrived('surplus'), buildClocks(8000));
  const within = buildArrived('within', { path: '/b/x', credential: 'key-2' });
  requestAdmission.admitRequest(state, within, buildClocks(8001));
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { slots: 2 }), 8001);
  const sent = gatewayFixture
    .assignWaiting(state, buildClocks(8002))
    .filter(({ kind }) => kind === 'send')
    .map(({ request }) => request.arrived.attemptId);
  assert.deepEqual(sent, ['first', 'within']);
});

test('ask carries the share that the declared quota gives', () => {
  const state = createTestGateway([]);
  const workspaces = [1, 3].map((perSecond, index) => ({
    name: `w${index}`,
    credentials: [index === 0 ? gatewayFixture.KEY : 'other'],
    urgency: undefined,
    quota: { unit: configuration.QuotaUnit.REQUESTS, perSecond, burst: 10, defaultTokens: 1 },
    regions: [],
  }));
  const declared = gatewayFixture.buildConfiguration(2, [buildRoute()], workspaces);
  state.index = configurationIndex.buildConfigurationIndex(declared);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { slots: 0.5 }), 0);
  requestAdmission.admitRequest(state, buildArrived('1'), buildClocks(0));
  const [{ ask }] = askMessages.collectAsks(state, 1);
  assert.deepEqual(
    ask.requests.map(({ share }) => share),
    [0.5],
  );
  assert.deepEqual(recentUse.listActiveShares(state, 60_000), [{ workspace: 'w0', share: 0.5 }]);
  assert.deepEqual(recentUse.listActiveShares(state, 60_002), []);
});
