import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as smallFleet from '../mocks/small-fleet.js';
import * as documentTiming from '../shared/document-timing.js';
import * as keyRetention from '../shared/key-retention.js';
import * as claims from './claims.js';

const BEGAN_MS = smallFleet.START_MS;
const { document } = smallFleet.buildDocument(['a'], { version: 5, settledVersion: 3 });
const TIMING = documentTiming.getTiming(document);
const RETENTION_MS = keyRetention.computeRetention(TIMING);
const { ClaimOutcome } = schema;

/** Creates the home of a key whose process has just started. */
function createHome(): claims.HomeState {
  return { keys: new Map(), lifeBeganMs: BEGAN_MS, firstTrafficMs: 0, document };
}

/** Builds the claim of a call that arrives now. */
function buildClaim(now: number, fields: Partial<schema.Claim> = {}): schema.Claim {
  const ref = schema.create(schema.AttemptRefSchema, { requestId: 'r1', attempt: 1 });
  const claim = schema.create(schema.ClaimSchema, {
    workspace: 'brim',
    key: 'k',
    contentDigest: 'digest',
    ref,
    arrivedMs: now,
    documentVersion: 5,
  });
  return Object.assign(claim, fields);
}

/** Builds the reference of another attempt. */
function buildOther(requestId: string): schema.AttemptRef {
  return schema.create(schema.AttemptRefSchema, { requestId, attempt: 1 });
}

nodeTest.test('after a restart, a key without an issue time', () => {
  // An earlier process incarnation may have bound the key. The claim is undecided
  // until no call from that time can arrive any more.
  const home = createHome();
  const early = BEGAN_MS + RETENTION_MS;
  const undecided = claims.resolveClaim(home, buildClaim(early), early);
  assert.equal(undecided.outcome, ClaimOutcome.UNDECIDED);
  const granted = claims.resolveClaim(home, buildClaim(early + 1), early + 1);
  assert.equal(granted.outcome, ClaimOutcome.GRANTED);
});

nodeTest.test('after a restart, a key with an issue time', () => {
  const home = createHome();
  const now = BEGAN_MS + 60_000;
  const edge = BEGAN_MS + 2 * TIMING.clockSkewMs;
  const before = claims.resolveClaim(home, buildClaim(now, { keyIssuedMs: edge }), now);
  assert.equal(before.outcome, ClaimOutcome.UNDECIDED);
  const after = claims.resolveClaim(home, buildClaim(now, { keyIssuedMs: edge + 1 }), now);
  assert.equal(after.outcome, ClaimOutcome.GRANTED);
});

nodeTest.test(
  'first process incarnation of a new deployment grants keys without an issue time',
  () => {
    // On a new deployment, callers with a key without an issue time would be told
    // for 25 minutes that their request may have run. Where no caller was admitted
    // before this process incarnation, nothing can have run. An incarnation that
    // began later, after a restart, cannot rule it out.
    const now = BEGAN_MS + 60_000;
    const skewMs = 2 * TIMING.clockSkewMs;
    const first = { ...createHome(), firstTrafficMs: BEGAN_MS + skewMs };
    const granted = claims.resolveClaim(first, buildClaim(now), now);
    assert.equal(granted.outcome, ClaimOutcome.GRANTED);
    const later = { ...createHome(), firstTrafficMs: BEGAN_MS + skewMs - 1 };
    const undecided = claims.resolveClaim(later, buildClaim(now), now);
    assert.equal(undecided.outcome, ClaimOutcome.UNDECIDED);
  },
);

nodeTest.test('a binding is replaced only by a claim that names it', () => {
  // Two calls saw the same attempt confirmed as not run. The first one replaces
  // it; the second one, which names only the old attempt, is told of the new one.
  const home = createHome();
  const now = BEGAN_MS + RETENTION_MS + 1;
  const ask = (requestId: string, replaces: schema.AttemptRef[]) =>
    claims.resolveClaim(home, buildClaim(now, { ref: buildOther(requestId), replaces }), now);
  assert.equal(ask('r1', []).outcome, ClaimOutcome.GRANTED);
  assert.equal(ask('r1', []).outcome, ClaimOutcome.GRANTED);
  assert.equal(ask('r2', [buildOther('r1')]).outcome, ClaimOutcome.GRANTED);
  const third = ask('r3', [buildOther('r1')]);
  assert.equal(third.outcome, ClaimOutcome.BOUND);
  assert.equal(third.record?.binding?.ref.requestId, 'r2');
});

nodeTest.test('claims that arrive too late are undecided', () => {
  // An entry is paused before it sends a claim. Once the home may have forgotten
  // the key's first call, it no longer decides on claims of that age.
  const home = createHome();
  const now = BEGAN_MS + 2 * RETENTION_MS;
  const oldest = now - TIMING.maxDeadlineMs - TIMING.clockSkewMs;
  const late = claims.resolveClaim(home, buildClaim(oldest - 1), now);
  assert.equal(late.outcome, ClaimOutcome.UNDECIDED);
  assert.equal(claims.resolveClaim(home, buildClaim(oldest), now).outcome, ClaimOutcome.GRANTED);
  const stale = claims.resolveClaim(home, buildClaim(now, { documentVersion: 2 }), now);
  assert.equal(stale.outcome, ClaimOutcome.UNDECIDED);
});

nodeTest.test('a closed key is closed only to earlier calls', () => {
  const home = createHome();
  const now = BEGAN_MS + RETENTION_MS + 1;
  claims.resolveClaim(home, buildClaim(now, { close: true }), now);
  const skew = TIMING.clockSkewMs;
  const early = claims.resolveClaim(home, buildClaim(now + skew), now + skew);
  assert.equal(early.outcome, ClaimOutcome.CLOSED);
  const later = claims.resolveClaim(home, buildClaim(now + skew + 1), now + skew + 1);
  assert.equal(later.outcome, ClaimOutcome.GRANTED);
});

nodeTest.test('keys expire in the order of their last change', () => {
  const home = createHome();
  const now = BEGAN_MS + RETENTION_MS + 1;
  claims.resolveClaim(home, buildClaim(now, { key: 'old' }), now);
  claims.resolveClaim(home, buildClaim(now + 10, { key: 'new' }), now + 10);
  claims.expireKeys(home.keys, RETENTION_MS, now + RETENTION_MS + 5);
  assert.deepEqual([...home.keys.keys()], ['brim\u0000new']);
});
