import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as storeEra from './store-era.js';

const { test } = nodeTest;

/** Resolves an era that was told. */
function resolveTold(known: number, era: number): storeEra.ResolvedEra {
  return storeEra.resolveEra(known, { kind: 'told', era });
}

test('first era that is read', () => {
  assert.deepEqual(resolveTold(-1, 7), { era: 7, fault: undefined });
  assert.deepEqual(storeEra.resolveEra(-1, { kind: 'none' }), { era: 0, fault: undefined });
});

test('eras in order', () => {
  assert.deepEqual(resolveTold(3, 3), { era: 3, fault: undefined });
  assert.deepEqual(resolveTold(3, 4), { era: 4, fault: undefined });
  assert.deepEqual(storeEra.resolveEra(0, { kind: 'none' }), { era: 0, fault: undefined });
  assert.deepEqual(resolveTold(0, 5), { era: 5, fault: undefined });
});

test('eras out of order', () => {
  const fell = { kind: 'fell', known: 3, found: '2' };
  assert.deepEqual(resolveTold(3, 2), { era: undefined, fault: fell });
  const jumped = { kind: 'jumped', known: 3, found: '6' };
  assert.deepEqual(resolveTold(3, 6), { era: 6, fault: jumped });
  const unreadable = { kind: 'unreadable', known: 3, found: 'x' };
  const odd = storeEra.resolveEra(3, { kind: 'unreadable', text: 'x' });
  assert.deepEqual(odd, { era: undefined, fault: unreadable });
  const missing = storeEra.resolveEra(3, { kind: 'none' });
  assert.deepEqual(missing, { era: undefined, fault: { ...unreadable, found: '' } });
});
