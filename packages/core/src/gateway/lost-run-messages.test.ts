import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as schema from '@toucanproxy/schema';
import type * as gatewayState from './gateway-state.js';
import * as lostRunMessages from './lost-run-messages.js';
import * as lostRuns from './lost-runs.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
/** Runs that break when a server is lost, of which one belongs to its cause. */
const BROKEN_RUNS = 40;
const CAUSE = 'cause';
const MAX_DATAGRAM_BYTES = 1400;

/** Adds a run of a content that was lost after 60 ms. */
function addLoss(state: gatewayState.GatewayState, digest: string, serverId: string, now: number) {
  const times = { sentMs: now - 60, lostMs: now, changedMs: now };
  const run = { digest, serverId, bornMs: 1, ...times, isSilent: false, isCleared: false };
  if (lostRuns.addRun(state.lostRuns, run)) {
    state.lostRuns.unsent.set(digest, true);
  }
}

/** Ends two servers one after the other, with many runs of other contents each. */
function endServers(state: gatewayState.GatewayState): void {
  ['a', 'bb'].forEach((serverId, index) => {
    for (let count = 1; count < BROKEN_RUNS; count += 1) {
      addLoss(state, `${serverId}-${count}`, serverId, index * 100);
    }
    addLoss(state, CAUSE, serverId, index * 100);
  });
}

/** Returns whether a gateway counts two losses in sequence against the cause. */
function isKnown(state: gatewayState.GatewayState): boolean {
  return lostRuns.countSequence(lostRuns.listCounted(state.lostRuns, CAUSE)) === 2;
}

// Guards against a cause that is told too late since many requests broke next to it.
test('losses with many broken runs reach other gateways at once', () => {
  const state = gatewayFixture.createTestGateway(['a']);
  gatewayFixture.receivePeerReport(state, '10.0.0.2:7600', 0);
  const [told, begun, reported] = [0, 1, 2].map(() => gatewayFixture.createTestGateway(['a']));
  endServers(state);
  const outgoing = lostRunMessages.collectLostRuns(state, 100);
  outgoing.forEach((message) => {
    assert.ok(message.kind === 'lostRuns');
    const bytes = schema.toBinary(schema.LostRunsSchema, message.lostRuns);
    assert.ok(bytes.length < MAX_DATAGRAM_BYTES, `${bytes.length} bytes`);
    lostRunMessages.receiveLostRuns(told, message.lostRuns.runs, 102);
  });
  assert.ok(isKnown(told));
  assert.deepEqual(lostRunMessages.collectLostRuns(state, 200), []);
  const [first] = lostRunMessages.buildLostRunsFor(state, '10.0.0.3:7600', 200);
  assert.ok(first.kind === 'lostRuns');
  lostRunMessages.receiveLostRuns(begun, first.lostRuns.runs, 202);
  assert.ok(isKnown(begun));
  const [report] = [lostRunMessages.listReportRuns(state, 200).slice(0, 4)];
  lostRunMessages.receiveLostRuns(reported, report, 202);
  assert.ok(isKnown(reported));
});

// Guards against gateways that disagree on a content because messages are lost or overtake others.
test('any order of messages gives the same count', () => {
  const runs = [
    { serverId: 'a', lostMs: 0, isCleared: false },
    { serverId: 'a', lostMs: 0, isCleared: true },
    { serverId: 'bb', lostMs: 100, isCleared: false },
    { serverId: 'ccc', lostMs: 200, isCleared: false },
    { serverId: 'ccc', lostMs: 600, isCleared: false },
  ].map((run) => ({
    ...run,
    digest: CAUSE,
    bornMs: 1,
    sentMs: run.lostMs - 60,
    changedMs: 0,
    isSilent: false,
  }));
  fastCheck.assert(
    fastCheck.property(
      fastCheck.shuffledSubarray([...runs, ...runs], { minLength: 2 * runs.length }),
      (received) => {
        const known = lostRuns.createLostRuns();
        received.forEach((run) => lostRuns.addRun(known, { ...run }));
        assert.equal(lostRuns.countSequence(lostRuns.listCounted(known, CAUSE)), 2);
      },
    ),
  );
});

// Guards against runs that broke at once and come back from other gateways as later ones.
test('a run that is passed on does not replace itself', () => {
  const known = lostRuns.createLostRuns();
  const run = { digest: CAUSE, serverId: 'a', bornMs: 1, changedMs: 0, isSilent: false };
  lostRuns.addRun(known, { ...run, sentMs: 0, lostMs: 0, isCleared: true });
  assert.equal(lostRuns.addRun(known, { ...run, sentMs: 40, lostMs: 40, isCleared: false }), false);
  assert.deepEqual(lostRuns.listCounted(known, CAUSE), []);
});

// Guards against records that gateways teach each other again after they have expired.
test('records expire at the same age at all gateways', () => {
  const [state, peer] = [0, 1].map(() => gatewayFixture.createTestGateway(['a']));
  endServers(state);
  const almostMs = lostRuns.KEEP_MS - 1;
  lostRunMessages.receiveLostRuns(peer, lostRunMessages.listReportRuns(state, almostMs), almostMs);
  assert.ok(isKnown(peer));
  lostRuns.expireRuns(peer.lostRuns, lostRuns.KEEP_MS + 200);
  assert.equal(peer.lostRuns.byDigest.size, 0);
  const late = lostRunMessages.listReportRuns(state, lostRuns.KEEP_MS + 200);
  lostRunMessages.receiveLostRuns(peer, late, lostRuns.KEEP_MS + 200);
  assert.equal(peer.lostRuns.byDigest.size, 0);
});
