import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as storeEpoch from './store-epoch.js';

const { test } = nodeTest;

/** Resolves an epoch that the store reported. */
function resolveReported(known: number, epoch: number): storeEpoch.ResolvedEpoch {
  return storeEpoch.resolveEpoch(known, { kind: 'told', epoch });
}

test('first epoch is accepted as reported, or is 0 if none is reported', () => {
  assert.deepEqual(resolveReported(-1, 7), { epoch: 7, fault: undefined });
  assert.deepEqual(storeEpoch.resolveEpoch(-1, { kind: 'none' }), { epoch: 0, fault: undefined });
});

test('epoch that stays the same or increases is accepted', () => {
  assert.deepEqual(resolveReported(3, 3), { epoch: 3, fault: undefined });
  assert.deepEqual(resolveReported(3, 4), { epoch: 4, fault: undefined });
  assert.deepEqual(storeEpoch.resolveEpoch(0, { kind: 'none' }), { epoch: 0, fault: undefined });
  assert.deepEqual(resolveReported(0, 5), { epoch: 5, fault: undefined });
});

test('epoch that decreases, skips a value or is unreadable is a fault', () => {
  const fell = { kind: 'fell', known: 3, found: '2' };
  assert.deepEqual(resolveReported(3, 2), { epoch: undefined, fault: fell });
  const jumped = { kind: 'jumped', known: 3, found: '6' };
  assert.deepEqual(resolveReported(3, 6), { epoch: 6, fault: jumped });
  const unreadable = { kind: 'unreadable', known: 3, found: 'x' };
  const odd = storeEpoch.resolveEpoch(3, { kind: 'unreadable', text: 'x' });
  assert.deepEqual(odd, { epoch: undefined, fault: unreadable });
  const missing = storeEpoch.resolveEpoch(3, { kind: 'none' });
  assert.deepEqual(missing, { epoch: undefined, fault: { ...unreadable, found: '' } });
});
