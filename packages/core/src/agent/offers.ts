/** Decides on offers, withdrawals, resumptions and cancellations. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as keyRetention from '../shared/key-retention.js';
import * as suspects from '../shared/suspects.js';
import * as admission from './admission.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
import * as holds from './holds.js';
import * as refusals from './refusals.js';
import * as reservations from './reservations.js';
import * as runMemory from './run-memory.js';
import * as runRecord from './run-record.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Queues an offer, or starts it where a place is held for it. */
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
  // A suspect waits until nothing else runs, also where a place is held for it.
  const alone = suspects.isSuspect(state.suspects, offer.contentDigest);
  if (held && !alone && admission.findRefusal(state, demand, now) === undefined) {
    return runs.startOne(state, record, now);
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
  const accepted = answers.publish(record, agentMessages.buildAccepted(record.ref));
  return [...admitted.effects, ...accepted, ...runs.startQueued(state, now)];
}

/**
 * Tells whether an offer is too old to be taken.
 *
 * A copy that was held up (a paused process, a silent link) may arrive after
 * the record of its attempt has expired, and would then run again. Records are
 * kept longer than offers are accepted, so refusing old offers is enough.
 */
function isStale(state: agentState.AgentState, offer: schema.Offer, now: number): boolean {
  return now - offer.issuedMs > agentState.getTiming(state).keyWindowMs;
}

/** Tells an entry that this life cannot say what an earlier one did. */
function replyOtherLife(linkId: number, ref: schema.AttemptRef): Effects {
  const body = agentMessages.buildRunFailed(ref, schema.ResultCode.AGENT_RESTARTED);
  return [agentMessages.sendToEntry(linkId, body)];
}

/** Decides on an offer. A copy of a known attempt never starts again. */
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
    return replyOtherLife(linkId, ref);
  }
  const refKey = attemptRef.toRefKey(ref);
  const known = state.runs.get(refKey);
  if (known !== undefined) {
    const dropped = { kind: 'dropped', reason: effect.DropReason.DUPLICATE } as const;
    return [effect.observe(dropped), ...answers.subscribe(known, linkId, 0)];
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
 * Finds the record of an attempt, or makes a tombstone where none is known.
 *
 * The offer may still be on its way. With the tombstone in place it is refused
 * when it comes, so that "not run" stays true. Undefined where the record may
 * have expired: an entry that was paused asks late, and "not run" would be
 * wrong for an attempt that ran and was forgotten.
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
  runMemory.noteEnded(state.memory, refKey, now);
  state.runs.set(refKey, tombstone);
  return tombstone;
}

/** Tells an entry that this agent may have forgotten an attempt. */
function replyForgotten(linkId: number, ref: schema.AttemptRef): Effects {
  const body = agentMessages.buildRunFailed(ref, schema.ResultCode.KEY_UNDECIDED);
  return [agentMessages.sendToEntry(linkId, body)];
}

/** What withdrawals and resumptions have in common. */
type Question = { ref?: schema.AttemptRef; agentLife: string; issuedMs: number };

type Answer =
  | { kind: 'known'; record: runRecord.RunRecord }
  /** This agent cannot say what became of the attempt, or was not asked. */
  | { kind: 'untold'; effects: Effects };

/** Finds the attempt that an entry asks about. */
function findAsked(
  state: agentState.AgentState,
  linkId: number,
  question: Question,
  now: number,
): Answer {
  const { ref } = question;
  if (ref === undefined) {
    return { kind: 'untold', effects: [] };
  }
  if (question.agentLife !== state.life) {
    return { kind: 'untold', effects: replyOtherLife(linkId, ref) };
  }
  const record = findOrMakeTombstone(state, ref, question.issuedMs, now);
  return record === undefined
    ? { kind: 'untold', effects: replyForgotten(linkId, ref) }
    : { kind: 'known', record };
}

/** Answers an entry that wants an attempt confirmed as not run. */
export function withdraw(
  state: agentState.AgentState,
  linkId: number,
  request: schema.Withdraw,
  now: number,
): Effects {
  const answer = findAsked(state, linkId, request, now);
  if (answer.kind === 'untold') {
    return answer.effects;
  }
  const { record } = answer;
  if (record.status !== runRecord.RunStatus.QUEUED) {
    return answers.subscribe(record, linkId, record.parts.length);
  }
  record.subscribers.add(linkId);
  return refusals.refuseAttempt(state, record, schema.ResultCode.CANCELLED, now);
}

/** Sends an entry what it misses of an attempt. */
export function resume(
  state: agentState.AgentState,
  linkId: number,
  request: schema.Resume,
  now: number,
): Effects {
  const answer = findAsked(state, linkId, request, now);
  if (answer.kind === 'untold') {
    return answer.effects;
  }
  const { record } = answer;
  // An entry that asks for another workspace's attempt has crossed its
  // requests; answering would show one workspace's work to another.
  if (record.offer !== undefined && record.offer.workspace !== request.workspace) {
    const body = agentMessages.buildRunFailed(record.ref, schema.ResultCode.KEY_UNDECIDED);
    return [
      effect.observe({ kind: 'invariantBroken', name: 'workspace-crossed' }),
      agentMessages.sendToEntry(linkId, body),
    ];
  }
  return answers.subscribe(record, linkId, request.nextSequence);
}

/** Handles a caller's leaving: a queued attempt is refused, a run may be cut. */
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
  const cuttable = record.status === runRecord.RunStatus.STARTED && record.subscribers.size === 0;
  // A request that may run only once runs on: cut short, it could be neither
  // repeated nor answered when its caller comes back.
  if (!cuttable || record.offer?.repeatable !== true) {
    return [];
  }
  record.cancelled = true;
  return [{ kind: 'cancelOnEngine', refKey: record.refKey }];
}
