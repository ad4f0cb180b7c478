/** Confirms that attempts and reservations were not run. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
import * as runRecord from './run-record.js';
import * as startQueue from './start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Ends an attempt as not run and leaves its record as a tombstone. */
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
  const body = agentMessages.buildNotRun(record.ref, code, 0);
  const effects = answers.publish(record, body);
  record.subscribers.clear();
  return [
    effect.logDecision('refuse', { request: record.refKey, result: schema.ResultCode[code] }),
    ...effects,
  ];
}

/** Takes a reservation out of the queue and tells its entry. */
export function refuseReservation(
  state: agentState.AgentState,
  requestId: string,
  code: schema.ResultCode,
): Effects {
  const reservation = state.reservations.get(requestId);
  state.reservations.delete(requestId);
  startQueue.removeItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
  if (reservation === undefined) {
    return [];
  }
  const body = agentMessages.buildReserveRefused(requestId, code, 0);
  return [agentMessages.sendToEntry(reservation.linkId, body)];
}

/** Refuses whatever is queued under an item. */
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

/** Refuses everything queued. */
export function refuseAll(
  state: agentState.AgentState,
  code: schema.ResultCode,
  now: number,
): Effects {
  return startQueue.listItems(state.queue).flatMap((item) => refuseItem(state, item, code, now));
}
