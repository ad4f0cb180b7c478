import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as reportFleet from './mocks/report-fleet.js';
import * as peerTask from './peer-task.js';

const { test } = nodeTest;
const FLEET = { gateways: 36, reportsDomains: true, lostEvery: 97 };
/** By then all gateways know each other, and reports follow the groups. */
const SETTLE_MS = 5000;
const WORKSPACES = 8;
const COST = 100;

/** Starts a fleet and lets its gateways admit requests until reports follow the groups. */
function startFleet(changes: Partial<reportFleet.ReportFleetOptions> = {}) {
  const fleet = reportFleet.createReportFleet({ ...FLEET, ...changes });
  reportFleet.runReportFleet(fleet, SETTLE_MS, () => admitInTurn(fleet));
  return fleet;
}

/** Lets one gateway admit a request each 8 ms, each of them for all workspaces in turn. */
function admitInTurn(fleet: reportFleet.ReportFleet): void {
  const step = fleet.nowMs / WORKSPACES;
  const index = step % fleet.peers.length;
  if (Number.isInteger(step) && !fleet.stopped.has(index)) {
    reportFleet.admitUse(fleet, index, `w${step % WORKSPACES}`, COST);
  }
}

/** Counts the gateways at which a peer is reachable. */
function countReachable({ peers, nowMs, stopped }: reportFleet.ReportFleet, index: number): number {
  const address = reportFleet.formatAddress(index);
  return peers.filter(
    ({ options }, at) =>
      !stopped.has(at) && gateway.listReachablePeers(options.state.peers, nowMs).includes(address),
  ).length;
}

test('use is known everywhere within one second', () => {
  // Quotas hold over all gateways only if each learns of the others' use in time, also if one of
  // the gateways that pass reports on has died a moment ago and datagrams are lost.
  const fleet = startFleet();
  fleet.stopped.add(4);
  [0, 7, 14, 21].forEach((sender) => {
    reportFleet.admitUse(fleet, sender, 'probe', COST);
    reportFleet.runReportFleet(fleet, 1000, () => admitInTurn(fleet));
    assert.equal(reportFleet.countUninformed(fleet, sender, 'probe', COST), 0, String(sender));
  });
});

test('all use is charged once at every gateway', () => {
  // Each report reaches a gateway over two others. A total that is charged twice, or never, makes
  // quotas wrong for as long as the gateways run.
  const fleet = startFleet();
  reportFleet.runReportFleet(fleet, 4000, () => admitInTurn(fleet));
  reportFleet.runReportFleet(fleet, 4000);
  const sumUsed = fleet.peers.reduce(
    (sum, { options }) => sum + (options.state.quotas.buckets.get('w3')?.used ?? 0),
    0,
  );
  // At a gateway that has no request of a workspace, all charges are kept as a sum.
  const charged = fleet.peers
    .filter(({ options }) => !options.state.quotas.buckets.has('w3'))
    .map(({ options }) => options.state.quotas.earlyUse.get('w3')?.amount);
  assert.ok(sumUsed > 0 && charged.length > 0);
  assert.deepEqual(new Set(charged), new Set([sumUsed]));
});

test('leaving gateway is known at once', () => {
  // A gateway that goes on asking one that leaves waits for a reply until its time-out.
  const fleet = startFleet({ lostEvery: Infinity });
  fleet.peers[5].isLeaving = true;
  peerTask.sendReport(fleet.peers[5]);
  reportFleet.runReportFleet(fleet, 50);
  assert.equal(countReachable(fleet, 5), 0);
});

test('dead gateway is unreachable after three passes', () => {
  // Reports that are passed on must not keep a dead gateway alive, and none that lives may be lost.
  const fleet = startFleet();
  const least: number[] = [];
  reportFleet.runReportFleet(fleet, 2000, () => least.push(countReachable(fleet, 8)));
  assert.equal(Math.min(...least), 35);
  fleet.stopped.add(7);
  reportFleet.runReportFleet(fleet, 3 * 3 * gateway.REPORT_MS);
  assert.equal(countReachable(fleet, 7), 0);
});

test('gateway that restarts is known again, and its use counts once', () => {
  const fleet = startFleet();
  fleet.stopped.add(9);
  reportFleet.runReportFleet(fleet, 300);
  reportFleet.startPeer(fleet, 9, 'second');
  reportFleet.runReportFleet(fleet, 2000);
  assert.equal(countReachable(fleet, 9), 35);
  assert.equal(fleet.peers[9].options.state.peers.byAddress.size, 35);
});

test('reports between domains shrink to a tenth', () => {
  // Traffic between failure domains is billed.
  const measure = (reportsDomains: boolean) => {
    const fleet = startFleet({ reportsDomains });
    const before = { ...fleet.bytes };
    reportFleet.runReportFleet(fleet, 3000, () => admitInTurn(fleet));
    return { own: fleet.bytes.own - before.own, other: fleet.bytes.other - before.other };
  };
  const [rotated, grouped] = [measure(false), measure(true)];
  assert.ok(grouped.other < 0.1 * rotated.other, `${grouped.other} and ${rotated.other}`);
  assert.ok(grouped.own + grouped.other < rotated.own + rotated.other);
});

test('addresses that do not exist get no more reports than in a rotation', () => {
  // Seeds outlive the gateways that they name. Each of them would get a whole report in each round.
  const fleet = startFleet();
  const absent = Array.from({ length: 18 }, (_, index) => `10.9.9.${index}:7000`);
  fleet.peers[0].options.seeds.push(...absent);
  const before = fleet.sentFrom.get(0) ?? 0;
  reportFleet.runReportFleet(fleet, 2000, () => admitInTurn(fleet));
  const reports = (fleet.sentFrom.get(0) ?? 0) - before;
  const grouped = 11 * 2 + 4;
  assert.ok(reports <= 10 * (grouped + gateway.MAX_FAN_OUT / 2), String(reports));
});

test('gateways that start together know each other within two seconds', () => {
  // Gateways that know different peers choose different schedulers for the same cell. If the peer
  // list to a gateway is lost, it must not wait until its sender comes to it in turn.
  const fleet = reportFleet.createReportFleet({ ...FLEET, gateways: 100, lostEvery: 23 });
  reportFleet.runReportFleet(fleet, 2000);
  const known = fleet.peers.map(({ options }) => options.state.peers.byAddress.size);
  assert.equal(Math.min(...known), 99);
});
