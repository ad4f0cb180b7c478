/**
 * Starts and ends attempts. `startOne` is the only place that hands an
 * attempt to the engine.
 */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
import * as engineSpeed from './engine-speed.js';
import * as holds from './holds.js';
import * as places from './places.js';
import * as reachability from './reachability.js';
import * as refusals from './refusals.js';
import * as runMemory from './run-memory.js';
import * as runRecord from './run-record.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Earlier attempts of a request that are looked up when it starts. */
const MAX_EARLIER_ATTEMPTS = 8;

/** HTTP statuses from here on are errors. */
const MIN_ERROR_STATUS = 400;

/** Finds an earlier attempt of the same request that was started here. */
function findStartedBefore(
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

/** Counts a request that is started again, and notes where it may not be. */
function observeRepeat(repeated: runRecord.RunRecord | undefined, offer: schema.Offer): Effects {
  if (repeated === undefined) {
    return [];
  }
  if (!offer.repeatable) {
    return [effect.observe({ kind: 'invariantBroken', name: 'request-started-twice' })];
  }
  // A failed attempt has been counted by the cause of its failure.
  const counted = repeated.status === runRecord.RunStatus.FAILED;
  const cause = effect.WasteCause.REPEATED;
  const tokens = repeated.promptTokens;
  return counted ? [] : [effect.observe({ kind: 'wastedPrefill', cause, tokens })];
}

/** Hands one attempt to the engine. */
export function startOne(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  const { offer } = record;
  if (offer === undefined || record.status !== runRecord.RunStatus.QUEUED) {
    return [effect.observe({ kind: 'invariantBroken', name: 'started-twice' })];
  }
  const repeated = findStartedBefore(state, record);
  const waitedMs = now - record.changedMs;
  // Recorded before the first byte goes out: a copy of the offer that comes
  // later finds the record and is not started a second time.
  record.status = runRecord.RunStatus.STARTED;
  record.changedMs = now;
  const alone = suspects.isSuspect(state.suspects, offer.contentDigest);
  state.soloRefKey = alone ? record.refKey : state.soloRefKey;
  const inCompany = alone && state.running.size > 0;
  runRecord.dropPayload(record);
  state.running.add(record.refKey);
  state.runningTokens += offer.estimatedTokens;
  return [
    ...observeRepeat(repeated, offer),
    ...(inCompany ? [effect.observe({ kind: 'invariantBroken', name: 'suspect-in-company' })] : []),
    effect.observe({ kind: 'queueWait', tier: String(offer.tierRank), ms: waitedMs }),
    effect.logDecision('start', {
      request: record.refKey,
      tierRank: offer.tierRank,
      queued: startQueue.countQueued(state.queue),
      running: state.running.size,
      alone,
    }),
    ...answers.publish(record, agentMessages.buildStarted(record.ref)),
    { kind: 'startOnEngine', refKey: record.refKey, offer },
  ];
}

/** Starts an attempt, or grants a reservation, whose turn it is. */
function serveItem(
  state: agentState.AgentState,
  item: startQueue.QueuedItem,
  now: number,
): Effects {
  startQueue.takeItem(state.queue, item);
  engineSpeed.noteDrained(state.speed, item.estimatedTokens);
  if (item.kind === startQueue.QueuedKind.RESERVATION) {
    const queued = state.reservations.get(item.id);
    state.reservations.delete(item.id);
    return queued === undefined ? [] : holds.holdPlace(state, queued, item.estimatedTokens, now);
  }
  const record = state.runs.get(item.id);
  return record === undefined ? [] : startOne(state, record, now);
}

/** Says what an item asks of the engine. */
function toDemand(state: agentState.AgentState, item: startQueue.QueuedItem): places.PlaceDemand {
  const { tierRank, estimatedTokens } = item;
  const digest = state.runs.get(item.id)?.offer?.contentDigest ?? '';
  return { tierRank, estimatedTokens, alone: suspects.isSuspect(state.suspects, digest) };
}

/** Starts what is queued while the engine has places. */
export function startQueued(state: agentState.AgentState, now: number): Effects {
  places.noteTime(state, now);
  const effects: Effects = [];
  for (;;) {
    const item = startQueue.findNext(state.queue);
    if (item === undefined || !places.hasRoom(state, toDemand(state, item))) {
      return effects;
    }
    // Work that cannot end in time would only take the place of work that can.
    effects.push(
      ...(reachability.isRunReachable(state, item, 0, now)
        ? serveItem(state, item, now)
        : refusals.refuseItem(state, item, schema.ResultCode.DEADLINE_UNREACHABLE, now)),
    );
  }
}

/** Ends a started attempt and frees its place. */
export function endRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  status: runRecord.RunStatus.COMPLETED | runRecord.RunStatus.FAILED,
  now: number,
): void {
  // Requests that the engine turned away took no time for their tokens.
  const answered = runRecord.getStatus(record) < MIN_ERROR_STATUS;
  if (status === runRecord.RunStatus.COMPLETED && answered) {
    const queued = startQueue.countQueued(state.queue) > 0;
    const tokens = record.offer?.estimatedTokens ?? 0;
    engineSpeed.noteRun(state.speed, tokens, now - record.changedMs, queued);
  }
  record.status = status;
  record.changedMs = now;
  runMemory.noteEnded(state.memory, record.refKey, now);
  releasePlace(state, record);
}

/** Frees the place of an attempt that no longer runs. */
export function releasePlace(state: agentState.AgentState, record: runRecord.RunRecord): void {
  if (state.soloRefKey === record.refKey) {
    state.soloRefKey = '';
  }
  if (state.running.delete(record.refKey)) {
    state.runningTokens -= record.offer?.estimatedTokens ?? 0;
  }
}
