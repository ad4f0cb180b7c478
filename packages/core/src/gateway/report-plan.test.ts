import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as reportPlan from './report-plan.js';

const { test } = nodeTest;

/** Builds the other gateways of a fleet, in turn in each of three failure domains. */
function buildMembers(count: number, unreachable = ''): reportPlan.ReportMember[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.0.${index + 1}:1`,
    failureDomain: `d${(index + 1) % 3}`,
    isReachable: `d${(index + 1) % 3}` !== unreachable,
  }));
}

/** Computes the plans of some consecutive rounds of a gateway in domain `d0`. */
function computePlans(members: readonly reportPlan.ReportMember[], rounds: number) {
  return Array.from({ length: rounds }, (_, sequence) => {
    const sender = { address: '10.0.0.0:1', failureDomain: 'd0', sequence };
    return reportPlan.computeReportPlan(sender, members);
  });
}

test('small fleets and single domains send to all in turn', () => {
  // Where one round reaches all gateways, or none is in another domain, nothing may change.
  const [small] = computePlans(buildMembers(16), 1);
  assert.equal(small.kind, 'rotation');
  const one = buildMembers(30).map((member) => ({ ...member, failureDomain: 'd0' }));
  assert.equal(computePlans(one, 1)[0].kind, 'rotation');
  const unknown = buildMembers(30).map((member) => ({ ...member, failureDomain: undefined }));
  assert.equal(computePlans(unknown, 1)[0].kind, 'rotation');
});

test('each other domain gets a report over changing gateways', () => {
  // If the same gateway always passed reports on, its failure would hide the usage of all others.
  const members = buildMembers(35);
  const used = new Set<string>();
  computePlans(members, 12).forEach((plan) => {
    assert.ok(plan.kind === 'groups');
    assert.equal(plan.near.length, 11);
    const domains = plan.relays.map(
      (relay) => members.find(({ address }) => address === relay)?.failureDomain,
    );
    assert.deepEqual(new Set(domains).has('d0'), false);
    assert.ok(domains.length === 0 || new Set(domains).size === 2);
    plan.relays.forEach((relay) => used.add(relay));
  });
  assert.equal(used.size, 24);
});

test('domain that is not reachable is still tried', () => {
  // After a partition each side must find the other again.
  const plans = computePlans(buildMembers(35, 'd1'), 2);
  const relays = plans.flatMap((plan) => (plan.kind === 'groups' ? plan.relays : []));
  const isInDomain = (address: string, domain: number) =>
    Number(address.split('.')[3].split(':')[0]) % 3 === domain;
  assert.ok(relays.some((address) => isInDomain(address, 1)));
  assert.ok(relays.some((address) => isInDomain(address, 2)));
});

test('gateways of an earlier version get reports themselves', () => {
  // They report no failure domain and would not pass anything on.
  const members = buildMembers(35);
  const old = { ...members[0], failureDomain: undefined };
  const [plan] = computePlans([old, ...members.slice(1)], 1);
  assert.ok(plan.kind === 'groups');
  assert.deepEqual(plan.unknown, [old.address]);
});

test('all gateways find the same groups in a large domain', () => {
  // A gateway that counts itself in another group than its peers do would not get their reports.
  const all = buildMembers(300);
  const findNear = (index: number) => {
    const { address, failureDomain = '' } = all[index];
    const others = all.filter((one) => one.address !== address);
    const plan = reportPlan.computeReportPlan({ address, failureDomain, sequence: 0 }, others);
    assert.ok(plan.kind === 'groups');
    return plan.near;
  };
  const near = findNear(0);
  assert.ok(near.length > 0 && near.length < 32);
  near.forEach((address) => {
    const index = all.findIndex((one) => one.address === address);
    assert.ok(findNear(index).includes(all[0].address));
  });
});

test('gateway that leaves tells all groups in one round', () => {
  const sender = { address: '10.0.0.0:1', failureDomain: 'd0', sequence: 0 };
  [0, 1, 2].forEach((sequence) => {
    const plan = reportPlan.computeLeavingPlan({ ...sender, sequence }, buildMembers(35));
    assert.ok(plan.kind === 'groups');
    assert.equal(plan.relays.length, 4);
  });
});
