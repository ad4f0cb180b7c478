import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as bodyMemory from './body-memory.js';
import * as clocks from './clocks.js';

const { test } = nodeTest;
const MB = 1_048_576;
/** Of these, only one at a time fits into the smallest budget. */
const CLAIM_BYTES = 5 * MB;

/** Creates the memory of a gateway with the smallest budget; records the exceptions it contains. */
function createSmallMemory(failures: unknown[]): bodyMemory.BodyMemory {
  const quotaTolerance = { overage: 0, slack: 0, windowMs: 0 };
  const warmUpTolerance = { factor: 1, extra: 0 };
  const retries = { retryRatio: 0.01, retryExtra: 1 };
  const bounds = { leaseMs: 1, entryReturnMs: 1, quotaTolerance, warmUpTolerance, ...retries };
  const place = { failureDomain: 'd', regionByDomain: new Map<string, string>(), memoryMb: 1 };
  const identity = { address: '127.0.0.1:1', life: 'a', processorPercent: 50, seeds: [], ...place };
  return bodyMemory.createBodyMemory({
    state: gateway.createGatewayState(identity, bounds, Math.random, 0),
    protocol: { parseRequestHeaders: () => undefined },
    readClocks: clocks.createClockReader(),
    runGuarded: (_unit, step, recover) => {
      try {
        return step();
      } catch (error) {
        failures.push(error);
        return recover();
      }
    },
  });
}

test('exception while one body gets its memory keeps it from no other', () => {
  // Guards against an exception in the handling of one caller's body while another one is released:
  // it ended the other's request, and the memory that was granted stayed taken.
  const failures: unknown[] = [];
  const memory = createSmallMemory(failures);
  const claims = ['a', 'b', 'c'].map((name) => memory.createClaim(name, []));
  const settled: string[] = [];
  const failure = new Error('failure');
  memory.request(claims[0], CLAIM_BYTES, (isGranted) => settled.push(`a ${isGranted}`));
  memory.request(claims[1], CLAIM_BYTES, (isGranted) => {
    settled.push(`b ${isGranted}`);
    if (isGranted) {
      throw failure;
    }
    memory.release(claims[1]);
  });
  memory.request(claims[2], CLAIM_BYTES, (isGranted) => settled.push(`c ${isGranted}`));
  memory.release(claims[0]);
  assert.deepEqual(settled, ['a true', 'b true', 'b false', 'c true']);
  assert.deepEqual(failures, [failure]);
});
