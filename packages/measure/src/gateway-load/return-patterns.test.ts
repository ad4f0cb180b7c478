import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as replay from './replay.js';
import * as returnPatterns from './return-patterns.js';
import * as returnTable from './return-table.js';

const KNOWLEDGE = { reports: true, firstEvents: true, paces: true, failures: true };
const FLEET = { gateways: 4, engines: 12, slots: 9, delayMs: 1.4, lossShare: 0.01 };
const SEEDS = [1, 2, 3];

nodeTest.test('callers that return to an overloaded service', () => {
  // Refused callers return once, after a third of their time at most. Where engines have room after
  // a burst, most of them must not be refused again; in no load is a return of the least
  // urgent tier served in place of a request of the most urgent one.
  returnPatterns.RETURN_PATTERNS.forEach((pattern) => {
    const results = SEEDS.map((seed) =>
      replay.runReplay({ ...FLEET, pattern, knowledge: KNOWLEDGE, seed }),
    );
    const long = returnTable.countKind(results, 'long');
    const short = returnTable.countKind(results, 'short');
    assert.equal(long('refusedTwice'), 0, pattern.name);
    assert.ok(short('refused') > 0, pattern.name);
    assert.ok(short('tries') <= 2 * short('asked'), pattern.name);
    if (pattern.name.startsWith('room')) {
      const share = short('refusedTwice') / short('refused');
      assert.ok(share < 0.5, String(share));
    }
  });
});
