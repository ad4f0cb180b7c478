/**
 * The idempotency keys whose home is this agent: which attempt each is bound
 * to, or when it was closed. Each key has one home, which decides on claims in
 * the order of their arrival, so of two calls with one key the second is told
 * of the first.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as documentTiming from '../shared/document-timing.js';
import * as keyRetention from '../shared/key-retention.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import type * as agentState from './agent-state.js';

type Effects = agentEvent.AgentEffect[];

/** Maximum number of keys at one home; further keys are answered with UNDECIDED. */
const MAX_KEYS = 50_000;

/** The state of one key at its home. */
export type KeyRecord = {
  contentDigest: string;
  /** When the record was created or last changed, milliseconds since the Unix epoch. */
  sinceMs: number;
  /** The attempt that the key is bound to; undefined once it is closed. */
  binding:
    | {
        ref: schema.AttemptRef;
        backendServerId: string;
        agentLife: string;
        issuedMs: number;
      }
    | undefined;
};

/** Records by workspace and key, the least recently changed one first. */
export type KeyTable = Map<string, KeyRecord>;

/** The part of the agent's state that decides on claims. */
export type HomeState = {
  keys: KeyTable;
  lifeBeganMs: number;
  /** No caller was admitted before this wall-clock time, milliseconds; 0 where it is unknown. */
  firstTrafficMs: number;
  /** The active document, undefined while there is none. */
  document: schema.ServiceDocument | undefined;
};

type Decision = { outcome: schema.ClaimOutcome; record?: KeyRecord };

/** Formats workspace and key as one map key. */
function toTableKey(claim: schema.Claim): string {
  return `${claim.workspace}\u0000${claim.key}`;
}

/** Forgets keys older than the retention time: a call that uses them can no longer arrive. */
export function expireKeys(keys: KeyTable, retentionMs: number, now: number): void {
  let [oldest] = keys;
  while (oldest !== undefined && now - oldest[1].sinceMs > retentionMs) {
    keys.delete(oldest[0]);
    [oldest] = keys;
  }
}

/** Whether a claim names the bound attempt as one that it may replace. */
function isReplacementAllowed(claim: schema.Claim, ref: schema.AttemptRef): boolean {
  const refKey = attemptRef.toRefKey(ref);
  return claim.replaces.some((one) => attemptRef.toRefKey(one) === refKey);
}

/** Binds or closes the key, as the claim asks. */
function writeRecord(home: HomeState, claim: schema.Claim, now: number): Decision {
  const { ref, backendServerId, agentLife, contentDigest } = claim;
  const tableKey = toTableKey(claim);
  const bound = ref !== undefined && !claim.close;
  const binding = bound
    ? { ref, backendServerId, agentLife, issuedMs: claim.arrivedMs }
    : undefined;
  // Deleted first: the map then stays ordered by the time of the last change.
  home.keys.delete(tableKey);
  home.keys.set(tableKey, { contentDigest, sinceMs: now, binding });
  return { outcome: schema.ClaimOutcome.GRANTED };
}

/** Decides on a key that this home knows. */
function resolveKnownKey(
  home: HomeState,
  record: KeyRecord,
  claim: schema.Claim,
  timing: documentTiming.Timing,
  now: number,
): Decision {
  const { binding } = record;
  if (record.contentDigest !== claim.contentDigest) {
    return { outcome: schema.ClaimOutcome.REUSED };
  }
  if (binding === undefined) {
    // The callers of a closed key were told "not run". Granting it to a delayed
    // call from before the close would make that untrue. The skew allows for
    // clocks that differ.
    const older = claim.arrivedMs <= record.sinceMs + timing.clockSkewMs;
    return older ? { outcome: schema.ClaimOutcome.CLOSED } : writeRecord(home, claim, now);
  }
  const sameAttempt =
    claim.ref !== undefined &&
    attemptRef.toRefKey(claim.ref) === attemptRef.toRefKey(binding.ref) &&
    !claim.close;
  if (sameAttempt) {
    return { outcome: schema.ClaimOutcome.GRANTED };
  }
  return isReplacementAllowed(claim, binding.ref)
    ? writeRecord(home, claim, now)
    : { outcome: schema.ClaimOutcome.BOUND, record };
}

