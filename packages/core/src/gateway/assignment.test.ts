import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import type * as assignment from './assignment.js';
import * as serverEntries from './server-entries.js';
import * as configurationLease from './configuration-lease.js';
import * as configuration from './configuration.js';
import * as configurationIndex from './configuration-index.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as requestEnd from './request-end.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createTestGateway: createBench } = gatewayFixture;

/** Lists the refusals among assignments by code. */
function listRefusals(assignments: assignment.Assignment[]): string[] {
  return assignments.flatMap((one) =>
    one.kind === 'refuse' ? [schema.ResultCode[one.refusal.code]] : [],
  );
}

test('never more than the places', () => {
  const state = createBench(['a', 'bb']);
  for (let index = 0; index < 10; index += 1) {
    requestAdmission.admitRequest(state, buildArrived(String(index)), buildClocks(0));
  }
  assert.equal(gatewayFixture.assignWaiting(state, buildClocks(1)).length, 4);
  assert.equal(state.inFlight.get('a'), 2);
});

test('key taken away while a request waits', () => {
  // A request waits for a place; meanwhile a new version takes its key away. It
  // must not run after that.
  const state = createBench([]);
  requestAdmission.admitRequest(state, buildArrived('1'), buildClocks(0));
  const next = gatewayFixture.buildConfiguration(2, [buildRoute()], []);
  state.index = configurationIndex.buildConfigurationIndex(next);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a'), 0);
  assert.deepEqual(listRefusals(gatewayFixture.assignWaiting(state, buildClocks(10))), [
    'UNAUTHENTICATED',
  ]);
});

test('lease over while a request waits', () => {
  // The process is suspended with a request in hand and wakes after the lease. It
  // acts on what it believed before; the request is refused as not run.
  const state = createBench(['a']);
  requestAdmission.admitRequest(state, buildArrived('1'), buildClocks(0));
  const woken = { steadyMs: 10, wallMs: 9000, uptimeMs: 9000 };
  assert.deepEqual(listRefusals(gatewayFixture.assignWaiting(state, woken)), [
    'CONFIGURATION_UNCONFIRMED',
  ]);
});

test('public route needs no lease', () => {
  const state = createBench(['a'], [buildRoute({ isPublic: true })]);
  const arrived = buildArrived('1', { credential: undefined });
  const late = buildClocks(60_000);
  assert.equal(requestAdmission.admitRequest(state, arrived, late).kind, 'admitted');
  assert.equal(gatewayFixture.assignWaiting(state, late)[0].kind, 'send');
});

test('long prompt waits for a fast engine', () => {
  // The fast engine is full; a slow one has a place, where the first token of a
  // long prompt takes a second too long. A short prompt behind it would be on
  // time there. The long one waits, the short one goes.
  const state = createBench(['fast', 'slow']);
  const fast = gatewayFixture.getLoad(state, 'fast');
  const slow = gatewayFixture.getLoad(state, 'slow');
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

test('long answer is not begun where it cannot end', () => {
  // A slow engine is free and a fast one is full. The answer takes four seconds on
  // the slow one and its caller leaves after three: it waits for the fast one.
  const state = createBench(['fast', 'slow']);
  const fast = gatewayFixture.getLoad(state, 'fast');
  const slow = gatewayFixture.getLoad(state, 'slow');
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
  // Twice what the engines can do arrives for ten seconds, half of it urgent. The
  // urgent half is served on time, and what is turned away is told soon after its
  // target of 0.8 s, once its rank has stalled, not when its caller leaves at 3.2 s.
  const routes = [
    buildRoute({ name: 'urgent', prefix: '/a/', urgency: 0 }),
    buildRoute({ name: 'other', prefix: '/b/', urgency: 1 }),
  ];
  const state = createBench(['a', 'bb'], routes);
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
    // Four places at 400 ms serve one request in 100 ms; two arrive.
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

test('beyond the declared quota goes last', () => {
  // One workspace sends more than its declared quota, within the tolerance; another
  // one sends a request of a less urgent tier within its own. A place becomes free:
  // the surplus of the first must not have the request of the second late.
  const routes = [buildRoute(), buildRoute({ name: 'later', prefix: '/b/', urgency: 1 })];
  const state = createBench([], routes);
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
