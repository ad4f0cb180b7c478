/** Stops taking new work while what runs goes on to its end. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as documentStore from '../shared/document-store.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as entryLinks from './entry-links.js';
import * as refusals from './refusals.js';
import * as startQueue from './start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Brings the agent in line with the reasons to leave that hold now. */
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

/** Takes a newer document into force. */
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
    return [];
  }
  const own = document.backendServers.find((server) => server.id === state.backendServerId);
  state.documentLeaving = own === undefined || own.state >= schema.BackendServerState.LEAVING;
  const { service, version } = document;
  const fields = { service, version, leaving: state.documentLeaving };
  return [effect.logDecision('document', fields), ...updateLeaving(state, now)];
}

/** Takes what the platform's list says of this agent's VM. */
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
  return [...updateLeaving(state, now), ...stopWhenIdle(state)];
}

/** Stops once shutting down, with nothing queued or running. */
export function stopWhenIdle(state: agentState.AgentState): Effects {
  const idle = startQueue.countQueued(state.queue) === 0 && state.running.size === 0;
  if (!state.shutdownStarted || state.stopped || !idle) {
    return [];
  }
  state.stopped = true;
  return [{ kind: 'stopped' }];
}
