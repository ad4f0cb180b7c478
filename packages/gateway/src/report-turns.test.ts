import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as reportTurns from './report-turns.js';

const { test } = nodeTest;
const FAN_OUT = 16;

/** Builds a list of numbers. */
function buildList(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}

/** Lists, by receiver, the items that it has been told of after some reports. */
function listTold(receivers: number, items: number, most: number, reports: number): Set<number>[] {
  const told = buildList(receivers).map(() => new Set<number>());
  for (let sequence = 1; sequence <= reports; sequence += 1) {
    const turn = reportTurns.computePartTurn(sequence, receivers, FAN_OUT);
    const part = reportTurns.pickInTurn(buildList(items), turn, most);
    reportTurns
      .pickInTurn(buildList(receivers), sequence, FAN_OUT)
      .forEach((receiver) => part.forEach((item) => told[receiver].add(item)));
  }
  return told;
}

test('every receiver hears of every part', () => {
  // A gateway has 40 workspaces to tell of, 20 in a report, and 64 receivers, 16 a turn.
  // Where both turns share a divisor a receiver hears the same half each time; its
  // bucket of the other half is never charged, and their quota is given out twice.
  [
    [64, 40, 20],
    [64, 36, 12],
    [409, 409, 12],
    [67, 19, 20],
    [3, 41, 20],
  ].forEach(([receivers, items, most]) => {
    const turns = Math.ceil(receivers / FAN_OUT) * Math.ceil(items / most);
    const told = listTold(receivers, items, most, 2 * turns);
    told.forEach(({ size }) => assert.equal(size, items, `${receivers} ${items} ${most}`));
  });
});
