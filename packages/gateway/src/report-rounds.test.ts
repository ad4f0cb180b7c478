import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as reportRounds from './report-rounds.js';

const { test } = nodeTest;
const FAN_OUT = 16;

/** Builds a list of numbers. */
function buildList(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}

/** Lists, for each receiver, the items that it has received after a number of reports. */
function listReceived(
  receivers: number,
  items: number,
  limit: number,
  reports: number,
): Set<number>[] {
  const received = buildList(receivers).map(() => new Set<number>());
  for (let sequence = 1; sequence <= reports; sequence += 1) {
    const round = reportRounds.computeContentRound(sequence, receivers, FAN_OUT);
    const part = reportRounds.pickForRound(buildList(items), round, limit);
    reportRounds
      .pickForRound(buildList(receivers), sequence, FAN_OUT)
      .forEach((receiver) => part.forEach((item) => received[receiver].add(item)));
  }
  return received;
}

test('every receiver gets every part of the list', () => {
  // A gateway reports on 40 workspaces, 20 per report, to 64 receivers, 16 per round. If the two
  // rotations share a divisor, a receiver gets the same half each time. It then never charges the
  // usage of the other half, and the quota of those workspaces is granted twice.
  [
    [64, 40, 20],
    [64, 36, 12],
    [409, 409, 12],
    [67, 19, 20],
    [3, 41, 20],
  ].forEach(([receivers, items, limit]) => {
    const rounds = Math.ceil(receivers / FAN_OUT) * Math.ceil(items / limit);
    const received = listReceived(receivers, items, limit, 2 * rounds);
    received.forEach(({ size }) => assert.equal(size, items, `${receivers} ${items} ${limit}`));
  });
});
