import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fleetReplay from './fleet-replay.js';
import * as gatewayPolicy from './gateway-policy.js';
import type * as load from './load.js';
import * as partPolicy from './part-policy.js';
import * as settings from './settings.js';

const { test } = nodeTest;
const SEEDS = [1, 2, 3];
const MAX_LATE = 3;

/** Returns a setting by its name. */
function findSetting(name: string): load.Setting {
  return settings.SETTINGS.find((one) => one.name === name) as load.Setting;
}

/** Replays a setting with the decisions of gateways. */
function runGateways(setting: load.Setting, seed: number): fleetReplay.ReplayResult {
  const createPolicy = gatewayPolicy.createGatewayPolicy(setting.gateways);
  return fleetReplay.runReplay({ setting, createPolicy, seed });
}

/** Expects that a setting stays within the bounds with a seed. */
function expectBounds(name: string, seed: number): void {
  const setting = findSetting(name);
  const { late, sent, served } = runGateways(setting, seed);
  assert.ok(late <= MAX_LATE, `${name}, seed ${seed}: ${late} late`);
  const calm = runGateways({ ...setting, crashingAtOnce: undefined }, seed);
  const calmShare = calm.servedOverall / calm.sentOverall;
  assert.ok(served >= (calmShare / 2) * sent, `${name}, seed ${seed}: ${served} of ${sent} served`);
}

/** Expects that nearly no sound request is refused. */
function expectFewRefused(name: string, seed: number): void {
  const { refused, sentOverall } = runGateways(findSetting(name), seed);
  assert.ok(refused < sentOverall / 100, `${name}, seed ${seed}: ${refused} refused`);
}

// Guards against a count of losses that takes requests which arrive together as one.
test('few requests with a crashing part are late although they come in parallel', () => {
  SEEDS.forEach((seed) => expectBounds('six at once, slow', seed));
});

// Guards against losses that many gateways learn of late.
test('few requests with a crashing part are late at many gateways', () => {
  expectBounds('26 gateways, six at once', 2);
});

// Guards against losses that are known only when runs at silent servers are given up.
test('few requests with a crashing part are late where servers fall silent', () => {
  expectBounds('silent servers', 1);
});

// Guards against a blame of parts that are in all prompts while nearly all servers are lost.
test('parts of all prompts are not refused although most servers are lost', () => {
  expectFewRefused('six at once', 1);
});

// Guards against a blame of rare parts that were at lost servers beside the cause.
test('parts beside the cause are not refused', () => {
  expectFewRefused('silent servers', 3);
});

// Guards against refusals when servers are lost without a cause.
test('few requests are refused where no part crashes servers', () => {
  expectFewRefused('no cause, a third silent', 1);
});

test('the load breaks the bounds if everything is admitted', () => {
  const setting = findSetting('part in the middle');
  const { createOpenPolicy: createPolicy } = partPolicy;
  const { late, served, sent } = fleetReplay.runReplay({ setting, createPolicy, seed: 1 });
  assert.ok(late > MAX_LATE);
  assert.ok(served < sent / 2);
});
