/** Handles what the engine says of the attempts it runs. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
import * as runRecord from './run-record.js';
import * as runs from './runs.js';

type Effects = agentEvent.AgentEffect[];
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
  return [...effects, ...runs.startQueued(state, now)];
}

/** Maps an engine fault to the code that callers see. */
function toResultCode(fault: agentEvent.EngineFault): schema.ResultCode {
  return fault === agentEvent.EngineFault.CRASHED
    ? schema.ResultCode.ENGINE_CRASHED
    : schema.ResultCode.ENGINE_FAILED;
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
  const tokens = record.offer?.estimatedTokens ?? 0;
  const effects = answers.publish(record, agentMessages.buildRunFailed(record.ref, record.code));
  record.subscribers.clear();
  return [
    effect.observe({ kind: 'wastedPrefill', cause: effect.WasteCause.CRASHED, tokens }),
    ...effects,
    ...runs.startQueued(state, now),
  ];
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
      return answers.addPart(record, { case: 'data', value: event.data });
    case 'engineEnd':
      return completeRun(state, record, now);
    default:
      return failRun(state, record, event.fault, now);
  }
}
