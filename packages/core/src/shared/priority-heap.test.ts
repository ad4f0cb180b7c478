import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as priorityHeap from './priority-heap.js';

type Step = { id: string; priority: number; removed: boolean };

const steps = fc.array(
  fc.record({
    id: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
    priority: fc.integer({ min: 0, max: 20 }),
    removed: fc.boolean(),
  }),
  { maxLength: 300 },
);

nodeTest.test('heap takes ids in order of their last priority', () => {
  fc.assert(
    fc.property(steps, fc.integer({ min: 0, max: 20 }), (given: Step[], bound) => {
      const heap = priorityHeap.createPriorityHeap();
      const expected = new Map<string, number>();
      given.forEach((step) => {
        if (step.removed) {
          priorityHeap.removeId(heap, step.id);
          expected.delete(step.id);
        } else {
          priorityHeap.setPriority(heap, step.id, step.priority);
          expected.set(step.id, step.priority);
        }
      });
      const taken = priorityHeap.takeUpTo(heap, bound);
      const due = [...expected].filter(([, priority]) => priority <= bound);
      assert.deepEqual([...taken].sort(), due.map(([id]) => id).sort());
      const priorities = taken.map((id) => expected.get(id) ?? NaN);
      assert.deepEqual(
        priorities,
        [...priorities].sort((a, b) => a - b),
      );
    }),
    { seed: 5, numRuns: 200 },
  );
});

nodeTest.test('stale heap items are at most as many as current ones plus a constant', () => {
  const heap = priorityHeap.createPriorityHeap();
  Array.from({ length: 10_000 }, (_, index) => index).forEach((index) =>
    priorityHeap.setPriority(heap, `id-${index % 10}`, index),
  );
  assert.ok(heap.items.length <= 2 * 10 + 65);
});
