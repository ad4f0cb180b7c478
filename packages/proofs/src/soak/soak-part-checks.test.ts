import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakPartChecks from './soak-part-checks.js';
import * as soakRecords from './soak-records.js';

const CRASHING = `a1:10,${soakRecords.CRASHING_PART}:10,b2:10`;
const CRASHES = [1, 2, 3, 4, 5].map((number) => ({ server: `server-${number}`, atMs: 3000 }));

/** Builds calls that are sent every 100 ms from a time on, of which a share is served. */
function buildCalls(
  parts: string,
  fromMs: number,
  count: number,
  servedShare: number,
): soakRecords.CallRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${parts}-${fromMs}-${index}`,
    kind: soakRecords.CallKind.SAFE,
    path: '/safe/',
    body: '',
    credential: 'key',
    workspace: 'workspace',
    gateway: 0,
    sentMs: fromMs + 100 * index,
    deadlineMs: 2000,
    disconnectedMs: 0,
    isReused: false,
    isReset: false,
    endedMs: fromMs + 100 * index + 20,
    response: {
      status: index < count * servedShare ? 200 : 503,
      body: '',
      isSigned: true,
      isComplete: true,
    },
    parts,
  }));
}

/** Lists the violated guarantees. */
function listViolated(
  calls: soakRecords.CallRecord[],
  arrivals: [string, number[]][],
  disturbances: soakRecords.SoakRecords['disturbances'] = [],
): string[] {
  const records = { ...soakRecords.createRecords(), calls, partCrashes: CRASHES, disturbances };
  arrivals.forEach(([id, times]) => records.arrivals.set(id, times));
  return soakPartChecks.checkParts(records).map(({ guarantee }) => guarantee);
}

// Guards against a check that counts only new requests and no retries.
nodeTest.test('more than three late requests with the part count', () => {
  const calls = buildCalls(CRASHING, 3000, 100, 0);
  const [{ id: first }, { id: second }] = calls;
  const late: [string, number[]][] = [
    [first, [6100, 6200]],
    [second, [6300, 6400]],
  ];
  assert.deepEqual(listViolated(calls, late), ['crashing part stops']);
  assert.deepEqual(listViolated(calls, late.slice(1)), []);
  const started = { gateway: 0, fromMs: 0, untilMs: 3500 };
  assert.deepEqual(listViolated(calls, late, [started]), []);
});

nodeTest.test('sound requests that are served less than half as often count', () => {
  const crashing = buildCalls(CRASHING, 3000, 100, 0);
  const before = buildCalls('a1:10,c3:10', 0, 25, 1);
  const countFor = (share: number) =>
    listViolated([...before, ...crashing, ...buildCalls('a1:10,c3:10', 9100, 30, share)], []);
  assert.deepEqual(countFor(0.4), ['sound requests beside a crashing part']);
  assert.deepEqual(countFor(0.6), []);
});

nodeTest.test('a part that belongs to another request is sound', () => {
  assert.equal(soakRecords.hasCrashingPart({ parts: CRASHING }), true);
  assert.equal(soakRecords.hasCrashingPart({ parts: 'a1:10,c3:10' }), false);
  assert.equal(soakRecords.hasCrashingPart({}), false);
});
