import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as assignment from './assignment.js';
import * as configurationIndex from './configuration-index.js';
import * as configurationLease from './configuration-lease.js';
import * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as originMessages from './origin-messages.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as requestAdmission from './request-admission.js';
import * as serverEntries from './server-entries.js';
import * as streamOrigins from './stream-origins.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const STREAM = { kind: configuration.RouteKind.STREAM, resumable: true, maxAttempts: 3 };
const ORIGIN = { attemptId: 'first', service: 'one', version: 'v1', keepMs: 10_000 };
const RESUMPTION = { firstAttemptId: 'first', lastEventId: '1' };
/** Long after the start of the gateways. */
const NOW = 60_000;
/** Longest time that a request waits for the version of its stream, milliseconds. */
const MAX_LOOKUP_MS = 500;

/** Creates a gateway that names others as its seeds, with servers of two versions. */
function createGateway(address: string, others: string[]): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway([], [gatewayFixture.buildRoute(STREAM)]);
  Object.assign(state, { address, seeds: others });
  state.scheduler.address = address;
  ['v1', 'v2', 'v2'].forEach((softwareVersion, index) => {
    const entry = gatewayFixture.buildEntry(`${softwareVersion}-${index}`, { softwareVersion });
    serverEntries.applyEntry(state.servers, entry, 0);
  });
  return state;
}

/** Delivers messages about streams to the gateways that they are for; returns the replies. */
function deliver(
  gateways: readonly gatewayState.GatewayState[],
  outgoing: readonly outgoingMessage.OutgoingMessage[],
  now: number,
): outgoingMessage.OutgoingMessage[] {
  return outgoing.flatMap((message) => {
    const receiver = gateways.find(({ address }) => address === message.to);
    if (receiver === undefined) {
      return [];
    }
    if (message.kind === 'origins') {
      originMessages.receiveOrigins(receiver, message.origins, now);
    }
    return message.kind === 'originQuery'
      ? [originMessages.buildQueryReply(receiver, message.originQuery, now)]
      : [];
  });
}

/** Returns the records that a message carries. */
function listOrigins(message: outgoingMessage.OutgoingMessage): schema.StreamOrigins {
  assert.equal(message.kind, 'origins');
  return message.origins;
}

/** Advances a gateway; returns what became of its requests and what it sends about streams. */
function advance(state: gatewayState.GatewayState, now: number) {
  const clocks = gatewayFixture.buildClocks(now);
  configurationLease.noteConfirmed(state.lease, clocks);
  const { assignments, outgoing } = assignment.advance(state, clocks);
  const outcomes = assignments.map((one) =>
    one.kind === 'send' ? one.server.softwareVersion : one.kind,
  );
  return { outcomes, outgoing };
}

/** Lets a caller take a stream up; returns what became of it, and when. */
function takeUp(
  state: gatewayState.GatewayState,
  others: readonly gatewayState.GatewayState[],
  resumption = RESUMPTION,
): { outcome: string | undefined; ms: number } {
  const clocks = gatewayFixture.buildClocks(NOW);
  configurationLease.noteConfirmed(state.lease, clocks);
  const arrived = gatewayFixture.buildArrived('again', { resumption });
  const admitted = requestAdmission.admitRequest(state, arrived, clocks);
  if (admitted.kind === 'refused') {
    return { outcome: schema.ResultCode[admitted.refusal.code], ms: 0 };
  }
  for (let ms = 0; ms <= MAX_LOOKUP_MS; ms += 10) {
    const { outcomes, outgoing } = advance(state, NOW + ms);
    if (outcomes.length > 0) {
      return { outcome: outcomes[0], ms };
    }
    deliver([state], deliver(others, outgoing, NOW + ms), NOW + ms);
  }
  return { outcome: undefined, ms: MAX_LOOKUP_MS };
}

// Guards against a stream that goes on at whatever version the gateway knows of.
test('gateway that began the stream goes on at its version', () => {
  const state = createGateway('a', []);
  originMessages.publishOrigin(state, ORIGIN, NOW);
  assert.deepEqual(takeUp(state, []), { outcome: 'v1', ms: 0 });
});

// Guards against a stream that goes on at another service of its route that has the same version.
test('stream goes on only at the service that began it', () => {
  const state = createGateway('a', []);
  const other = gatewayFixture.buildEntry('other', { service: 'two', softwareVersion: 'v1' });
  serverEntries.applyEntry(state.servers, other, 0);
  const targets = [
    { service: 'one', weight: 1 },
    { service: 'two', weight: 1000 },
  ];
  const route = gatewayFixture.buildRoute({ ...STREAM, targets });
  const built = gatewayFixture.buildConfiguration(2, [route]);
  state.index = configurationIndex.buildConfigurationIndex(built);
  originMessages.publishOrigin(state, ORIGIN, NOW);
  takeUp(state, []);
  const [request] = state.requests.values();
  assert.deepEqual([request.service, request.serverVersion], ['one', 'v1']);
});

// Guards against a stream that goes on at a service to which its route no longer leads.
test('stream of a service that its route has left is refused', () => {
  const state = createGateway('a', []);
  originMessages.publishOrigin(state, { ...ORIGIN, service: 'gone' }, NOW);
  assert.equal(takeUp(state, []).outcome, 'NO_BACKEND_SERVER');
});

