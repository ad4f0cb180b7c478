/** Refuses attempts and reservations, and confirms to entries that they were not run. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as responses from './responses.js';
import * as holds from './holds.js';
import * as deadlineFeasibility from './deadline-feasibility.js';
import * as reservation from './reservation.js';
import * as runRetention from './run-retention.js';
import * as runRecord from './run-record.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Ends an attempt as not run and keeps its record as a tombstone. */
export function refuseAttempt(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  code: schema.ResultCode,
  now: number,
): Effects {
  startQueue.removeItem(state.queue, startQueue.QueuedKind.ATTEMPT, record.refKey);
  record.status = runRecord.RunStatus.NOT_RUN;
  record.code = code;
  record.changedMs = now;
  runRecord.dropPayload(record);
  runRetention.recordEnded(state.retention, record.refKey, now);
  const retryAfterMs = deadlineFeasibility.estimateRetryMs(state, code);
  const result = schema.ResultCode[code];
  const body = agentMessages.buildNotRun(record.ref, code, retryAfterMs);
  const effects = responses.publish(record, body);
  record.subscribers.clear();
  return [
    effect.logDecision('refuse', { request: record.refKey, result, retryAfterMs }),
    ...effects,
  ];
}

/** Sends an entry the refusal of its reservation. */
export function sendReserveRefused(
  state: agentState.AgentState,
  linkId: number,
  requestId: string,
  code: schema.ResultCode,
): Effects {
  const retryAfterMs = deadlineFeasibility.estimateRetryMs(state, code);
  const result = schema.ResultCode[code];
  const body = agentMessages.buildReserveRefused(requestId, code, retryAfterMs);
  return [
    effect.logDecision('refuse-reservation', { request: requestId, result, retryAfterMs }),
    agentMessages.sendToEntry(linkId, body),
  ];
}

/** Removes a reservation from the queue and sends its entry the refusal. */
export function refuseReservation(
  state: agentState.AgentState,
  requestId: string,
  code: schema.ResultCode,
): Effects {
  const queued = state.reservations.get(requestId);
  state.reservations.delete(requestId);
  startQueue.removeItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
  if (queued === undefined) {
    return [];
  }
  return sendReserveRefused(state, queued.linkId, requestId, code);
}

/** Frees a held slot and sends its entry the refusal. */
export function refuseHold(
  state: agentState.AgentState,
  hold: reservation.Hold,
  code: schema.ResultCode,
): Effects {
  holds.dropHold(state, hold.requestId);
  return sendReserveRefused(state, hold.linkId, hold.requestId, code);
}

/** Refuses the attempt or the reservation of a queued item. */
export function refuseItem(
  state: agentState.AgentState,
  item: startQueue.QueuedItem,
  code: schema.ResultCode,
  now: number,
): Effects {
  if (item.kind === startQueue.QueuedKind.RESERVATION) {
    return refuseReservation(state, item.id, code);
  }
  const record = state.runs.get(item.id);
  return record === undefined ? [] : refuseAttempt(state, record, code, now);
}

/** Whether an item is an attempt with blocked content. */
function isBlocked(state: agentState.AgentState, item: startQueue.QueuedItem): boolean {
  const digest = state.runs.get(item.id)?.offer?.contentDigest ?? '';
  const isAttempt = item.kind === startQueue.QueuedKind.ATTEMPT;
  return isAttempt && suspects.isBlocked(state.suspects, digest);
}

/** Refuses queued attempts whose content has crashed engines too often. */
export function refuseBlocked(state: agentState.AgentState, now: number): Effects {
  return startQueue
    .listItems(state.queue)
    .filter((item) => isBlocked(state, item))
    .flatMap((item) => refuseItem(state, item, schema.ResultCode.CONTENT_REFUSED, now));
}

/** Refuses everything that is queued and frees every held slot. */
export function refuseAll(
  state: agentState.AgentState,
  code: schema.ResultCode,
  now: number,
): Effects {
  const refusedHolds = [...state.holds.values()].flatMap((hold) => refuseHold(state, hold, code));
  const refused = startQueue
    .listItems(state.queue)
    .flatMap((item) => refuseItem(state, item, code, now));
  return [...refused, ...refusedHolds];
}
