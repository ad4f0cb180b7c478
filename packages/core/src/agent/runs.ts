/**
 * Starts and ends attempts. `startAttempt` is the only function that hands an
 * attempt to the engine.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as responses from './responses.js';
import * as engineSpeed from './engine-speed.js';
import * as holds from './holds.js';
import * as places from './places.js';
import * as deadlineFeasibility from './deadline-feasibility.js';
import * as refusals from './refusals.js';
import * as runRetention from './run-retention.js';
import * as runRecord from './run-record.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** How many earlier attempts of a request are looked up when it starts. */
const MAX_EARLIER_ATTEMPTS = 8;

/** From this HTTP status on a response is an error. */
const MIN_ERROR_STATUS = 400;

/** Finds an earlier attempt of the same request that was started on this agent. */
function findEarlierStarted(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
): runRecord.RunRecord | undefined {
  const { requestId, attempt } = record.ref;
  const first = Math.max(attempt - MAX_EARLIER_ATTEMPTS, 0);
  return Array.from({ length: attempt - first }, (_, index) => first + index)
    .flatMap((earlier) => {
      const refKey = attemptRef.toRefKey(attemptRef.buildRef(requestId, earlier));
      return state.runs.get(refKey) ?? [];
    })
    .find((earlier) => earlier.status !== runRecord.RunStatus.NOT_RUN && earlier !== record);
}

/** Counts a request that is started again; a broken invariant where it may run only once. */
function observeRetry(repeated: runRecord.RunRecord | undefined, offer: schema.Offer): Effects {
  if (repeated === undefined) {
    return [];
  }
  if (!offer.repeatable) {
    return [effect.observe({ kind: 'invariantBroken', name: 'request-started-twice' })];
  }
  // The prefill of a failed attempt has already been counted by the cause of its failure.
  const counted = repeated.status === runRecord.RunStatus.FAILED;
  const cause = effect.WasteCause.REPEATED;
  const tokens = repeated.promptTokens;
  return counted ? [] : [effect.observe({ kind: 'wastedPrefill', cause, tokens })];
}

/** Hands one attempt to the engine. */
export function startAttempt(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  const { offer } = record;
  if (offer === undefined || record.status !== runRecord.RunStatus.QUEUED) {
    return [effect.observe({ kind: 'invariantBroken', name: 'started-twice' })];
  }
  const repeated = findEarlierStarted(state, record);
  const waitedMs = now - record.changedMs;
  // Recorded before the first byte is sent: a later copy of the offer finds the
  // record and is not started a second time.
  record.status = runRecord.RunStatus.STARTED;
  record.changedMs = now;
  const alone = suspects.isSuspect(state.suspects, offer.contentDigest);
  state.exclusiveRefKey = alone ? record.refKey : state.exclusiveRefKey;
  const isConcurrent = alone && state.running.size > 0;
  runRecord.dropPayload(record);
  state.running.add(record.refKey);
  state.runningTokens += offer.estimatedTokens;
  return [
    ...observeRetry(repeated, offer),
    ...(isConcurrent
      ? [effect.observe({ kind: 'invariantBroken', name: 'suspect-in-company' })]
      : []),
    effect.observe({ kind: 'queueWait', tier: String(offer.tierRank), ms: waitedMs }),
    effect.logDecision('start', {
      request: record.refKey,
      tierRank: offer.tierRank,
      queued: startQueue.countQueued(state.queue),
      running: state.running.size,
      alone,
    }),
    ...responses.publish(record, agentMessages.buildStarted(record.ref)),
    { kind: 'startOnEngine', refKey: record.refKey, offer },
  ];
}

/** Dequeues an item: starts its attempt or grants its reservation. */
function startItem(
  state: agentState.AgentState,
  item: startQueue.QueuedItem,
  now: number,
): Effects {
  startQueue.takeItem(state.queue, item);
  engineSpeed.recordDequeued(state.speed, item.estimatedTokens);
  if (item.kind === startQueue.QueuedKind.RESERVATION) {
    const queued = state.reservations.get(item.id);
    state.reservations.delete(item.id);
    return queued === undefined ? [] : holds.holdPlace(state, queued, item.estimatedTokens, now);
  }
  const record = state.runs.get(item.id);
  return record === undefined ? [] : startAttempt(state, record, now);
}

/** Returns what a queued item needs of the engine. */
function toDemand(state: agentState.AgentState, item: startQueue.QueuedItem): places.PlaceDemand {
  const { tierRank, estimatedTokens } = item;
  const digest = state.runs.get(item.id)?.offer?.contentDigest ?? '';
  return { tierRank, estimatedTokens, alone: suspects.isSuspect(state.suspects, digest) };
}

/** Starts queued items while the engine has free slots. */
export function startQueued(state: agentState.AgentState, now: number): Effects {
  places.recordTime(state, now);
  const effects: Effects = [];
  for (;;) {
    const item = startQueue.findNext(state.queue);
    if (item === undefined || !places.hasCapacity(state, toDemand(state, item))) {
      return effects;
    }
    // Work that cannot meet its deadline would only take the slot of work that can.
    effects.push(
      ...(deadlineFeasibility.isRunFeasible(state, item, 0, now)
        ? startItem(state, item, now)
        : refusals.refuseItem(state, item, schema.ResultCode.DEADLINE_UNREACHABLE, now)),
    );
  }
}

/** Ends a started attempt and frees its slot. */
export function endRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  status: runRecord.RunStatus.COMPLETED | runRecord.RunStatus.FAILED,
  now: number,
): void {
  // A request that the engine rejected does not count: its tokens took no time.
  const succeeded = runRecord.getHttpStatus(record) < MIN_ERROR_STATUS;
  if (status === runRecord.RunStatus.COMPLETED && succeeded) {
    const queued = startQueue.countQueued(state.queue) > 0;
    const tokens = record.offer?.estimatedTokens ?? 0;
    engineSpeed.recordRun(state.speed, tokens, now - record.changedMs, queued);
  }
  record.status = status;
  record.changedMs = now;
  runRetention.recordEnded(state.retention, record.refKey, now);
  releasePlace(state, record);
}

/** Frees the slot of an attempt that no longer runs. */
export function releasePlace(state: agentState.AgentState, record: runRecord.RunRecord): void {
  if (state.exclusiveRefKey === record.refKey) {
    state.exclusiveRefKey = '';
  }
  if (state.running.delete(record.refKey)) {
    state.runningTokens -= record.offer?.estimatedTokens ?? 0;
  }
}
