import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as replay from './replay.js';
import * as model from './world.js';

const WALKS = 400;
const LENGTH = 60;

/** Replays random walks until one shows a difference. */
function findDifference(safeguards: model.Safeguards): replay.Difference | undefined {
  let difference: replay.Difference | undefined;
  Array.from({ length: WALKS }, (_, index) => index + 1).some((seed) => {
    difference = replay.runWalk(seed, LENGTH, safeguards);
    return difference !== undefined;
  });
  return difference;
}

nodeTest.test('replay: agents decide as the specification says', () => {
  assert.equal(findDifference(model.ALL_SAFEGUARDS), undefined);
});

// The code has all safeguards, so a specification without one of them must differ from it;
// otherwise the comparison couldn't detect a missing safeguard.
const COMPARED: (keyof model.Safeguards)[] = [
  'tombstones',
  'lifeChecks',
  'restartedHomeAbstains',
  'closeBindsEarlierCalls',
  'offerRecords',
];

COMPARED.forEach((safeguard) =>
  nodeTest.test(`replay differs without ${safeguard}`, () => {
    const difference = findDifference({ ...model.ALL_SAFEGUARDS, [safeguard]: false });
    assert.notEqual(difference, undefined);
  }),
);
