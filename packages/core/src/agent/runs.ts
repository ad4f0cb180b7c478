/**
 * Starts and ends attempts. `startQueued` is the only place that hands an
 * attempt to the engine.
 */
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
export function refuse(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  code: schema.ResultCode,
  now: number,
): Effects {
  record.status = runRecord.RunStatus.NOT_RUN;
  record.code = code;
  record.changedMs = now;
  startQueue.removeAttempt(state.queue, record.refKey);
  const retryAfterMs = 0;
  const effects = answers.publish(
    record,
    agentMessages.buildNotRun(record.ref, code, retryAfterMs),
  );
  record.subscribers.clear();
  return effects;
}

/** Tells whether the engine has a place for an attempt. */
function hasRoom(state: agentState.AgentState, item: startQueue.QueuedAttempt): boolean {
  const limits = agentState.getLimits(state);
  if (!state.engineAvailable || state.running.size >= limits.maxRunning) {
    return false;
  }
  const tokens = state.runningTokens + item.estimatedTokens;
  return state.running.size === 0 || tokens <= limits.maxRunningTokens;
}

/** Hands one attempt to the engine. */
function startOne(state: agentState.AgentState, record: runRecord.RunRecord, now: number): Effects {
  const { offer } = record;
  if (offer === undefined || record.status !== runRecord.RunStatus.QUEUED) {
    return [effect.observe({ kind: 'invariantBroken', name: 'started-twice' })];
  }
  const waitedMs = now - record.changedMs;
  // Recorded before the first byte goes out: a copy of the offer that comes
  // later finds the record and is not started a second time.
  record.status = runRecord.RunStatus.STARTED;
  record.changedMs = now;
  state.running.add(record.refKey);
  state.runningTokens += offer.estimatedTokens;
  return [
    effect.observe({ kind: 'queueWait', tier: String(offer.tierRank), ms: waitedMs }),
    effect.logDecision('start', {
      request: record.refKey,
      tierRank: offer.tierRank,
      queued: state.queue.items.length,
      running: state.running.size,
    }),
    ...answers.publish(record, agentMessages.buildStarted(record.ref)),
    { kind: 'startOnEngine', refKey: record.refKey, offer },
  ];
}

/** Starts queued attempts while the engine has places. */
export function startQueued(state: agentState.AgentState, now: number): Effects {
  const effects: Effects = [];
  while (state.queue.items[0] !== undefined && hasRoom(state, state.queue.items[0])) {
    const item = startQueue.takeNext(state.queue);
    const record = item && state.runs.get(item.refKey);
    if (record?.offer === undefined) {
      break;
    }
    // Work that cannot end in time would only take the place of work that can.
    effects.push(
      ...(now >= record.offer.deadlineMs
        ? refuse(state, record, schema.ResultCode.DEADLINE_UNREACHABLE, now)
        : startOne(state, record, now)),
    );
  }
  return effects;
}

/** Ends a started attempt and frees its place. */
export function endRun(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  status: runRecord.RunStatus.COMPLETED | runRecord.RunStatus.FAILED,
  now: number,
): void {
  record.status = status;
  record.changedMs = now;
  if (state.running.delete(record.refKey)) {
    state.runningTokens -= record.offer?.estimatedTokens ?? 0;
  }
}
