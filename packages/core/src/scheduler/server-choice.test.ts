import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as serverChoice from './server-choice.js';

const { test } = nodeTest;
const SLOTS = 9;

/** Builds a candidate that is empty but for the given requests. */
function buildCandidate(changes: Partial<serverChoice.Candidate> = {}): serverChoice.Candidate {
  return {
    id: 's',
    failureDomain: 'd1',
    slots: SLOTS,
    inFlight: 0,
    startsLeft: Infinity,
    isRateLimited: false,
    slowness: 1,
    unitMs: 0,
    firstExtraMs: 0,
    failureShare: 0,
    ...changes,
  };
}

test('full with a request at each place', () => {
  assert.equal(serverChoice.hasPlace(buildCandidate({ inFlight: SLOTS - 1 })), true);
  assert.equal(serverChoice.hasPlace(buildCandidate({ inFlight: SLOTS })), false);
});

test('fast, sound and near go first', () => {
  const draw = () => 0.5;
  const choose = (...ones: Partial<serverChoice.Candidate>[]) =>
    serverChoice.chooseServer(ones.map(buildCandidate), 'd1', draw)?.id;
  assert.equal(choose({ id: 'slow', slowness: 4 }, { id: 'fast', inFlight: 8 }), 'fast');
  assert.equal(choose({ id: 'grey', failureShare: 0.4 }, { id: 'good', inFlight: 6 }), 'good');
  assert.equal(choose({ id: 'far', failureDomain: 'd2' }, { id: 'near' }), 'near');
  assert.equal(choose(), undefined);
});
