import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as domainPreference from './domain-preference.js';
import type * as serverChoice from './server-choice.js';

const { test } = nodeTest;
const SLOTS = 8;

/** Builds a candidate with a number of requests in flight. */
function buildCandidate(
  id: string,
  failureDomain: string,
  inFlight: number,
): serverChoice.Candidate {
  const limits = { slots: SLOTS, startsLeft: Infinity, isRateLimited: false };
  const softwareVersion = undefined;
  const pace = { slowness: 1, unitMs: 0, addedLatencyMs: 0, failureShare: 0 };
  const work = { unreadTokens: 0, answerTokens: 0, aheadMs: 0 };
  return { id, failureDomain, softwareVersion, inFlight, ...limits, ...pace, ...work };
}

/** Lists the ids among which a request of domain `own` may be placed. */
function listIds(
  all: readonly serverChoice.Candidate[],
  isSafe: (candidate: serverChoice.Candidate) => boolean = () => true,
): string[] {
  const usable = all.filter(({ inFlight }) => inFlight < SLOTS);
  const search = { usable, all, failureDomain: 'own', isSafe };
  return domainPreference.listPreferred(search).map(({ id }) => id);
}

test('request stays in its own domain while it will be on time', () => {
  // Otherwise the work of a domain depends on the servers of all others.
  const all = [buildCandidate('near', 'own', 1), buildCandidate('far', 'd2', 0)];
  assert.deepEqual(listIds(all), ['near']);
});

test('request leaves a domain that is full or where it would be late', () => {
  // A domain with more demand than servers must not hold requests back while others are idle.
  const far = buildCandidate('far', 'd2', 6);
  assert.deepEqual(listIds([buildCandidate('near', 'own', SLOTS), far]), ['far']);
  const late = listIds([buildCandidate('near', 'own', 6), far], ({ id }) => id !== 'near');
  assert.deepEqual(late, ['near', 'far']);
  assert.deepEqual(listIds([far]), ['far']);
});

test('domains that are much less full share the load', () => {
  // Without the bound, the servers of a domain would fill up, and slow down, before those of
  // another domain get anything.
  const all = [
    buildCandidate('near', 'own', 6),
    buildCandidate('similar', 'd2', 5),
    buildCandidate('emptier', 'd3', 2),
  ];
  assert.deepEqual(listIds(all), ['near', 'emptier']);
});

test('request leaves a domain whose only free server fails', () => {
  // Failure: a server that fails at once looks idle and gets all requests of its domain.
  const failing = { ...buildCandidate('own', 'a', 0), failureShare: 0.8 };
  const [own, far] = [failing, buildCandidate('far', 'b', 2)];
  assert.deepEqual(listIds([own, far]), ['own', 'far']);
});
