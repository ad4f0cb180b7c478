import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as faultPairs from './fault-pairs.js';
import * as namedFaults from './named-faults.js';
import * as pairCells from './pair-cells.js';

const ROOT = url.fileURLToPath(new URL('../../../../', import.meta.url));

/** Reads all tests of the packages. */
function readTests(): string {
  return ['packages', 'platform']
    .flatMap((folder) =>
      fs
        .readdirSync(path.join(ROOT, folder), { recursive: true, encoding: 'utf8' })
        .filter((file) => /(^|\/)src\/.*\.test\.ts$/.test(file))
        .map((file) => fs.readFileSync(path.join(ROOT, folder, file), 'utf8')),
    )
    .join('\n');
}

// Guards against cells that name a test which was renamed or removed.
nodeTest.test('each cell names a test that exists', () => {
  const tests = readTests();
  const missing = pairCells.TESTED.filter(({ test }) => !tests.includes(`test('${test}'`));
  assert.deepEqual(missing, []);
});

nodeTest.test('the soak draws pairs that no test and no seed plays', () => {
  const cells = faultPairs.listCells();
  const count = namedFaults.FAULT_NAMES.length;
  assert.equal(cells.length, (count * (count - 1)) / 2);
  const filled = cells.filter((cell) => !faultPairs.isEmpty(cell)).map(({ pair }) => pair.join());
  assert.ok(filled.length > 0);
  const drawn = faultPairs.listDrawn().map((pair) => pair.join());
  assert.deepEqual(
    drawn.filter((pair) => filled.includes(pair)),
    [],
  );
});
