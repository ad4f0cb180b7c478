import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as protobuf from '@bufbuild/protobuf';
import * as schema from './index.js';

const { test } = nodeTest;
const ODD = [NaN, Infinity, -Infinity, -1, 0.5, 2 ** 31, 2 ** 32, 2 ** 53, 1e308, -1e308];
const NUMBERS = [
  protobuf.ScalarType.UINT32,
  protobuf.ScalarType.SINT32,
  protobuf.ScalarType.FIXED32,
  protobuf.ScalarType.DOUBLE,
];

/** Builds a message of a type whose numbers all have one value. */
function buildFilled(type: protobuf.DescMessage, value: number): Record<string, unknown> {
  const fields = type.fields.map((field) => {
    const { scalar, message, localName } = field;
    const isNumber = scalar !== undefined && NUMBERS.includes(scalar);
    const one = message === undefined ? value : buildFilled(message, value);
    const filled = field.fieldKind === 'list' ? [one, one] : one;
    return isNumber || message !== undefined ? { [localName]: filled } : {};
  });
  return Object.assign({}, ...fields) as Record<string, unknown>;
}

test('number that does not fit its field keeps no message from being sent', () => {
  // Guards against an exception of the encoder, which ended the process with all its requests.
  schema.PeerMessageSchema.fields.forEach((field) => {
    const type = field.message as protobuf.DescMessage;
    ODD.forEach((odd) => {
      const value = protobuf.create(type, buildFilled(type, odd));
      const content = { case: field.localName, value } as schema.PeerMessage['content'];
      const message = protobuf.create(schema.PeerMessageSchema, { content });
      const { bytes } = schema.encodePeerMessage(message);
      const received = schema.fromBinary(schema.PeerMessageSchema, bytes);
      assert.equal(received.content.case, field.localName);
    });
  });
});

test('amount that is too large arrives as the largest', () => {
  // Guards against a large request that looks cheap to the scheduler.
  const requests = [{ serial: 1, promptTokens: 2 ** 40, targetLeftMs: -(2 ** 40), waitedMs: 1.4 }];
  const ask = protobuf.create(schema.ScheduleAskSchema, { address: '10.0.0.1:7600', requests });
  const content = { case: 'ask', value: ask } as const;
  const message = protobuf.create(schema.PeerMessageSchema, { content });
  const { bytes, trimmed } = schema.encodePeerMessage(message);
  const received = schema.fromBinary(schema.PeerMessageSchema, bytes).content.value;
  const [request] = (received as schema.ScheduleAsk).requests;
  assert.deepEqual(
    [request.serial, request.promptTokens, request.targetLeftMs, request.waitedMs],
    [1, 2 ** 32 - 1, -(2 ** 31), 1],
  );
  assert.deepEqual(trimmed.sort(), [
    'WaitingRequest.prompt_tokens',
    'WaitingRequest.target_left_ms',
    'WaitingRequest.waited_ms',
  ]);
});

test('message whose numbers fit is sent as it is', () => {
  const report = protobuf.create(schema.GatewayReportSchema, { sequence: 2 ** 32 - 1 });
  const content = { case: 'report', value: report } as const;
  const message = protobuf.create(schema.PeerMessageSchema, { content });
  const { bytes, trimmed } = schema.encodePeerMessage(message);
  assert.deepEqual(trimmed, []);
  assert.deepEqual(bytes, schema.toBinary(schema.PeerMessageSchema, message));
});
