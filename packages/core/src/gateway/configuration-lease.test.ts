import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationLease from './configuration-lease.js';

const { test } = nodeTest;
const LEASE_MS = 3000;
const CONFIRMED = { steadyMs: 1000, wallMs: 50_000, uptimeMs: 9000 };

/** Tells the standing at a reading. */
function getStanding(now: configurationLease.ClockReading): configurationLease.LeaseStatus {
  const state = configurationLease.createConfigurationLease();
  configurationLease.noteConfirmed(state, CONFIRMED);
  return configurationLease.getLeaseStatus(state, true, LEASE_MS, now);
}

test('lease runs out on the steady clock', () => {
  const at = (ms: number) => ({ steadyMs: 1000 + ms, wallMs: 50_000 + ms, uptimeMs: 9000 + ms });
  assert.equal(getStanding(at(2999)), configurationLease.LeaseStatus.CONFIRMED);
  assert.equal(getStanding(at(3001)), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('suspended VM', () => {
  // A VM is suspended for ten seconds while a key is taken away. Its steady clock
  // stood still, so that by it the lease would hold; the other clocks went on.
  const now = { steadyMs: 1010, wallMs: 60_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('suspended, time of day set back', () => {
  const now = { steadyMs: 1010, wallMs: 50_010, uptimeMs: 19_010 };
  assert.equal(getStanding(now), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('nothing known', () => {
  const state = configurationLease.createConfigurationLease();
  assert.equal(
    configurationLease.getLeaseStatus(state, false, LEASE_MS, CONFIRMED),
    configurationLease.LeaseStatus.UNKNOWN,
  );
  assert.equal(
    configurationLease.getLeaseStatus(state, true, LEASE_MS, CONFIRMED),
    configurationLease.LeaseStatus.UNCONFIRMED,
  );
});
