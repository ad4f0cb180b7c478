import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as evacuations from './evacuations.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildRevision } = gatewayFixture;

/** Builds a change that starts or ends the evacuation of the failure domain. */
function buildChange(count: number, isEvacuated: boolean): evacuations.EvacuationChange {
  return { failureDomain: 'd1', isEvacuated, revision: buildRevision(count) };
}

test('domain is evacuated and returned to service', () => {
  const known = evacuations.createEvacuations();
  assert.ok(evacuations.applyEvacuation(known, buildChange(5, true), 10));
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
  assert.equal(evacuations.isEvacuated(known, 'd2'), false);
  assert.equal(evacuations.applyEvacuation(known, buildChange(6, true), 20), undefined);
  assert.ok(evacuations.applyEvacuation(known, buildChange(7, false), 30));
  assert.equal(evacuations.isEvacuated(known, 'd1'), false);
  assert.deepEqual(evacuations.findDomainReturn(known, 'd1'), {
    atMs: 30,
    revision: buildRevision(7),
  });
});

test('older change that is read late', () => {
  // Operators evacuate a domain, return it to service and evacuate it again. The store has
  // compacted its history and lists its items page by page, so the older changes are read
  // after the latest one. If they were applied, requests would go to an evacuated domain.
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

test('list without a domain ends its evacuation', () => {
  const known = evacuations.createEvacuations();
  evacuations.applyEvacuation(known, buildChange(9, true), 0);
  assert.deepEqual(evacuations.listEnded(known, [buildChange(9, true)], buildRevision(10)), []);
  const [ended] = evacuations.listEnded(known, [], buildRevision(10));
  assert.ok(evacuations.applyEvacuation(known, ended, 1));
  assert.equal(evacuations.isEvacuated(known, 'd1'), false);
});

test('list that is older than the known evacuation', () => {
  const known = evacuations.createEvacuations();
  evacuations.applyEvacuation(known, buildChange(9, true), 0);
  const [ended] = evacuations.listEnded(known, [], buildRevision(8));
  assert.equal(evacuations.applyEvacuation(known, ended, 1), undefined);
  assert.equal(evacuations.isEvacuated(known, 'd1'), true);
});
