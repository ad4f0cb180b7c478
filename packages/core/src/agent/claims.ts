/**
 * The keys that this agent is home of: which attempt each is bound to, or when
 * it was closed. A home decides alone and in the order in which claims arrive,
 * so of two calls with one key the second learns of the first.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as documentTiming from '../shared/document-timing.js';
import * as keyRetention from '../shared/key-retention.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import type * as agentState from './agent-state.js';

type Effects = agentEvent.AgentEffect[];

/** Keys that one home holds at most; beyond it new keys are undecided. */
const MAX_KEYS = 50_000;

/** What a home knows of one key. */
export type KeyRecord = {
  contentDigest: string;
  /** When the record was made or changed, milliseconds. */
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

/** Records by workspace and key; the one that changed least recently is first. */
export type KeyTable = Map<string, KeyRecord>;

/** What a decision looks at besides the claim. */
export type HomeView = {
  keys: KeyTable;
  lifeBeganMs: number;
  /** No caller was let in before this time, milliseconds; 0 where nobody knows. */
  firstTrafficMs: number;
  /** Undefined while no document is in force. */
  document: schema.ServiceDocument | undefined;
};

type Decision = { outcome: schema.ClaimOutcome; record?: KeyRecord };

/** Formats workspace and key as one map key. */
function toTableKey(claim: schema.Claim): string {
  return `${claim.workspace}\u0000${claim.key}`;
}

/** Forgets keys whose calls can no longer arrive. */
export function expireKeys(keys: KeyTable, retentionMs: number, now: number): void {
  let [oldest] = keys;
  while (oldest !== undefined && now - oldest[1].sinceMs > retentionMs) {
    keys.delete(oldest[0]);
    [oldest] = keys;
  }
}

/** Tells whether a claim may replace a binding. */
function hasReplacement(claim: schema.Claim, ref: schema.AttemptRef): boolean {
  const refKey = attemptRef.toRefKey(ref);
  return claim.replaces.some((one) => attemptRef.toRefKey(one) === refKey);
}

/** Binds or closes the key as the claim asks. */
function writeRecord(home: HomeView, claim: schema.Claim, now: number): Decision {
  const { ref, backendServerId, agentLife, contentDigest } = claim;
  const tableKey = toTableKey(claim);
  const bound = ref !== undefined && !claim.close;
  const binding = bound
    ? { ref, backendServerId, agentLife, issuedMs: claim.arrivedMs }
    : undefined;
  // Deleted first, so that the table stays in the order of its changes.
  home.keys.delete(tableKey);
  home.keys.set(tableKey, { contentDigest, sinceMs: now, binding });
  return { outcome: schema.ClaimOutcome.GRANTED };
}

/** Decides on a key that this home knows. */
function resolveKnown(
  home: HomeView,
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
    // Its callers were told "not run". A call from before the close that woke
    // up late would make that untrue; the skew covers clocks that differ.
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
  return hasReplacement(claim, binding.ref)
    ? writeRecord(home, claim, now)
    : { outcome: schema.ClaimOutcome.BOUND, record };
}

/**
 * Tells whether this life knows of every key that could have been bound here.
 *
 * An earlier life may have bound the key. A key issued after this life began cannot
 * have been claimed before; twice the skew, since the entry allows a key that is
 * ahead of its own clock by one. Without an issue time only the end of the retention
 * rules an earlier binding out, or that no caller was let in before this life: on a
 * new fleet each plain key would be undecided for 25 minutes otherwise.
 */
function isCovered(
  { lifeBeganMs, firstTrafficMs }: HomeView,
  { keyIssuedMs }: schema.Claim,
  timing: documentTiming.Timing,
  now: number,
): boolean {
  const skewMs = 2 * timing.clockSkewMs;
  const issuedInThisLife = keyIssuedMs > lifeBeganMs + skewMs;
  const lifeCoversKey = now - lifeBeganMs > keyRetention.computeRetention(timing);
  return issuedInThisLife || lifeCoversKey || lifeBeganMs + skewMs <= firstTrafficMs;
}

/** Decides on a key that this home does not know. */
function resolveUnknown(
  home: HomeView,
  claim: schema.Claim,
  timing: documentTiming.Timing,
  now: number,
): Decision {
  const { keyIssuedMs } = claim;
  if (keyIssuedMs > 0 && now - keyIssuedMs > timing.keyWindowMs) {
    return { outcome: schema.ClaimOutcome.EXPIRED };
  }
  if (!isCovered(home, claim, timing, now) || home.keys.size >= MAX_KEYS) {
    return { outcome: schema.ClaimOutcome.UNDECIDED };
  }
  return writeRecord(home, claim, now);
}

/** Decides on one claim. */
export function resolveClaim(home: HomeView, claim: schema.Claim, now: number): Decision {
  const { document } = home;
  const undecided = { outcome: schema.ClaimOutcome.UNDECIDED };
  // An entry below the settled version may ask other homes than everybody else.
  if (document === undefined || claim.documentVersion < document.settledVersion) {
    return undecided;
  }
  const timing = documentTiming.getTiming(document);
  // A paused entry may send a claim long after its caller has gone, when the
  // record of the key's first call has expired; it would be granted a second run.
  if (now - claim.arrivedMs > timing.maxDeadlineMs + timing.clockSkewMs) {
    return undecided;
  }
  expireKeys(home.keys, keyRetention.computeRetention(timing), now);
  const record = home.keys.get(toTableKey(claim));
  return record === undefined
    ? resolveUnknown(home, claim, timing, now)
    : resolveKnown(home, record, claim, timing, now);
}

/** Answers one claim. */
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
