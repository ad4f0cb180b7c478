import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as rendezvous from './rendezvous.js';

const { test } = nodeTest;
const KEYS = ['one/0', 'one/1', 'two/0'];

/** Builds the ids with numbers from `from` up to but not including `to`. */
function buildIds(from: number, to: number): string[] {
  return Array.from({ length: to - from }, (_, index) => `10.0.0.${from + index}:1`);
}

test('updated ranking equals a new one', () => {
  // Guards against a ranking of schedulers that depends on the order in which they became known.
  KEYS.forEach((key) => {
    const ranked = rendezvous.rankScored(key, buildIds(0, 60));
    const gone = new Set(buildIds(10, 25));
    const added = buildIds(60, 90);
    const updated = rendezvous.updateRanked(key, ranked, added, gone);
    const ids = [...buildIds(0, 10), ...buildIds(25, 60), ...added];
    assert.deepEqual(updated, rendezvous.rankScored(key, ids));
  });
});

test('updated ranking may start or end empty', () => {
  const ids = buildIds(0, 5);
  const ranked = rendezvous.updateRanked('one/0', [], ids, new Set());
  assert.deepEqual(ranked, rendezvous.rankScored('one/0', ids));
  assert.deepEqual(rendezvous.updateRanked('one/0', ranked, [], new Set(ids)), []);
});
