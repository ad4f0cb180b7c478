/** Stores the parts of responses and sends them to the links that subscribe to them. */
import * as schema from '@toucanproxy/schema';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as runRetention from './run-retention.js';
import * as runRecord from './run-record.js';

type Effects = agentEvent.AgentEffect[];

/** Sends one message to each link that subscribes to an attempt. */
export function publish(
  record: runRecord.RunRecord,
  body: schema.AgentMessage['body'],
): agentEvent.AgentEffect[] {
  return [...record.subscribers].map((linkId) => agentMessages.sendToEntry(linkId, body));
}

/** Appends a part to a response and sends it to the subscribers. */
export function addPart(record: runRecord.RunRecord, content: runRecord.PartContent): Effects {
  const sequence = record.parts.length;
  record.parts.push(content);
  return publish(record, agentMessages.buildPart(record.ref, sequence, content));
}

/** Builds the message that reports an attempt's status; undefined where its parts tell it. */
function describeStatus(record: runRecord.RunRecord): schema.AgentMessage['body'] | undefined {
  switch (record.status) {
    case runRecord.RunStatus.QUEUED:
      return agentMessages.buildAccepted(record.ref);
    case runRecord.RunStatus.STARTED:
      return agentMessages.buildStarted(record.ref);
    case runRecord.RunStatus.NOT_RUN:
      return agentMessages.buildNotRun(record.ref, record.code, 0);
    case runRecord.RunStatus.COMPLETED:
      return record.responseDropped
        ? agentMessages.buildRunFailed(record.ref, schema.ResultCode.ANSWER_BROKEN)
        : undefined;
    case runRecord.RunStatus.FAILED:
      return agentMessages.buildRunFailed(record.ref, record.code);
    default:
      return undefined;
  }
}

/** Sends a link the parts from `nextSequence` on and the status, and subscribes it to the rest. */
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

/** Drops complete responses until the others fit into the memory limit. */
function trimResponses(state: agentState.AgentState): void {
  runRetention
    .takeExcessResponses(state.retention, runRetention.MAX_RESPONSE_BYTES)
    .flatMap((refKey) => state.runs.get(refKey) ?? [])
    .forEach((record) => {
      record.parts = [];
      record.responseDropped = true;
    });
}

/** Keeps a completed response, so that it can be resumed, within the memory limit. */
export function keepResponse(state: agentState.AgentState, record: runRecord.RunRecord): void {
  runRetention.keepResponse(state.retention, record);
  trimResponses(state);
}

/**
 * Records that an entry has received a complete response.
 *
 * The attempt's record stays: without it a late copy of the offer would start a
 * second run. Records expire only when such a copy would be refused as stale.
 */
export function acknowledge(state: agentState.AgentState, refKey: string, next: number): void {
  const record = state.runs.get(refKey);
  if (record === undefined || record.status !== runRecord.RunStatus.COMPLETED) {
    return;
  }
  if (next >= record.parts.length) {
    runRetention.recordAcknowledged(state.retention, refKey);
  }
}
