import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as randomSource from './mocks/random-source.js';

const { test } = nodeTest;
const GATEWAYS = 6;
const SLOTS = 3;
const ROUND_MS = 100;
const ROUNDS = 60;
/** Calls of one round at most, and the share of rounds with a fault. */
const MOST_CALLS = 12;
const FAULT_SHARE = 0.3;
/** Time in which everything is settled after the last call, milliseconds. */
const SETTLE_MS = 12_000;

type Fleet = gatewayFleetState.GatewayFleet;
type Fault = (fleet: Fleet, one: number, other: number) => void;

const FAULTS: Fault[] = [
  (fleet, one) => gatewayFaults.restartGateway(fleet, one),
  (fleet, one) => gatewayFaults.pauseGateway(fleet, one, 100 + 1500 * fleet.draw()),
  (fleet, one, other) => gatewayFaults.setCut(fleet, one, other, true),
  (fleet, one, other) => gatewayFaults.setCut(fleet, other, one, true),
  (fleet) => fleet.cuts.clear(),
  (fleet) => fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index)),
];

/** Runs calls and faults by a seed, until all is settled; lists the calls by gateway life. */
function runRandom(seed: number): {
  fleet: Fleet;
  calls: Map<string, gatewayFleetState.CallOrigin>;
} {
  const fleet = gatewayFleet.createFleet({
    gateways: GATEWAYS,
    servers: 4,
    slots: SLOTS,
    lossShare: 0.02,
    seed,
  });
  const calls = new Map<string, gatewayFleetState.CallOrigin>();
  for (let round = 0; round < ROUNDS; round += 1) {
    const count = Math.floor(fleet.draw() * MOST_CALLS);
    for (let call = 0; call < count; call += 1) {
      const index = Math.floor(fleet.draw() * GATEWAYS);
      const { life } = fleet.states[index];
      calls.set(gatewayFleet.addCall(fleet, index, call % 3), { index, life });
    }
    if (fleet.draw() < FAULT_SHARE) {
      const [one, other] = [0, 0].map(() => Math.floor(fleet.draw() * GATEWAYS));
      randomSource.drawFrom(fleet.draw, FAULTS)(fleet, one, other);
    }
    gatewayFleet.runFleet(fleet, ROUND_MS);
  }
  gatewayFleet.runFleet(fleet, SETTLE_MS);
  return { fleet, calls };
}

test('schedulers and gateways under random faults', () => {
  // Gateways restart, alone and all at once, are suspended and cut off one way or both,
  // while datagrams are lost. Each call of a gateway that lives on is settled once, sent
  // or refused, in its time; none is sent twice or after it was refused.
  for (let seed = 1; seed <= 12; seed += 1) {
    const { fleet, calls } = runRandom(seed);
    const sent = fleet.sent.map(({ attemptId }) => attemptId);
    const refused = fleet.refused.map(({ attemptId }) => attemptId);
    const settled = [...sent, ...refused];
    assert.equal(new Set(settled).size, settled.length, `settled twice, seed ${seed}`);
    const lost = [...calls]
      .filter(([, { index, life }]) => fleet.states[index].life === life)
      .filter(([attemptId]) => !settled.includes(attemptId));
    assert.deepEqual(lost, [], `never settled, seed ${seed}`);
    assert.ok(sent.length > calls.size / 4, `${sent.length} of ${calls.size}, seed ${seed}`);
    fleet.states.forEach(({ requests, inFlight }) => {
      assert.equal(requests.size, 0, `kept, seed ${seed}`);
      assert.equal(inFlight.size, 0, `in flight, seed ${seed}`);
    });
  }
});

test('places hold again once the faults are over', () => {
  // After all of that a burst comes in at every gateway: the places of all hold exactly,
  // so that no scheduler has kept a wrong count.
  for (let seed = 21; seed <= 24; seed += 1) {
    const { fleet } = runRandom(seed);
    fleet.cuts.clear();
    gatewayFleet.runFleet(fleet, 3000);
    fleet.mostAtServer = 0;
    const before = fleet.sent.length;
    for (let call = 0; call < 60; call += 1) {
      gatewayFleet.addCall(fleet, call % GATEWAYS);
    }
    gatewayFleet.runFleet(fleet, 2000);
    assert.equal(fleet.mostAtServer, SLOTS, `seed ${seed}`);
    assert.ok(fleet.sent.length - before >= 40, `${fleet.sent.length - before}, seed ${seed}`);
  }
});
