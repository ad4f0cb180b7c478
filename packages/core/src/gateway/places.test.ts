import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as peerView from './peer-view.js';
import * as serverChoice from './server-choice.js';

const { test } = nodeTest;
const SLOTS = 9;

/** Builds a candidate that is empty but for the given requests. */
function buildCandidate(changes: Partial<serverChoice.Candidate> = {}): serverChoice.Candidate {
  return {
    id: 's',
    slots: SLOTS,
    ownInFlight: 0,
    peersInFlight: 0,
    slowness: 1,
    unitMs: 0,
    firstExtraMs: 0,
    failureShare: 0,
    isNear: true,
    ...changes,
  };
}

/** Counts the requests that one gateway sends to an empty backend server. */
function countTaken(share: peerView.Share, offset: number): number {
  let ownInFlight = 0;
  while (serverChoice.hasPlace(buildCandidate({ ownInFlight }), share, offset)) {
    ownInFlight += 1;
  }
  return ownInFlight;
}

test('places of a new server are dealt out', () => {
  // A backend server comes back while every gateway has a queue. Each sees it
  // empty, as reports are late. All of them together must not send more than it
  // works on at once.
  const demands = [40, 3, 0, 17];
  const addresses = demands.map((_, index) => `10.0.0.${index}:1`);
  [0, 0.3, 0.77, 0.999].forEach((offset) => {
    const taken = addresses.map((address, index) => {
      const view = peerView.createPeerView();
      addresses.forEach((peer, at) => {
        if (at !== index) {
          peerView.applyReport(
            view,
            {
              address: peer,
              life: 'a',
              sequence: 1,
              leaving: false,
              used: new Map(),
              inFlight: new Map(),
              demand: new Map([['one', demands[at]]]),
              peers: [],
            },
            0,
          );
        }
      });
      const share = peerView.computeDemandShare(view, address, 'one', demands[index], 0);
      return countTaken(share, offset);
    });
    assert.equal(
      taken.reduce((sum, one) => sum + one, 0),
      SLOTS,
    );
    assert.ok(taken[0] > taken[1], taken.join());
  });
});

test('full by the word of the peers', () => {
  const alone = { before: 0, own: 1 };
  assert.equal(serverChoice.hasPlace(buildCandidate({ peersInFlight: 5 }), alone, 0), true);
  assert.equal(serverChoice.hasPlace(buildCandidate({ peersInFlight: 10 }), alone, 0), false);
});

test('fast, sound and near go first', () => {
  const draw = () => 0.5;
  const choose = (...ones: Partial<serverChoice.Candidate>[]) =>
    serverChoice.chooseServer(ones.map(buildCandidate), draw)?.id;
  assert.equal(choose({ id: 'slow', slowness: 4 }, { id: 'fast', ownInFlight: 8 }), 'fast');
  assert.equal(choose({ id: 'grey', failureShare: 0.4 }, { id: 'good', ownInFlight: 6 }), 'good');
  assert.equal(choose({ id: 'far', isNear: false }, { id: 'near' }), 'near');
  assert.equal(choose(), undefined);
});
