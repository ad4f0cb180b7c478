import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as replies from './replies.js';
import * as scheduler from './scheduler.js';

const { test } = nodeTest;
const ASKER = '10.0.0.2:1';

test('grant carries an entry with fractional and large numbers', () => {
  // The entry has a fraction of a millisecond and large revision numbers. A number that the message
  // cannot encode would crash the scheduler's process when it grants a slot there.
  const odd = { slots: 10_000, warmUpLeftMs: 12.5, revision: { epoch: 2 ** 41, count: 2 ** 40 } };
  const entry = gatewayFixture.buildEntry('a', odd);
  const servers = schedulerFixture.buildServers([entry], {
    recentEntries: new Map([['a', entry]]),
  });
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const request = { serial: 1, targetLeftMs: 500, leaveLeftMs: 2000, giveUpLeftMs: 9000 };
  const ask = schema.create(schema.ScheduleAskSchema, {
    address: ASKER,
    life: 'b',
    sequence: 1,
    cell: 'one/0',
    requests: [request],
  });
  scheduler.receiveAsk(own, ask, 1000);
  scheduler.scheduleRequests(own, () => servers, 1000);
  const [{ reply }] = replies.collectReplies(own, () => servers, 1000);
  const bytes = schema.toBinary(schema.ScheduleReplySchema, reply);
  const received = schema.fromBinary(schema.ScheduleReplySchema, bytes).grants[0].entry;
  assert.deepEqual(
    [received?.slots, received?.warmUpLeftMs, received?.revision?.epoch, received?.revision?.count],
    [odd.slots, odd.warmUpLeftMs, odd.revision.epoch, odd.revision.count],
  );
});
