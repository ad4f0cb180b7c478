import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import * as serverEntries from './server-entries.js';
import * as cellMap from './cell-map.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const SERVICE = 'one';

/** Takes in the entries of some backend servers. */
function addServers(servers: backendServers.BackendServers, from: number, until: number): void {
  Array.from({ length: until - from }, (_, index) =>
    serverEntries.applyEntry(servers, gatewayFixture.buildEntry(`server-${from + index}`), 0),
  );
}

/** Lists the cells of all backend servers, worked out without anything kept. */
function listAnew(servers: backendServers.BackendServers): Map<string, string> {
  const ids = backendServers.listIds(servers, SERVICE);
  const cellNames = scheduler.listCellNames(SERVICE, ids.length);
  return new Map(ids.map((id) => [id, scheduler.findCell(cellNames, id)]));
}

test('cells that are kept are those that would be found', () => {
  // Backend servers come and go, and with them the number of cells. Two gateways that have
  // seen different numbers in between must find the same cells, or a cell has two lines.
  const servers = backendServers.createBackendServers();
  const split = cellMap.createCellMap();
  const expectSame = () =>
    assert.deepEqual(
      cellMap.getServiceCells(split, servers, SERVICE, 0).cellByServer,
      listAnew(servers),
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
