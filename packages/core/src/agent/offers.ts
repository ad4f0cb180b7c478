/** Handles offers, withdrawals, resumptions and cancellations. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as keyRetention from '../shared/key-retention.js';
import * as suspects from '../shared/suspects.js';
import * as admission from './admission.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as responses from './responses.js';
import * as holds from './holds.js';
import * as refusals from './refusals.js';
import * as reservations from './reservations.js';
import * as runRetention from './run-retention.js';
import * as runRecord from './run-record.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Queues an offer, or starts it at once where a slot is held for it. */
function enqueueOffer(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  offer: schema.Offer,
  now: number,
): Effects {
  const { requestId } = record.ref;
  reservations.dropQueued(state, requestId);
  const held = holds.dropHold(state, requestId) !== undefined;
  const demand = { ...offer, requestId };
  // A suspect waits until nothing else runs, even where a slot is held for it.
  const alone = suspects.isSuspect(state.suspects, offer.contentDigest);
  if (held && !alone && admission.findRefusal(state, demand, now) === undefined) {
    return runs.startAttempt(state, record, now);
  }
  const admitted = admission.admit(state, demand, now);
  if (admitted.kind === 'refused') {
    return [
      ...admitted.effects,
      ...refusals.refuseAttempt(state, record, admitted.code, now),
      ...runs.startQueued(state, now),
    ];
  }
  startQueue.enqueue(state.queue, {
    kind: startQueue.QueuedKind.ATTEMPT,
    id: record.refKey,
    tierRank: offer.tierRank,
    workspace: offer.workspace,
    weight: offer.weight,
    estimatedTokens: offer.estimatedTokens,
    deadlineMs: offer.deadlineMs,
  });
  const accepted = responses.publish(record, agentMessages.buildAccepted(record.ref));
  return [...admitted.effects, ...accepted, ...runs.startQueued(state, now)];
}

/**
 * Whether an offer is too old to be accepted.
 *
 * A copy that was delayed by a paused process or a stalled link may arrive after
 * the record of its attempt has expired, and would then run again. Records are
 * kept longer than offers are accepted, so refusing old offers is enough.
 */
function isStale(state: agentState.AgentState, offer: schema.Offer, now: number): boolean {
  return now - offer.issuedMs > agentState.getTiming(state).keyWindowMs;
}

/** Replies that the agent has restarted: the attempt belongs to an earlier process incarnation. */
function replyAgentRestarted(linkId: number, ref: schema.AttemptRef): Effects {
  const body = agentMessages.buildRunFailed(ref, schema.ResultCode.AGENT_RESTARTED);
  return [agentMessages.sendToEntry(linkId, body)];
}

/** Handles an offer. A copy of the offer of a known attempt never starts it again. */
export function acceptOffer(
  state: agentState.AgentState,
  linkId: number,
  offer: schema.Offer,
  now: number,
): Effects {
  const { ref } = offer;
  if (ref === undefined) {
    return [];
  }
  if (offer.agentLife !== state.life) {
    return replyAgentRestarted(linkId, ref);
  }
  const refKey = attemptRef.toRefKey(ref);
  const known = state.runs.get(refKey);
  if (known !== undefined) {
    const dropped = { kind: 'dropped', reason: effect.DropReason.DUPLICATE } as const;
    return [effect.observe(dropped), ...responses.subscribe(known, linkId, 0)];
  }
  const record = runRecord.makeRunRecord(refKey, ref, offer, now);
  record.subscribers.add(linkId);
  state.runs.set(refKey, record);
  if (isStale(state, offer, now)) {
    return refusals.refuseAttempt(state, record, schema.ResultCode.STALE_OFFER, now);
  }
  return suspects.isBlocked(state.suspects, offer.contentDigest)
    ? refusals.refuseAttempt(state, record, schema.ResultCode.CONTENT_REFUSED, now)
    : enqueueOffer(state, record, offer, now);
}

/**
 * Finds the record of an attempt, or creates a tombstone for an unknown one.
 *
 * The offer may still be in transit. The tombstone makes sure that it is refused
 * on arrival, so that "not run" stays true. Undefined where the record may have
 * expired: a paused entry may ask that late, and "not run" would be wrong for an
 * attempt that ran and was forgotten.
 */
