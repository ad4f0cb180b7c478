import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationLease from './configuration-lease.js';

const { test } = nodeTest;
const LEASE_MS = 3000;
const CONFIRMED = { steadyMs: 1000, wallMs: 50_000, uptimeMs: 9000 };

/** Returns the lease status at a clock reading. */
function getStatus(now: configurationLease.ClockReading): configurationLease.LeaseStatus {
  const lease = configurationLease.createConfigurationLease();
  configurationLease.noteConfirmed(lease, CONFIRMED);
  return configurationLease.getLeaseStatus(lease, true, LEASE_MS, now);
}

test('lease expires by the steady clock', () => {
  const at = (ms: number) => ({ steadyMs: 1000 + ms, wallMs: 50_000 + ms, uptimeMs: 9000 + ms });
  assert.equal(getStatus(at(2999)), configurationLease.LeaseStatus.CONFIRMED);
  assert.equal(getStatus(at(3001)), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('suspended VM', () => {
  // A VM is suspended for ten seconds while a credential is revoked. Its steady clock stopped, so
  // the lease would still hold by that clock alone; the other clocks kept running.
  const now = { steadyMs: 1010, wallMs: 60_010, uptimeMs: 19_010 };
  assert.equal(getStatus(now), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('suspended VM with the wall clock set back', () => {
  const now = { steadyMs: 1010, wallMs: 50_010, uptimeMs: 19_010 };
  assert.equal(getStatus(now), configurationLease.LeaseStatus.UNCONFIRMED);
});

test('no configuration or no confirmation', () => {
  const lease = configurationLease.createConfigurationLease();
  assert.equal(
    configurationLease.getLeaseStatus(lease, false, LEASE_MS, CONFIRMED),
    configurationLease.LeaseStatus.UNKNOWN,
  );
  assert.equal(
    configurationLease.getLeaseStatus(lease, true, LEASE_MS, CONFIRMED),
    configurationLease.LeaseStatus.UNCONFIRMED,
  );
});
