/** Checks that a process sheds the least urgent of the requests that it has not started. */
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as checkers from './checker.js';
import * as invariant from './invariant.js';
import * as virtualCallers from './mocks/virtual-callers.js';
import * as virtualProcesses from './mocks/virtual-processes.js';

const SHED_CODES = new Set([
  schema.ResultCode.SHED,
  schema.ResultCode.QUEUE_FULL,
  schema.ResultCode.EVICTED,
  schema.ResultCode.RETRY_BUDGET_SPENT,
]);

/** Returns the tier rank of a call by the active document of its entry; -1 if unknown. */
function getTierRank(entry: virtualProcesses.EntryProcess, call: virtualCallers.Call): number {
  const document = entry.state.documents.get(call.plan.service)?.document;
  const token = virtualCallers.buildArrivedRequest(call).tokenSha256;
  const credential = document?.credentials.find((one) => one.tokenSha256 === token);
  return document?.tiers.indexOf(credential?.tier ?? '') ?? -1;
}

/** Checks that an entry which sheds a call has no less urgent request waiting. */
export function checkEntryShed(
  checker: checkers.Checker,
  entry: virtualProcesses.EntryProcess,
  effect: core.EntryEffect,
): void {
  const failed = effect.kind === 'answerFailure' && SHED_CODES.has(effect.code);
  const call = failed ? checker.fleet?.calls[effect.callerId - 1] : undefined;
  if (call === undefined) {
    return;
  }
  const rank = getTierRank(entry, call);
  const lessUrgent = [...entry.state.requests.values()].filter(
    (one) => one.status === core.RequestStatus.WAITING && one.tierRank > rank,
  );
  checkers.expectThat(
    checker,
    lessUrgent.length === 0,
    invariant.Invariant.SHED_LEAST_URGENT,
    () => {
      const kept = lessUrgent.map((one) => one.requestId).join(', ');
      return `${entry.id} shed call ${call.callerId} of rank ${rank} and kept ${kept}`;
    },
  );
}

/** Checks that an agent which sheds an attempt has no less urgent one queued. */
export function checkAgentShed(
  checker: checkers.Checker,
  agent: virtualProcesses.AgentProcess,
  effect: core.AgentEffect,
): void {
  if (effect.kind !== 'sendToEntry' || effect.message.body.case !== 'notRun') {
    return;
  }
  const { ref, code } = effect.message.body.value;
  const record = ref && agent.state.runs.get(core.toRefKey(ref));
  const rank = record?.offer?.tierRank;
  if (rank === undefined || !SHED_CODES.has(code)) {
    return;
  }
  const lessUrgent = [...agent.state.runs.values()].filter(
    (one) => one.status === core.RunStatus.QUEUED && (one.offer?.tierRank ?? 0) > rank,
  );
  checkers.expectThat(
    checker,
    lessUrgent.length === 0,
    invariant.Invariant.SHED_LEAST_URGENT,
    () => {
      const kept = lessUrgent.map((one) => one.refKey).join(', ');
      return `${agent.id} shed ${record?.refKey} of rank ${rank} and kept ${kept}`;
    },
  );
}
