/** Decides what a crash of the engine says of the attempts that ran. */
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as entryLinks from './entry-links.js';
import * as refusals from './refusals.js';
import * as runRecord from './run-record.js';

type Effects = agentEvent.AgentEffect[];

/** HTTP statuses from here on say that the engine could not do the work. */
const MIN_SERVER_ERROR = 500;

/** Marks everything that ran when the engine crashed and tells each entry at once. */
export function recordCrash(state: agentState.AgentState, now: number): Effects {
  const alone = state.running.size === 1;
  [...state.running]
    .flatMap((refKey) => state.runs.get(refKey) ?? [])
    .forEach((running) => {
      running.crashed = true;
      suspects.recordCrash(state.suspects, running.offer?.contentDigest ?? '', alone, now);
    });
  // Ahead of the news that the attempts failed: an entry knows the suspect
  // before its caller can send the request again.
  return entryLinks.sendHeartbeats(state, now);
}

/** Learns what others know of crashes and refuses what they have blocked. */
export function mergeHeard(
  state: agentState.AgentState,
  heard: readonly schema.Suspect[],
  now: number,
): Effects {
  const changed = suspects.mergeSuspects(state.suspects, heard, now);
  return changed ? refusals.refuseBlocked(state, now) : [];
}

/** Clears the content of an attempt that the engine answered whole. */
export function clearSuspicion(
  state: agentState.AgentState,
  record: runRecord.RunRecord,
  now: number,
): Effects {
  if (runRecord.getStatus(record) >= MIN_SERVER_ERROR) {
    return [];
  }
  const cleared = suspects.clearSuspect(state.suspects, record.offer?.contentDigest ?? '', now);
  return cleared ? entryLinks.sendHeartbeats(state, now) : [];
}
