import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellSplit from './cell-split.js';

const { test } = nodeTest;

/** Builds ids of backend servers. */
function buildIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `server-${index}`);
}

test('a few servers are one cell, many are several', () => {
  assert.deepEqual(cellSplit.listCellNames('one', 0), ['one/0']);
  assert.deepEqual(cellSplit.listCellNames('one', 13), ['one/0']);
  assert.equal(cellSplit.listCellNames('one', 600).length, 15);
  assert.equal(cellSplit.parseCellService('a/b/3'), 'a/b');
});

test('adding a server moves no other server', () => {
  // Guards against an assignment by consecutive numbers: when a backend server is added, most
  // servers would move to another cell, whose scheduler knows nothing of their engines.
  const before = cellSplit.listCellNames('one', 120);
  const after = cellSplit.listCellNames('one', 121);
  assert.deepEqual(before, after);
  const moved = buildIds(120).filter(
    (id) => cellSplit.findCell(before, id) !== cellSplit.findCell(after, id),
  );
  assert.deepEqual(moved, []);
});

test('removing a gateway moves only the cells that it scheduled', () => {
  const gateways = Array.from({ length: 10 }, (_, index) => `10.0.0.${index}:1`);
  const cells = cellSplit.listCellNames('one', 600);
  cells.forEach((cell) => {
    const [{ id: first }, { id: second }] = cellSplit.rankSchedulers(cell, gateways);
    const left = gateways.filter((one) => one !== first);
    assert.equal(cellSplit.rankSchedulers(cell, left)[0].id, second);
    const others = gateways.filter((one) => one !== second);
    assert.equal(cellSplit.rankSchedulers(cell, others)[0].id, first);
  });
});
