import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as schema from '@toucanproxy/schema';
import * as suspects from './suspects.js';

const NOW = 1000;

nodeTest.test('lists agree despite reordered and duplicate reports', () => {
  // Two processes receive the same reports over different links, in a different order and some of
  // them twice. Both must refuse, suspect and clear the same content.
  const reports = fastCheck.array(
    fastCheck.record({
      contentDigest: fastCheck.constantFrom('a', 'b'),
      crashes: fastCheck.nat(2),
      lastCrashMs: fastCheck.integer({ min: 1, max: NOW }),
      clearedMs: fastCheck.constantFrom(0, 400, 800),
    }),
  );
  fastCheck.assert(
    fastCheck.property(reports, (given) => {
      const received = given.map((one) => schema.create(schema.SuspectSchema, one));
      const left = suspects.createSuspects();
      const right = suspects.createSuspects();
      suspects.mergeSuspects(left, received, NOW);
      received.toReversed().forEach((one) => suspects.mergeSuspects(right, [one, one], NOW));
      assert.deepEqual(new Set(suspects.listSuspects(left)), new Set(suspects.listSuspects(right)));
      assert.equal(suspects.mergeSuspects(left, received, NOW), false);
    }),
    { seed: 11 },
  );
});

nodeTest.test('the list is bounded and expires, refused content last', () => {
  const list = suspects.createSuspects();
  suspects.recordCrash(list, 'poison', true, 1);
  suspects.recordCrash(list, 'poison', true, 2);
  Array.from({ length: 2 * suspects.MAX_SUSPECTS }).forEach((_, index) => {
    suspects.recordCrash(list, `innocent-${index}`, false, 3 + index);
  });
  assert.equal(suspects.listSuspects(list).length, suspects.MAX_SUSPECTS);
  assert.equal(suspects.isBlocked(list, 'poison'), true);
  suspects.expireSuspects(list, 2 + suspects.SUSPECT_KEEP_MS);
  assert.equal(suspects.isSuspect(list, 'poison'), false);
});

nodeTest.test('crashes while other content ran never block', () => {
  const list = suspects.createSuspects();
  suspects.recordCrash(list, 'innocent', false, 1);
  suspects.recordCrash(list, 'innocent', false, 2);
  assert.equal(suspects.isSuspect(list, 'innocent'), true);
  assert.equal(suspects.isBlocked(list, 'innocent'), false);
});
