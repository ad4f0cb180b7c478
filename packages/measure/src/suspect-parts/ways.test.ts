import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as fleetReplay from './fleet-replay.js';
import * as load from './load.js';
import * as ways from './ways.js';

const { test } = nodeTest;
const RUN_MS = 100;
const SETTLED_MS = 1000;

/** Creates the likelihood policy of one gateway, with some sound runs. */
function createLikelihood(): fleetReplay.PartPolicy {
  const policy = ways.WAYS.likelihood(1)(0, () => 0);
  for (let run = 0; run < 100; run += 1) {
    policy.noteSound(['first', 'w0', `s${run}`], run);
  }
  return policy;
}

/** Loses a run with the cause at each of some servers, and runs with other parts beside it. */
function endServers(
  policy: fleetReplay.PartPolicy,
  servers: number,
  beside: readonly string[],
  fromMs = SETTLED_MS,
): void {
  for (let server = 0; server < servers; server += 1) {
    const lostMs = fromMs + server * 200;
    const run = { serverId: `server-${fromMs}-${server}`, lostMs, isSilent: false };
    const parts = ['first', load.CAUSE];
    policy.noteLost({ ...run, parts, sentMs: lostMs - RUN_MS }, lostMs);
    policy.noteLost({ ...run, parts: beside, sentMs: lostMs - RUN_MS }, lostMs);
    policy.noteSound(['first', 'w0'], lostMs + 1);
    policy.collect(false, lostMs + RUN_MS);
  }
}

test('likelihood refuses the part whose runs are all lost', () => {
  const policy = createLikelihood();
  endServers(policy, 1, ['first', 'w0']);
  assert.equal(policy.admit([load.CAUSE], 1200), 'run');
  endServers(policy, 5, ['first', 'w0'], 1200);
  assert.equal(policy.admit(['first', load.CAUSE], 2400), 'refuse');
  assert.equal(policy.admit(['first', 'w0'], 2400), 'run');
});

// Guards against parts that are refused as they ran beside the cause.
test('likelihood explains losses by the most likely part', () => {
  const policy = createLikelihood();
  endServers(policy, 5, ['first', 's200']);
  endServers(policy, 5, ['first', 'w0'], 2200);
  assert.equal(policy.admit([load.CAUSE], 3000), 'refuse');
  assert.equal(policy.admit(['first', 's200'], 3000), 'run');
});

// Guards against refusals when many servers are lost together for another reason.
test('likelihood counts little when most runs are lost', () => {
  const policy = ways.WAYS.likelihood(1)(0, () => 0);
  for (let server = 0; server < 3; server += 1) {
    for (let one = 0; one < 20; one += 1) {
      const run = { serverId: `server-${server}`, lostMs: SETTLED_MS, isSilent: false };
      const sentMs = SETTLED_MS - RUN_MS;
      policy.noteLost({ ...run, parts: ['first', `s${one}`], sentMs }, SETTLED_MS);
    }
  }
  policy.collect(false, SETTLED_MS + RUN_MS);
  assert.equal(policy.admit(['first', 's0'], SETTLED_MS + RUN_MS), 'run');
});