/**
 * Whether this process incarnation would know of any earlier binding of the key.
 *
 * An earlier incarnation may have bound the key, and bindings do not survive a
 * restart. A key issued after this incarnation began cannot have been claimed
 * before it; the margin is twice the skew, since an entry accepts a key that is
 * ahead of its own clock by one skew. A key without an issue time is safe once
 * the retention time has passed, or where no caller was admitted before this
 * incarnation: otherwise each such key on a new deployment would be undecided
 * for 25 minutes.
 */
function isHistoryComplete(
  { lifeBeganMs, firstTrafficMs }: HomeState,
  { keyIssuedMs }: schema.Claim,
  timing: documentTiming.Timing,
  now: number,
): boolean {
  const skewMs = 2 * timing.clockSkewMs;
  const issuedInThisLife = keyIssuedMs > lifeBeganMs + skewMs;
  const outlivesRetention = now - lifeBeganMs > keyRetention.computeRetention(timing);
  return issuedInThisLife || outlivesRetention || lifeBeganMs + skewMs <= firstTrafficMs;
}

/** Decides on a key that this home does not know. */
function resolveUnknownKey(
  home: HomeState,
  claim: schema.Claim,
  timing: documentTiming.Timing,
  now: number,
): Decision {
  const { keyIssuedMs } = claim;
  if (keyIssuedMs > 0 && now - keyIssuedMs > timing.keyWindowMs) {
    return { outcome: schema.ClaimOutcome.EXPIRED };
  }
  if (!isHistoryComplete(home, claim, timing, now) || home.keys.size >= MAX_KEYS) {
    return { outcome: schema.ClaimOutcome.UNDECIDED };
  }
  return writeRecord(home, claim, now);
}

/** Decides on one claim. */
export function resolveClaim(home: HomeState, claim: schema.Claim, now: number): Decision {
  const { document } = home;
  const undecided = { outcome: schema.ClaimOutcome.UNDECIDED };
  // An entry whose document is older than the settled version may send a key's claims to
  // another home than all others do.
  if (document === undefined || claim.documentVersion < document.settledVersion) {
    return undecided;
  }
  const timing = documentTiming.getTiming(document);
  // A paused entry may send a claim long after its caller's deadline, when the record of the
  // key's first call has expired. Granting it would let the request run a second time.
  if (now - claim.arrivedMs > timing.maxDeadlineMs + timing.clockSkewMs) {
    return undecided;
  }
  expireKeys(home.keys, keyRetention.computeRetention(timing), now);
  const record = home.keys.get(toTableKey(claim));
  return record === undefined
    ? resolveUnknownKey(home, claim, timing, now)
    : resolveKnownKey(home, record, claim, timing, now);
}

/** Decides on a claim and replies to the entry. */
export function replyClaim(
  state: agentState.AgentState,
  linkId: number,
  claim: schema.Claim,
  now: number,
): Effects {
  const { keys, lifeBeganMs, firstTrafficMs } = state;
  const document = state.documents.get(state.service)?.document;
  const { outcome, record } = resolveClaim(
    { keys, lifeBeganMs, firstTrafficMs, document },
    claim,
    now,
  );
  const binding = record?.binding;
  const reply = schema.create(schema.ClaimReplySchema, {
    claimId: claim.claimId,
    outcome,
    ref: binding?.ref,
    backendServerId: binding?.backendServerId,
    agentLife: binding?.agentLife,
    issuedMs: binding?.issuedMs,
    boundForMs: record === undefined ? 0 : Math.max(0, Math.floor(now - record.sinceMs)),
  });
  return [agentMessages.sendToEntry(linkId, { case: 'claimReply', value: reply })];
}
