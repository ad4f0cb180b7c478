import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as reportRelay from './report-relay.js';

const { test } = nodeTest;
const MAX_DATAGRAM_BYTES = 1400;

/** Builds a report that is to be passed on. */
function buildReport(index: number, changes: Partial<schema.GatewayReport> = {}) {
  const report = schema.create(schema.GatewayReportSchema, {
    address: `10.0.0.${index}:1`,
    life: 'a',
    sequence: 5,
    relay: true,
    used: Array.from({ length: 20 }, (_, at) => ({
      workspace: `workspace-with-a-long-name-${index}-${at}`,
      amount: 1e9 + index,
    })),
  });
  return { ...report, ...changes };
}

test('reports are split so that each datagram stays small', () => {
  // A datagram above the size of a packet is lost with either of its fragments.
  const queue: reportRelay.RelayQueue = new Map();
  for (let index = 0; index < 30; index += 1) {
    reportRelay.enqueueReport(queue, buildReport(index), 0, 100);
  }
  const parts = reportRelay.takeRelayed(queue, 300);
  const sizes = parts.map((value) => {
    const content = { case: 'relayed', value } as const;
    const message = schema.create(schema.PeerMessageSchema, { content });
    return schema.toBinary(schema.PeerMessageSchema, message).length;
  });
  assert.ok(Math.max(...sizes) <= MAX_DATAGRAM_BYTES, String(sizes));
  const reports = parts.flatMap((part) => part.reports);
  assert.equal(reports.length, 30);
  assert.deepEqual(new Set(reports.map(({ ageMs }) => ageMs)), new Set([200]));
  assert.equal(reportRelay.takeRelayed(queue, 300).length, 0);
});

test('only the newest report is passed on, and none that was read after a stall', () => {
  // Reports that waited in the socket while the process stood still may be of a dead sender.
  const queue: reportRelay.RelayQueue = new Map();
  const enqueue = (changes: Partial<schema.GatewayReport>, now: number) =>
    reportRelay.enqueueReport(queue, buildReport(1, changes), 0, now);
  enqueue({ relay: false }, 100);
  enqueue({ sequence: 9 }, 3000);
  assert.equal(queue.size, 0);
  enqueue({ sequence: 7 }, 100);
  enqueue({ sequence: 6 }, 110);
  const [part] = reportRelay.takeRelayed(queue, 200);
  assert.deepEqual(
    part.reports.map(({ sequence }) => sequence),
    [7],
  );
});