// Guards against a caller who is refused although another gateway knows the version.
test('gateway begun since asks the others', () => {
  const known = createGateway('b', ['a']);
  originMessages.publishOrigin(known, ORIGIN, NOW);
  const state = createGateway('a', ['b', 'c']);
  state.startedMs = NOW - 100;
  assert.equal(takeUp(state, [known]).outcome, 'v1');
});

// Guards against a take-up that goes on because one version only is seen now.
test('stream that nobody knows is refused as not run', () => {
  const state = createGateway('a', ['b']);
  serverEntries.removeEntry(state.servers, 'v2-1', NOW);
  serverEntries.removeEntry(state.servers, 'v2-2', NOW);
  const { outcome, ms } = takeUp(state, []);
  assert.equal(outcome, 'refuse');
  assert.ok(ms < MAX_LOOKUP_MS);
  assert.equal(state.requests.size, 0);
});

// Guards against callers who wait for the whole time-out although nobody knows their stream.
test('stream is refused at once when all others do not know it', () => {
  const others = [createGateway('b', ['a']), createGateway('c', ['a'])];
  assert.ok(takeUp(createGateway('a', ['b', 'c']), others).ms <= 20);
});

// Guards against callers who name no attempt: nothing shows which version began their stream.
test('resumption without an attempt is refused', () => {
  const state = createGateway('a', []);
  const resumption = { ...RESUMPTION, firstAttemptId: undefined as unknown as string };
  assert.equal(takeUp(state, [], resumption).outcome, 'STREAM_VERSION_UNKNOWN');
});

// Guards against records that contradict each other, one of which must be wrong.
test('contradicting records count as unknown', () => {
  const { origins } = createGateway('a', []);
  streamOrigins.recordOrigin(origins, ORIGIN, NOW);
  streamOrigins.recordOrigin(origins, { ...ORIGIN, version: 'v2' }, NOW);
  assert.equal(streamOrigins.findOrigin(origins, 'first', NOW), undefined);
});

// Guards against a record that is lost with the gateway that forwarded the first event.
test('record is copied to other gateways and passed on', () => {
  const [a, b, c] = ['a', 'b', 'c'].map((name) =>
    createGateway(
      name,
      ['a', 'b', 'c'].filter((other) => other !== name),
    ),
  );
  deliver([b], originMessages.publishOrigin(a, ORIGIN, NOW), NOW);
  assert.equal(streamOrigins.findOrigin(b.origins, 'first', NOW)?.version, 'v1');
  deliver([c], originMessages.buildOriginsFor(b, 'c', NOW + 100), NOW + 100);
  assert.equal(streamOrigins.findOrigin(c.origins, 'first', NOW + 200)?.version, 'v1');
  assert.equal(streamOrigins.findOrigin(c.origins, 'first', NOW + ORIGIN.keepMs), undefined);
});

// Guards against a stream that fails because its caller's deadline does not fit in a message.
test('record of a very long deadline can be sent', () => {
  const state = createGateway('a', ['b']);
  const origin = { ...ORIGIN, keepMs: 999_999_999_999 };
  const [message] = originMessages.publishOrigin(state, origin, NOW);
  assert.doesNotThrow(() => schema.toBinary(schema.StreamOriginsSchema, listOrigins(message)));
});

// Guards against callers who make gateways send long queries to all others.
test('take-up that names a very long attempt is refused without a query', () => {
  const resumption = { ...RESUMPTION, firstAttemptId: 'x'.repeat(200) };
  const refused = takeUp(createGateway('a', ['b']), [], resumption);
  assert.deepEqual(refused, { outcome: 'STREAM_VERSION_UNKNOWN', ms: 0 });
});

// Guards against memory that grows with callers who send long ids or no end of streams.
test('records are bounded', () => {
  const { origins } = createGateway('a', []);
  const long = { ...ORIGIN, attemptId: 'x'.repeat(200) };
  assert.equal(streamOrigins.recordOrigin(origins, long, NOW), false);
  for (let index = 0; index < 50_010; index += 1) {
    streamOrigins.recordOrigin(origins, { ...ORIGIN, attemptId: String(index) }, NOW);
  }
  assert.equal(streamOrigins.findOrigin(origins, '0', NOW), undefined);
  assert.equal(streamOrigins.findOrigin(origins, '50009', NOW)?.version, 'v1');
  streamOrigins.expireOrigins(origins, NOW + ORIGIN.keepMs);
  assert.equal(streamOrigins.listOrigins(origins, NOW).length, 0);
});

// Guards against datagrams that are fragmented or dropped because they are too long.
test('messages fit in a datagram', () => {
  const state = createGateway('a', ['b']);
  for (let index = 0; index < 200; index += 1) {
    const attemptId = `${index}`.padStart(100, 'x');
    streamOrigins.recordOrigin(state.origins, { ...ORIGIN, attemptId }, NOW);
  }
  const messages = originMessages.buildOriginsFor(state, 'b', NOW);
  const lengths = messages.map(
    (message) => schema.toBinary(schema.StreamOriginsSchema, listOrigins(message)).length,
  );
  assert.ok(Math.max(...lengths) < 1400);
});
