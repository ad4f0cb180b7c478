import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as prefixHashes from './prefix-hashes.js';

nodeTest.test('prompts share the hashes of their common prefixes', () => {
  const common = 'x'.repeat(3000);
  const one = prefixHashes.hashPromptPrefixes({ prompt: `${common}${'a'.repeat(3000)}` });
  const two = prefixHashes.hashPromptPrefixes({ prompt: `${common}${'b'.repeat(3000)}` });
  assert.equal(one.length, 3);
  assert.deepEqual(one.slice(0, 2), two.slice(0, 2));
  assert.notEqual(one[2], two[2]);
  assert.deepEqual(prefixHashes.hashPromptPrefixes({ prompt: 'short' }), []);
  assert.deepEqual(prefixHashes.hashPromptPrefixes({}), []);
});
