import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as serverChoice from './server-choice.js';

const { test } = nodeTest;
const SLOTS = 9;

/** Builds an idle candidate with the given changes. */
function buildCandidate(changes: Partial<serverChoice.Candidate> = {}): serverChoice.Candidate {
  return {
    id: 's',
    failureDomain: 'd1',
    softwareVersion: undefined,
    slots: SLOTS,
    inFlight: 0,
    startsLeft: Infinity,
    isRateLimited: false,
    slowness: 1,
    unitMs: 0,
    unreadTokens: 0,
    answerTokens: 0,
    aheadMs: 0,
    addedLatencyMs: 0,
    failureShare: 0,
    ...changes,
  };
}

test('server is full with a request in each slot', () => {
  assert.equal(serverChoice.hasPlace(buildCandidate({ inFlight: SLOTS - 1 })), true);
  assert.equal(serverChoice.hasPlace(buildCandidate({ inFlight: SLOTS })), false);
});

test('fast, healthy and near servers are preferred', () => {
  const draw = () => 0.5;
  const choose = (...ones: Partial<serverChoice.Candidate>[]) =>
    serverChoice.chooseServer(ones.map(buildCandidate), 'd1', draw)?.id;
  assert.equal(choose({ id: 'slow', slowness: 4 }, { id: 'fast', inFlight: 8 }), 'fast');
  assert.equal(choose({ id: 'grey', failureShare: 0.4 }, { id: 'good', inFlight: 6 }), 'good');
  assert.equal(choose({ id: 'far', failureDomain: 'd2' }, { id: 'near' }), 'near');
  assert.equal(choose(), undefined);
});
