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

/** Creates a gateway with one backend server in each of two domains, which are in two regions. */
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

/** Evacuates failure domains, or ends their evacuation. */
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

/** Admits requests and lists where they were sent or why they were refused. */
function listOutcomes(state: gatewayState.GatewayState, count: number): string[] {
  const refused = Array.from({ length: count }, (_, index) =>
    requestAdmission.admitRequest(
      state,
      buildArrived(`${state.nextSerial} ${index}`),
      buildClocks(1),
    ),
  ).flatMap((one) => (one.kind === 'refused' ? [one.refusal.code] : []));
  const assignments = gatewayFixture.assignWaiting(state, buildClocks(2));
  return [
    ...refused.map((code) => schema.ResultCode[code]),
    ...assignments.map((one) => {
      if (one.kind === 'refuse') {
        return schema.ResultCode[one.refusal.code];
      }
      return one.kind === 'send' ? one.server.id : one.kind;
    }),
  ];
}

test('evacuated domain gets no new requests', () => {
  const state = createState();
  setEvacuated(state, ['d1'], 5);
  assert.deepEqual(listOutcomes(state, 2), ['in-d2', 'in-d2']);
});

test('all domains evacuated', () => {
  // Operators have evacuated every failure domain of a service. A request that arrives then is
  // refused at once as not run, with a retry delay. If it were queued, it would be refused only
  // shortly before its deadline.
  const state = createState();
  setEvacuated(state, DOMAINS, 5);
  const [outcome] = listOutcomes(state, 1);
  assert.equal(outcome, 'DOMAINS_EVACUATED');
  assert.equal(state.requests.size, 0);
  setEvacuated(state, ['d2'], 6, false);
  assert.deepEqual(listOutcomes(state, 1), ['in-d2']);
});

test('all domains evacuated while requests wait', () => {
  // The last failure domain is evacuated while requests wait for a slot. They have not run, so
  // each is refused at once; running requests continue.
  const state = createState();
  assert.equal(listOutcomes(state, 6).length, 4);
  assert.equal(state.requests.size, 6);
  setEvacuated(state, DOMAINS, 5);
  assert.deepEqual(listOutcomes(state, 0), ['DOMAINS_EVACUATED', 'DOMAINS_EVACUATED']);
  assert.equal(state.requests.size, 4);
});

test('route that is restricted to a region', () => {
  const state = createState({ regions: ['r2'] });
  assert.deepEqual(listOutcomes(state, 2), ['in-d2', 'in-d2']);
});

/** Restricts the workspace to the second region, and the route to the given regions. */
function applyRegions(state: gatewayState.GatewayState, routeRegions: string[]): void {
  const names = { name: 'w1', credentials: [gatewayFixture.KEY] };
  const workspace = { ...names, urgency: undefined, quota: undefined, regions: ['r2'] };
  const routes = [buildRoute({ regions: routeRegions })];
  const given = gatewayFixture.buildConfiguration(2, routes, [workspace]);
  state.index = configurationIndex.buildConfigurationIndex(given);
}

test('workspace that is restricted to a region', () => {
  const state = createState();
  applyRegions(state, []);
  assert.deepEqual(listOutcomes(state, 2), ['in-d2', 'in-d2']);
});

test('route and workspace that are restricted to different regions', () => {
  // No backend server is in both the region of the route and that of the workspace, so the
  // request is refused at once.
  const state = createState();
  applyRegions(state, ['r1']);
  assert.deepEqual(listOutcomes(state, 1), ['NO_BACKEND_SERVER']);
});

test('domain whose region is not known', () => {
  // The settings assign no region to a failure domain. A request that is restricted to a region
  // may not be sent there.
  const state = createState({ regions: ['r1'] });
  state.regionByDomain = new Map([['d2', 'r2']]);
  assert.deepEqual(listOutcomes(state, 1), ['NO_BACKEND_SERVER']);
});

test('route restricted to a region while a request waits', () => {
  // A request waits for a slot. A new configuration restricts its route to another region before
  // a slot in the first region is granted; that grant is not used.
  const state = createState();
  assert.equal(listOutcomes(state, 5).length, 4);
  const next = gatewayFixture.buildConfiguration(2, [buildRoute({ regions: ['r2'] })]);
  state.index = configurationIndex.buildConfigurationIndex(next);
  gatewayFixture.setInFlight(state, 'in-d1', 1);
  const [first] = gatewayFixture.assignWaiting(state, buildClocks(10));
  assert.equal(first.kind, 'waitOn');
});