function findOrMakeTombstone(
  state: agentState.AgentState,
  ref: schema.AttemptRef,
  issuedMs: number,
  now: number,
): runRecord.RunRecord | undefined {
  const refKey = attemptRef.toRefKey(ref);
  const known = state.runs.get(refKey);
  if (known !== undefined) {
    return known;
  }
  if (!keyRetention.isRecordRetained(agentState.getTiming(state), issuedMs, now)) {
    return undefined;
  }
  const tombstone = runRecord.makeRunRecord(refKey, ref, undefined, now);
  tombstone.code = schema.ResultCode.CANCELLED;
  runRetention.recordEnded(state.retention, refKey, now);
  state.runs.set(refKey, tombstone);
  return tombstone;
}

/** Replies that it is unknown whether an attempt ran, as its record may have expired. */
function replyUndecided(linkId: number, ref: schema.AttemptRef): Effects {
  const body = agentMessages.buildRunFailed(ref, schema.ResultCode.KEY_UNDECIDED);
  return [agentMessages.sendToEntry(linkId, body)];
}

/** The fields of a withdrawal or a resumption that identify the attempt. */
type AttemptQuery = { ref?: schema.AttemptRef; agentLife: string; issuedMs: number };

type AttemptLookup =
  | { kind: 'known'; record: runRecord.RunRecord }
  /** The message names no attempt, or its outcome is unknown here; the effects reply so. */
  | { kind: 'undetermined'; effects: Effects };

/** Finds the attempt that a withdrawal or a resumption refers to. */
function resolveQuery(
  state: agentState.AgentState,
  linkId: number,
  query: AttemptQuery,
  now: number,
): AttemptLookup {
  const { ref } = query;
  if (ref === undefined) {
    return { kind: 'undetermined', effects: [] };
  }
  if (query.agentLife !== state.life) {
    return { kind: 'undetermined', effects: replyAgentRestarted(linkId, ref) };
  }
  const record = findOrMakeTombstone(state, ref, query.issuedMs, now);
  return record === undefined
    ? { kind: 'undetermined', effects: replyUndecided(linkId, ref) }
    : { kind: 'known', record };
}

/** Withdraws an attempt: refuses it if it is still queued, otherwise reports its status. */
export function withdraw(
  state: agentState.AgentState,
  linkId: number,
  request: schema.Withdraw,
  now: number,
): Effects {
  const lookup = resolveQuery(state, linkId, request, now);
  if (lookup.kind === 'undetermined') {
    return lookup.effects;
  }
  const { record } = lookup;
  if (record.status !== runRecord.RunStatus.QUEUED) {
    return responses.subscribe(record, linkId, record.parts.length);
  }
  record.subscribers.add(linkId);
  return refusals.refuseAttempt(state, record, schema.ResultCode.CANCELLED, now);
}

/** Sends an entry the parts of a response that it lacks, and subscribes it to the rest. */
export function resume(
  state: agentState.AgentState,
  linkId: number,
  request: schema.Resume,
  now: number,
): Effects {
  const lookup = resolveQuery(state, linkId, request, now);
  if (lookup.kind === 'undetermined') {
    return lookup.effects;
  }
  const { record } = lookup;
  // An entry that asks for the attempt of another workspace has mixed up its
  // requests; replying would disclose the data of one workspace to another.
  if (record.offer !== undefined && record.offer.workspace !== request.workspace) {
    const body = agentMessages.buildRunFailed(record.ref, schema.ResultCode.KEY_UNDECIDED);
    return [
      effect.observe({ kind: 'invariantBroken', name: 'workspace-crossed' }),
      agentMessages.sendToEntry(linkId, body),
    ];
  }
  return responses.subscribe(record, linkId, request.nextSequence);
}

/** Handles a caller's disconnect: refuses a queued attempt, cancels a run that may be retried. */
export function cancel(
  state: agentState.AgentState,
  linkId: number,
  request: schema.Cancel,
  now: number,
): Effects {
  const { ref } = request;
  const record = ref && findOrMakeTombstone(state, ref, request.issuedMs, now);
  if (record === undefined) {
    return [];
  }
  record.subscribers.delete(linkId);
  if (record.status === runRecord.RunStatus.QUEUED && record.subscribers.size === 0) {
    return refusals.refuseAttempt(state, record, schema.ResultCode.CANCELLED, now);
  }
  const isCancellable =
    record.status === runRecord.RunStatus.STARTED && record.subscribers.size === 0;
  // A request that may run only once continues: once cancelled, it could be
  // neither retried nor answered when its caller returns.
  if (!isCancellable || record.offer?.repeatable !== true) {
    return [];
  }
  record.cancelled = true;
  return [{ kind: 'cancelOnEngine', refKey: record.refKey }];
}
