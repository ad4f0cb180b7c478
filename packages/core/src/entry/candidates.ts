/** The agents that a request may be placed on, as this entry sees them. */
import * as rendezvous from '../shared/rendezvous.js';
import * as agentHealth from './agent-health.js';
import * as durationModel from './duration-model.js';
import * as entryState from './entry-state.js';
import * as placement from './placement.js';
import * as prefixLocations from './prefix-locations.js';

/** Approximate length of a token, bytes of text. */
const BYTES_PER_TOKEN = 4;

/** Lists the agents of a service with an open link. */
export function listLinked(state: entryState.EntryState, service: string): entryState.AgentView[] {
  return [...entryState.getService(state, service).linkedIds]
    .map((id) => state.agents.get(id))
    .filter((agent) => agent !== undefined)
    .filter((agent) => agent.linked);
}

/** Whether an agent may get new work. */
export function isUsable(agent: entryState.AgentView): boolean {
  return agent.linked && agent.kept && !agent.leaving;
}

/**
 * Lists the agents of a service that may get new work. Ejected ones are included
 * only if all are ejected.
 */
export function listUsable(
  state: entryState.EntryState,
  service: string,
  now: number,
): entryState.AgentView[] {
  const usable = listLinked(state, service).filter(isUsable);
  const healthy = usable.filter((agent) => !agentHealth.isEjected(agent.health, now));
  return healthy.length > 0 ? healthy : usable;
}

/** Lists the health of the linked agents of a service. */
export function listPeerHealth(
  state: entryState.EntryState,
  service: string,
): agentHealth.AgentHealth[] {
  return listLinked(state, service).map((agent) => agent.health);
}

/**
 * Returns the backend server that gets a prefix of unknown location. The choice
 * is the same on every entry.
 */
function findPreferred(
  request: entryState.EntryRequest,
  agents: readonly entryState.AgentView[],
): string {
  const [firstHash] = request.arrived.prefixHashes;
  if (firstHash === undefined) {
    return '';
  }
  const ids = agents.map((agent) => agent.backendServerId);
  return rendezvous.rankByRendezvous(`${request.workspace}/${firstHash}`, ids)[0] ?? '';
}

/** Describes agents as candidates for placement. */
export function listCandidates(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agents: readonly entryState.AgentView[],
  now: number,
): placement.Candidate[] {
  const { service, prefixHashes, payload, estimatedTokens } = request.arrived;
  const { prefixes, durations } = entryState.getService(state, service);
  const match = prefixLocations.findPrefix(prefixes, request.workspace, prefixHashes, now);
  const preferred = findPreferred(request, agents);
  const peers = listPeerHealth(state, service);
  const { COMPLETION } = agentHealth.Stage;
  const median = agentHealth.findMedianRatio(peers, COMPLETION);
  const expectedMs = durationModel.estimateDuration(
    durations,
    COMPLETION,
    request.className,
    estimatedTokens,
  );
  const msPerToken = expectedMs / Math.max(estimatedTokens, 1);
  return agents.map((agent) => {
    const { load, backendServerId } = agent;
    const promptTokens = payload.length / BYTES_PER_TOKEN;
    const known = match?.backendServerId === backendServerId ? match.cachedTokens : 0;
    return {
      backendServerId,
      outstandingTokens: agent.outstandingTokens,
      reportedTokens: (load?.queuedTokens ?? 0) + (load?.runningTokens ?? 0),
      queued: Math.max(load?.queued ?? 0, agent.reservedIds.size),
      queuedTokens: load?.queuedTokens ?? 0,
      tokensPerSecond: load?.tokensPerSecond ?? 0,
      cachedTokens: Math.min(known, promptTokens),
      msPerToken: msPerToken * agentHealth.estimateRatio(agent.health, median, now),
      trafficShare: agentHealth.computeTrafficShare(agent.health, now),
      preferred: backendServerId === preferred,
    };
  });
}
