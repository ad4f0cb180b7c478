import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as keyHomes from './key-homes.js';
import * as keyTime from './key-time.js';

/** Builds a document from the versions in which each server was added and removed (0: never). */
function buildDocument(
  version: number,
  settledVersion: number,
  servers: Record<string, [added: number, gone: number]>,
): schema.ServiceDocument {
  return schema.create(schema.ServiceDocumentSchema, {
    version,
    settledVersion,
    backendServers: Object.entries(servers).map(([id, [addedInVersion, goneInVersion]]) => ({
      id,
      addedInVersion,
      goneInVersion,
    })),
  });
}

const KEYS = Array.from({ length: 300 }, (_, index) => `key-${index}`);

nodeTest.test('one home while the members do not change', () => {
  const document = buildDocument(9, 0, { a: [1, 0], b: [1, 0], c: [1, 0] });
  const counts = new Map<string, number>();
  KEYS.forEach((key) => {
    const { homes, lost } = keyHomes.listKeyHomes(document, 'brim', key);
    assert.equal(homes.length, 1);
    assert.equal(lost.length, 0);
    counts.set(homes[0], (counts.get(homes[0]) ?? 0) + 1);
  });
  assert.equal(counts.size, 3);
});

nodeTest.test('overlapping version ranges share a home', () => {
  // Entries have different versions while servers are added and removed. If the version ranges of
  // two entries overlap, they must have a home in common, which may be a lost one.
  const servers = { a: [1, 0], b: [1, 4], c: [2, 0], d: [3, 0], e: [5, 0] } as const;
  const parse = (version: number, settled: number) => {
    const known = Object.entries(servers).filter(([, [added]]) => added <= version);
    const seen = known.map(([id, [added, gone]]) => [id, [added, gone <= version ? gone : 0]]);
    return buildDocument(version, settled, Object.fromEntries(seen));
  };
  const pairs = [1, 2, 3, 4, 5].flatMap((version) =>
    [1, 2, 3, 4, 5].filter((settled) => settled <= version).map((settled) => [version, settled]),
  );
  pairs.forEach(([version, settled]) => {
    pairs
      .filter((other) => other[0] >= settled && version >= other[1])
      .forEach((other) => {
        KEYS.slice(0, 40).forEach((key) => {
          const one = keyHomes.listKeyHomes(parse(version, settled), 'brim', key);
          const two = keyHomes.listKeyHomes(parse(other[0], other[1]), 'brim', key);
          const all = new Set([...two.homes, ...two.lost]);
          const shared = [...one.homes, ...one.lost].some((home) => all.has(home));
          assert.ok(shared, `${key}: ${version}/${settled} and ${other.join('/')}`);
        });
      });
  });
});

nodeTest.test('two documents with the same version give a key the same first home', () => {
  // Two operators publish different servers as version 5, and both declare it settled. The homes of
  // the previous version are the same in both documents, and both must ask them.
  const one = buildDocument(5, 5, { a: [1, 0], b: [1, 0], c: [5, 0] });
  const two = buildDocument(5, 5, { a: [1, 0], b: [1, 0], d: [5, 0] });
  KEYS.forEach((key) => {
    const [first] = keyHomes.listKeyHomes(one, 'brim', key).homes;
    assert.equal(first, keyHomes.listKeyHomes(two, 'brim', key).homes[0]);
  });
});

nodeTest.test('issue time is parsed from a key of UUID version 7 only', () => {
  assert.equal(keyTime.parseKeyIssueTime('0192f3a0-0000-7abc-9def-000000000001'), 0x0192f3a00000);
  assert.equal(keyTime.parseKeyIssueTime('0192f3a0-0000-4abc-9def-000000000001'), 0);
  assert.equal(keyTime.parseKeyIssueTime('order-17'), 0);
});
