/** The status that an agent serves on its operator port. */
import * as core from '@toucanproxy/core';

export type TierCount = { tier: string; queued: number };

/** Counts queued attempts and reservations of each tier, the most urgent first. */
export function countByTier(state: core.AgentState): TierCount[] {
  const tiers = state.documents.get(state.service)?.document.tiers ?? [];
  const items = [...state.queue.items.values()];
  return tiers.map((tier, rank) => ({
    tier,
    queued: items.filter((item) => item.tierRank === rank).length,
  }));
}

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
    running: state.running.size,
    runningTokens: state.runningTokens,
    held: state.holds.size,
    remembered: state.runs.size,
    entries: [...state.links.values()].map((link) => link.entryId),
    tiers: countByTier(state),
    suspects: core.listSuspects(state.suspects).map(({ contentDigest, crashes }) => ({
      contentDigest,
      crashes,
    })),
  };
}
