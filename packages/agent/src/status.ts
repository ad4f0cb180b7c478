/** What the operator port of an agent says of its state. */
import * as core from '@toucanproxy/core';

/** Describes an agent for `toucanproxy status`. */
export function describeStatus(state: core.AgentState): unknown {
  return {
    role: 'agent',
    backendServerId: state.backendServerId,
    life: state.life,
    service: state.service,
    documentVersion: core.getVersion(state.documents, state.service),
    documents: core.describeDocuments(state.documents),
    keys: state.keys.size,
    leaving: state.leaving,
    engineAvailable: state.engineAvailable,
    queued: state.queue.items.size,
    running: state.running.size,
    runningTokens: state.runningTokens,
    remembered: state.runs.size,
    entries: [...state.links.values()].map((link) => link.entryId),
  };
}
