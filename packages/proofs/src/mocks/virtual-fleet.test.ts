import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as callPayload from './call-payload.js';
import * as exampleDocument from './example-document.js';
import * as fleetState from './fleet-state.js';
import * as virtualCallers from './virtual-callers.js';
import * as virtualFleet from './virtual-fleet.js';
import * as virtualPlatform from './virtual-platform.js';

const SERVICE = 'brimwit';

function startFleet(seed: number): fleetState.VirtualFleet {
  const fleet = virtualFleet.createVirtualFleet({ seed, service: SERVICE });
  const agents = fleet.options.agentIds.map((id) => ({
    id,
    address: fleetState.getAddress(fleet, id),
  }));
  virtualPlatform.publishDocument(
    fleet.platform,
    exampleDocument.buildDocument(SERVICE, 1, agents),
  );
  virtualFleet.advanceFleet(fleet, 2000);
  return fleet;
}

function buildPlan(contentId: string, stream: boolean): virtualCallers.CallPlan {
  return {
    service: SERVICE,
    path: '/v1/chat/completions',
    token: 'brim-stall',
    key: '',
    timeoutMs: 10_000,
    payload: { contentId, promptTokens: 900, answerTokens: 10, stream, crash: false },
    prefixHashes: [],
  };
}

function runCalls(seed: number): fleetState.VirtualFleet {
  const fleet = startFleet(seed);
  ['a', 'b', 'c', 'd'].forEach((id, index) => {
    virtualFleet.sendCall(fleet, fleet.options.entryIds[index % 2], buildPlan(id, index > 1));
  });
  virtualFleet.advanceFleet(fleet, 5000);
  return fleet;
}

nodeTest.test('each call gets its own whole answer', () => {
  const fleet = runCalls(1);
  fleet.calls.forEach((call) => {
    assert.deepEqual(call.outcomes, [{ kind: 'completed' }]);
    assert.equal(call.text, callPayload.buildCompleteResponse(call.plan.payload));
  });
});

nodeTest.test('one seed gives one run', () => {
  const [one, same] = [runCalls(7), runCalls(7)];
  assert.deepEqual(
    one.calls.map((call) => call.endedMs),
    same.calls.map((call) => call.endedMs),
  );
  assert.equal(one.eventCount, same.eventCount);
});
