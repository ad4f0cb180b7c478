import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as evacuations from './evacuations.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildRevision } = gatewayFixture;

/** Builds the word that a failure domain is evacuated, or taken back. */
function buildChange(count: number, isEvacuated: boolean): evacuations.EvacuationChange {
  return { failureDomain: 'd1', isEvacuated, revision: buildRevision(count) };
}

test('evacuated and taken back', () => {
  const known = evacuations.createEvacuations();
  assert.ok(evacuations.applyEvacuation(known, buildChange(5, true), 10));
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
  assert.equal(evacuations.isEvacuated(known, 'd2'), false);
  assert.equal(evacuations.applyEvacuation(known, buildChange(6, true), 20), undefined);
  assert.ok(evacuations.applyEvacuation(known, buildChange(7, false), 30));
  assert.equal(evacuations.isEvacuated(known, 'd1'), false);
  assert.deepEqual(evacuations.findReturn(known, 'd1'), { atMs: 30, revision: buildRevision(7) });
});

test('older word that comes late', () => {
  // Operators have a domain evacuated, take it back and have it evacuated again. The store
  // has dropped its history, and the items are listed page by page: the older changes are
  // read after the last one. Taken in, work would go to a domain that is evacuated.
  const known = evacuations.createEvacuations();
  evacuations.applyEvacuation(known, buildChange(9, true), 0);
  assert.equal(evacuations.applyEvacuation(known, buildChange(7, false), 1), undefined);
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
  evacuations.applyEvacuation(known, buildChange(12, true), 2);
  assert.equal(evacuations.applyEvacuation(known, buildChange(11, false), 3), undefined);
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
  evacuations.applyEvacuation(known, buildChange(13, false), 4);
  assert.equal(evacuations.applyEvacuation(known, buildChange(12, true), 5), undefined);
  assert.equal(evacuations.isEvacuated(known, 'd1'), false);
});

test('list without a domain takes it back', () => {
  const known = evacuations.createEvacuations();
  evacuations.applyEvacuation(known, buildChange(9, true), 0);
  assert.deepEqual(evacuations.listEnded(known, [buildChange(9, true)], buildRevision(10)), []);
  const [ended] = evacuations.listEnded(known, [], buildRevision(10));
  assert.ok(evacuations.applyEvacuation(known, ended, 1));
  assert.equal(evacuations.isEvacuated(known, 'd1'), false);
});

test('list that is older than what is known', () => {
  const known = evacuations.createEvacuations();
  evacuations.applyEvacuation(known, buildChange(9, true), 0);
  const [ended] = evacuations.listEnded(known, [], buildRevision(8));
  assert.equal(evacuations.applyEvacuation(known, ended, 1), undefined);
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
});
