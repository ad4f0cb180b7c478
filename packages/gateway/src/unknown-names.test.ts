import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as unknownNames from './unknown-names.js';

const { test } = nodeTest;

test('the number of names is limited, and each is logged once an hour', () => {
  // Guards against memory and logs that grow without limit when a peer sends made-up names.
  const names: unknownNames.UnknownNames = new Map();
  const lines: string[] = [];
  const log = { write: () => {}, writeAlways: (event: string) => lines.push(event) };
  const found = Array.from({ length: 50 }, (_, index) => ({ place: 'entry', name: `n${index}` }));
  unknownNames.recordUnknownNames(names, log, found, 0);
  unknownNames.recordUnknownNames(names, log, found, 1000);
  assert.equal(names.size, 32);
  assert.equal(lines.length, 32);
  unknownNames.recordUnknownNames(names, log, found.slice(0, 1), 3_600_000);
  assert.equal(lines.length, 33);
  assert.equal(unknownNames.listUnknownNames(names)[0].count, 3);
});
