import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as belief from './belief.js';

const { test } = nodeTest;
const LEASE_MS = 3000;
const CONFIRMED = { steadyMs: 1000, wallMs: 50_000, uptimeMs: 9000 };

/** Returns the lease status at a clock reading. */
function getStanding(now: belief.ClockReading): belief.Standing {
  const lease = belief.createBelief();
  belief.noteConfirmed(lease, CONFIRMED);
  return belief.getStanding(lease, true, LEASE_MS, now);
}

test('lease expires by the steady clock', () => {
  const at = (ms: number) => ({ steadyMs: 1000 + ms, wallMs: 50_000 + ms, uptimeMs: 9000 + ms });
  assert.equal(getStanding(at(2999)), belief.Standing.CONFIRMED);
  assert.equal(getStanding(at(3001)), belief.Standing.UNCONFIRMED);
});

test('suspended VM', () => {
  // A VM is suspended for ten seconds while a key is revoked. Its steady clock stopped, so
  // the lease would still hold by that clock alone; the other clocks kept running.
  const now = { steadyMs: 1010, wallMs: 60_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), belief.Standing.UNCONFIRMED);
});

test('suspended VM with the wall clock set back', () => {
  const now = { steadyMs: 1010, wallMs: 50_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), belief.Standing.UNCONFIRMED);
});

test('no configuration or no confirmation', () => {
  const lease = belief.createBelief();
  assert.equal(belief.getStanding(lease, false, LEASE_MS, CONFIRMED), belief.Standing.UNKNOWN);
  assert.equal(belief.getStanding(lease, true, LEASE_MS, CONFIRMED), belief.Standing.UNCONFIRMED);
});
