/** Marks the content of attempts that ran when the engine crashed, and clears it on completion. */
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as entryLinks from './entry-links.js';
import * as refusals from './refusals.js';
import * as runRecord from './run-record.js';

type Effects = agentEvent.AgentEffect[];

/** From this HTTP status on a response is a server error and does not clear its content. */
const MIN_SERVER_ERROR = 500;

/** Marks the content of all running attempts after a crash and reports it to every entry. */
export function recordCrash(state: agentState.AgentState, now: number): Effects {
  const alone = state.running.size === 1;
  [...state.running]
    .flatMap((refKey) => state.runs.get(refKey) ?? [])
    .forEach((running) => {
      running.crashed = true;
      suspects.recordCrash(state.suspects, running.offer?.contentDigest ?? '', alone, now);
    });
  // Sent before the failures of the attempts: an entry then knows the suspects
  // before a caller can retry the request.
  return entryLinks.sendHeartbeats(state, now);
}

/** Merges the suspects that an entry reports and refuses queued attempts that are now blocked. */
export function mergeReceived(
  state: agentState.AgentState,
  received: readonly schema.Suspect[],
  now: number,
): Effects {
  const changed = suspects.mergeSuspects(state.suspects, received, now);
  return changed ? refusals.refuseBlocked(state, now) : [];
}

/** Clears the content of an attempt that completed, unless with a server error. */
export function clearSuspicion(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  if (runRecord.getHttpStatus(record) >= MIN_SERVER_ERROR) {
    return [];
  }
  const cleared = suspects.clearSuspect(state.suspects, record.offer?.contentDigest ?? '', now);
  return cleared ? entryLinks.sendHeartbeats(state, now) : [];
}
