import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as backendAttempt from './backend-attempt.js';
import * as domainTraffic from './domain-traffic.js';

const { test } = nodeTest;

/** Creates a listener that does nothing, for a request that may or may not be sent. */
function createListener(canSend: boolean): backendAttempt.AttemptListener {
  const ignore = () => {};
  return {
    onHead: () => true,
    onData: () => false,
    canSend: () => canSend,
    onEnd: ignore,
    onWithdrawn: ignore,
    onBroken: ignore,
  };
}

test('bodies count once, in the domain of the backend server', () => {
  // A request that is withdrawn before its first byte causes no traffic. The listener's own
  // result, which slows down the backend server for a slow caller, must not change.
  const traffic = domainTraffic.createDomainTraffic();
  const body = Buffer.alloc(100);
  const sent = domainTraffic.countBodies(traffic, false, body, createListener(true));
  const withdrawn = domainTraffic.countBodies(traffic, true, body, createListener(false));
  assert.equal(sent.canSend(), true);
  assert.equal(sent.onData(Buffer.alloc(7)), false);
  assert.equal(withdrawn.canSend(), false);
  assert.deepEqual(traffic.requestBytes, { own: 0, other: 107 });
});

test('metrics list each cause and domain', () => {
  // A counter that is missing until its first event looks like a lost one to alerts.
  const traffic = domainTraffic.createDomainTraffic();
  domainTraffic.addAmount(traffic.peerBytes.ask, false, 5);
  const samples = domainTraffic.listTrafficSamples(traffic);
  assert.equal(samples.length, 14);
  const labels = { cause: 'ask', domain: 'other' };
  assert.deepEqual(
    samples.find(({ value }) => value > 0),
    { name: 'peer_bytes_total', labels, value: 5 },
  );
});
