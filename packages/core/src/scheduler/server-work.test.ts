import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as scheduler from './scheduler.js';
import * as serverWork from './server-work.js';

const { test } = nodeTest;
const SHORT = { promptTokens: 500, answerTokens: 20 };
const LONG = { promptTokens: 40_000, answerTokens: 200 };
const SERVERS = schedulerFixture.buildServers(
  [gatewayFixture.buildEntry('a'), gatewayFixture.buildEntry('b')],
  { tokensPerEvent: 5 },
);

/** Creates a scheduler whose only gateway reports the given work, and asks for one slot. */
function ask(
  inFlight: Omit<Partial<schema.ServerUse>, '$typeName'>[],
  request: typeof SHORT,
  targetLeftMs = 400,
) {
  const state = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const waiting = { serial: 1, ...request, targetLeftMs, leaveLeftMs: 3000, giveUpLeftMs: 9000 };
  const message = schema.create(schema.ScheduleAskSchema, {
    address: '10.0.0.2:1',
    life: 'b',
    sequence: 1,
    cell: 'one/0',
    requests: [waiting],
    inFlight: inFlight.map((one) => schema.create(schema.ServerUseSchema, one)),
  });
  scheduler.receiveAsk(state, message, 1000);
  return { state, granted: scheduler.scheduleRequests(state, () => SERVERS, 1300) };
}

test('short request goes to the fuller server without unread prompt', () => {
  // Guards against placement by count: the engine with one request in flight reads its prompt for
  // a second, and the other one, with a request that streams, would answer at once.
  const { granted } = ask(
    [
      { serverId: 'a', requests: 1, unreadTokens: 40_000, answerTokens: 10 },
      { serverId: 'b', requests: 1, unreadTokens: 0, answerTokens: 500 },
    ],
    SHORT,
  );
  assert.equal(granted[0].weighed[0].id, 'b');
});

test('grants that are not reported yet count with their prompt', () => {
  // Guards against a burst that arrives between two reports and goes behind one long prompt.
  const { state, granted } = ask([], LONG, 3000);
  const [{ weighed, predictedFirstMs }] = granted;
  const cell = [...state.cells.values()][0];
  assert.deepEqual(
    [...serverWork.countWork(cell)],
    [[weighed[0].id, { unreadTokens: 40_000, answerTokens: 200 }]],
  );
  assert.ok((predictedFirstMs ?? 0) >= 40_000 / 40, String(predictedFirstMs));
});

test('gateways that report no work count for none', () => {
  // Gateways of the previous version never report that a prompt has been read. Counted until the
  // end of their responses, their prompts would make all servers look late.
  const { state } = ask([{ serverId: 'a', requests: 1 }], LONG, 3000);
  const cell = [...state.cells.values()][0];
  assert.equal(serverWork.countWork(cell).size, 0);
});

test('amounts that a message cannot hold are encoded', () => {
  // Guards against a gateway that crashes when it encodes the sum of prompts whose token counts
  // callers have made up.
  [2 ** 40, Infinity, NaN, -1, 0.5].forEach((amount) => {
    const unreadTokens = serverWork.toWireNumber(amount);
    const use = schema.create(schema.ServerUseSchema, { unreadTokens });
    assert.ok(schema.toBinary(schema.ServerUseSchema, use).length > 0);
  });
});

test('prompt speed is learned from prompts of different length', () => {
  const speed = serverWork.createPromptSpeed();
  assert.equal(serverWork.estimateTokensPerMs(speed), 40);
  [500, 20_000, 3000, 8000, 1000].forEach((tokens) =>
    serverWork.recordFirstEvent(speed, tokens, 4 * (60 + tokens / 100), 4),
  );
  assert.ok(Math.abs(serverWork.estimateTokensPerMs(speed) - 100) < 5);
});

test('latency that load adds to prompts of any length is no lower prompt speed', () => {
  // Guards against a feedback: engines that are full answer later, prompts seem to be read more
  // slowly, and requests are held back although the engines would serve them on time.
  const speed = serverWork.createPromptSpeed();
  Array.from({ length: 50 }, () => serverWork.recordFirstEvent(speed, 1000, 400, 1));
  assert.ok(Math.abs(serverWork.estimateTokensPerMs(speed) - 40) < 1);
});

test('a single false sample does not change the prompt speed by much', () => {
  // Failure: one stall, or a caller that states a false length, makes a whole service refuse long
  // prompts, or place them as if they took no time.
  const speed = serverWork.createPromptSpeed();
  Array.from({ length: 200 }, (_, index) => 500 + 40 * index).forEach((tokens) =>
    serverWork.recordFirstEvent(speed, tokens, 25 + tokens / 100, 1),
  );
  const before = serverWork.estimateTokensPerMs(speed);
  serverWork.recordFirstEvent(speed, 54_600, 60_000, 1);
  const slow = serverWork.estimateTokensPerMs(speed);
  serverWork.recordFirstEvent(speed, 4e9, 50, 1);
  const fast = serverWork.estimateTokensPerMs(speed);
  assert.ok(slow > before / 4 && slow < 4 * before, String(slow));
  assert.ok(fast > before / 4 && fast < 4 * before, String(fast));
});
