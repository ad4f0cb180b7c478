import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as carriedCalls from './carried-calls.js';

nodeTest.test('long ids that differ in their last characters are told apart', () => {
  // Guards against cutting a body that quotes a response to another call, and against a new connection
  // for each call of a caller whose ids begin alike.
  const calls = carriedCalls.createCarriedCalls(() => undefined);
  const prefix = 'x'.repeat(200);
  carriedCalls.recordCall(calls, `${prefix}1`);
  assert.equal(carriedCalls.hasCarried(calls, `${prefix}2`), false);
  assert.equal(carriedCalls.hasCarried(calls, `${prefix}1`), true);
});
