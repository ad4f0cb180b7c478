import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';

const DOCS = new URL('../../../docs/', import.meta.url);
const BLOCK_PATTERN = /```json (\w+)\n([^]*?)```/g;

const PARSERS: Record<string, (json: string) => schema.Parsed<unknown>> = {
  entry: schema.parseEntrySettings,
  agent: schema.parseAgentSettings,
  document: schema.parseDocument,
};

/** Reads one page. */
function readPage(name: string): string {
  return fs.readFileSync(new URL(name, DOCS), 'utf8');
}

nodeTest.test('operations: the files shown have no fault', () => {
  const blocks = [...readPage('OPERATIONS.md').matchAll(BLOCK_PATTERN)];
  assert.deepEqual(blocks.map(([, kind]) => kind).sort(), ['agent', 'document', 'entry']);
  blocks.forEach(([, kind, json]) => {
    const parsed = PARSERS[kind](json);
    assert.deepEqual(parsed.kind === 'faulty' ? parsed.faults : [], [], kind);
  });
});

nodeTest.test('operations: every metric is listed', () => {
  const page = readPage('OPERATIONS.md');
  const rows = [...page.matchAll(/^\| `(\w+)` +\| (counter|gauge|summary) /gm)];
  const listed = rows.map(([, name, type]) => [name, type]).sort();
  const known = Object.entries(runtime.METRIC_DEFINITIONS).map(([name, one]) => [name, one.type]);
  assert.deepEqual(listed, known.sort());
});

nodeTest.test('names: verbs are listed, sorted and single', () => {
  const verbs = JSON.parse(readPage('verbs.json')) as string[];
  assert.deepEqual(verbs, [...new Set(verbs)].sort());
  const rows = readPage('NAMES.md')
    .split('\n')
    .filter((line) => line.startsWith('| `'));
  const explained = rows.flatMap((row) =>
    [...row.split('|')[1].matchAll(/`(\w+)`/g)].map(([, verb]) => verb),
  );
  assert.ok(explained.length > 0);
  assert.deepEqual(
    explained.filter((verb) => !verbs.includes(verb)),
    [],
  );
});
