import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';

const { test } = nodeTest;
const ADDRESS = '10.0.0.1:1';
/** Sequence number of a gateway that has run for longer than it counts as new. */
const OLD = 1000;

/** Builds a report with the given changes. */
function buildReport(changes: Partial<peerView.PeerReport>): peerView.PeerReport {
  const use = { used: new Map([['w', 10]]), workspaceCount: 1 };
  const state = { processorPercent: 50, configurationVersion: 1, peers: [] };
  return {
    address: ADDRESS,
    life: 'a',
    sequence: OLD,
    leaving: false,
    ...use,
    ...state,
    ...changes,
  };
}

/** Builds a report that is passed on, with the given changes. */
function buildRelayed(
  changes: Partial<peerView.RelayedReport>,
  life = 'a',
): peerView.RelayedReport {
  const sender = peerView.hashLifeKey({ address: ADDRESS, life });
  const use = { used: new Map([['w', 15]]), workspaceCount: 1 };
  return { sender, sequence: OLD + 1, leaving: false, ageMs: 100, ...use, ...changes };
}

/** Sums what a list of increases adds. */
function computeSum(increases: readonly peerView.UsageIncrease[]): number {
  return increases.reduce((sum, { amount }) => sum + amount, 0);
}

test('total counts once, whichever way it arrives', () => {
  // The same report arrives from two gateways, and an older one after it. Charged twice, a
  // workspace would be refused within its quota.
  const view = peerView.createPeerView();
  peerView.applyReport(view, buildReport({}), 0);
  assert.equal(computeSum(peerView.applyRelayed(view, buildRelayed({}), 300)), 5);
  assert.equal(computeSum(peerView.applyRelayed(view, buildRelayed({}), 310)), 0);
  const older = buildRelayed({ sequence: OLD, used: new Map([['w', 12]]) });
  assert.deepEqual(peerView.applyRelayed(view, older, 320), []);
  const direct = buildReport({ sequence: OLD + 1, used: new Map([['w', 15]]) });
  assert.deepEqual(peerView.applyReport(view, direct, 330), []);
  assert.equal(view.byAddress.get(ADDRESS)?.used.get('w'), 15);
});

test('passed on report does not make a sender look alive for longer', () => {
  // A gateway that dies would otherwise keep its cells while others pass its reports on.
  const view = peerView.createPeerView();
  peerView.applyReport(view, buildReport({}), 0);
  peerView.applyRelayed(view, buildRelayed({ ageMs: 400 }), 500);
  assert.equal(view.byAddress.get(ADDRESS)?.heardMs, 100);
  const tooOld = buildRelayed({ sequence: OLD + 2, ageMs: 1001 });
  assert.deepEqual(peerView.applyRelayed(view, tooOld, 1200), []);
  assert.equal(peerCounts.countUnreachablePeers(view, 1101), 1);
});

test('passed on report adds neither peers nor incarnations', () => {
  // A report of an incarnation that was replaced would count all totals of the new one again.
  const view = peerView.createPeerView();
  assert.deepEqual(peerView.applyRelayed(view, buildRelayed({}), 0), []);
  peerView.applyReport(view, buildReport({}), 0);
  peerView.applyReport(view, buildReport({ life: 'b', sequence: 1 }), 10);
  assert.deepEqual(peerView.applyRelayed(view, buildRelayed({ sequence: OLD + 9 }), 20), []);
  assert.equal(peerView.isKnownLife(view, ADDRESS, 'b'), true);
  peerView.applyRelayed(view, buildRelayed({ sequence: 2, leaving: true }, 'b'), 30);
  assert.equal(view.byAddress.size, 0);
  const late = buildReport({ life: 'b', sequence: 3 });
  assert.deepEqual(peerView.applyReport(view, late, 40), []);
});

test('old total of a peer that has run for long adds nothing', () => {
  // Reports carry a part of the totals. What a long-running peer admitted hours ago must not be
  // charged when it is first seen, but the first use of a further workspace must.
  const view = peerView.createPeerView();
  peerView.applyReport(view, buildReport({ workspaceCount: 2 }), 0);
  const second = new Map([['x', 1000]]);
  const reports = [
    buildReport({ sequence: OLD + 1, workspaceCount: 2, used: second }),
    buildReport({ sequence: OLD + 2, workspaceCount: 3, used: new Map([['y', 7]]) }),
  ];
  const added = reports.map((report) => computeSum(peerView.applyReport(view, report, 10)));
  assert.deepEqual(added, [0, 7]);
});
