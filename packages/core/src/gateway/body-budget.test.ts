import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as bodyBudget from './body-budget.js';

const { test } = nodeTest;
const { BodyDecision } = bodyBudget;
const MB = 1_048_576;
const BODY = 4 * MB;
const MEMORY_MB = 350;

/** Creates a claim of a workspace. */
function createClaim(workspace: string, urgency = 0): bodyBudget.BodyClaim {
  return bodyBudget.createClaim({ workspace, urgency });
}

/** Requests bodies of a workspace until one is not admitted; returns the claims that were. */
function reserveAll(
  budget: bodyBudget.BodyBudget,
  workspace: string,
  urgency = 0,
): bodyBudget.BodyClaim[] {
  const claim = createClaim(workspace, urgency);
  const decision = bodyBudget.claimBytes(budget, claim, BODY, 0);
  if (decision === BodyDecision.ADMITTED) {
    return [claim, ...reserveAll(budget, workspace, urgency)];
  }
  bodyBudget.releaseClaim(budget, claim, 0);
  return [];
}

test('budget leaves a tenth of the memory limit and what the process needs', () => {
  const usableBytes = (memoryMb: number) => memoryMb * 0.9 * MB;
  const sizes = [160, 250, MEMORY_MB];
  sizes.forEach((memoryMb) => {
    const capacity = bodyBudget.computeCapacity(memoryMb);
    assert.ok(capacity >= 2 * BODY && capacity < usableBytes(memoryMb) - 71 * MB);
  });
  assert.equal(bodyBudget.computeCapacity(undefined), Infinity);
});

test('one workspace cannot fill the budget', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  const first = reserveAll(budget, 'one').length;
  const urgent = reserveAll(budget, 'one', -1).length;
  const other = reserveAll(budget, 'two').length;
  assert.ok(first > 10, `${first}`);
  assert.ok(urgent >= 1, `${urgent}`);
  assert.ok(other >= 2, `${other}`);
  assert.ok(budget.largeBytes <= budget.capacityBytes * 0.8);
});

test('shares become equal as bodies are released', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  const held = { one: reserveAll(budget, 'one'), two: reserveAll(budget, 'two') };
  Array.from({ length: 200 }).forEach(() => {
    [held.one, held.two].forEach((claims) => {
      const oldest = claims.shift();
      if (oldest !== undefined) {
        bodyBudget.releaseClaim(budget, oldest, 0);
      }
    });
    held.two.push(...reserveAll(budget, 'two'));
    held.one.push(...reserveAll(budget, 'one'));
  });
  assert.ok(Math.abs(held.one.length - held.two.length) <= 1);
});

test('small requests find room while large bodies take all they may', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  ['one', 'two', 'three', 'four'].forEach((workspace) => reserveAll(budget, workspace));
  assert.ok(bodyBudget.takeSmall(budget, 0.2 * budget.capacityBytes - 1));
  assert.equal(bodyBudget.takeSmall(budget, budget.capacityBytes), false);
});

test('claim that waits is granted when bytes are released, the most urgent one first', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  const claims = reserveAll(budget, 'one');
  const [usual, urgent] = [createClaim('one', 1), createClaim('one', 0)];
  const size = budget.capacityBytes / 2;
  [usual, urgent].forEach((claim) => {
    assert.equal(bodyBudget.claimBytes(budget, claim, size, 0), BodyDecision.WAITING);
  });
  claims.forEach((claim) => bodyBudget.releaseClaim(budget, claim, 10));
  assert.deepEqual(bodyBudget.advanceClaims(budget, 10), { granted: [urgent], expired: [] });
  assert.equal(urgent.heldBytes, size);
});

test('claim that waits too long is refused, and its caller comes back later', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  reserveAll(budget, 'one');
  const claim = createClaim('one');
  assert.equal(bodyBudget.claimBytes(budget, claim, BODY, 0), BodyDecision.WAITING);
  assert.deepEqual(bodyBudget.advanceClaims(budget, 300).expired, []);
  assert.deepEqual(bodyBudget.advanceClaims(budget, 500).expired, [claim]);
  assert.equal(budget.waiting.size, 0);
  const { code, retryAfterMs } = bodyBudget.buildBodyRefusal(budget, () => 0);
  assert.equal(code, schema.ResultCode.BODY_MEMORY_SPENT);
  assert.equal(retryAfterMs, budget.holdMs);
});

test('few claims wait, as each one holds unread data', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  reserveAll(budget, 'one');
  const decisions = Array.from({ length: 100 }, () =>
    bodyBudget.claimBytes(budget, createClaim('one'), BODY, 0),
  );
  assert.equal(decisions.filter((decision) => decision === BodyDecision.WAITING).length, 32);
  assert.equal(budget.totals[BodyDecision.REFUSED], 68);
});

test('body that needs most of the budget is held alone, a larger one never', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  const [most, next, tooLarge] = [createClaim('one'), createClaim('two'), createClaim('three')];
  const size = budget.capacityBytes * 0.9;
  assert.equal(bodyBudget.claimBytes(budget, most, size, 0), BodyDecision.ADMITTED);
  assert.equal(bodyBudget.claimBytes(budget, next, BODY, 0), BodyDecision.WAITING);
  assert.equal(
    bodyBudget.claimBytes(budget, tooLarge, budget.capacityBytes + 1, 0),
    BodyDecision.REFUSED,
  );
});

test('released budget holds nothing', () => {
  const budget = bodyBudget.createBodyBudget(MEMORY_MB);
  const claims = reserveAll(budget, 'one');
  bodyBudget.releaseBytes(budget, claims[0], MB);
  claims.forEach((claim) => bodyBudget.releaseClaim(budget, claim, 20));
  assert.equal(budget.largeBytes, 0);
  assert.deepEqual([budget.byWorkspace.size, budget.byHolder.size], [0, 0]);
});
