/** Handles the engine's events about the attempts that it runs. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as responses from './responses.js';
import * as crashSuspects from './crash-suspects.js';
import * as engineLimit from './engine-limit.js';
import * as engineAvailability from './engine-availability.js';
import * as refusals from './refusals.js';
import * as runRecord from './run-record.js';
import * as runs from './runs.js';

type Effects = agentEvent.AgentEffect[];

const EVENT_STREAM = 'text/event-stream';
type EngineEvent = Extract<
  agentEvent.AgentEvent,
  { kind: 'engineHead' | 'engineData' | 'engineEnd' | 'engineFailed' }
>;

/** Ends an attempt as completed and sends the end part with the number of parts. */
function completeRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  const end = schema.create(schema.AnswerEndSchema, { partCount: record.parts.length + 1 });
  runs.endRun(state, record, runRecord.RunStatus.COMPLETED, now);
  const effects = responses.addPart(record, { case: 'end', value: end });
  record.subscribers.clear();
  responses.keepResponse(state, record);
  const cleared = crashSuspects.clearSuspicion(state, record, now);
  return [...effects, ...cleared, ...runs.startQueued(state, now)];
}

/** Maps an engine fault to the result code that callers receive. */
function toResultCode(fault: agentEvent.EngineFault): schema.ResultCode {
  return fault === agentEvent.EngineFault.CRASHED
    ? schema.ResultCode.ENGINE_CRASHED
    : schema.ResultCode.ENGINE_FAILED;
}

/** Returns the cause under which the prefill of a failed attempt is counted as wasted. */
function toWasteCause(
  record: runRecord.RunRecord,
  fault: agentEvent.EngineFault,
): effect.WasteCause {
  if (record.cancelled) {
    return effect.WasteCause.CANCELLED;
  }
  return fault === agentEvent.EngineFault.CRASHED
    ? effect.WasteCause.CRASHED
    : effect.WasteCause.FAILED;
}

/** Ends an attempt as failed: the engine gave no complete response. */
function failRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  fault: agentEvent.EngineFault,
  now: number,
): Effects {
  record.code = toResultCode(fault);
  runs.endRun(state, record, runRecord.RunStatus.FAILED, now);
  record.parts = [];
  const effects = responses.publish(record, agentMessages.buildRunFailed(record.ref, record.code));
  record.subscribers.clear();
  const cause = toWasteCause(record, fault);
  return [
    effect.observe({ kind: 'wastedPrefill', cause, tokens: record.promptTokens }),
    ...effects,
    ...runs.startQueued(state, now),
  ];
}

/** Handles a crash: marks what was running, takes the engine out of use and fails the attempt. */
function handleCrash(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  // The connection of each running attempt breaks separately, some of them after the engine has
  // restarted. Only the first one counts as a crash; it marks all attempts that ran.
  const noted = record.crashed
    ? []
    : [
        ...crashSuspects.recordCrash(state, now),
        ...engineAvailability.setAvailable(state, false, now),
      ];
  return [...noted, ...failRun(state, record, agentEvent.EngineFault.CRASHED, now)];
}

/**
 * Ends an attempt whose connection to the engine was refused.
 *
 * No byte of the request left this process, so the attempt certainly did not
 * run and is confirmed as not run although it was marked as started. A
 * connection that was made and then broke is another fault and counts as run.
 */
function handleUnreachable(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  if (record.parts.length > 0) {
    const broken = effect.observe({ kind: 'invariantBroken', name: 'answered-unreachable' });
    return [broken, ...failRun(state, record, agentEvent.EngineFault.FAILED, now)];
  }
  runs.releasePlace(state, record);
  return [
    ...refusals.refuseAttempt(state, record, schema.ResultCode.NO_BACKEND_SERVER, now),
    ...engineAvailability.setAvailable(state, false, now),
  ];
}

/** Ends an attempt according to the fault that the engine client reports. */
function handleFault(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  fault: agentEvent.EngineFault,
  now: number,
): Effects {
  switch (fault) {
    case agentEvent.EngineFault.CRASHED:
      return handleCrash(state, record, now);
    case agentEvent.EngineFault.UNREACHABLE:
      return handleUnreachable(state, record, now);
    default:
      return failRun(state, record, fault, now);
  }
}

/**
 * Records a chunk of a streamed response. Other responses arrive all at once at the end and do
 * not show when the engine began to respond.
 */
function recordChunk(state: agentState.AgentState, record: runRecord.RunRecord, now: number): void {
  const [head] = record.parts;
  const streamed = head?.case === 'head' && head.value.contentType.startsWith(EVENT_STREAM);
  if (!streamed) {
    return;
  }
  engineLimit.recordChunk(state.limit);
  if (record.parts.length === 1) {
    const { promptTokens } = record;
    const run = { promptTokens, ms: now - record.changedMs };
    engineLimit.recordFirstByte(state.limit, agentState.getLimits(state), run, now);
  }
}

/** Applies one engine event; events about attempts that are not running are dropped. */
export function handleEngineEvent(
  state: agentState.AgentState,
  event: EngineEvent,
  now: number,
): Effects {
  const record = state.runs.get(event.refKey);
  if (record?.status !== runRecord.RunStatus.STARTED) {
    return [effect.observe({ kind: 'dropped', reason: effect.DropReason.OLD_ATTEMPT })];
  }
  switch (event.kind) {
    case 'engineHead': {
      const { status, contentType } = event;
      const head = schema.create(schema.AnswerHeadSchema, { status, contentType });
      return responses.addPart(record, { case: 'head', value: head });
    }
    case 'engineData':
      recordChunk(state, record, now);
      return responses.addPart(record, { case: 'data', value: event.data });
    case 'engineEnd':
      return completeRun(state, record, now);
    default:
      return handleFault(state, record, event.fault, now);
  }
}
