/** Graceful shutdown: refuses new and queued work while running attempts complete. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as documentStore from '../shared/document-store.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as entryLinks from './entry-links.js';
import * as refusals from './refusals.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Time for unacknowledged messages to be written out before the process stops, milliseconds. */
const FLUSH_MS = 250;

/** Maximum wait for the acknowledgement of responses, milliseconds. */
const ACKNOWLEDGE_WAIT_MS = 10_000;

/** Recomputes whether the agent is leaving; on a change reports it, and refuses what is queued. */
function updateLeaving(state: agentState.AgentState, now: number): Effects {
  const before = state.leaving;
  state.leaving = state.shutdownStarted || state.vmLeaving || state.documentLeaving;
  if (state.leaving === before) {
    return [];
  }
  const refused = state.leaving
    ? refusals.refuseAll(state, schema.ResultCode.SHUTTING_DOWN, now)
    : [];
  return [...refused, ...entryLinks.sendHeartbeats(state, now)];
}

/** Makes a newer document the active one. */
export function applyDocument(
  state: agentState.AgentState,
  stored: documentStore.StoredDocument,
  now: number,
): Effects {
  const { document } = stored;
  if (document.service !== state.service) {
    return [];
  }
  if (!documentStore.storeDocument(state.documents, stored)) {
    return documentStore.noteRefusedDocument(state.documents, stored);
  }
  const own = document.backendServers.find((server) => server.id === state.backendServerId);
  state.documentLeaving = own === undefined || own.state >= schema.BackendServerState.LEAVING;
  const { service, version } = document;
  const fields = { service, version, leaving: state.documentLeaving };
  return [effect.logDecision('document', fields), ...updateLeaving(state, now)];
}

/** Records whether the platform lists this agent's VM as leaving. */
export function setVmLeaving(
  state: agentState.AgentState,
  vmLeaving: boolean,
  now: number,
): Effects {
  state.vmLeaving = vmLeaving;
  return updateLeaving(state, now);
}

/** Begins a graceful shutdown. */
export function startShutdown(state: agentState.AgentState, now: number): Effects {
  state.shutdownStarted = true;
  return [...updateLeaving(state, now), ...stopWhenIdle(state, now)];
}

/**
 * Stops a shutting-down agent that has nothing queued or running.
 *
 * Parts of the last responses may still be in transit when the runs have ended;
 * stopping then would truncate them. The agent waits until the entries have
 * acknowledged them, but only for a bounded time, as an entry may be gone.
 */
export function stopWhenIdle(state: agentState.AgentState, now: number): Effects {
  const busy = startQueue.countQueued(state.queue) > 0 || state.running.size > 0;
  if (!state.shutdownStarted || state.stopped || busy) {
    state.idleSinceMs = undefined;
    return [];
  }
  state.idleSinceMs ??= now;
  const idleMs = now - state.idleSinceMs;
  const received = state.retention.waiting.size === 0 && idleMs >= FLUSH_MS;
  if (!received && idleMs < ACKNOWLEDGE_WAIT_MS) {
    return [];
  }
  state.stopped = true;
  return [{ kind: 'stopped' }];
}
