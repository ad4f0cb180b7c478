import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as scheduler from './scheduler.js';
import * as streamPauses from './stream-pauses.js';

const { test } = nodeTest;
const { UNIT } = schema.ServerObservation_Kind;
const FAST_UNIT_MS = 20;
const SLOW_UNIT_MS = 80;
const MAX_PAUSE_MS = 400;
/** Time after which a scheduler that took over grants all slots. */
const TAKEN_OVER_MS = 300;
const ENTRIES = ['fast', 'slow'].map((id) => gatewayFixture.buildEntry(id, { slots: 4 }));

/**
 * Asks for slots at a fast and a slow engine, which run the given numbers of requests; lists the
 * prompt sizes that were granted a slot, by engine.
 */
function listGranted(
  prompts: readonly number[],
  inFlight: { fast: number; slow: number },
  maxPauseMs = MAX_PAUSE_MS,
  targetLeftMs = 900,
): Record<string, number[]> {
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const ask = schema.create(schema.ScheduleAskSchema, {
    address: '10.0.0.2:1',
    life: 'b',
    sequence: 1,
    cell: 'one/0',
    inFlight: Object.entries(inFlight).map(([serverId, requests]) => ({ serverId, requests })),
    observations: [
      { serverId: 'fast', kind: UNIT, ms: FAST_UNIT_MS },
      { serverId: 'slow', kind: UNIT, ms: SLOW_UNIT_MS },
    ],
    requests: prompts.map((promptTokens, index) => ({
      serial: index + 1,
      promptTokens,
      targetLeftMs,
      leaveLeftMs: 3000,
      giveUpLeftMs: 9000,
    })),
  });
  scheduler.receiveAsk(own, ask, 1000);
  const servers = schedulerFixture.buildServers(ENTRIES, { maxPauseMs, tokensPerEvent: 8 });
  const granted: Record<string, number[]> = { fast: [], slow: [] };
  scheduler
    .scheduleRequests(own, () => servers, 1000 + TAKEN_OVER_MS)
    .filter(({ kind }) => kind === 'granted')
    .forEach(({ request, weighed }) => granted[weighed[0].id].push(request.promptTokens));
  return granted;
}

test('long prompt waits for an engine that reads it without long pauses', () => {
  // Failure: one long prompt at a slow engine makes all streams there late.
  assert.deepEqual(listGranted([4000], { fast: 4, slow: 3 }), { fast: [], slow: [] });
  assert.deepEqual(listGranted([4000], { fast: 3, slow: 3 }), { fast: [4000], slow: [] });
});

test('short prompts use the slow engine while long ones wait', () => {
  // Failure: a few dozen long prompts at the head of the queue leave the slow engine idle.
  const prompts = [...Array.from({ length: 40 }, () => 4000), 500];
  assert.deepEqual(listGranted(prompts, { fast: 4, slow: 3 }).slow, [500]);
});

test('late long prompt takes a slot at a slow engine', () => {
  // Failure: less urgent requests overtake a late long prompt until it is refused.
  assert.deepEqual(listGranted([4000], { fast: 4, slow: 3 }, MAX_PAUSE_MS, 0).slow, [4000]);
});

test('engine that is slow without any prompt is not kept idle', () => {
  const engine = { promptTokens: 0, promptTokensPerMs: 50, slowness: 4, tokensPerEvent: 8 };
  assert.equal(streamPauses.isTooLong({ ...engine, unitMs: 500 }, MAX_PAUSE_MS), false);
  assert.equal(
    streamPauses.isTooLong({ ...engine, unitMs: 250, promptTokens: 4000 }, MAX_PAUSE_MS),
    true,
  );
});

test('engine without streams may read a long prompt', () => {
  assert.deepEqual(listGranted([4000], { fast: 4, slow: 0 }).slow, [4000]);
});

test('without a declared longest pause, long prompts go to any engine', () => {
  assert.deepEqual(listGranted([4000], { fast: 4, slow: 3 }, Infinity).slow, [4000]);
});

test('pause grows with the prompt up to the chunks of one event', () => {
  const engine = { promptTokensPerMs: 50, slowness: 2, unitMs: 30, tokensPerEvent: 4 };
  const estimate = (promptTokens: number) =>
    streamPauses.estimatePauseMs({ ...engine, promptTokens });
  assert.equal(estimate(500), 50);
  assert.equal(estimate(50_000), estimate(8192));
});
