import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakConnectionChecks from './soak-connection-checks.js';
import * as soakRecords from './soak-records.js';

const STOP = { gateway: 0, fromMs: 10_000, untilMs: 14_000, closedMs: 13_520, graceMs: 8000 };
const CALL: soakRecords.CallRecord = {
  id: 'call',
  kind: soakRecords.CallKind.UNSAFE,
  path: '/unsafe/call',
  body: '',
  credential: 'key',
  workspace: 'workspace',
  gateway: 0,
  sentMs: 13_460,
  deadlineMs: 2000,
  disconnectedMs: 0,
  isReused: false,
  isReset: true,
  endedMs: 13_500,
  response: undefined,
};

/** Counts the violations of one call at the stop. */
function countViolations(
  changes: Partial<soakRecords.CallRecord>,
  connection: Partial<soakRecords.ConnectionRecord> = {},
  others: Partial<soakRecords.SoakRecords> = {},
): number {
  const sent = { isNew: true, sentMs: 13_460, responseBytes: 0, ...connection };
  const call = { ...CALL, connection: sent, ...changes };
  const records = { ...soakRecords.createRecords(), calls: [call], stops: [STOP], ...others };
  const context = { records, routeTimeoutMs: 20_000, runsById: new Map() };
  return soakConnectionChecks.checkConnections(context).length;
}

// Guards against a check that overlooks requests whose connections the closing of a port resets.
nodeTest.test('a request without a byte of a response counts', () => {
  assert.equal(countViolations({}), 1);
  assert.equal(countViolations({}, { isNew: false }), 1);
  assert.equal(countViolations({ isReset: false }), 1);
  assert.equal(countViolations({ gateway: 1 }), 0);
  assert.equal(countViolations({}, { responseBytes: 1 }), 0);
  assert.equal(countViolations({}, { sentMs: 0 }), 0);
  assert.equal(countViolations({ sentMs: 11_000, endedMs: 13_000 }), 0);
});

nodeTest.test('a request that crosses the close of its connection does not count', () => {
  assert.equal(countViolations({}, { sentMs: 13_495 }), 0);
  assert.equal(countViolations({ isReset: false }, { sentMs: 13_495 }), 0);
  const stalls = [{ fromMs: 13_462, untilMs: 13_498 }];
  assert.equal(countViolations({}, {}, { stalls }), 0);
});

// Guards against a response that is cut after its request has reached a backend server.
nodeTest.test('a request that a backend server has seen counts at any age', () => {
  const arrivals = new Map([['call', [13_498]]]);
  assert.equal(countViolations({}, { sentMs: 13_495 }, { arrivals }), 1);
});

nodeTest.test('only faults that are not planned excuse a lost connection', () => {
  const fault = { gateway: 0, fromMs: 13_000, untilMs: 13_600 };
  assert.equal(countViolations({}, {}, { disturbances: [fault] }), 0);
  assert.equal(countViolations({}, {}, { disturbances: [{ ...fault, isPlanned: true }] }), 1);
  assert.equal(countViolations({}, {}, { disturbances: [{ ...fault, gateway: 1 }] }), 1);
});
