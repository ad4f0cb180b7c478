/** Handles what the engine says of the attempts it runs. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
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

/** Completes an attempt with the count of its parts. */
function completeRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  const end = schema.create(schema.AnswerEndSchema, { partCount: record.parts.length + 1 });
  runs.endRun(state, record, runRecord.RunStatus.COMPLETED, now);
  const effects = answers.addPart(record, { case: 'end', value: end });
  record.subscribers.clear();
  answers.keepAnswer(state, record);
  const cleared = crashSuspects.clearSuspicion(state, record, now);
  return [...effects, ...cleared, ...runs.startQueued(state, now)];
}

/** Maps an engine fault to the code that callers see. */
function toResultCode(fault: agentEvent.EngineFault): schema.ResultCode {
  return fault === agentEvent.EngineFault.CRASHED
    ? schema.ResultCode.ENGINE_CRASHED
    : schema.ResultCode.ENGINE_FAILED;
}

/** Names the cause for which the prompt work of a failed attempt is lost. */
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

/** Ends an attempt whose engine gave no whole answer. */
function failRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  fault: agentEvent.EngineFault,
  now: number,
): Effects {
  record.code = toResultCode(fault);
  runs.endRun(state, record, runRecord.RunStatus.FAILED, now);
  record.parts = [];
  const effects = answers.publish(record, agentMessages.buildRunFailed(record.ref, record.code));
  record.subscribers.clear();
  const cause = toWasteCause(record, fault);
  return [
    effect.observe({ kind: 'wastedPrefill', cause, tokens: record.promptTokens }),
    ...effects,
    ...runs.startQueued(state, now),
  ];
}

/** Takes the engine out of use and records what ran at its crash. */
function handleCrash(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  // Each attempt's connection breaks by itself, some after the engine is back.
  // The first one tells of the crash; one crash must not count for more.
  const noted = record.crashed
    ? []
    : [
        ...crashSuspects.recordCrash(state, now),
        ...engineAvailability.setAvailable(state, false, now),
      ];
  return [...noted, ...failRun(state, record, agentEvent.EngineFault.CRASHED, now)];
}

/**
 * Ends an attempt whose connection the engine refused.
 *
 * The system refused to connect, so not one byte of the request left this
 * process: it is as certain as for a queued attempt that it did not run, and
 * that may be confirmed though it was marked as started. A connection that was
 * made and then broke is another fault and counts as run.
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

/** Ends an attempt by the fault that its daemon met. */
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

/** Measures streamed answers; others come all at the end and tell nothing on the way. */
function notePiece(state: agentState.AgentState, record: runRecord.RunRecord, now: number): void {
  const [head] = record.parts;
  const streamed = head?.case === 'head' && head.value.contentType.startsWith(EVENT_STREAM);
  if (!streamed) {
    return;
  }
  engineLimit.notePiece(state.limit);
  if (record.parts.length === 1) {
    const { promptTokens } = record;
    const run = { promptTokens, ms: now - record.changedMs };
    engineLimit.noteFirstByte(state.limit, agentState.getLimits(state), run, now);
  }
}

/** Applies one engine event; events of attempts that have ended are dropped. */
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
      return answers.addPart(record, { case: 'head', value: head });
    }
    case 'engineData':
      notePiece(state, record, now);
      return answers.addPart(record, { case: 'data', value: event.data });
    case 'engineEnd':
      return completeRun(state, record, now);
    default:
      return handleFault(state, record, event.fault, now);
  }
}
