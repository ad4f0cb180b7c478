import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as documentProtocol from './document-protocol.js';
import * as explore from './explore.js';

/** Asserts that exploring finds a fault once a safeguard is disabled. */
function expectFault(safeguard: keyof documentProtocol.Safeguards, fault: string): void {
  const safeguards = { ...documentProtocol.ALL_SAFEGUARDS, [safeguard]: false };
  const specification = documentProtocol.buildDocumentSpecification(safeguards, 1);
  assert.deepEqual(explore.explore(specification).broken?.properties, [fault]);
}

nodeTest.test('document model, one restart', () => {
  const { ALL_SAFEGUARDS } = documentProtocol;
  const specification = documentProtocol.buildDocumentSpecification(ALL_SAFEGUARDS, 1);
  const { states, broken } = explore.explore(specification);
  assert.equal(broken, undefined);
  assert.equal(states, 36426);
});

nodeTest.test('document model that takes any version', () =>
  expectFault('versionsOnlyUp', 'version went down'),
);

nodeTest.test('document model where a leaving agent starts work', () =>
  expectFault('leavingRefuses', 'started while leaving'),
);

nodeTest.test('document model that offers before a peer has shown its version', () =>
  expectFault('waitsForPeer', 'offered on an older document'),
);
