import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as retryBudget from './retry-budget.js';

const { test } = nodeTest;
const LIMIT = { perAttempt: 0.2, burst: 3 };

enum Step {
  FIRST_ATTEMPT = 'first-attempt',
  RESERVE = 'reserve',
  SEND = 'send',
  RELEASE = 'release',
  RESTART = 'restart',
}

/** Applies steps to the budget of one process; lists the steps that had an effect. */
function applySteps(steps: readonly Step[]): Step[] {
  let budget = retryBudget.createRetryBudget();
  return steps.filter((step) => {
    switch (step) {
      case Step.FIRST_ATTEMPT:
        retryBudget.noteFirstAttempt(budget, LIMIT);
        return true;
      case Step.RESERVE:
        return retryBudget.reserveRetry(budget);
      case Step.SEND:
      case Step.RELEASE: {
        const { noteRetrySent, releaseRetry } = retryBudget;
        const hasReserved = budget.reserved > 0;
        if (hasReserved) {
          (step === Step.SEND ? noteRetrySent : releaseRetry)(budget);
        }
        return hasReserved;
      }
      default:
        budget = retryBudget.createRetryBudget();
        return true;
    }
  });
}

test('retries of any span stay within the budget across restarts', () => {
  // Guards against a budget that holds in a steady state only, or for one process only.
  const weights = { [Step.FIRST_ATTEMPT]: 30, [Step.RESERVE]: 10, [Step.SEND]: 3 };
  const choices = Object.values(Step).map((step) => {
    const { [step]: weight = 1 }: Partial<Record<Step, number>> = weights;
    return { weight, arbitrary: fc.constant(step) };
  });
  const steps = fc.array(fc.oneof(...choices), { maxLength: 400, size: 'max' });
  fc.assert(
    fc.property(steps, (given) => {
      const applied = applySteps(given);
      applied.forEach((_, from) => {
        let allowed = LIMIT.burst + LIMIT.perAttempt;
        applied.slice(from).forEach((step) => {
          allowed += step === Step.FIRST_ATTEMPT ? LIMIT.perAttempt : 0;
          allowed -= step === Step.SEND ? 1 : 0;
          assert.ok(allowed > -1e-6);
        });
      });
    }),
  );
});

test('retry that is not sent can be made by another request', () => {
  const budget = retryBudget.createRetryBudget(1);
  assert.ok(retryBudget.reserveRetry(budget));
  assert.ok(!retryBudget.reserveRetry(budget));
  retryBudget.releaseRetry(budget);
  assert.ok(retryBudget.reserveRetry(budget));
});
