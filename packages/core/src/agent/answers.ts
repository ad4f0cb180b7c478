/** Keeps the parts of answers and sends them to the links that want them. */
import * as schema from '@toucanproxy/schema';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as runMemory from './run-memory.js';
import * as runRecord from './run-record.js';

type Effects = agentEvent.AgentEffect[];

/** Sends one message to each link that wants this attempt's answer. */
export function publish(
  record: runRecord.RunRecord,
  body: schema.AgentMessage['body'],
): agentEvent.AgentEffect[] {
  return [...record.subscribers].map((linkId) => agentMessages.sendToEntry(linkId, body));
}

/** Adds a part to an answer and sends it on. */
export function addPart(record: runRecord.RunRecord, content: runRecord.PartContent): Effects {
  const sequence = record.parts.length;
  record.parts.push(content);
  return publish(record, agentMessages.buildPart(record.ref, sequence, content));
}

/** Builds the message that says what became of an attempt so far, without its parts. */
function describeStatus(record: runRecord.RunRecord): schema.AgentMessage['body'] | undefined {
  switch (record.status) {
    case runRecord.RunStatus.QUEUED:
      return agentMessages.buildAccepted(record.ref);
    case runRecord.RunStatus.STARTED:
      return agentMessages.buildStarted(record.ref);
    case runRecord.RunStatus.NOT_RUN:
      return agentMessages.buildNotRun(record.ref, record.code, 0);
    case runRecord.RunStatus.COMPLETED:
      return record.answerDropped
        ? agentMessages.buildRunFailed(record.ref, schema.ResultCode.ANSWER_BROKEN)
        : undefined;
    case runRecord.RunStatus.FAILED:
      return agentMessages.buildRunFailed(record.ref, record.code);
    default:
      return undefined;
  }
}

/** Sends a link what it misses of an attempt and subscribes it to the rest. */
export function subscribe(
  record: runRecord.RunRecord,
  linkId: number,
  nextSequence: number,
): Effects {
  const missing = record.parts
    .slice(nextSequence)
    .map((content, index) =>
      agentMessages.sendToEntry(
        linkId,
        agentMessages.buildPart(record.ref, nextSequence + index, content),
      ),
    );
  const status = describeStatus(record);
  const statusEffects = status === undefined ? [] : [agentMessages.sendToEntry(linkId, status)];
  if (!runRecord.isEnded(record)) {
    record.subscribers.add(linkId);
  }
  return [...missing, ...statusEffects];
}

/** Drops the bytes of ended answers that no longer fit. */
function trimAnswers(state: agentState.AgentState): void {
  runMemory
    .takeExcessAnswers(state.memory, runMemory.MAX_ANSWER_BYTES)
    .flatMap((refKey) => state.runs.get(refKey) ?? [])
    .forEach((record) => {
      record.parts = [];
      record.answerDropped = true;
    });
}

/** Keeps the answer of an attempt that has ended until it is acknowledged. */
export function keepAnswer(state: agentState.AgentState, record: runRecord.RunRecord): void {
  runMemory.keepAnswer(state.memory, record);
  trimAnswers(state);
}

/**
 * Notes the answer that an entry has received whole.
 *
 * The record itself stays: without it a late copy of the offer would start a
 * second run. Records expire only when such a copy would be refused as stale.
 */
export function acknowledge(state: agentState.AgentState, refKey: string, next: number): void {
  const record = state.runs.get(refKey);
  if (record === undefined || record.status !== runRecord.RunStatus.COMPLETED) {
    return;
  }
  if (next >= record.parts.length) {
    runMemory.noteAcknowledged(state.memory, refKey);
  }
}
