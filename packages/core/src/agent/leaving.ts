/** Stops taking new work while what runs goes on to its end. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as documentStore from '../shared/document-store.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as entryLinks from './entry-links.js';
import * as refusals from './refusals.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Time for messages that nobody acknowledges to leave the process, milliseconds. */
const FLUSH_MS = 250;

/** How long answers wait for their acknowledgement, milliseconds. */
const ACKNOWLEDGE_WAIT_MS = 10_000;

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
    return documentStore.noteRefusedDocument(state.documents, stored);
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
  return [...updateLeaving(state, now), ...stopWhenIdle(state, now)];
}

/**
 * Stops once shutting down, with nothing queued or running.
 *
 * Parts of the last answers may still be on their way when the runs have ended;
 * stopping then would cut them short for their callers. The agent waits until
 * entries have acknowledged them, for a bounded time where an entry is gone.
 */
export function stopWhenIdle(state: agentState.AgentState, now: number): Effects {
  const busy = startQueue.countQueued(state.queue) > 0 || state.running.size > 0;
  if (!state.shutdownStarted || state.stopped || busy) {
    state.idleSinceMs = undefined;
    return [];
  }
  state.idleSinceMs ??= now;
  const idleMs = now - state.idleSinceMs;
  const received = state.memory.waiting.size === 0 && idleMs >= FLUSH_MS;
  if (!received && idleMs < ACKNOWLEDGE_WAIT_MS) {
    return [];
  }
  state.stopped = true;
  return [{ kind: 'stopped' }];
}
