import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakRecords from './soak-records.js';
import * as soakStopChecks from './soak-stop-checks.js';

const STOP = { gateway: 0, fromMs: 10_000, untilMs: 17_600, closedMs: 13_520, graceMs: 8000 };

/** Builds a call that is cut at the end of the process, with the given changes. */
function buildCall(changes: Partial<soakRecords.CallRecord>): soakRecords.CallRecord {
  return {
    id: 'call',
    kind: soakRecords.CallKind.SAFE,
    path: '/safe/call',
    body: '',
    credential: 'key',
    workspace: 'workspace',
    gateway: 0,
    sentMs: 9500,
    deadlineMs: 18_000,
    disconnectedMs: 0,
    isReused: true,
    isReset: false,
    endedMs: 17_600,
    response: undefined,
    ...changes,
  };
}

/** Builds a run of the call. */
function buildRun(changes: Partial<soakRecords.RunRecord>): soakRecords.RunRecord {
  return {
    id: 'call',
    server: 'server-0',
    failureDomain: 'zone-1',
    version: 'v1',
    method: 'POST',
    path: '/safe/call',
    body: '',
    workspace: 'workspace',
    hasCredential: false,
    resumeAfter: 0,
    parts: '',
    atMs: 12_000,
    endedMs: 17_600,
    isBrokenOff: false,
    isWhole: false,
    isMixedUp: false,
    ...changes,
  };
}

/** Counts the violations of one call and its runs at the stop. */
function countViolations(
  call: Partial<soakRecords.CallRecord>,
  runs: Partial<soakRecords.RunRecord>[] = [],
  changes: Partial<soakRecords.SoakRecords> = {},
): number {
  const built = runs.map(buildRun);
  const records = {
    ...soakRecords.createRecords(),
    calls: [buildCall(call)],
    runs: built,
    arrivals: new Map(built.map(({ id, atMs }) => [id, [atMs]])),
    stops: [STOP],
    ...changes,
  };
  const runsById = new Map([['call', built]]);
  return soakStopChecks.checkStops({ records, routeTimeoutMs: 20_000, runsById }).length;
}

const fault = { fromMs: 11_000, untilMs: 12_000 };

// Guards against a check that overlooks requests that still wait when the process ends.
nodeTest.test('a waiting request that is cut counts', () => {
  assert.equal(countViolations({}), 1);
  assert.equal(countViolations({ sentMs: 13_000, isReset: true }), 1);
  assert.equal(countViolations({ response: buildCut() }), 1);
});

/** Builds a response that ended early. */
function buildCut(): soakRecords.CallResponse {
  return { status: 200, body: '', isSigned: true, isComplete: false };
}

nodeTest.test('a complete response does not count', () => {
  const response = { status: 503, body: '', isSigned: false, isComplete: true };
  assert.equal(countViolations({ response }), 0);
  assert.equal(countViolations({ gateway: 1 }), 0);
  assert.equal(countViolations({ disconnectedMs: 12_000 }), 0);
});

nodeTest.test('a request that crosses the close does not count', () => {
  assert.equal(countViolations({ sentMs: 17_590 }), 0);
  assert.equal(countViolations({ sentMs: 17_590 }, [{ atMs: 17_595 }]), 1);
  assert.equal(countViolations({ sentMs: 14_000, isReused: false, endedMs: 14_200 }), 0);
  assert.equal(countViolations({ sentMs: 13_000, isReused: false, endedMs: 14_200 }), 1);
  assert.equal(countViolations({ sentMs: 13_000, isReset: true, endedMs: 13_500 }), 0);
});

nodeTest.test('stalls of the callers do not count as waiting', () => {
  const stalls = [{ fromMs: 17_000, untilMs: 17_590 }];
  assert.equal(countViolations({ sentMs: 17_000 }, [], { stalls }), 0);
  assert.equal(countViolations({ sentMs: 16_900 }, [], { stalls }), 1);
});

nodeTest.test('a run in the last part of the grace period counts only if sent late', () => {
  assert.equal(countViolations({}, [{}]), 0);
  assert.equal(countViolations({}, [{ atMs: 13_100 }]), 1);
  assert.equal(countViolations({}, [{ endedMs: 16_000 }]), 1);
});

nodeTest.test('other faults, broken responses and timeouts do not count', () => {
  const isPlanned = true;
  assert.equal(countViolations({}, [{ isBrokenOff: true, atMs: 14_000 }]), 0);
  assert.equal(countViolations({}, [{ isMixedUp: true, atMs: 14_000 }]), 0);
  assert.equal(countViolations({ deadlineMs: 8000 }), 0);
  assert.equal(countViolations({}, [], { disturbances: [{ gateway: 0, ...fault }] }), 0);
  assert.equal(countViolations({}, [], { disturbances: [{ gateway: 1, ...fault }] }), 1);
  assert.equal(countViolations({}, [], { disturbances: [{ gateway: 0, ...fault, isPlanned }] }), 1);
  const late = { atMs: 14_000 };
  assert.equal(
    countViolations({}, [late], { serverFaults: [{ server: 'server-0', ...fault }] }),
    0,
  );
  assert.equal(
    countViolations({}, [late], { serverFaults: [{ server: 'server-1', ...fault }] }),
    1,
  );
});
