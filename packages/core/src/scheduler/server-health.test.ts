import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as candidates from './candidates.js';
import * as cells from './cell.js';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as serverHealth from './server-health.js';

const { test } = nodeTest;

/** Records four failures in a row at a backend server. */
function failOften(cell: cells.Cell, id: string, now: number): void {
  const health = cells.getServerHealth(cell, id);
  [1, 2, 3, 4].forEach(() => serverHealth.recordAnswer(health, false, now));
}

/** Lists the backend servers that may get requests; the first has `atFirst` in flight. */
function listIds(cell: cells.Cell, ids: string[], now: number, atFirst = 0): string[] {
  const entries = ids.map((id) => gatewayFixture.buildEntry(id));
  const taken = new Map([[ids[0], atFirst]]);
  return candidates
    .listCandidates(cell, schedulerFixture.buildServers(entries), taken, now)
    .map(({ id }) => id);
}

test('server that fails immediately is ejected', () => {
  // A backend server that fails every request immediately always has the fewest in flight and
  // would attract the requests of all others. It must be ejected, then tried with one request at a
  // time, and be used normally again after one that succeeds.
  const ids = ['a', 'bb', 'ccc'];
  const cell = cells.createCell('one/0', 0);
  failOften(cell, 'a', 0);
  assert.deepEqual(listIds(cell, ids, 10), ['bb', 'ccc']);
  const health = cells.getServerHealth(cell, 'a');
  assert.deepEqual(listIds(cell, ids, 600), ['a', 'bb', 'ccc']);
  assert.deepEqual(listIds(cell, ids, 600, 1), ['bb', 'ccc']);
  serverHealth.recordAnswer(health, false, 700);
  assert.deepEqual(listIds(cell, ids, 1600), ['bb', 'ccc']);
  assert.deepEqual(listIds(cell, ids, 1800), ['a', 'bb', 'ccc']);
  serverHealth.recordAnswer(health, true, 1900);
  assert.deepEqual(listIds(cell, ids, 1900, 1), ['a', 'bb', 'ccc']);
});

test('no server is ejected if most of them fail', () => {
  // A faulty release responds to every request with an error. Waiting would not help; callers must
  // get the error at once, and the first good response must be noticed at once.
  const ids = ['a', 'bb', 'ccc'];
  const cell = cells.createCell('one/0', 0);
  ['a', 'bb'].forEach((id) => failOften(cell, id, 0));
  assert.deepEqual(listIds(cell, ids, 10), ['a', 'bb', 'ccc']);
});

test('one failure among good responses ejects no server', () => {
  const ids = ['a', 'bb'];
  const cell = cells.createCell('one/0', 0);
  const health = cells.getServerHealth(cell, 'a');
  [true, false, true, true].forEach((good) => serverHealth.recordAnswer(health, good, 0));
  assert.deepEqual(listIds(cell, ids, 10), ['a', 'bb']);
});
