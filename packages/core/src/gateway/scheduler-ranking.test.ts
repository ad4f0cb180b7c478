import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as peerView from './peer-view.js';
import * as schedulerRanking from './scheduler-ranking.js';

const { test } = nodeTest;
const CELLS = Array.from({ length: 40 }, (_, index) => `one/${index}`);
/** Rankings are recomputed within this time, milliseconds. */
const RANKING_MS = 600;

type ReportedLoads = Record<string, number | undefined>;

/** Creates a gateway, `own`, that knows others with the given loads. */
function createChooser() {
  const ranking = schedulerRanking.createSchedulerRanking();
  const view = peerView.createPeerView();
  let now = 0;
  return (ownLoad: number, loads: ReportedLoads, isLeaving = false): Set<string> => {
    now += RANKING_MS;
    Object.entries(loads).forEach(([address, loadPercent]) =>
      peerView.applyReport(
        view,
        {
          address,
          life: 'a',
          sequence: now,
          leaving: false,
          used: new Map(),
          processorPercent: 50,
          loadPercent,
          configurationVersion: 1,
          peers: [],
        },
        now,
      ),
    );
    const own = { address: 'own', processorPercent: 50, loadPercent: ownLoad, isLeaving };
    const choose = (cell: string) =>
      schedulerRanking.chooseScheduler(ranking, view, own, cell, now).address;
    return new Set(CELLS.map(choose));
  };
}

test('saturated gateways are passed over as schedulers until they have recovered', () => {
  // Guards against late grants from a gateway that has no processor time left.
  const choose = createChooser();
  assert.deepEqual(choose(10, { b: 99, c: 0 }), new Set(['own', 'b', 'c']));
  assert.deepEqual(choose(10, { b: 100, c: 0 }), new Set(['own', 'c']));
  assert.deepEqual(choose(100, { b: 100, c: 0 }), new Set(['c']));
  assert.deepEqual(choose(10, { b: 80, c: 0 }), new Set(['own', 'b', 'c']));
});

test('no gateway is passed over if all are saturated', () => {
  // Guards against a fleet without schedulers in a burst.
  assert.deepEqual(createChooser()(100, { b: 100, c: 100 }), new Set(['own', 'b', 'c']));
});

test('a gateway that reports no load schedules', () => {
  // Guards against passing over gateways of the previous version.
  assert.ok(createChooser()(100, { b: undefined }).has('b'));
});

test('leaving gateway schedules only if it is alone', () => {
  // Guards against two schedulers of one cell, as the others no longer ask a leaving gateway.
  const choose = createChooser();
  assert.ok(choose(0, { 'peer-1': 0 }).has('own'));
  assert.deepEqual(choose(0, { 'peer-1': 0 }, true), new Set(['peer-1']));
  assert.deepEqual(createChooser()(0, {}, true), new Set(['own']));
});
