import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakChecks from './soak-checks.js';
import * as soakRecords from './soak-records.js';

const BOUNDS = {
  revocationMs: 2000,
  evacuationMs: 2500,
  retryRatio: 0.2,
  retryExtra: 30,
  routeTimeoutMs: 5000,
  areTimesChecked: true,
};
const CALL: soakRecords.CallRecord = {
  id: 'call',
  kind: soakRecords.CallKind.SAFE,
  path: '/safe/call',
  body: '',
  credential: 'key',
  workspace: 'workspace',
  gateway: 0,
  sentMs: 900,
  deadlineMs: 2000,
  disconnectedMs: 1000,
  isReused: false,
  isReset: false,
  endedMs: 1000,
  response: undefined,
};
const RUN: soakRecords.RunRecord = {
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
  atMs: 3300,
  endedMs: 3320,
  isBrokenOff: false,
  isWhole: true,
  isMixedUp: false,
};

// Guards against a disconnect that the stalled soak itself has kept from the gateway.
nodeTest.test('work after a disconnect counts unless the soak stood still', () => {
  const listFor = (stalls: soakRecords.SoakRecords['stalls']) =>
    soakChecks
      .checkRecords({ ...soakRecords.createRecords(), calls: [CALL], runs: [RUN], stalls }, BOUNDS)
      .map(({ guarantee }) => guarantee);
  assert.deepEqual(listFor([{ fromMs: 1000, untilMs: 3100 }]), []);
  assert.deepEqual(listFor([{ fromMs: 1000, untilMs: 2100 }]), [
    'no work after a caller disconnects',
  ]);
});
