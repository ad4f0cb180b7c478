import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakRecords from './soak-records.js';
import * as soakStreamChecks from './soak-stream-checks.js';

const CALL: soakRecords.CallRecord = {
  id: 'call',
  kind: soakRecords.CallKind.RESUMABLE,
  path: '/resumable/call',
  body: '',
  credential: 'key',
  workspace: 'workspace',
  gateway: 0,
  sentMs: 1000,
  deadlineMs: 2000,
  disconnectedMs: 0,
  isReused: false,
  isReset: false,
  endedMs: 1500,
  response: undefined,
};

/** Builds a run of the call. */
function buildRun(atMs: number, isWhole: boolean): soakRecords.RunRecord {
  return {
    id: 'call',
    server: 'server-0',
    failureDomain: 'zone-1',
    version: 'v1',
    method: 'POST',
    path: '/resumable/call',
    body: '',
    workspace: 'workspace',
    hasCredential: false,
    resumeAfter: 0,
    parts: '',
    atMs,
    endedMs: atMs + 50,
    isBrokenOff: !isWhole,
    isWhole,
    isMixedUp: false,
  };
}

// Guards against a check that overlooks responses that are whole but taken as broken off.
nodeTest.test('a run after a whole response counts', () => {
  const countFor = (runs: soakRecords.RunRecord[], serverFaults: { server: string }[] = []) => {
    const records = { ...soakRecords.createRecords(), calls: [CALL], runs };
    const faults = serverFaults.map((one) => ({ ...one, fromMs: 1000, untilMs: 1100 }));
    return soakStreamChecks.checkRunAgain(
      { ...records, serverFaults: faults },
      new Map([['call', runs]]),
    ).length;
  };
  assert.equal(countFor([buildRun(1100, true), buildRun(1200, true)]), 1);
  assert.equal(countFor([buildRun(1100, false), buildRun(1200, true)]), 0);
  assert.equal(countFor([buildRun(1100, true), buildRun(1120, true)]), 0);
  assert.equal(countFor([buildRun(1100, true), buildRun(1200, true)], [{ server: 'server-0' }]), 0);
  const mixedUp = { ...buildRun(1100, true), isMixedUp: true };
  assert.equal(countFor([mixedUp, buildRun(1200, true)]), 0);
});

nodeTest.test('events with CRLF are read like the others', () => {
  const event = soakRecords.buildEvent('call-crlf', 1, 'v1');
  assert.equal(event, 'id: 1\r\n: v1\r\ndata: call-crlf 1\r\n\r\n');
  assert.equal(soakRecords.dropVersions(event), soakRecords.buildEvent('call-crlf', 1));
  assert.equal(soakRecords.findLastEvent(`${event}id: 2\r\n`), 1);
  assert.deepEqual(soakRecords.listVersions(event), ['v1']);
  assert.equal(soakRecords.dropVersions('id: 1\r\n: v1\r'), 'id: 1\r\n');
});
