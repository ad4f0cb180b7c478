/**
 * Selects the agents to which an entry keeps links.
 *
 * A full mesh of entries and agents would exceed a node's budget for heartbeats.
 * Rendezvous hashing spreads the entries evenly over the agents, and each process
 * can compute its selection on its own.
 */
import * as rendezvous from '../shared/rendezvous.js';

/** Approximate number of links that one entry keeps over all its services. */
const LINKS_PER_ENTRY = 40;
const MIN_LINKS_PER_SERVICE = 3;
export const DEFAULT_LINKS_PER_SERVICE = 32;

/** One in this many links goes to another failure domain. */
const REMOTE_LINK_DIVISOR = 4;

/**
 * Computes how many links to keep for each of several services, so that the
 * entry's heartbeats stay within its budget for control traffic.
 */
export function computeLinksPerService(services: number): number {
  const share = Math.floor(LINKS_PER_ENTRY / Math.max(services, 1));
  return Math.min(DEFAULT_LINKS_PER_SERVICE, Math.max(MIN_LINKS_PER_SERVICE, share));
}

/** The properties of an agent that the selection depends on. */
export type LinkCandidate = { backendServerId: string; failureDomain: string };

/**
 * Selects the agents to keep links to. Most are in the entry's own failure
 * domain, and some are outside it, so that working links remain if the domain is
 * lost.
 *
 * @param count maximum number of links to keep
 */
export function selectLinks(
  entryId: string,
  failureDomain: string,
  agents: readonly LinkCandidate[],
  count: number,
): string[] {
  const ids = agents.map((agent) => agent.backendServerId);
  const domains = new Map(agents.map((agent) => [agent.backendServerId, agent.failureDomain]));
  const ranked = rendezvous.rankByRendezvous(entryId, ids);
  const local = ranked.filter((id) => domains.get(id) === failureDomain);
  const remote = ranked.filter((id) => domains.get(id) !== failureDomain);
  const remoteWanted = Math.max(Math.ceil(count / REMOTE_LINK_DIVISOR), count - local.length);
  const remoteChosen = remote.slice(0, remoteWanted);
  return [...local.slice(0, count - remoteChosen.length), ...remoteChosen];
}
