import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as serverEntries from './server-entries.js';
import * as evacuationChanges from './evacuation-changes.js';
import type * as configuration from './configuration.js';
import * as configurationIndex from './configuration-index.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute } = gatewayFixture;
const DOMAINS = ['d1', 'd2'];

/** Creates a gateway with a backend server in each of two domains, of a region each. */
function createState(changes: Partial<configuration.Route> = {}): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway([], [buildRoute(changes)]);
  state.regionByDomain = new Map([
    ['d1', 'r1'],
    ['d2', 'r2'],
  ]);
  DOMAINS.forEach((failureDomain) => {
    const entry = gatewayFixture.buildEntry(`in-${failureDomain}`, { failureDomain });
    serverEntries.applyEntry(state.servers, entry, 0);
  });
  return state;
}

/** Has failure domains evacuated, or takes them back. */
function setEvacuated(
  state: gatewayState.GatewayState,
  domains: readonly string[],
  count: number,
  isEvacuated = true,
): void {
  const revision = gatewayFixture.buildRevision(count);
  const changes = domains.map((failureDomain) => ({ failureDomain, isEvacuated, revision }));
  evacuationChanges.applyEvacuations(state.servers, changes, 0);
}

/** Takes requests in, and lists where they were sent or why they were refused. */
function listEnds(state: gatewayState.GatewayState, count: number): string[] {
  const refused = Array.from({ length: count }, (_, index) =>
    requestAdmission.admitRequest(
      state,
      buildArrived(`${state.nextSerial} ${index}`),
      buildClocks(1),
    ),
  ).flatMap((one) => (one.kind === 'refused' ? [one.refusal.code] : []));
  const ends = gatewayFixture.assignWaiting(state, buildClocks(2));
  return [
    ...refused.map((code) => schema.ResultCode[code]),
    ...ends.map((one) => {
      if (one.kind === 'refuse') {
        return schema.ResultCode[one.refusal.code];
      }
      return one.kind === 'send' ? one.server.id : one.kind;
    }),
  ];
}

test('evacuated domain gets nothing new', () => {
  const state = createState();
  setEvacuated(state, ['d1'], 5);
  assert.deepEqual(listEnds(state, 2), ['in-d2', 'in-d2']);
});

test('all domains evacuated', () => {
  // Operators have every failure domain of a service evacuated. A call that comes then is
  // told at once that it has not run, and when to come back; left in line, it would be
  // told so only when its time is nearly over.
  const state = createState();
  setEvacuated(state, DOMAINS, 5);
  const [told] = listEnds(state, 1);
  assert.equal(told, 'DOMAINS_EVACUATED');
  assert.equal(state.requests.size, 0);
  setEvacuated(state, ['d2'], 6, false);
  assert.deepEqual(listEnds(state, 1), ['in-d2']);
});

test('all domains evacuated while requests wait', () => {
  // Requests wait for a place, and the last failure domain is evacuated. They have not
  // run: each is refused at once, and what runs ends where it is.
  const state = createState();
  assert.equal(listEnds(state, 6).length, 4);
  assert.equal(state.requests.size, 6);
  setEvacuated(state, DOMAINS, 5);
  assert.deepEqual(listEnds(state, 0), ['DOMAINS_EVACUATED', 'DOMAINS_EVACUATED']);
  assert.equal(state.requests.size, 4);
});

test('route that is bound to a region', () => {
  const state = createState({ regions: ['r2'] });
  assert.deepEqual(listEnds(state, 2), ['in-d2', 'in-d2']);
});

/** Binds the workspace of all calls to the second region, and the route to some. */
function applyRegions(state: gatewayState.GatewayState, routeRegions: string[]): void {
  const names = { name: 'w1', credentials: [gatewayFixture.KEY] };
  const workspace = { ...names, urgency: undefined, quota: undefined, regions: ['r2'] };
  const routes = [buildRoute({ regions: routeRegions })];
  const given = gatewayFixture.buildConfiguration(2, routes, [workspace]);
  state.index = configurationIndex.buildConfigurationIndex(given);
}

test('workspace that is bound to a region', () => {
  const state = createState();
  applyRegions(state, []);
  assert.deepEqual(listEnds(state, 2), ['in-d2', 'in-d2']);
});

test('route and workspace that are bound to different regions', () => {
  // The route is bound to one region and the workspace to another one: no backend server
  // may take the request, and its caller is told so at once.
  const state = createState();
  applyRegions(state, ['r1']);
  assert.deepEqual(listEnds(state, 1), ['NO_BACKEND_SERVER']);
});

test('domain whose region is not known', () => {
  // The settings do not say in which region a failure domain lies. A request that is
  // bound to a region may not go there.
  const state = createState({ regions: ['r1'] });
  state.regionByDomain = new Map([['d2', 'r2']]);
  assert.deepEqual(listEnds(state, 1), ['NO_BACKEND_SERVER']);
});

test('bound to a region while it waits', () => {
  // A request waits for a place. A new configuration binds its route to another region
  // before a place in the first one is granted: it is not used.
  const state = createState();
  assert.equal(listEnds(state, 5).length, 4);
  const next = gatewayFixture.buildConfiguration(2, [buildRoute({ regions: ['r2'] })]);
  state.index = configurationIndex.buildConfigurationIndex(next);
  gatewayFixture.setInFlight(state, 'in-d1', 1);
  const [first] = gatewayFixture.assignWaiting(state, buildClocks(10));
  assert.equal(first.kind, 'waitOn');
});
