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
/** Upper bound (exclusive) of the calls in one round. */
const MAX_CALLS_PER_ROUND = 12;
/** Share of the rounds in which a fault is injected. */
const FAULT_SHARE = 0.3;
/** Time after the last round in which every call ends, milliseconds. */
const SETTLE_MS = 12_000;

type Fleet = gatewayFleetState.GatewayFleet;
type Fault = (fleet: Fleet, one: number, other: number) => void;

const FAULTS: Fault[] = [
  (fleet, one) => gatewayFaults.restartGateway(fleet, one),
  (fleet, one) => gatewayFaults.pauseGateway(fleet, one, 100 + 1500 * fleet.drawRandom()),
  (fleet, one, other) => gatewayFaults.setPathBlocked(fleet, one, other, true),
  (fleet, one, other) => gatewayFaults.setPathBlocked(fleet, other, one, true),
  (fleet) => fleet.blockedPaths.clear(),
  (fleet) => fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index)),
];

/** Runs random calls and faults from a seed until all calls have ended; returns their origins. */
function runRandomFaults(seed: number): {
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
    const count = Math.floor(fleet.drawRandom() * MAX_CALLS_PER_ROUND);
    for (let call = 0; call < count; call += 1) {
      const index = Math.floor(fleet.drawRandom() * GATEWAYS);
      const { life } = fleet.states[index];
      calls.set(gatewayFleet.addCall(fleet, index, call % 3), { index, life });
    }
    if (fleet.drawRandom() < FAULT_SHARE) {
      const [one, other] = [0, 0].map(() => Math.floor(fleet.drawRandom() * GATEWAYS));
      randomSource.drawFrom(fleet.drawRandom, FAULTS)(fleet, one, other);
    }
    gatewayFleet.runFleet(fleet, ROUND_MS);
  }
  gatewayFleet.runFleet(fleet, SETTLE_MS);
  return { fleet, calls };
}

test('schedulers and gateways under random faults', () => {
  // Gateways are restarted, one or all at once, suspended, and partitioned in one or both
  // directions, while datagrams are lost. Each call of a gateway that was not restarted
  // since is either sent or refused, in time and exactly once.
  for (let seed = 1; seed <= 12; seed += 1) {
    const { fleet, calls } = runRandomFaults(seed);
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

test('places are exact again once the faults are over', () => {
  // After the random faults a burst arrives at every gateway. The peak concurrency is exactly
  // the number of places, which shows that no scheduler has kept a wrong count.
  for (let seed = 21; seed <= 24; seed += 1) {
    const { fleet } = runRandomFaults(seed);
    fleet.blockedPaths.clear();
    gatewayFleet.runFleet(fleet, 3000);
    fleet.peakConcurrency = 0;
    const before = fleet.sent.length;
    for (let call = 0; call < 60; call += 1) {
      gatewayFleet.addCall(fleet, call % GATEWAYS);
    }
    gatewayFleet.runFleet(fleet, 2000);
    assert.equal(fleet.peakConcurrency, SLOTS, `seed ${seed}`);
    assert.ok(fleet.sent.length - before >= 40, `${fleet.sent.length - before}, seed ${seed}`);
  }
});
