/**
 * Which agents an entry keeps links to.
 *
 * A full mesh of entries and agents spends more on heartbeats than a node may.
 * Rendezvous hashing spreads the entries over the agents evenly, and each
 * process can work the choice out for itself.
 */
import * as rendezvous from '../shared/rendezvous.js';

/** Links that one entry keeps over all its services, about. */
const LINKS_PER_ENTRY = 40;
const MIN_LINKS_PER_SERVICE = 3;
export const DEFAULT_LINKS_PER_SERVICE = 32;

/** Of the links, one in this many goes to other failure domains. */
const REMOTE_LINK_DIVISOR = 4;

/**
 * Computes the links kept for each of several services, so that the heartbeats
 * of an entry stay within its budget for control.
 */
export function computeLinksPerService(services: number): number {
  const share = Math.floor(LINKS_PER_ENTRY / Math.max(services, 1));
  return Math.min(DEFAULT_LINKS_PER_SERVICE, Math.max(MIN_LINKS_PER_SERVICE, share));
}

/** What the choice looks at. */
export type LinkCandidate = { backendServerId: string; failureDomain: string };

/**
 * Selects the agents to keep links to: most in the entry's own failure domain,
 * some outside it, so that the loss of the domain leaves links that work.
 *
 * @param count links to keep, at most
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
