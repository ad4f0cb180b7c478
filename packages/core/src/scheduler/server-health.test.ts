import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as candidates from './candidates.js';
import * as cells from './cell.js';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerBench from './mocks/scheduler-bench.js';
import * as serverHealth from './server-health.js';

const { test } = nodeTest;

/** Lets a backend server fail a few requests in a row. */
function failOften(cell: cells.Cell, id: string, now: number): void {
  const load = cells.getServerHealth(cell, id);
  [1, 2, 3, 4].forEach(() => serverHealth.recordAnswer(load, false, now));
}

/** Lists the backend servers that may get work. */
function listIds(cell: cells.Cell, ids: string[], now: number, atFirst = 0): string[] {
  const entries = ids.map((id) => gatewayFixture.buildEntry(id));
  const taken = new Map([[ids[0], atFirst]]);
  return candidates
    .listCandidates(cell, schedulerBench.buildServers(entries), taken, now)
    .map(({ id }) => id);
}

test('server that fails at once gets no stream of work', () => {
  // A backend server fails everything at once and so is always the emptiest: it
  // draws the requests of all others. It is left out, then tried with one request
  // at a time, and is back after one that succeeds.
  const ids = ['a', 'bb', 'ccc'];
  const cell = cells.createCell('one/0', 0);
  failOften(cell, 'a', 0);
  assert.deepEqual(listIds(cell, ids, 10), ['bb', 'ccc']);
  const load = cells.getServerHealth(cell, 'a');
  assert.deepEqual(listIds(cell, ids, 600), ['a', 'bb', 'ccc']);
  assert.deepEqual(listIds(cell, ids, 600, 1), ['bb', 'ccc']);
  serverHealth.recordAnswer(load, false, 700);
  assert.deepEqual(listIds(cell, ids, 1600), ['bb', 'ccc']);
  assert.deepEqual(listIds(cell, ids, 1800), ['a', 'bb', 'ccc']);
  serverHealth.recordAnswer(load, true, 1900);
  assert.deepEqual(listIds(cell, ids, 1900, 1), ['a', 'bb', 'ccc']);
});

test('where most servers fail none is ejected', () => {
  // A release answers everything with an error. Waiting would help nobody; callers
  // get the error at once, and one good answer is seen at once.
  const ids = ['a', 'bb', 'ccc'];
  const cell = cells.createCell('one/0', 0);
  ['a', 'bb'].forEach((id) => failOften(cell, id, 0));
  assert.deepEqual(listIds(cell, ids, 10), ['a', 'bb', 'ccc']);
});

test('one failure among good answers ejects nothing', () => {
  const ids = ['a', 'bb'];
  const cell = cells.createCell('one/0', 0);
  const load = cells.getServerHealth(cell, 'a');
  [true, false, true, true].forEach((good) => serverHealth.recordAnswer(load, good, 0));
  assert.deepEqual(listIds(cell, ids, 10), ['a', 'bb']);
});
