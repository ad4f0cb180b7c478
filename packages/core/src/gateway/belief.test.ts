import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as belief from './belief.js';

const { test } = nodeTest;
const LEASE_MS = 3000;
const CONFIRMED = { steadyMs: 1000, wallMs: 50_000, uptimeMs: 9000 };

/** Tells the standing at a reading. */
function getStanding(now: belief.ClockReading): belief.Standing {
  const state = belief.createBelief();
  belief.noteConfirmed(state, CONFIRMED);
  return belief.getStanding(state, true, LEASE_MS, now);
}

test('lease runs out on the steady clock', () => {
  const at = (ms: number) => ({ steadyMs: 1000 + ms, wallMs: 50_000 + ms, uptimeMs: 9000 + ms });
  assert.equal(getStanding(at(2999)), belief.Standing.CONFIRMED);
  assert.equal(getStanding(at(3001)), belief.Standing.UNCONFIRMED);
});

test('suspended VM', () => {
  // A VM is suspended for ten seconds while a key is taken away. Its steady clock
  // stood still, so that by it the lease would hold; the other clocks went on.
  const now = { steadyMs: 1010, wallMs: 60_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), belief.Standing.UNCONFIRMED);
});

test('suspended, time of day set back', () => {
  const now = { steadyMs: 1010, wallMs: 50_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), belief.Standing.UNCONFIRMED);
});

test('nothing known', () => {
  const state = belief.createBelief();
  assert.equal(belief.getStanding(state, false, LEASE_MS, CONFIRMED), belief.Standing.UNKNOWN);
  assert.equal(belief.getStanding(state, true, LEASE_MS, CONFIRMED), belief.Standing.UNCONFIRMED);
});
