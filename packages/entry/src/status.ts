/** What the operator port of an entry says of its state. */
import * as core from '@toucanproxy/core';

/** Counts requests by service, tier and status. */
function countRequests(state: core.EntryState): Record<string, number> {
  const counts: Record<string, number> = {};
  state.requests.forEach((request) => {
    const key = `${request.arrived.service}/${request.tierName}/${request.status}`;
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return counts;
}

/** Describes an entry for `toucanproxy status`. */
export function describeStatus(state: core.EntryState): unknown {
  return {
    role: 'entry',
    entryId: state.entryId,
    life: state.life,
    shuttingDown: state.shutdownStarted,
    documentVersions: Object.fromEntries(
      [...state.documents].map(([service, stored]) => [service, stored.document.version]),
    ),
    documents: core.describeDocuments(state.documents),
    requests: countRequests(state),
    backendServers: [...state.agents.values()].map((view) => ({
      id: view.backendServerId,
      service: view.service,
      linked: view.linked,
      kept: view.kept,
      leaving: view.leaving,
      lastHeardMs: view.lastHeardMs,
    })),
  };
}
