import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';

const DOCS = new URL('../../../docs/', import.meta.url);
const BLOCK_PATTERN = /```json (\w+)\n([^]*?)```/g;

const PARSERS: Record<string, (json: string) => schema.ParseResult<unknown>> = {
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

nodeTest.test('operations: every log event is listed', () => {
  const root = new URL('../', DOCS);
  const sources = ['core', 'runtime', 'entry', 'agent', 'gateway'].flatMap((name) => {
    const folder = new URL(`packages/${name}/src/`, root);
    return fs
      .readdirSync(folder, { recursive: true })
      .map(String)
      .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
      .map((file) => fs.readFileSync(new URL(file, folder), 'utf8'));
  });
  const written = [
    ...sources
      .join('\n')
      .matchAll(/(?:logDecision\(\s*|event: |log\.write(?:Always)?\(\s*)'([a-z-]+)'/g),
  ];
  const rows = readPage('OPERATIONS.md').split('\n');
  const listed = rows
    .filter((row) => /^\| `.*\| (both|entry|agent|gateway) /.test(row))
    .flatMap((row) => [...row.split('|')[1].matchAll(/`([a-z-]+)`/g)].map(([, name]) => name));
  const missing = written.map(([, name]) => name).filter((name) => !listed.includes(name));
  assert.deepEqual(missing, []);
});

type Manifest = {
  dependencies?: Record<string, string>;
  devDependencies?: Record<string, string>;
};

nodeTest.test('dependencies: each is listed with its version', () => {
  const root = new URL('../', DOCS);
  const folders = fs.readdirSync(new URL('packages/', root)).map((name) => `packages/${name}/`);
  const manifests = ['', ...folders, 'platform/'].map(
    (folder) =>
      JSON.parse(fs.readFileSync(new URL(`${folder}package.json`, root), 'utf8')) as Manifest,
  );
  const used = manifests
    .flatMap((one) => Object.entries({ ...one.dependencies, ...one.devDependencies }))
    .filter(([name]) => !name.startsWith('@toucanproxy/'));
  const rows = readPage('DEPENDENCIES.md')
    .split('\n')
    .filter((line) => line.startsWith('| `'));
  used.forEach(([name, version]) => {
    const row = rows.find((line) => line.startsWith(`| \`${name}\` `));
    assert.ok(row?.split('|')[2].includes(version), `${name} ${version}`);
  });
  assert.equal(rows.length, new Set(used.map(([name]) => name)).size);
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
