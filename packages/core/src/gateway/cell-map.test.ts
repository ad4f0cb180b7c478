import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import * as serverEntries from './server-entries.js';
import * as cellMap from './cell-map.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const SERVICE = 'one';

/** Adds the store entries of several backend servers. */
function addServers(servers: backendServers.BackendServers, from: number, until: number): void {
  Array.from({ length: until - from }, (_, index) =>
    serverEntries.applyEntry(servers, gatewayFixture.buildEntry(`server-${from + index}`), 0),
  );
}

/** Computes the cells of all backend servers without a cache. */
function computeUncached(servers: backendServers.BackendServers): Map<string, string> {
  const ids = backendServers.listIds(servers, SERVICE);
  const cellNames = scheduler.listCellNames(SERVICE, ids.length);
  return new Map(ids.map((id) => [id, scheduler.findCell(cellNames, id)]));
}

test('cached cells match freshly computed ones', () => {
  // Backend servers come and go, and the number of cells changes with them. Two gateways that
  // saw different intermediate numbers must compute the same cells; otherwise one cell would
  // have two queues.
  const servers = backendServers.createBackendServers();
  const knownCells = cellMap.createCellMap();
  const expectSame = () =>
    assert.deepEqual(
      cellMap.getServiceCells(knownCells, servers, SERVICE, 0).cellByServer,
      computeUncached(servers),
    );
  addServers(servers, 0, 200);
  expectSame();
  addServers(servers, 200, 210);
  expectSame();
  addServers(servers, 210, 400);
  expectSame();
  ['server-3', 'server-399'].forEach((id) => serverEntries.removeEntry(servers, id, 0));
  expectSame();
});
